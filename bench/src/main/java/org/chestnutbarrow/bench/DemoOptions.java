package org.chestnutbarrow.bench;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Options of the demo as args4j fills them in. Used by one thread. */
final class DemoOptions {
    @Option(name = "--deployment", metaVar = "hivatal|bellamy", usage = "whose sizes and declarations to use")
    Deployment deployment = Deployment.hivatal;

    @Option(name = "--workers", metaVar = "N", usage = "number of workers (the real deployments have 45 and 33)")
    int workers = 12;

    @Option(name = "--daemons", metaVar = "N", usage = "number of daemons")
    int daemons = 3;

    @Option(name = "--rate", metaVar = "N", usage = "interactive requests per second")
    double rate = 200;

    @Option(name = "--examples", metaVar = "FOLDER", usage = "folder of the examples")
    Path examples = Path.of("examples");

    @Option(name = "--seed", metaVar = "N", usage = "seed of the load")
    long seed = 1;

    @Option(name = "--record", metaVar = "FOLDER", usage = "write the log and the starts and ends of tasks to a folder")
    Path record;

    @Option(name = "--keep", usage = "keep the folder with settings and logs")
    boolean keep;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    boolean help;

    /** The deployments that come as examples. */
    enum Deployment {
        hivatal("eger", "fitting-check", "season-reconcile", "stock-watch"),
        bellamy("bne-a", "fault-call", "parts-run", "jet-wear");

        private final String zone;
        private final String interactive;
        private final String batch;
        private final String watcher;

        Deployment(String zone, String interactive, String batch, String watcher) {
            this.zone = zone;
            this.interactive = interactive;
            this.batch = batch;
            this.watcher = watcher;
        }

        /** The zone that the demo takes out. */
        String zone() {
            return zone;
        }

        /** Name of the interactive class. */
        String interactive() {
            return interactive;
        }

        /** Name of the batch class. */
        String batch() {
            return batch;
        }

        /** Name of the always-on class. */
        String watcher() {
            return watcher;
        }

        ClusterSpec spec(int daemons, int workers) {
            return switch (this) {
                case hivatal -> ClusterSpec.hivatal(daemons, workers);
                case bellamy -> ClusterSpec.bellamy(daemons, workers);
            };
        }
    }
}
