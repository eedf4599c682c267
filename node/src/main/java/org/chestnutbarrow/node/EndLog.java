package org.chestnutbarrow.node;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerReport;

/**
 * The ends that a worker has listed, each of which is logged once although it is listed until it is acknowledged, in
 * any order. Not thread-safe: used by the thread of the holds.
 */
final class EndLog {
    /** Numbers of logged ends that may be listed again. */
    private final Set<Long> logged = new HashSet<>();

    private long highest;

    /** Returns the ends that no earlier list held; numbers below the lowest in the list are not listed again. */
    List<WorkerReport.Ended> takeNew(List<WorkerReport.Ended> ends) {
        long lowest =
                ends.stream().mapToLong(WorkerReport.Ended::sequence).min().orElse(Long.MAX_VALUE);
        logged.removeIf(number -> number < lowest);
        List<WorkerReport.Ended> added =
                ends.stream().filter(end -> logged.add(end.sequence())).toList();
        added.forEach(end -> highest = Math.max(highest, end.sequence()));
        return added;
    }

    /** Returns the highest number listed so far; 0 if there is none. */
    long highest() {
        return highest;
    }
}
