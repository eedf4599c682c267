package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.TimeSource;

/**
 * In-memory state of one job. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: the job is in the set of waiting jobs as long as it has neither ended nor been set aside and one of its
 * tasks has neither finished nor been placed nor is in back-off.
 */
final class JobEntry {
    final JobSpec spec;
    final List<List<TaskEntry>> tasksByStep = new ArrayList<>();
    JobState state = JobState.QUEUED;
    Instant stateChangedAt = Instant.EPOCH;
    /** The queue policy in force. */
    Queue policy;

    final JobOutcomes outcomes = new JobOutcomes();
    /** Completion deadline under the policy in force, in ms since the epoch. */
    long deadlineMs;

    private final Set<JobEntry> waitingJobs;
    private final AccountUsage accountUsage;
    private final int[] unfinishedByStep;
    /** Since when each step has been ready as far as this owner knows; null before that. */
    private final WaitStart[] readySinceByStep;

    private final List<BitSet> waitingByStep = new ArrayList<>();
    private boolean setAside;
    private boolean partlyRestored;
    private int unfinishedTasks;
    private int waitingTasks;
    private int placedTasks;
    /** Equivalence classes by step; the second of each step requires double room. */
    private final EquivalenceClass[][] equivalenceClasses;

    /** Creates a queued job and adds it to {@code waitingJobs}. */
    JobEntry(JobSpec spec, Queue policy, Set<JobEntry> waitingJobs, AccountUsage accountUsage) {
        this.spec = spec;
        this.waitingJobs = waitingJobs;
        this.accountUsage = accountUsage;
        unfinishedByStep = new int[spec.steps().size()];
        readySinceByStep = new WaitStart[spec.steps().size()];
        equivalenceClasses = new EquivalenceClass[spec.steps().size()][2];
        for (int stepIndex = 0; stepIndex < spec.steps().size(); stepIndex++) {
            Step step = spec.steps().get(stepIndex);
            List<TaskEntry> tasks = new ArrayList<>(step.count());
            for (int taskIndex = 0; taskIndex < step.count(); taskIndex++) {
                tasks.add(new TaskEntry(this, new TaskName(spec.id(), stepIndex, taskIndex), step));
            }
            tasksByStep.add(tasks);
            unfinishedByStep[stepIndex] = step.count();
            BitSet allTasks = new BitSet(step.count());
            allTasks.set(0, step.count());
            waitingByStep.add(allTasks);
            unfinishedTasks += step.count();
        }
        waitingTasks = unfinishedTasks;
        setPolicy(policy);
        waitingJobs.add(this);
    }

    /** Sets the policy in force and recomputes what depends on it. */
    void setPolicy(Queue newPolicy) {
        policy = newPolicy;
        deadlineMs = spec.deadline(newPolicy).toEpochMilli();
        for (EquivalenceClass[] stepClasses : equivalenceClasses) {
            Arrays.fill(stepClasses, null);
        }
    }

    /**
     * Returns the equivalence class of a step's tasks, or null if it is not cached; {@code doubleRoom} selects the
     * class that requires room for two tasks.
     */
    EquivalenceClass equivalenceClass(int step, boolean doubleRoom) {
        return equivalenceClasses[step][doubleRoom ? 1 : 0];
    }

    void setEquivalenceClass(int step, boolean doubleRoom, EquivalenceClass equivalenceClass) {
        equivalenceClasses[step][doubleRoom ? 1 : 0] = equivalenceClass;
    }

