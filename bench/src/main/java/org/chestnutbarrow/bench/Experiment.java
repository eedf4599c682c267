package org.chestnutbarrow.bench;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** An experiment with its options as args4j fills them in. Used by one thread. */
sealed interface Experiment {
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
