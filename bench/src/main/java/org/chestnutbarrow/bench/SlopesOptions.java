package org.chestnutbarrow.bench;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Options of the slopes experiment as args4j fills them in. Used by one thread. */
final class SlopesOptions {
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

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    boolean help;
}
