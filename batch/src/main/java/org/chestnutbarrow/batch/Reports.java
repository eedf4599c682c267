package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Takes what workers report: runs, ends, and runs that are missing. Guarded by the lock of its {@link Cell}. */
final class Reports {
    /** A run whose progress stands still for this time is stopped; reports come at least every 600 ms. */
    private static final Duration STUCK = Duration.ofMillis(1800);
    /** A lasting task has this time from its start until it is at work. */
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    /** A stop takes up to 0.9 s; a run that is not listed this long after its last order is over. */
    private static final Duration SETTLE = Duration.ofMillis(1200);
    /** A worker lists at most this many ends at a time. */
    private static final int FULL_LIST = 500;

    private static final int AT_WORK = 100;

    private final Ledger ledger;

    Reports(Ledger ledger) {
        this.ledger = ledger;
    }

    /** Takes a report of the life {@code node} from a call that was sent at {@code sentAt}, ns. */
    void take(WorkerNode node, WorkerReport report, long sentAt, long now) {
        node.heard(now);
        for (WorkerReport.Ended end : report.ended()) {
            if (end.number() > node.processed) {
                ended(node, end, now);
                node.processed = end.number();
                ledger.processed(node);
            }
        }
        Set<TaskEntry> listed = new HashSet<>();
        for (WorkerReport.Running run : report.running()) {
            TaskEntry task = running(node, run, now);
            if (task != null) {
                listed.add(task);
            }
        }
        if (!node.held()) {
            settleInherited(node, listed);
            node.hold();
        }
        if (report.ended().size() < FULL_LIST) {
            settleMissing(node, listed, sentAt);
        }
    }

    /** The first answer under this owner's token is complete: what it does not list never started or was settled. */
    private void settleInherited(WorkerNode node, Set<TaskEntry> listed) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            if (task.inherited && !listed.contains(task)) {
                ledger.release(task);
            }
            task.inherited = false;
        }
    }

    private TaskEntry running(WorkerNode node, WorkerReport.Running run, long now) {
        TaskEntry task = ledger.task(run.task());
        if (task == null || task.on != node || task.run != run.run()) {
            if (task != null && !task.done && task.on == null && task.run == run.run()) {
                // A run that was given up and lives after all takes its place again.
                node.add(task);
                ledger.touch(task.job);
            } else {
                ledger.order(new Order.Stop(run.task(), run.run(), node.id(), node.born(), "unknown-run"));
                return null;
            }
        }
        ledger.begun(task.job);
        if (!task.seen || run.percent() != task.percent || task.pace < AT_WORK) {
            task.progressedAt = now;
        }
        task.seen = true;
        task.percent = run.percent();
        task.load = run.load();
        boolean over = task.serves() && task.load > task.step.service().targetMs();
        task.overSince = !over ? 0 : task.overSince == 0 ? now : task.overSince;
        if (task.job.state.isFinal()) {
            ledger.stop(task, "job-ended");
        } else if (!task.stopping && stuck(task, now)) {
            node.failed(now, task.name.job());
            ledger.stop(task, "stuck");
        }
        return task;
    }

    private static boolean stuck(TaskEntry task, long now) {
        Duration longest = task.step.lasting() ? WARM_UP : STUCK;
        return task.percent < AT_WORK && now - task.progressedAt > longest.toNanos();
    }

    private void ended(WorkerNode node, WorkerReport.Ended end, long now) {
        TaskEntry task = ledger.task(end.task());
        if (task != null) {
            ledger.begun(task.job);
        }
        if (task == null || task.run != end.run() || (task.on != null && task.on != node)) {
            if (task != null && end.how() == WorkerReport.EndKind.DONE && !task.done) {
                ledger.finish(task);
            }
            return;
        }
        if (task.done) {
            return;
        }
        boolean ownStop = task.stopping;
        ledger.release(task);
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
        }
        if (end.how() == WorkerReport.EndKind.DONE) {
            node.health.finished(now);
            if (!task.step.lasting()) {
                ledger.finish(task);
            }
        } else if (end.how() == WorkerReport.EndKind.FAILED) {
            failed(node, task, ownStop, now);
        }
    }

    private void failed(WorkerNode node, TaskEntry task, boolean ownStop, long now) {
        task.failures++;
        if (!ownStop) {
            node.failed(now, task.name.job());
        }
        int most = task.job.policy.maxAttempts();
        if (!task.step.lasting() && task.failures >= most && !task.job.state.isFinal()) {
            ledger.end(task.job, JobState.FAILED, "attempts");
        }
    }

    /** Frees runs that the worker does not list although no order for them is on its way. */
    private void settleMissing(WorkerNode node, Set<TaskEntry> listed, long sentAt) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            if (!listed.contains(task) && task.settledAt != 0 && sentAt - task.settledAt > SETTLE.toNanos()) {
                ledger.release(task);
            }
        }
    }
}
