package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.model.JobId;

/**
 * Processes worker reports: progress of runs, ends of runs, and runs that are missing from them. Guarded by the lock of
 * its {@link BatchScheduler}.
 */
final class ReportProcessor {
    /** A run without progress for this time is stopped; reports arrive at least every 600 ms. */
    private static final Duration STUCK_TIMEOUT = Duration.ofMillis(1800);
    /**
     * Fraction of its estimated run time after which a run without progress is stopped if that is later. Progress is
     * reported in whole percent, and estimates are rough.
     */
    private static final int STUCK_ESTIMATE_PERCENT = 3;
    /** A report that is later than this after the interval of reports shows that the worker was silent. */
    private static final Duration MAX_REPORT_DELAY = Duration.ofMillis(400);
    /** Time within which a long-running task must become ready. */
    private static final Duration WARM_UP_TIMEOUT = Duration.ofSeconds(4);
    /** A run that is still not listed this long after its last order is over; a stop takes up to 0.9 s. */
    private static final Duration MISSING_RUN_TIMEOUT = Duration.ofMillis(1200);

    private final JobTable jobTable;
    private final WorkerIndex index;
    private final StalledRuns stalledRuns;
    private final IneffectiveEnds ineffectiveEnds;
    private final EarlyEnds earlyEnds = new EarlyEnds();

    ReportProcessor(JobTable jobTable, WorkerIndex index, StalledRuns stalledRuns, IneffectiveEnds ineffectiveEnds) {
        this.jobTable = jobTable;
        this.index = index;
        this.stalledRuns = stalledRuns;
        this.ineffectiveEnds = ineffectiveEnds;
    }

    /**
     * Processes a report of the worker {@code node}; {@code sentAt} is the time at which the request was sent, in ns.
     */
    void process(WorkerNode node, WorkerReport report, long sentAt, long now) {
        node.responded(now);
        EndList endList = EndList.of(report.ended());
        boolean allEndsListed = !endList.full();
        // A list need not be in the order of the numbers, in which the runs of a task have ended.
        report.ended().stream()
                .sorted(Comparator.comparingLong(WorkerReport.Ended::sequence))
                .forEach(end -> processOnce(node, end, now));
        acknowledge(node, endList, now);
        Set<TaskEntry> listed = new HashSet<>();
        for (WorkerReport.Running run : report.running()) {
            TaskEntry task = processRunning(node, run, now);
            if (task != null) {
                listed.add(task);
            }
        }
        if (!node.ownershipConfirmed()) {
            settleInherited(node, listed, allEndsListed, now);
            node.confirmOwnership();
        }
        releaseMissing(node, listed, allEndsListed, sentAt);
    }

    /** Processes the ends of a job's runs that were listed before the job was added. */
    void jobAdded(JobId job, long now) {
        for (EarlyEnds.EarlyEnd early : earlyEnds.take(job)) {
            // One that is acknowledged already was kept for this.
            processKnown(early.node(), early.end(), now);
        }
    }

    private void processOnce(WorkerNode node, WorkerReport.Ended end, long now) {
        if (node.ends.isProcessed(end.sequence())) {
            return;
        }
        JobId job = end.task().job();
        if (jobTable.job(job) != null || jobTable.hasEnded(job)) {
            processKnown(node, end, now);
        } else if (node.ends.withheldFor(end.sequence()).isEmpty()) {
            node.ends.withhold(end, IneffectiveEnd.Reason.UNKNOWN_JOB, now);
            earlyEnds.add(node, end);
        }
    }

    /** Processes an end of a known job, and withholds it as long as the progress of the job is not stored. */
    private void processKnown(WorkerNode node, WorkerReport.Ended end, long now) {
        JobEntry job = jobTable.job(end.task().job());
        boolean processedBefore = node.ends
                .withheldFor(end.sequence())
                .filter(reason -> reason == IneffectiveEnd.Reason.PARTLY_RESTORED)
                .isPresent();
        if (job != null && !processedBefore) {
            processEnded(node, end, now);
        }
        if (job != null && job.hasUnknownRuns()) {
            node.ends.withhold(end, IneffectiveEnd.Reason.PARTLY_RESTORED, now);
        } else {
            node.ends.markProcessed(end.sequence(), now);
        }
    }

