package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
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
    private final Chooser chooser;
    private final TimeSource time;

    /** A job that may have a task to place, with its rank in the order of jobs, ms since 1970. */
    private record Candidate(JobEntry job, int priority, boolean late, long rank) implements Comparable<Candidate> {
        @Override
        public int compareTo(Candidate other) {
            if (priority != other.priority) {
                return Integer.compare(priority, other.priority);
            }
            return late == other.late ? Long.compare(rank, other.rank) : Boolean.compare(late, other.late);
        }
    }

    Placement(Ledger ledger, Chooser chooser, TimeSource time) {
        this.ledger = ledger;
        this.chooser = chooser;
        this.time = time;
    }

    /** Places what can be placed. */
    void place(long now) {
        for (Candidate candidate : candidates(now)) {
            JobEntry job = candidate.job();
            for (int s = 0; s < job.steps.size(); s++) {
                if (job.ready(s)) {
                    place(job, s, now);
                }
            }
        }
    }

    /** Jobs with a task that a worker may be able to take, the most urgent first. */
    private List<Candidate> candidates(long now) {
        long at = time.now().toEpochMilli();
        List<Candidate> candidates = new ArrayList<>();
        for (JobEntry job : ledger.waiting()) {
            if (mayPlace(job, now)) {
                long rank = job.dueMs + OPEN_TASK_DELAY.toMillis() * job.openTasks();
                candidates.add(new Candidate(job, job.policy.priority(), job.dueMs < at, rank));
            }
        }
        Collections.sort(candidates);
        return candidates;
    }

    private boolean mayPlace(JobEntry job, long now) {
        for (int s = 0; s < job.steps.size(); s++) {
            int first = job.waiting(s).nextSetBit(0);
            if (first >= 0 && job.ready(s) && chooser.possible(job.steps.get(s).get(first), now)) {
                return true;
            }
        }
        return false;
    }

    private void place(JobEntry job, int step, long now) {
        BitSet waiting = job.waiting(step);
        for (int i = waiting.nextSetBit(0); i >= 0; i = waiting.nextSetBit(i + 1)) {
            TaskEntry task = job.steps.get(step).get(i);
            WorkerNode node = chooser.choose(task, now);
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
        ledger.touch(job);
        String checkpoint = task.step.service().checkpoints() ? task.checkpoint : "";
        ledger.order(new Order.Start(task.name, task.run, node.id(), node.born(), job.spec.payload(), checkpoint));
        if (pace < FULL) {
            ledger.order(new Order.Pace(task.name, task.run, node.id(), node.born(), pace));
        }
    }
}
