package org.chestnutbarrow.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** What {@code ./run bench} measures, with its options as args4j fills them in. Used by one thread. */
sealed interface Experiment {
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

    /** What a daemon spends on control as the deployment grows. */
    final class Slopes implements Experiment {
        @Option(name = "--out", metaVar = "FOLDER", usage = "where results and plots are written")
        Path out = Path.of("bench-results", "slopes");

        @Option(name = "--warm-up", metaVar = "SECONDS", usage = "time before each measurement (default 8)")
        int warmUpSeconds = 8;

        @Option(name = "--seconds", metaVar = "SECONDS", usage = "length of each measurement (default 10)")
        int seconds = 10;

        @Option(
                name = "--only",
                metaVar = "NAME",
                usage = "run one axis: workers, daemons, tasks, jobs, classes or libraries")
        String only = "";
    }

    /** Failures of daemons, links and the log, and what they cost. */
    final class Faults implements Experiment {
        @Option(name = "--out", metaVar = "FOLDER", usage = "where faults.json goes (default bench-results/faults)")
        Path out = Path.of("bench-results", "faults");

        @Option(name = "--examples", metaVar = "FOLDER", usage = "folder of the examples")
        Path examples = Path.of("examples");

        @Option(name = "--rate", metaVar = "N", usage = "interactive requests per second")
        double rate = 100;

        @Option(name = "--outage", metaVar = "SECONDS", usage = "length of the log's outage")
        int outageSeconds = 60;
    }
}
