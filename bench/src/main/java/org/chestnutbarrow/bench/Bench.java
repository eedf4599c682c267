package org.chestnutbarrow.bench;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Runs one experiment; the first argument names it. Used by one thread. */
public final class Bench {
    private static final int INVALID = 2;

    @Argument(metaVar = "EXPERIMENT", required = true, handler = SubCommandHandler.class, usage = "what to measure")
    @SubCommands({@SubCommand(name = "faults", impl = Experiment.Faults.class)})
    private Experiment experiment;

    private Bench() {}

    /** Runs an experiment; exits with 0 only if everything that must hold did. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        Bench bench = new Bench();
        CmdLineParser parser = new CmdLineParser(bench);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(INVALID);
        }
        boolean held = switch (bench.experiment) {
            case Experiment.Faults faults -> new FaultExperiments(faults, System.out).run();
        };
        System.exit(held ? 0 : 1);
    }
}
