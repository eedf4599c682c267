package org.chestnutbarrow.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.WorkerId;

/**
 * The resource usage of a worker, as reported by the worker for a time in the past.
 *
 * @param measuredAt time of the measurement by the clock of the worker
 * @param capacityMilliCores total processor time of the worker, in thousandths of a core
 * @param requestsInFlight number of requests in flight
 * @param latencyP99 99th percentile of the service time of the endpoint; zero if it has served no request recently
 * @param latencyBound tightest latency bound of the interactive classes
 */
public record WorkerUsageReport(
        WorkerId worker,
        Instant measuredAt,
        int capacityMilliCores,
        List<TaskLoad> tasks,
        int requestsInFlight,
        Duration latencyP99,
        Duration latencyBound) {
    public WorkerUsageReport {
        Checks.require(capacityMilliCores > 0, "processor capacity must be positive");
        Checks.require(latencyBound.isPositive(), "latency bound must be positive");
        tasks = List.copyOf(tasks);
    }

    /** Returns the share of the processor time that tasks use, from 0 to 1. */
    double taskShare() {
        long used = tasks.stream().mapToLong(TaskLoad::milliCores).sum();
        return Math.min(1, (double) used / capacityMilliCores);
    }
}
