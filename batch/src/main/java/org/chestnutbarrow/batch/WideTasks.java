package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.model.TimeSource;

/**
 * Finds waiting tasks that need a large part of a worker. On a full service the ends of small tasks free small pieces of
 * room, each of which the next small task takes, so that a wide task would wait for as long as small ones arrive.
 * {@link RoomClaims} keeps for them the room of one worker, the one that is expected to have it first by the progress and
 * the estimates of what runs there. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: tasks of a smaller part of a worker, best-effort tasks and long-running ones are never returned, so that
 * services without wide tasks are not affected.
 */
final class WideTasks {
    /**
     * A task is wide if it needs more than one part in so many of an average worker. Smaller ones fit once two or three
     * others on one worker have ended.
     */
    private static final int WIDE_DIVISOR = 3;
    /** A task that has waited for less may be placed by the next plans without a claim. */
    private static final Duration MIN_WAIT = Duration.ofMillis(250);

    private final JobTable jobTable;
    private final WorkerIndex index;
    private final TimeSource time;

    WideTasks(JobTable jobTable, WorkerIndex index, TimeSource time) {
        this.jobTable = jobTable;
        this.index = index;
        this.time = time;
    }

    /** Returns whether the tasks of a step are wide if they need enough of a worker. */
    static boolean mayBeWide(Step step) {
        return !step.longRunning() && !step.behaviour().bestEffort();
    }

    /** Returns whether a task ends by itself and takes room that a wide one could use with other such room. */
    boolean isNarrow(TaskEntry task) {
        return mayBeWide(task.step) && !isWide(task.job, task.name.step());
    }

    /** Returns the wide tasks of some services that wait, those of the most urgent jobs first. */
    List<TaskEntry> waiting(Set<String> services, long now) {
        List<TaskEntry> tasks = new ArrayList<>();
        if (services.isEmpty()) {
            return tasks;
        }
        for (JobEntry job : jobTable.waitingJobs()) {
            if (!services.contains(job.policy.service())) {
                continue;
            }
            for (int step = 0; step < job.tasksByStep.size(); step++) {
                if (isWide(job, step) && job.isReady(step)) {
                    addWaiting(job, step, now, tasks);
                }
            }
        }
        long nowMs = time.now().toEpochMilli();
        tasks.sort(Comparator.comparingInt((TaskEntry task) -> task.job.policy.priority())
                .thenComparing(task -> task.job.deadlineMs < nowMs)
                .thenComparing(task -> task.job.deadlineMs));
        return tasks;
    }

    private boolean isWide(JobEntry job, int stepIndex) {
        Step step = job.spec.steps().get(stepIndex);
        WorkerIndex.Pool pool = index.pool(job.policy.service());
        return mayBeWide(step)
                && (long) WIDE_DIVISOR * step.demand().milliCores() * pool.all().size() > pool.capacityMilliCores();
    }

    private static void addWaiting(JobEntry job, int step, long now, List<TaskEntry> tasks) {
        BitSet waiting = job.waitingTaskIndexes(step);
        for (int i = waiting.nextSetBit(0); i >= 0; i = waiting.nextSetBit(i + 1)) {
            TaskEntry task = job.tasksByStep.get(step).get(i);
            if (job.waited(task, now).compareTo(MIN_WAIT) >= 0) {
                tasks.add(task);
            }
        }
    }
}
