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
 * What was done on one worker and what follows from its next report. Not safe for use by several threads; guarded by
 * its shard's lock.
 *
 * <p>Invariant: after an action, nothing is done before a report that was measured after it.
 */
final class WorkerController {
    /** Share of the latency bound from which on a worker counts as disturbed. */
    private static final double DISTURBED_BOUND_SHARE = 0.8;

    /** Latency over the undisturbed one from which on a worker counts as disturbed. */
    private static final double DISTURBED_RATIO = 1.2;

    /** Below this ratio limits are lifted again; the gap keeps tasks from being throttled in turn. */
    private static final double CALM_RATIO = 1.1;

    private static final int THROTTLE_PERCENT = 30;
    private static final int UNLIMITED_PERCENT = 100;
    private static final Duration CLOCK_SKEW_MARGIN = Duration.ofMillis(500);
    private static final Duration CLOSED_DURATION = Duration.ofSeconds(20);
    private static final int CALM_REPORTS_BEFORE_LIFT = 5;

    /** Evicting a task that is nearly done costs more than letting it end. */
    private static final double NEARLY_DONE_PROGRESS = 0.9;

    private final Map<TaskId, Attempt> throttled = new HashMap<>();
    private Instant lastActionAt = Instant.MIN;
    private Instant closedUntil = Instant.MIN;
    private int calmReports;

    /** Decides on a report; {@code now} is this daemon's wall clock. */
    Optional<Mitigation> decide(WorkerReport report, SensitivityModel sensitivity, Instant now) {
        throttled
                .keySet()
                .removeIf(task ->
                        report.tasks().stream().noneMatch(load -> load.task().equals(task)));
        if (!lastActionAt.equals(Instant.MIN) && !report.measuredAt().isAfter(lastActionAt.plus(CLOCK_SKEW_MARGIN))) {
            return Optional.empty();
        }
        boolean served = !report.latencyP99().isZero();
        double ratio = served ? sensitivity.latencyRatio(report).orElse(0.0) : 0;
        boolean overBound = report.latencyP99().toNanos()
                > DISTURBED_BOUND_SHARE * report.latencyBound().toNanos();
        if (served && (overBound || ratio > DISTURBED_RATIO)) {
            calmReports = 0;
            return recordAction(mitigate(report, sensitivity, overBound, now), now);
        }
        calmReports = ratio < CALM_RATIO ? calmReports + 1 : 0;
        return calmReports >= CALM_REPORTS_BEFORE_LIFT
                ? recordAction(liftThrottle(report, now), now)
                : Optional.empty();
    }

    /** Whether new batch tasks should stay away from the worker. */
    boolean isClosedToBatch(Instant now) {
        return now.isBefore(closedUntil) || !throttled.isEmpty();
    }

    private Optional<Mitigation> recordAction(Optional<Mitigation> action, Instant now) {
        action.ifPresent(_ -> lastActionAt = now);
        return action;
    }

    private Optional<Mitigation> mitigate(
            WorkerReport report, SensitivityModel sensitivity, boolean overBound, Instant now) {
        List<TaskLoad> movable =
                report.tasks().stream().filter(TaskLoad::preemptible).toList();
        // Without batch tasks the disturbance has another cause. Closing the worker would keep it closed for as long as
        // its latency varies, and no batch task would start there again.
        if (movable.isEmpty()) {
            return Optional.empty();
        }
        closedUntil = now.plus(CLOSED_DURATION);
        Optional<TaskLoad> worst = movable.stream()
                .filter(task -> !throttled.containsKey(task.task()))
                .max(Comparator.comparingDouble(task -> sensitivity.contribution(task, report.capacityMilliCores())));
        if (worst.isPresent()) {
            TaskLoad task = worst.get();
            throttled.put(task.task(), task.attempt());
            return Optional.of(new Mitigation.Throttle(
                    report.worker(), task.task(), task.attempt(), THROTTLE_PERCENT, latencyReason(report)));
        }
        if (!overBound) {
            return Optional.empty();
        }
        return movable.stream()
                .min(Comparator.comparingDouble(WorkerController::evictionCost))
                .map(task -> new Mitigation.Evict(report.worker(), task.task(), task.attempt(), latencyReason(report)));
    }

    private Optional<Mitigation> liftThrottle(WorkerReport report, Instant now) {
        calmReports = 0;
        Optional<Map.Entry<TaskId, Attempt>> any = throttled.entrySet().stream().findFirst();
        if (any.isEmpty()) {
            return Optional.empty();
        }
        throttled.remove(any.get().getKey());
        closedUntil = now.plus(CLOSED_DURATION);
        return Optional.of(new Mitigation.Throttle(
                report.worker(), any.get().getKey(), any.get().getValue(), UNLIMITED_PERCENT, "latency-calm"));
    }

    /** Memory stands for the size of the checkpoint that is moved. */
    private static double evictionCost(TaskLoad task) {
        return task.memoryMiB() * (task.progress() > NEARLY_DONE_PROGRESS ? 10 : 1);
    }

    private static String latencyReason(WorkerReport report) {
        return "latency-" + report.latencyP99().toMillis() + "ms-of-"
                + report.latencyBound().toMillis() + "ms";
    }
}
