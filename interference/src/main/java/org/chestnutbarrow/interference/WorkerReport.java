package org.chestnutbarrow.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.WorkerId;

/**
 * A worker's report of its use at a time in the past.
 *
 * @param asOf when it was measured, by the worker's clock
 * @param capacityMilliCores all processor time of the worker, in thousandths of a core
 * @param requests requests that were in flight
 * @param latency 99th percentile of the endpoint's service time; zero if it served no request lately
 * @param bound tightest latency bound of the interactive classes
 */
public record WorkerReport(
        WorkerId worker,
        Instant measuredAt,
        int capacityMilliCores,
        List<TaskLoad> tasks,
        int requestsInFlight,
        Duration latencyP99,
        Duration latencyBound) {
    public WorkerReport {
        Checks.require(capacityMilliCores > 0, "a worker needs processor time");
        Checks.require(latencyBound.isPositive(), "bound must be positive");
        tasks = List.copyOf(tasks);
    }

    /** Share of the processor time that batch tasks and watchers use, from 0 to 1. */
    double taskShare() {
        long used = tasks.stream().mapToLong(TaskLoad::milliCores).sum();
        return Math.min(1, (double) used / capacityMilliCores);
    }
}