    /** Returns whether all dependencies of a step have finished. */
    boolean isReady(int step) {
        for (int dependency : spec.steps().get(step).dependencies()) {
            if (unfinishedByStep[dependency] > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Records that the steps that are ready now have just become so, unless this is known already. Steps without
     * dependencies have been ready since the submission.
     */
    void markReadySteps(TimeSource time) {
        for (int step = 0; step < readySinceByStep.length; step++) {
            if (readySinceByStep[step] == null && isReady(step)) {
                readySinceByStep[step] =
                        hasDependencies(step) ? WaitStart.now(time) : WaitStart.restored(spec.submitted(), time);
            }
        }
    }

    private boolean hasDependencies(int step) {
        return !spec.steps().get(step).dependencies().isEmpty();
    }

    /**
     * Returns for how long a task of a ready step has waited for a worker under this and earlier owners: since its step
     * became ready or its last run was released.
     */
    Duration waited(TaskEntry task, long now) {
        return waitStart(task).elapsed(now);
    }

    private WaitStart waitStart(TaskEntry task) {
        return task.waitStart == null ? readySinceByStep[task.name.step()] : task.waitStart;
    }

    /**
     * Returns the first waiting task of the ready step that has waited longest, or null if the job has ended, one of its
     * tasks is assigned to a worker or none is ready.
     */
    TaskEntry longestWaiting(long now) {
        TaskEntry longest = null;
        if (state.isFinal() || placedTasks > 0) {
            return longest;
        }
        for (int step = 0; step < tasksByStep.size(); step++) {
            int index = waitingByStep.get(step).nextSetBit(0);
            if (index >= 0 && isReady(step)) {
                TaskEntry task = tasksByStep.get(step).get(index);
                longest = longest == null || waited(task, now).compareTo(waited(longest, now)) > 0 ? task : longest;
            }
        }
        return longest;
    }

    /** Returns the first waiting task of a ready step at or after an index that has waited for a time, or null. */
    TaskEntry nextWaiting(int step, int from, Duration wait, long now) {
        if (!isReady(step)) {
            return null;
        }
        BitSet waiting = waitingByStep.get(step);
        List<TaskEntry> tasks = tasksByStep.get(step);
        long waitNanos = wait.toNanos();
        for (int index = waiting.nextSetBit(from); index >= 0; index = waiting.nextSetBit(index + 1)) {
            TaskEntry task = tasks.get(index);
            if (now - waitStart(task).nanos() >= waitNanos) {
                return task;
            }
        }
        return null;
    }

    /** Returns the time since when a task has waited, if a later owner cannot take it from the job's specification. */
    Optional<Instant> storedWaitStart(TaskEntry task) {
        if (task.done || task.assignedNode != null) {
            return Optional.empty();
        }
        int step = task.name.step();
        WaitStart start = task.waitStart == null && hasDependencies(step) ? readySinceByStep[step] : task.waitStart;
        return Optional.ofNullable(start).map(WaitStart::instant);
    }

    /** Returns the indexes of the tasks of a step that have neither finished nor been placed nor are in back-off. */
    BitSet waitingTaskIndexes(int step) {
        return waitingByStep.get(step);
    }

    /** Returns the number of tasks that have not finished. */
    int unfinishedTasks() {
        return unfinishedTasks;
    }

    void taskFinished(TaskEntry task) {
        if (!task.done) {
            task.done = true;
            unfinishedByStep[task.name.step()]--;
            unfinishedTasks--;
            setWaiting(task, false);
        }
    }

    /** Records that the task was assigned to a worker. */
    void taskPlaced(TaskEntry task) {
        placedTasks++;
        accountUsage.add(spec.account(), task.step.demand());
        setWaiting(task, false);
    }

    /** Records that the task is no longer assigned to a worker. */
    void taskReleased(TaskEntry task) {
        placedTasks--;
        accountUsage.remove(spec.account(), task.step.demand());
        setWaiting(task, !task.done);
    }

    /** Records that the back-off of the task has begun or ended. */
    void backOffChanged(TaskEntry task) {
        setWaiting(task, !task.done && task.assignedNode == null && !task.isInBackOff());
    }

    private void setWaiting(TaskEntry task, boolean waiting) {
        BitSet waitingOfStep = waitingByStep.get(task.name.step());
        if (waitingOfStep.get(task.name.index()) == waiting) {
            return;
        }
        waitingOfStep.set(task.name.index(), waiting);
        waitingTasks += waiting ? 1 : -1;
        updateWaitingJobs();
    }

    private void updateWaitingJobs() {
        if (waitingTasks > 0 && isPlaceable()) {
            waitingJobs.add(this);
        } else {
            waitingJobs.remove(this);
        }
    }

    /** Keeps the tasks of this job from being placed; those that run are not affected. */
    void setAside() {
        setAside = true;
        updateWaitingJobs();
    }

    /** Returns whether the tasks of this job may be placed when they wait and are ready. */
    boolean isPlaceable() {
        return !state.isFinal() && !setAside;
    }

    /** Records that only part of the stored progress was restored, and sets the job aside. */
    void setAsidePartlyRestored() {
        partlyRestored = true;
        setAside();
    }

    /** Returns whether the job has not ended and some of its stored runs are unknown. */
    boolean hasUnknownRuns() {
        return partlyRestored && !state.isFinal();
    }

    boolean allTasksFinished() {
        return unfinishedTasks == 0;
    }

    void setState(JobState newState, Instant changedAt) {
        state = newState;
        stateChangedAt = changedAt;
        updateWaitingJobs();
    }

    /** Returns whether the job has ended and none of its tasks is assigned to a worker. */
    boolean isTerminated() {
        return state.isFinal() && placedTasks == 0;
    }

    JobProgress progress() {
        if (isTerminated()) {
            return new JobProgress(spec.id(), state, stateChangedAt, List.of());
        }
        return new JobProgress(
                spec.id(),
                state,
                stateChangedAt,
                tasksByStep.stream()
                        .map(tasks -> tasks.stream().map(TaskEntry::toRecord).toList())
                        .toList());
    }
}
