package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.TimeSource;

/** Gives waiting tasks to workers, the most urgent jobs first. Guarded by the lock of its {@link Cell}. */
final class Placement {
    private static final int FULL = 100;
    /**
     * Delay in the order of jobs for each unfinished task, so that under overload small jobs are completed rather than
     * all jobs begun.
     */
    private static final Duration OPEN_TASK_DELAY = Duration.ofMillis(400);

    private final Ledger ledger;
    private final Fleet fleet;
    private final Chooser chooser;
    private final TimeSource time;
    private Set<AvailabilityZone> out = Set.of();

    Placement(Ledger ledger, Fleet fleet, Chooser chooser, TimeSource time) {
        this.ledger = ledger;
        this.fleet = fleet;
        this.chooser = chooser;
        this.time = time;
    }

    void zonesOut(Set<AvailabilityZone> zones) {
        out = Set.copyOf(zones);
    }

    /** Whether a worker that was chosen may still be given a task. */
    boolean open(WorkerNode node) {
        return node.listed && !node.leaving && !out.contains(node.entry.zone());
    }

    /** Places what can be placed. */
    void place(long now) {
        chooser.begin(fleet.all());
        for (JobEntry job : waiting()) {
            for (int s = 0; s < job.steps.size(); s++) {
                if (job.ready(s)) {
                    place(job, job.steps.get(s), now);
                }
            }
        }
    }

    private List<JobEntry> waiting() {
        Instant at = time.now();
        List<JobEntry> waiting = new ArrayList<>();
        for (JobEntry job : ledger.jobs()) {
            if (!job.state.isFinal() && job.waits()) {
                job.due = job.spec.due(ledger.queue(job));
                job.late = job.due.isBefore(at);
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.<JobEntry>comparingInt(job -> ledger.queue(job).priority())
                .thenComparing(job -> job.late)
                .thenComparing(job -> job.due.plus(OPEN_TASK_DELAY.multipliedBy(job.openTasks()))));
        return waiting;
    }

    private void place(JobEntry job, List<TaskEntry> tasks, long now) {
        String service = ledger.queue(job).service();
        for (TaskEntry task : tasks) {
            if (!task.waiting()) {
                continue;
            }
            WorkerNode node = chooser.choose(task, service, fleet.all(), out, now);
            if (node == null) {
                return;
            }
            start(job, task, node, now);
        }
    }

    private void start(JobEntry job, TaskEntry task, WorkerNode node, long now) {
        task.run++;
        task.progressedAt = now;
        int pace = chooser.pace(task, node);
        task.pace = pace;
        node.add(task);
        chooser.taken(task.step.charge());
        if (job.state == JobState.QUEUED) {
            job.move(JobState.RUNNING, time.now());
        }
        ledger.touch(job);
        String checkpoint = task.step.service().checkpoints() ? task.checkpoint : "";
        ledger.order(new Order.Start(task.name, task.run, node.id(), node.born(), job.spec.payload(), checkpoint));
        if (pace < FULL) {
            ledger.order(new Order.Pace(task.name, task.run, node.id(), node.born(), pace));
        }
    }

    /** Whether a worker other than the one where it runs could take a task. */
    boolean fitsElsewhere(TaskEntry task, long now) {
        List<WorkerNode> others = new ArrayList<>(fleet.all());
        others.remove(task.on);
        return chooser.choose(task, ledger.queue(task.job).service(), others, out, now) != null;
    }
}
