package org.chestnutbarrow.batch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Set;

/**
 * One job in memory. Guarded by the lock of its {@link Cell}.
 *
 * <p>Invariant: it is a member of the set of waiting jobs as long as it has not ended and one of its tasks has neither
 * finished nor been placed.
 */
final class JobEntry {
    final JobSpec spec;
    final List<List<TaskEntry>> steps = new ArrayList<>();
    JobState state = JobState.QUEUED;
    Instant changed = Instant.EPOCH;
    /** The policy in force. */
    Queue policy;
    /** When it should be complete under the policy in force, ms since 1970. */
    long dueMs;

    private final Set<JobEntry> waitingJobs;
    private final int[] open;
    private final List<BitSet> waiting = new ArrayList<>();
    private int openTasks;
    private int waitingTasks;
    private int placedTasks;
    /** The classes of each step: the usual one, and the one that requires room for two. */
    private final DemandClass[][] demands;

    /** Creates a job that waits, and adds it to {@code waitingJobs}. */
    JobEntry(JobSpec spec, Queue policy, Set<JobEntry> waitingJobs) {
        this.spec = spec;
        this.waitingJobs = waitingJobs;
        open = new int[spec.steps().size()];
        demands = new DemandClass[spec.steps().size()][2];
        for (int s = 0; s < spec.steps().size(); s++) {
            Step step = spec.steps().get(s);
            List<TaskEntry> tasks = new ArrayList<>(step.count());
            for (int i = 0; i < step.count(); i++) {
                tasks.add(new TaskEntry(this, new TaskName(spec.id(), s, i), step));
            }
            steps.add(tasks);
            open[s] = step.count();
            BitSet all = new BitSet(step.count());
            all.set(0, step.count());
            waiting.add(all);
            openTasks += step.count();
        }
        waitingTasks = openTasks;
        waitingJobs.add(this);
        policy(policy);
    }

    /** Sets the policy in force. */
    void policy(Queue inForce) {
        policy = inForce;
        dueMs = spec.due(inForce).toEpochMilli();
        for (DemandClass[] ofStep : demands) {
            Arrays.fill(ofStep, null);
        }
    }

    /** The class of a step's tasks, or null if it is not known; {@code twice} for the one that requires room for two. */
    DemandClass demand(int step, boolean twice) {
        return demands[step][twice ? 1 : 0];
    }

    void demand(int step, boolean twice, DemandClass demand) {
        demands[step][twice ? 1 : 0] = demand;
    }

    /** Whether all tasks of the steps before this one have finished. */
    boolean ready(int step) {
        for (int before : spec.steps().get(step).after()) {
            if (open[before] > 0) {
                return false;
            }
        }
        return true;
    }

    /** The tasks of a step that have neither finished nor been placed, by index. */
    BitSet waiting(int step) {
        return waiting.get(step);
    }

    /** Tasks that have not finished. */
    int openTasks() {
        return openTasks;
    }

    void finish(TaskEntry task) {
        if (!task.done) {
            task.done = true;
            open[task.name.step()]--;
            openTasks--;
            waits(task, false);
        }
    }

    /** A worker is charged for the task from now on. */
    void placed(TaskEntry task) {
        placedTasks++;
        waits(task, false);
    }

    /** No worker is charged for the task any more. */
    void released(TaskEntry task) {
        placedTasks--;
        waits(task, !task.done);
    }

    private void waits(TaskEntry task, boolean now) {
        BitSet ofStep = waiting.get(task.name.step());
        if (ofStep.get(task.name.index()) == now) {
            return;
        }
        ofStep.set(task.name.index(), now);
        waitingTasks += now ? 1 : -1;
        checkWaiting();
    }

    private void checkWaiting() {
        if (waitingTasks > 0 && !state.isFinal()) {
            waitingJobs.add(this);
        } else {
            waitingJobs.remove(this);
        }
    }

    boolean allDone() {
        return openTasks == 0;
    }

    void move(JobState to, Instant at) {
        state = to;
        changed = at;
        checkWaiting();
    }

    /** Whether nothing of the job runs or will run. */
    boolean over() {
        return state.isFinal() && placedTasks == 0;
    }

    JobProgress progress() {
        if (over()) {
            return new JobProgress(spec.id(), state, changed, List.of());
        }
        return new JobProgress(
                spec.id(),
                state,
                changed,
                steps.stream()
                        .map(tasks -> tasks.stream().map(TaskEntry::toRecord).toList())
                        .toList());
    }
}
