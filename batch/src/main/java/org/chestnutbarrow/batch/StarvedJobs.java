package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the jobs that come before more urgent ones because they have waited long with nothing running although their
 * service has room. Without it, jobs beyond their deadline come after all others, so that under a backlog larger than
 * the starts of a plan they would wait for as long as younger jobs arrive. Also finds the best-effort tasks that have
 * waited long on such a service, for {@link SlowStarts}. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: at most a bounded share of the starts of a plan goes to one task of each such job and to slow starts.
 */
final class StarvedJobs {
    /**
     * Callers expect an accepted job to have a task at work within 3 s while its service is under half full; the rest
     * is for the next plan and the start.
     */
    static final Duration MAX_WAIT = Duration.ofSeconds(2);
    /** Share of the capacity of a service that must be free; a fuller service serves the jobs that can be on time. */
    private static final double MIN_FREE_SHARE = 0.5;
    /** Share of the starts of a plan; the rest goes to the most urgent jobs. */
    private static final int START_SHARE_DIVISOR = 4;

    private final JobTable jobTable;
    private final WorkerIndex index;

    /** A task and how long it has waited. */
    private record Wait(TaskEntry task, Duration waited) {}

    /** The best-effort tasks of a ready step that have waited long, in the order of their indexes. */
    static final class OverdueStep {
        private final JobEntry job;
        private final int step;
        private final TaskEntry first;
        private TaskEntry next;
        /** How long the first of the tasks has waited. */
        private final Duration waited;

        private OverdueStep(JobEntry job, int step, TaskEntry first, long now) {
            this.job = job;
            this.step = step;
            this.first = first;
            this.next = first;
            this.waited = job.waited(first, now);
        }

        JobEntry job() {
            return job;
        }

        /** Returns the first of the tasks. */
        TaskEntry first() {
            return first;
        }

        /** Returns and removes the next task, or null if there is none. */
        TaskEntry take(long now) {
            TaskEntry task = next;
            next = task == null ? null : job.nextWaiting(step, task.name.index() + 1, MAX_WAIT, now);
            return task;
        }
    }

    StarvedJobs(JobTable jobTable, WorkerIndex index) {
        this.jobTable = jobTable;
        this.index = index;
    }

    /** Returns how many of the starts of a plan may go to starved jobs. */
    static int startShare(int maxStarts) {
        return Math.max(1, maxStarts / START_SHARE_DIVISOR);
    }

    /** Returns one task of each starved job, those that have waited longest first. */
    List<TaskEntry> tasks(long now) {
        List<Wait> waits = new ArrayList<>();
        for (JobEntry job : jobTable.waitingJobs()) {
            TaskEntry task = hasRoom(job.policy.service()) ? job.longestWaiting(now) : null;
            // Long-running tasks claim room instead, see RoomClaims.
            if (task == null || task.step.longRunning()) {
                continue;
            }
            Duration waited = job.waited(task, now);
            if (waited.compareTo(MAX_WAIT) >= 0) {
                waits.add(new Wait(task, waited));
            }
        }
        waits.sort(Comparator.comparing(Wait::waited).reversed());
        return waits.stream().map(Wait::task).toList();
    }

    /** Returns the steps with best-effort tasks that have waited long, those with the longest wait first. */
    List<OverdueStep> overdueBestEffortSteps(long now) {
        List<OverdueStep> steps = new ArrayList<>();
        for (JobEntry job : jobTable.waitingJobs()) {
            for (int step = 0; step < job.tasksByStep.size(); step++) {
                Step.Behaviour behaviour = job.spec.steps().get(step).behaviour();
                if (behaviour.bestEffort() && !behaviour.longRunning() && hasRoom(job.policy.service())) {
                    TaskEntry first = job.nextWaiting(step, 0, MAX_WAIT, now);
                    if (first != null) {
                        steps.add(new OverdueStep(job, step, first, now));
                    }
                }
            }
        }
        steps.sort(Comparator.comparing((OverdueStep step) -> step.waited).reversed());
        return steps;
    }

    private boolean hasRoom(String service) {
        WorkerIndex.Pool pool = index.pool(service);
        return pool.freeMilliCores() > MIN_FREE_SHARE * pool.capacityMilliCores();
    }
}
