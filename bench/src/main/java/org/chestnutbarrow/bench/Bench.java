package org.chestnutbarrow.bench;

import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Runs the experiment that the first argument names. */
public final class Bench {
    private Bench() {}

    /** For example {@code load noisy-wave --seed 2}. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        try {
            Experiment experiment = Experiment.named(args.length == 0 ? "" : args[0]);
            new CmdLineParser(experiment).parseArgument(Arrays.copyOfRange(args, 1, args.length));
            run(experiment);
        } catch (CmdLineException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }

    private static void run(Experiment experiment) throws Exception {
        switch (experiment) {
            case Experiment.Load load -> new LoadExperiment(load, System.out).run();
            case Experiment.Cost cost -> RoutingCost.run(cost.out);
            case Experiment.Added added -> new AddedLatency(added, System.out).run();
        }
    }
}
