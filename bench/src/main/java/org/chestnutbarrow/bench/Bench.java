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
    @SubCommands({
        @SubCommand(name = "load", impl = Experiment.Load.class),
        @SubCommand(name = "cost", impl = Experiment.Cost.class),
        @SubCommand(name = "added", impl = Experiment.Added.class),
        @SubCommand(name = "slopes", impl = Experiment.Slopes.class),
        @SubCommand(name = "faults", impl = Experiment.Faults.class)
    })
    private Experiment experiment;

    private Bench() {}

    /** Runs an experiment, for example {@code load noisy-wave --seed 2}; exits with 0 only if what must hold did. */
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
        System.exit(run(bench.experiment) ? 0 : 1);
    }

    private static boolean run(Experiment experiment) throws Exception {
        return switch (experiment) {
            case Experiment.Load load -> {
                new LoadExperiment(load, System.out).run();
                yield true;
            }
            case Experiment.Cost cost -> {
                RoutingCost.run(cost.out);
                yield true;
            }
            case Experiment.Added added -> {
                new AddedLatency(added, System.out).run();
                yield true;
            }
            case Experiment.Slopes slopes -> {
                new SlopesExperiment(slopes, System.out).run();
                yield true;
            }
            case Experiment.Faults faults -> new FaultExperiments(faults, System.out).run();
        };
    }
}
