package org.chestnutbarrow.batch;

import java.time.Duration;

/**
 * Decides which runs are stopped and started again on another worker because they are several times slower than the
 * other tasks of their step. Answers loads in which a few runs in a hundred take many times as long as the others, so
 * that a job of many tasks nearly always waits for one of them. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: a task is started again for this reason at most once under one owner, and at most one run in twenty is.
 */
final class SlowRuns {
    /** Run times of other tasks of the step that are needed for a comparison. */
    private static final int MIN_RUN_TIMES = 2;
    /** The remaining time, in medians of the step, beyond which another run ends sooner even if it is slow to start. */
    private static final int MIN_REMAINING_MEDIANS = 2;
    /** Time to stop a run, to place the task again and to start it. */
    private static final Duration RESTART_TIME = Duration.ofMillis(500);
    /** Progress counts from so much more than a median on, since runs need some time to begin their work. */
    private static final Duration BEGIN_TIME = Duration.ofMillis(250);
    /** Share of the CPU of the service that must be free, so that the task does not wait after its stop. */
    private static final double MIN_FREE_SHARE = 0.05;
    /** Number of finished runs for each one that is started again, and those at first. */
    private static final int RUNS_PER_RESTART = 20;

    private static final int INITIAL_RESTARTS = 5;
    private static final int FINISHED_PERCENT = 100;

    private final WorkerIndex index;
    private long finishedRuns;
    private long restarts;

    SlowRuns(WorkerIndex index) {
        this.index = index;
    }

    /** Records a run that has ended well. */
    void runFinished(TaskEntry task, long now) {
        finishedRuns++;
        if (task.startSettledAt != 0 && isComparable(task)) {
            task.job.runTimes(task.name.step()).add(Duration.ofNanos(now - task.startSettledAt));
        }
    }

    /** Returns whether a listed run should be stopped so that its task runs elsewhere, and counts it. */
    boolean takeRestart(TaskEntry task, long now) {
        if (!isComparable(task)
                || task.restartedAsSlow
                || task.startSettledAt == 0
                || restarts >= INITIAL_RESTARTS + finishedRuns / RUNS_PER_RESTART
                || !isSlow(task, now)
                || !hasRoom(task)) {
            return false;
        }
        restarts++;
        task.restartedAsSlow = true;
        return true;
    }

    /** Best-effort tasks run at the speed that others leave them, and long-running ones do not end. */
    private static boolean isComparable(TaskEntry task) {
        return !task.step.longRunning() && !task.step.behaviour().bestEffort();
    }

    private static boolean isSlow(TaskEntry task, long now) {
        RunTimes runTimes = task.job.runTimes(task.name.step());
        if (runTimes.count() < MIN_RUN_TIMES) {
            return false;
        }
        Duration median = runTimes.median();
        Duration elapsed = Duration.ofNanos(now - task.startSettledAt);
        int percent = Math.clamp(task.progressPercent, 1, FINISHED_PERCENT);
        Duration remaining = elapsed.multipliedBy(FINISHED_PERCENT - percent).dividedBy(percent);
        return elapsed.compareTo(median.plus(BEGIN_TIME)) > 0
                && remaining.compareTo(
                                median.multipliedBy(MIN_REMAINING_MEDIANS).plus(RESTART_TIME))
                        > 0;
    }

    private boolean hasRoom(TaskEntry task) {
        WorkerIndex.Pool pool = index.pool(task.job.policy.service());
        return pool.freeMilliCores() > MIN_FREE_SHARE * pool.capacityMilliCores();
    }
}