    /** Lets the ends of a worker be acknowledged that have had their effect or have been withheld for too long. */
    private void acknowledge(WorkerNode node, EndList endList, long now) {
        long before = node.ends.acknowledgeable();
        node.ends.giveUpOverdue(now).forEach(withheld -> recordGivenUp(node, withheld));
        node.ends.advance(endList, now).forEach(gap -> ineffectiveEnds.record(node, gap));
        node.ends.giveUpBlocking(endList, now).ifPresent(withheld -> recordGivenUp(node, withheld));
        if (node.ends.acknowledgeable() > before) {
            jobTable.markProcessed(node);
        }
    }

    private void recordGivenUp(WorkerNode node, EndNumbers.Withheld withheld) {
        ineffectiveEnds.record(node, withheld.end(), withheld.reason());
    }

    /**
     * Returns whether a run that its worker may list is over, and its end was processed if its result matters. A report
     * lists all current runs. The end of a run that it does not list may be among the ends that it leaves out; a
     * long-running task does not wait for it, because it has no result and must run again soon.
     */
    private static boolean isOver(TaskEntry task, Set<TaskEntry> listed, boolean allEndsListed) {
        return !listed.contains(task) && (allEndsListed || task.step.longRunning());
    }

    /**
     * Releases the inherited runs that are over by the first report and keeps the others. If such a report lists all
     * ends, a run that it does not list was never started here or has already been settled.
     */
    private void settleInherited(WorkerNode node, Set<TaskEntry> listed, boolean allEndsListed, long now) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            if (task.inherited && isOver(task, listed, allEndsListed)) {
                jobTable.release(task);
            } else if (task.inherited) {
                task.inherited = false;
                task.startSettledAt = Math.max(1, now);
                node.runInherited(task, now);
            }
        }
    }

    private TaskEntry processRunning(WorkerNode node, WorkerReport.Running run, long now) {
        TaskEntry task = jobTable.task(run.task());
        if (task == null || task.assignedNode != node || task.run != run.run()) {
            if (task != null && !task.done && task.assignedNode == null && task.run == run.run()) {
                // A run that was presumed lost is still alive and is reassigned to its worker.
                node.add(task);
                task.startSettledAt = Math.max(1, now);
                node.runInherited(task, now);
                jobTable.markChanged(task.job);
            } else if (task != null && task.job.hasUnknownRuns()) {
                return null;
            } else {
                jobTable.addOrder(new Order.Stop(run.task(), run.run(), node.id(), node.incarnation(), "unknown-run"));
                return null;
            }
        }
        jobTable.markRunning(task.job);
        if (!task.confirmed) {
            task.progressedAt = now - stalledRuns.takeEarlier(node, run).toNanos();
        } else if (run.progressPercent() != task.progressPercent || task.cpuLimitPercent < TaskEntry.READY_PERCENT) {
            task.progressedAt = now;
        } else {
            task.progressedAt += silence(task, now);
        }
        recordProgress(node, task, run, now);
        task.listedAt = now;
        boolean overTarget = task.isLatencyCritical()
                && task.loadMetric > task.step.behaviour().latencyTargetMs();
        task.overTargetSince = !overTarget ? 0 : task.overTargetSince == 0 ? now : task.overTargetSince;
        if (task.job.state.isFinal()) {
            jobTable.stop(task, "job-ended");
        } else if (task.done) {
            jobTable.stop(task, "finished-elsewhere");
        } else if (task.stopOrdered) {
            jobTable.stop(task, "still-running");
        } else if (isStuck(task, now)) {
            stopStuck(node, task, now);
        }
        return task;
    }

    private void stopStuck(WorkerNode node, TaskEntry task, long now) {
        // A slow start may get no CPU, which is not a fault of its worker.
        if (!task.slowStart) {
            node.recordFailure(now, task.job);
        }
        jobTable.stop(task, "stuck");
    }

    /** Records the progress of a run; a long-running task that gets ready under this owner counts as a success. */
    private static void recordProgress(WorkerNode node, TaskEntry task, WorkerReport.Running run, long now) {
        boolean wasAtWork = task.isAtWork();
        task.progressReported(run);
        node.runListed(task, now);
        if (task.step.longRunning() && !wasAtWork && task.isAtWork() && !task.inherited) {
            node.recordSuccess(now, task.job);
        }
    }

    /**
     * Returns for how long, in ns, the worker of a run was silent before a report. A worker that was paused makes no
     * progress in that time, so that it does not count as time without progress.
     */
    private long silence(TaskEntry task, long now) {
        long sinceProgress = now - task.progressedAt;
        long sinceReport = task.listed ? Math.min(sinceProgress, now - task.listedAt) : sinceProgress;
        return Math.max(
                0, sinceReport - index.reportInterval().plus(MAX_REPORT_DELAY).toNanos());
    }

    private static boolean isStuck(TaskEntry task, long now) {
        return task.progressPercent < TaskEntry.READY_PERCENT
                && now - task.progressedAt > stuckTimeout(task.step).toNanos() / expectedSpeed(task);
    }

    /** Returns the speed to which the time without progress of a run is related; other runs have the CPU they need. */
    private static double expectedSpeed(TaskEntry task) {
        return task.slowStart ? Math.max(SlowStarts.FLOOR_SHARE, task.assignedNode.bestEffortSpeed(0)) : 1;
    }

    private static Duration stuckTimeout(Step step) {
        if (step.longRunning()) {
            return WARM_UP_TIMEOUT;
        }
        Duration byEstimate =
                step.estimate().multipliedBy(STUCK_ESTIMATE_PERCENT).dividedBy(TaskEntry.READY_PERCENT);
        return byEstimate.compareTo(STUCK_TIMEOUT) > 0 ? byEstimate : STUCK_TIMEOUT;
    }

    private void processEnded(WorkerNode node, WorkerReport.Ended end, long now) {
        TaskEntry task = jobTable.task(end.task());
        if (task == null) {
            ineffectiveEnds.record(node, end, IneffectiveEnd.Reason.UNKNOWN_TASK);
            return;
        }
        jobTable.markRunning(task.job);
        if (task.run != end.run() || (task.assignedNode != null && task.assignedNode != node)) {
            // A long-running task has no result, so the end of an earlier run says nothing about the latest one.
            if (end.kind() == WorkerReport.EndKind.DONE && !task.done && !task.step.longRunning()) {
                jobTable.finishTask(task);
            } else if (end.kind() == WorkerReport.EndKind.FAILED && !task.done) {
                ineffectiveEnds.record(node, end, IneffectiveEnd.Reason.OTHER_RUN);
            }
            return;
        }
        if (task.done) {
            return;
        }
        boolean stopOrdered = task.stopOrdered;
        boolean wasAtWork = task.isAtWork();
        boolean inherited = task.inherited;
        jobTable.release(task);
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
        }
        if (end.kind() == WorkerReport.EndKind.DONE) {
            node.recordSuccess(now, task.job);
            if (!task.step.longRunning()) {
                jobTable.finishTask(task);
            }
        } else if (end.kind() == WorkerReport.EndKind.FAILED) {
            processFailed(node, task, stopOrdered, wasAtWork, inherited, now);
        }
    }

    private void processFailed(
            WorkerNode node, TaskEntry task, boolean stopOrdered, boolean wasAtWork, boolean inherited, long now) {
        // A worker lists an end until it is acknowledged, so that the end may have been counted by an earlier owner.
        if (task.run <= task.settledRun) {
            return;
        }
        task.settledRun = task.run;
        task.failures++;
        if (!stopOrdered) {
            node.recordFailure(now, task.job);
            task.failedOn = node;
            task.failedStarts += wasAtWork ? 0 : 1;
            // Under an earlier owner, an inherited run may have been ready.
            if (task.step.longRunning() && !wasAtWork && !inherited) {
                jobTable.backOff(task);
            }
        }
        // Only failed runs count towards the limit; interrupted or lost runs do not.
        int maxAttempts = task.job.policy.maxAttempts();
        if (!task.step.longRunning() && task.failures >= maxAttempts && !task.job.state.isFinal()) {
            jobTable.endJob(task.job, JobState.FAILED, "attempts");
        }
    }

    /** Releases runs that are over although no end of them was listed and no order for them is in flight. */
    private void releaseMissing(WorkerNode node, Set<TaskEntry> listed, boolean allEndsListed, long sentAt) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            if (isOver(task, listed, allEndsListed)
                    && task.startSettledAt != 0
                    && sentAt - task.startSettledAt > MISSING_RUN_TIMEOUT.toNanos()) {
                jobTable.release(task);
            }
        }
    }
}
