package org.chestnutbarrow.placement;

import java.util.HashMap;
import java.util.Map;
import org.chestnutbarrow.model.Worker;

/** Counts the active attempts of one job by zone and by rack. Not safe for use by several threads. */
final class TopologySpread {
    private final Map<String, Integer> attemptsByDomain = new HashMap<>();
    private int total;

    void add(Worker worker) {
        attemptsByDomain.merge(worker.zone().value(), 1, Integer::sum);
        attemptsByDomain.merge(rackKey(worker), 1, Integer::sum);
        total++;
    }

    void remove(Worker worker) {
        attemptsByDomain.computeIfPresent(worker.zone().value(), (key, count) -> count == 1 ? null : count - 1);
        attemptsByDomain.computeIfPresent(rackKey(worker), (key, count) -> count == 1 ? null : count - 1);
        total--;
    }

    /** Returns the share of the job's attempts in the worker's zone plus the share in its rack, from 0 to 2. */
    double penalty(Worker worker) {
        if (total == 0) {
            return 0;
        }
        int zone = attemptsByDomain.getOrDefault(worker.zone().value(), 0);
        int rack = attemptsByDomain.getOrDefault(rackKey(worker), 0);
        return (double) (zone + rack) / total;
    }

    private static String rackKey(Worker worker) {
        return worker.zone() + "/" + worker.rack();
    }
}
