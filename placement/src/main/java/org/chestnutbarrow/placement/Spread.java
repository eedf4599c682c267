package org.chestnutbarrow.placement;

import java.util.HashMap;
import java.util.Map;
import org.chestnutbarrow.model.Worker;

/** Where the attempts of one job are. Not safe for use by several threads. */
final class Spread {
    private final Map<String, Integer> counts = new HashMap<>();
    private int total;

    void add(Worker worker) {
        counts.merge(worker.zone().value(), 1, Integer::sum);
        counts.merge(rack(worker), 1, Integer::sum);
        total++;
    }

    void remove(Worker worker) {
        counts.computeIfPresent(worker.zone().value(), (key, count) -> count == 1 ? null : count - 1);
        counts.computeIfPresent(rack(worker), (key, count) -> count == 1 ? null : count - 1);
        total--;
    }

    /** Share of the job's attempts in the worker's zone plus that in its rack, from 0 to 2. */
    double penalty(Worker worker) {
        if (total == 0) {
            return 0;
        }
        int zone = counts.getOrDefault(worker.zone().value(), 0);
        int rack = counts.getOrDefault(rack(worker), 0);
        return (double) (zone + rack) / total;
    }

    private static String rack(Worker worker) {
        return worker.zone() + "/" + worker.rack();
    }
}
