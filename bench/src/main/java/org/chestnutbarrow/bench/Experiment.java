package org.chestnutbarrow.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** What {@code ./run bench} measures, with its options as args4j fills them in. Used by one thread. */
sealed interface Experiment {
    /** An experiment by its name on the command line. */
    static Experiment named(String name) {
        return switch (name) {
            case "load" -> new Load();
            case "cost" -> new Cost();
            case "added" -> new Added();
            default -> throw new IllegalArgumentException("no experiment " + name + "; use load, cost or added");
        };
    }

    /** Policies compared under the same load. */
    final class Load implements Experiment {
        @Argument(metaVar = "SCENARIO|all", usage = "names of scenarios", required = true)
        List<String> scenarios = new ArrayList<>();

        @Option(name = "--scenarios", metaVar = "FOLDER", usage = "folder of the scenario files")
        Path folder = Path.of("bench", "scenarios");

        @Option(name = "--declarations", metaVar = "FILE", usage = "declarations of zones and classes")
        Path declarations = Path.of("examples", "hivatal", "declarations.jsonc");

        @Option(name = "--out", metaVar = "FOLDER", usage = "where results are written")
        Path out = Path.of("bench-results", "load");

        @Option(name = "--seed", metaVar = "N", usage = "instead of the scenario's seed; 0 keeps it")
        long seed;

        @Option(name = "--policy", metaVar = "NAME", usage = "only this policy; may be given several times")
        List<String> policies = new ArrayList<>();
    }

    /** Cost of a routing decision. */
    final class Cost implements Experiment {
        @Option(name = "--out", metaVar = "FILE", usage = "where results are written as JSON")
        Path out = Path.of("bench-results", "cost.json");
    }

    /** Latency that a daemon adds, and its saturation. */
    final class Added implements Experiment {
        @Option(name = "--declarations", metaVar = "FILE", usage = "declarations of zones and classes")
        Path declarations = Path.of("examples", "hivatal", "declarations.jsonc");

        @Option(name = "--seconds", usage = "length of each step")
        int seconds = 8;

        @Option(name = "--seed", usage = "seed of stand-ins and arrivals")
        long seed = 1;

        @Option(name = "--callers", usage = "concurrent callers of the closed loop")
        int callers = 64;
    }
}
