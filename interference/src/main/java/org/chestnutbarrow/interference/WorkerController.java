package org.chestnutbarrow.interference;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.TaskId;

/**
 * Decides on mitigations on one worker, based on its reports and on previous mitigations. Not thread-safe; guarded by
 * the lock of its shard.
 *
 * <p>Invariant: after a mitigation, the next one is based on a report that was measured later.
 */
final class WorkerController {
    /** Share of the latency bound above which the latency of a worker counts as degraded. */
    private static final double DEGRADED_BOUND_SHARE = 0.8;

    /** Ratio to the baseline latency above which the latency of a worker counts as degraded. */
    private static final double DEGRADED_RATIO = 1.2;

    /** Ratio below which limits are lifted; the gap to the upper ratio provides hysteresis against oscillation. */
    private static final double RECOVERED_RATIO = 1.1;

    private static final int THROTTLE_PERCENT = 30;
    private static final int UNLIMITED_PERCENT = 100;
    private static final Duration CLOCK_SKEW_MARGIN = Duration.ofMillis(500);
    private static final Duration CLOSED_DURATION = Duration.ofSeconds(20);
    private static final int RECOVERED_REPORTS_BEFORE_LIFT = 5;

    /** Progress above which the eviction cost of a task counts tenfold, because the task is about to finish. */
    private static final double NEARLY_DONE_PROGRESS = 0.9;

    private final Map<TaskId, Attempt> throttled = new HashMap<>();
    private Instant lastActionAt = Instant.MIN;
    private Instant closedUntil = Instant.MIN;
    private int recoveredReports;

    /** Decides on a report; {@code now} is the wall-clock time of this daemon. */
    Optional<Mitigation> decide(WorkerUsageReport report, SensitivityModel sensitivity, Instant now) {
        throttled
                .keySet()
                .removeIf(task ->
                        report.tasks().stream().noneMatch(load -> load.task().equals(task)));
        if (!lastActionAt.equals(Instant.MIN) && !report.measuredAt().isAfter(lastActionAt.plus(CLOCK_SKEW_MARGIN))) {
            return Optional.empty();
        }
        boolean servedRequests = !report.latencyP99().isZero();
        double ratio = servedRequests ? sensitivity.latencyRatio(report).orElse(0.0) : 0;
        boolean overBound = report.latencyP99().toNanos()
                > DEGRADED_BOUND_SHARE * report.latencyBound().toNanos();
        if (servedRequests && (overBound || ratio > DEGRADED_RATIO)) {
            recoveredReports = 0;
            return recordAction(mitigate(report, sensitivity, overBound, now), now);
        }
        recoveredReports = ratio < RECOVERED_RATIO ? recoveredReports + 1 : 0;
        return recoveredReports >= RECOVERED_REPORTS_BEFORE_LIFT
                ? recordAction(liftThrottle(report, now), now)
                : Optional.empty();
    }

    /** Returns whether the worker should receive no new batch tasks. */
    boolean isClosedToBatch(Instant now) {
        return now.isBefore(closedUntil) || !throttled.isEmpty();
    }

    private Optional<Mitigation> recordAction(Optional<Mitigation> action, Instant now) {
        action.ifPresent(_ -> lastActionAt = now);
        return action;
    }

    private Optional<Mitigation> mitigate(
            WorkerUsageReport report, SensitivityModel sensitivity, boolean overBound, Instant now) {
        List<TaskLoad> preemptible =
                report.tasks().stream().filter(TaskLoad::preemptible).toList();
        // Without batch tasks the degradation has another cause. Closing the worker would keep batch tasks away for as
        // long as its latency varies.
        if (preemptible.isEmpty()) {
            return Optional.empty();
        }
        closedUntil = now.plus(CLOSED_DURATION);
        Optional<TaskLoad> worstTask = preemptible.stream()
                .filter(task -> !throttled.containsKey(task.task()))
                .max(Comparator.comparingDouble(task -> sensitivity.contribution(task, report.capacityMilliCores())));
        if (worstTask.isPresent()) {
            TaskLoad task = worstTask.get();
            throttled.put(task.task(), task.attempt());
            return Optional.of(new Mitigation.Throttle(
                    report.worker(), task.task(), task.attempt(), THROTTLE_PERCENT, latencyReason(report)));
        }
        if (!overBound) {
            return Optional.empty();
        }
        return preemptible.stream()
                .min(Comparator.comparingDouble(WorkerController::evictionCost))
                .map(task -> new Mitigation.Evict(report.worker(), task.task(), task.attempt(), latencyReason(report)));
    }

    private Optional<Mitigation> liftThrottle(WorkerUsageReport report, Instant now) {
        recoveredReports = 0;
        Optional<Map.Entry<TaskId, Attempt>> anyThrottled =
                throttled.entrySet().stream().findFirst();
        if (anyThrottled.isEmpty()) {
            return Optional.empty();
        }
        throttled.remove(anyThrottled.get().getKey());
        closedUntil = now.plus(CLOSED_DURATION);
        return Optional.of(new Mitigation.Throttle(
                report.worker(),
                anyThrottled.get().getKey(),
                anyThrottled.get().getValue(),
                UNLIMITED_PERCENT,
                "latency-calm"));
    }

    /** Estimates the cost of an eviction by the memory of the task, which approximates the size of its checkpoint. */
    private static double evictionCost(TaskLoad task) {
        return task.memoryMiB() * (task.progress() > NEARLY_DONE_PROGRESS ? 10 : 1);
    }

    private static String latencyReason(WorkerUsageReport report) {
        return "latency-" + report.latencyP99().toMillis() + "ms-of-"
                + report.latencyBound().toMillis() + "ms";
    }
}
