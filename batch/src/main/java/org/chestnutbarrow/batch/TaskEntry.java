package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Optional;

/** In-memory state of one task. Guarded by the lock of its {@link BatchScheduler}. */
final class TaskEntry {
    private static final int FULL_SPEED_PERCENT = 100;
    /** CPU limit below which a best-effort run is slow; others start at this limit or above. */
    private static final int SLOW_PERCENT = 80;
    /**
     * Back-off after the second failed start in a row of a long-running task, doubled with each further one. The first
     * one has none, because some starts fail by chance and the room of the task would be taken in the meantime.
     */
    private static final Duration INITIAL_BACK_OFF = Duration.ofMillis(250);
    /** Longest back-off; callers expect a long-running task to run within 6 s of the end of its last run. */
    private static final Duration MAX_BACK_OFF = Duration.ofSeconds(4);

    private static final int MAX_BACK_OFF_DOUBLINGS = 4;
    /** Progress of a long-running task that is at work. */
    static final int READY_PERCENT = 100;

    final JobEntry job;
    final TaskName name;
    final Step step;
    boolean done;
    int run;
    int failures;
    /** Latest run whose failure is counted or which an earlier owner has released. */
    int settledRun;

    /** Number of latest runs that failed one after the other before they were ready. */
    int failedStarts;

    /** Whether the task is not placed before {@link #backOffEndsAt}, because its last run failed at its start. */
    private boolean inBackOff;
    /** When the back-off ends, in ns. */
    private long backOffEndsAt;

    String checkpoint = "";
    /** Worker to which the latest run is assigned; null while the task waits. */
    WorkerNode assignedNode;

    /** Whether a stop of the latest run was ordered. */
    boolean stopOrdered;
    /** When a stop of the latest run was ordered last, in ns. */
    long stopOrderedAt;
    /** Whether the worker has confirmed or listed the latest run. */
    boolean confirmed;
    /** Whether the worker incarnation to which the latest run is assigned has listed it. */
    boolean listed;
    /**
     * Whether the worker incarnation has not reported since the run was assigned to it, although the run was ordered by
     * an earlier owner or for an earlier incarnation.
     */
    boolean inherited;

    /** When it became certain that no order to start the run is in flight, in ns; 0 while one may be. */
    long startSettledAt;

    /** When this owner placed the latest run, in ns; meaningless for runs that it has not started. */
    long placedAt;

    int progressPercent;
    int loadMetric;
    /** Baseline headroom of the latest run, if it is latency-critical. */
    BaselineHeadroom baseline = new BaselineHeadroom();

    long progressedAt;
    /** Worker on which the last run failed, if it did under this owner and no run has got ready since. */
    WorkerNode failedOn;
    /** Whether this owner has released the last run while its worker was listed and answered. */
    boolean endedInTouch;
    /** When a report listed the latest run last, in ns. */
    long listedAt;
    /**
     * Since when the task has waited for its next run; null while it is assigned or if it has waited since its step
     * became ready.
     */
    WaitStart waitStart;
    /** Since when the reported tail latency has exceeded its target, in ns; 0 while it does not. */
    long overTargetSince;
    /** Whether the latest run was started although no worker could run it at nearly full speed, see {@link SlowStarts}. */
    boolean slowStart;
    /** CPU limit of the latest run, in percent of its demand. */
    int cpuLimitPercent = FULL_SPEED_PERCENT;

    TaskEntry(JobEntry job, TaskName name, Step step) {
        this.job = job;
        this.name = name;
        this.step = step;
    }

    /** Assigns the task to a worker. */
    void assignTo(WorkerNode node) {
        inBackOff = false;
        if (assignedNode == null) {
            job.taskPlaced(this);
        }
        assignedNode = node;
        waitStart = null;
    }

    /** Records that the worker has listed the latest run. */
    void progressReported(WorkerReport.Running report) {
        confirmed = true;
        listed = true;
        progressPercent = report.progressPercent();
        loadMetric = report.loadMetric();
        if (isAtWork()) {
            failedStarts = 0;
            failedOn = null;
        }
    }

    /** Sets whether a stop of the latest run was ordered. */
    void setStopOrdered(boolean newValue) {
        if (stopOrdered != newValue) {
            stopOrdered = newValue;
            if (assignedNode != null) {
                assignedNode.stopOrderChanged(this);
            }
        }
    }

    /** Releases the task from its worker and resets the state of its run. */
    void release() {
        if (assignedNode != null) {
            assignedNode.remove(this);
            assignedNode = null;
            job.taskReleased(this);
        }
        stopOrdered = false;
        confirmed = false;
        listed = false;
        inherited = false;
        startSettledAt = 0;
        slowStart = false;
        cpuLimitPercent = FULL_SPEED_PERCENT;
        progressPercent = 0;
        loadMetric = 0;
        overTargetSince = 0;
        baseline = new BaselineHeadroom();
    }

    /** Begins the back-off that follows the number of failed starts, if any does. */
    void beginBackOff(long now) {
        if (failedStarts < 2) {
            return;
        }
        int doublings = Math.min(failedStarts - 2, MAX_BACK_OFF_DOUBLINGS);
        Duration backOff = INITIAL_BACK_OFF.multipliedBy(1L << doublings);
        backOffEndsAt = now + (backOff.compareTo(MAX_BACK_OFF) < 0 ? backOff : MAX_BACK_OFF).toNanos();
        inBackOff = true;
        job.backOffChanged(this);
    }

    /** Ends the back-off if its time has come. */
    void endBackOff(long now) {
        if (inBackOff && now - backOffEndsAt >= 0) {
            inBackOff = false;
            job.backOffChanged(this);
        }
    }

    boolean isInBackOff() {
        return inBackOff;
    }

    /** Returns whether the latest run is known to be ready and has not been stopped. */
    boolean isAtWork() {
        return assignedNode != null && !stopOrdered && confirmed && progressPercent >= READY_PERCENT;
    }

    /** Returns whether the latest run goes on until its job is cancelled. */
    boolean lasts() {
        return step.longRunning() && !stopOrdered;
    }

    /** Returns whether the latest run is a slow start or has a low CPU limit; changes only by way of its worker. */
    boolean isSlow() {
        return slowStart || cpuLimitPercent < SLOW_PERCENT;
    }

    /** Returns whether the task has a target for its tail latency. */
    boolean isLatencyCritical() {
        return step.behaviour().latencyTargetMs() > 0;
    }

    /** Returns the CPU that the task may use within its CPU limit, in millicores. */
    long limitedMilliCores() {
        return (long) step.demand().milliCores() * cpuLimitPercent / FULL_SPEED_PERCENT;
    }

    /** Returns the latency headroom: the latency target divided by the reported tail latency. */
    double headroom() {
        return (double) step.behaviour().latencyTargetMs() / loadMetric;
    }

    TaskRecord toRecord() {
        return new TaskRecord(
                done,
                run,
                failures,
                checkpoint,
                assignedNode == null
                        ? Optional.empty()
                        : Optional.of(new TaskRecord.WorkerIncarnation(assignedNode.id(), assignedNode.incarnation())),
                job.storedWaitStart(this));
    }
}
