package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The time without progress that earlier owners have observed for runs that this owner has not seen yet. Guarded by the
 * lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: the time counts only if the first report to this owner lists the run with the same progress, so that no
 * run is taken for stuck because its worker was silent or the owner changed.
 */
final class StalledRuns {
    /** Bounds the stored record to a few KB; the runs without progress for longest come first. */
    private static final int MAX_RECORDS = 256;

    private final Map<TaskName, StalledRun> restored = new HashMap<>();

    void restore(List<StalledRun> runs) {
        runs.forEach(run -> restored.put(run.task(), run));
    }

    /** Takes the time without progress before the first report of a run; zero if there is none. */
    Duration takeEarlier(WorkerNode node, WorkerReport.Running run) {
        StalledRun earlier = restored.remove(run.task());
        return earlier != null
                        && earlier.run() == run.run()
                        && earlier.incarnation() == node.incarnation()
                        && earlier.progressPercent() == run.progressPercent()
                ? earlier.observed()
                : Duration.ZERO;
    }

    /** Returns the runs on {@code nodes} for the next owner. */
    List<StalledRun> records(Collection<WorkerNode> nodes) {
        return nodes.stream()
                .flatMap(node -> node.tasks.stream().flatMap(task -> toRecord(node, task).stream()))
                .sorted(Comparator.comparing(StalledRun::observed).reversed())
                .limit(MAX_RECORDS)
                .toList();
    }

    private Optional<StalledRun> toRecord(WorkerNode node, TaskEntry task) {
        // The next owner does not know CPU limits, with which best-effort tasks may stand still.
        if (task.step.behaviour().bestEffort()) {
            return Optional.empty();
        }
        if (!task.confirmed) {
            return Optional.ofNullable(restored.get(task.name))
                    .filter(run -> run.run() == task.run && run.incarnation() == node.incarnation());
        }
        Duration observed = Duration.ofNanos(task.listedAt - task.progressedAt);
        return task.listed && task.progressPercent < TaskEntry.READY_PERCENT && observed.isPositive()
                ? Optional.of(new StalledRun(task.name, task.run, node.incarnation(), task.progressPercent, observed))
                : Optional.empty();
    }
}
