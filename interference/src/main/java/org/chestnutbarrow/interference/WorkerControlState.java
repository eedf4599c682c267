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
 * What was done on one worker and what follows from its next report. Not safe for use by several threads; guarded by its
 * shard's lock.
 *
 * <p>Invariant: after an action, nothing is done before a report that was measured after it.
 */
final class WorkerControlState {
    /** Share of the latency bound from which on a worker counts as disturbed. */
    private static final double BOUND_SHARE = 0.8;

    /** Latency over the undisturbed one from which on a worker counts as disturbed. */
    private static final double MAX_RATIO = 1.2;

    /** Below this ratio limits are lifted again; the gap keeps tasks from being throttled in turn. */
    private static final double CALM_RATIO = 1.1;

    private static final int THROTTLE_PERCENT = 30;
    private static final int FULL_PERCENT = 100;
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(500);
    private static final Duration CLOSED_TIME = Duration.ofSeconds(20);
    private static final int CALM_REPORTS = 5;

    /** Evicting a task that is nearly done costs more than letting it end. */
    private static final double NEARLY_DONE = 0.9;

    private final Map<TaskId, Attempt> throttled = new HashMap<>();
    private Instant actedAt = Instant.MIN;
    private Instant closedUntil = Instant.MIN;
    private int calm;

    /** Decides on a report; {@code now} is this daemon's wall clock. */
    Optional<Action> decide(WorkerReport report, Sensitivity sensitivity, Instant now) {
        throttled
                .keySet()
                .removeIf(task ->
                        report.tasks().stream().noneMatch(load -> load.task().equals(task)));
        if (!actedAt.equals(Instant.MIN) && !report.asOf().isAfter(actedAt.plus(CLOCK_MARGIN))) {
            return Optional.empty();
        }
        boolean served = !report.latency().isZero();
        double ratio = served ? sensitivity.ratio(report).orElse(0.0) : 0;
        boolean overBound =
                report.latency().toNanos() > BOUND_SHARE * report.bound().toNanos();
        if (served && (overBound || ratio > MAX_RATIO)) {
            calm = 0;
            return acted(relieve(report, sensitivity, overBound, now), now);
        }
        calm = ratio < CALM_RATIO ? calm + 1 : 0;
        return calm >= CALM_REPORTS ? acted(relax(report, now), now) : Optional.empty();
    }

    /** Whether new batch tasks should stay away from the worker. */
    boolean closed(Instant now) {
        return now.isBefore(closedUntil) || !throttled.isEmpty();
    }

    private Optional<Action> acted(Optional<Action> action, Instant now) {
        action.ifPresent(_ -> actedAt = now);
        return action;
    }

    private Optional<Action> relieve(WorkerReport report, Sensitivity sensitivity, boolean overBound, Instant now) {
        List<TaskLoad> movable =
                report.tasks().stream().filter(TaskLoad::movable).toList();
        // Without batch tasks the disturbance has another cause. Closing the worker would keep it closed for as long as
        // its latency varies, and no batch task would start there again.
        if (movable.isEmpty()) {
            return Optional.empty();
        }
        closedUntil = now.plus(CLOSED_TIME);
        Optional<TaskLoad> worst = movable.stream()
                .filter(task -> !throttled.containsKey(task.task()))
                .max(Comparator.comparingDouble(task -> sensitivity.contribution(task, report.capacityMilliCores())));
        if (worst.isPresent()) {
            TaskLoad task = worst.get();
            throttled.put(task.task(), task.attempt());
            return Optional.of(
                    new Action.Throttle(report.worker(), task.task(), task.attempt(), THROTTLE_PERCENT, why(report)));
        }
        if (!overBound) {
            return Optional.empty();
        }
        return movable.stream()
                .min(Comparator.comparingDouble(WorkerControlState::moveCost))
                .map(task -> new Action.Evict(report.worker(), task.task(), task.attempt(), why(report)));
    }

    private Optional<Action> relax(WorkerReport report, Instant now) {
        calm = 0;
        Optional<Map.Entry<TaskId, Attempt>> any = throttled.entrySet().stream().findFirst();
        if (any.isEmpty()) {
            return Optional.empty();
        }
        throttled.remove(any.get().getKey());
        closedUntil = now.plus(CLOSED_TIME);
        return Optional.of(new Action.Throttle(
                report.worker(), any.get().getKey(), any.get().getValue(), FULL_PERCENT, "latency-calm"));
    }

    /** Memory stands for the size of the checkpoint that is moved. */
    private static double moveCost(TaskLoad task) {
        return task.memoryMiB() * (task.progress() > NEARLY_DONE ? 10 : 1);
    }

    private static String why(WorkerReport report) {
        return "latency-" + report.latency().toMillis() + "ms-of-"
                + report.bound().toMillis() + "ms";
    }
}
