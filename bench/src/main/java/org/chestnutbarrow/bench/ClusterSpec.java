package org.chestnutbarrow.bench;

import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.Checks;

/**
 * How a deployment is made up.
 *
 * @param daemons number of daemons
 * @param workers number of workers, spread over the zones in turn
 * @param zones availability zones
 * @param cores cores of each worker
 * @param memoryMiB memory of each worker
 * @param accelerators accelerators of each worker
 * @param serviceTimes undisturbed service time of each interactive class, for example {@code 20ms}
 * @param logMaxAgeSeconds how long the log keeps records
 * @param proxied whether daemons reach log and one another through the fault proxy
 * @param seed seed of the stand-ins
 */
public record ClusterSpec(
        int daemons,
        int workers,
        List<String> zones,
        int cores,
        long memoryMiB,
        int accelerators,
        Map<String, String> serviceTimes,
        long logMaxAgeSeconds,
        boolean proxied,
        long seed) {
    public ClusterSpec {
        Checks.require(daemons > 0 && workers > 0, "at least one daemon and one worker are needed");
        zones = List.copyOf(zones);
        serviceTimes = Map.copyOf(serviceTimes);
    }

    /** The rental service: workers of 64 cores and 250 GB in three zones. */
    public static ClusterSpec hivatal(int daemons, int workers) {
        return new ClusterSpec(
                daemons,
                workers,
                List.of("eger", "miskolc", "salgotarjan"),
                64,
                250_000,
                0,
                Map.of("fitting-check", "20ms"),
                3600,
                false,
                1);
    }

    /** The dispatch desk: workers of 32 cores and 125 GB in three zones. */
    public static ClusterSpec bellamy(int daemons, int workers) {
        return new ClusterSpec(
                daemons,
                workers,
                List.of("bne-a", "bne-b", "bne-c"),
                32,
                125_000,
                0,
                Map.of("fault-call", "15ms"),
                3600,
                false,
                1);
    }

    /** The same with daemons behind the fault proxy. */
    public ClusterSpec throughProxy() {
        return new ClusterSpec(
                daemons, workers, zones, cores, memoryMiB, accelerators, serviceTimes, logMaxAgeSeconds, true, seed);
    }
}
