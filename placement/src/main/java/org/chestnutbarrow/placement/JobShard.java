package org.chestnutbarrow.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.PlacementEvent.AttemptsListed;
import org.chestnutbarrow.placement.PlacementEvent.ShardGained;
import org.chestnutbarrow.placement.TaskEntry.Phase;

/**
 * Scheduling state of one job shard. Safe for use by several threads; every access is under the shard's own lock.
 *
 * <p>Invariant: an attempt is issued only while the shard is owned and fencing of the workers is complete.
 */
final class JobShard {
    /** Maximum number of attempts issued for one job before the next most urgent job is considered. */
    private static final int MAX_STARTS_PER_TURN = 16;

    /** Maximum number of cancelled tasks handled per tick, so that mass cancellations do not delay starts. */
    private static final int MAX_STOPS_PER_TICK = 256;

    /** Maximum number of timers that are run per tick. */
    private static final int MAX_TIMERS_PER_TICK = 1024;

    /** Minimum average interval between checkpoints of tasks in zones that were taken out of service. */
    private static final long EVACUATION_INTERVAL_NANOS = 50_000_000L;

    /** Maximum number of such checkpoints per tick. */
    private static final int MAX_EVACUATIONS_PER_TICK = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final SharedState shared;
    private final int shardNumber;
    private final TaskStateMachine stateMachine;
    private final ArrayDeque<JobEntry> cancelledJobs = new ArrayDeque<>();
    private final ArrayDeque<TaskEntry> tasksToStop = new ArrayDeque<>();
    private final Set<JobEntry> unplaceableJobs = new HashSet<>();
    private boolean owned;
    private boolean fenced;
    private long epoch;
    private long attemptSequence;
    private long earliestStart;
    private long lastEvacuation;

    JobShard(int shardNumber, SharedState shared) {
        this.shardNumber = shardNumber;
        this.shared = shared;
        stateMachine = new TaskStateMachine(shardNumber, shared);
    }

    /** Runs an operation under the lock if the shard is owned. */
    void ifOwned(Runnable operation) {
        locked(() -> {
            if (owned) {
                operation.run();
            }
            return null;
        });
    }

    private <T> T locked(java.util.function.Supplier<T> operation) {
        lock.lock();
        try {
            return operation.get();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the task states, for use within {@link #ifOwned} only. */
    TaskStateMachine stateMachine() {
        return stateMachine;
    }

    void acquire(ShardGained event) {
        locked(() -> {
            if (event.epoch() > epoch) {
                reset(event.epoch());
                owned = true;
                event.jobs().forEach(this::addJob);
            }
            return null;
        });
    }

    void release() {
        ifOwned(() -> {
            reset(epoch);
            owned = false;
        });
    }

    private void reset(long newEpoch) {
        stateMachine.reset(newEpoch);
        cancelledJobs.clear();
        tasksToStop.clear();
        unplaceableJobs.clear();
        fenced = false;
        epoch = newEpoch;
        attemptSequence = 0;
    }

    void completeFencing(long fencedEpoch, long fencedEarliestStart, List<PlacementEffect> effects) {
        ifOwned(() -> {
            if (fencedEpoch == epoch && !fenced) {
                fenced = true;
                earliestStart = fencedEarliestStart;
                stateMachine.completeFencing(effects);
            }
        });
    }

    void addJob(LoggedJob logged) {
        ifOwned(() -> {
            if (!stateMachine.jobs.containsKey(logged.job().id())) {
                JobEntry job = new JobEntry(logged);
                stateMachine.jobs.put(logged.job().id(), job);
                stateMachine.requeue(job);
            }
        });
    }

    void cancelJob(JobId id) {
        ifOwned(() -> {
            JobEntry job = stateMachine.jobs.get(id);
            if (job != null && !job.cancelled) {
                job.cancelled = true;
                job.waitingTasks.clear();
                unplaceableJobs.remove(job);
                stateMachine.requeue(job);
                stateMachine.recordDecision(job, "cancelled");
                cancelledJobs.add(job);
            }
        });
    }

    /** Reconciles the known attempts with the complete list of the shard's attempts at a worker. */
    void reconcile(AttemptsListed event, List<PlacementEffect> effects) {
        ifOwned(() -> {
            Long lastRequestedAt = stateMachine.listRequestedAt.get(event.worker());
            if (event.epoch() != epoch || (lastRequestedAt != null && event.requestedAt() - lastRequestedAt < 0)) {
                return;
            }
            stateMachine.listRequestedAt.put(event.worker(), event.requestedAt());
            Set<TaskId> listed = new HashSet<>();
            TaskStateMachine.StatusSource source =
                    new TaskStateMachine.StatusSource(TaskStateMachine.SourceKind.LIST, event.requestedAt());
            for (TaskStatus status : event.tasks()) {
                listed.add(status.task());
                stateMachine.observe(event.worker(), status, source, effects);
            }
            List<TaskEntry> missing = activeTasks(task ->
                    task.phase == Phase.RUNNING && task.worker.equals(event.worker()) && !listed.contains(task.id));
            for (TaskEntry task : missing) {
                // A delayed duplicate of a start command of this epoch can still take effect at a worker that has lost
                // its state, so the attempt is confirmed again instead of being replaced.
                if (task.startCommand != null) {
                    stateMachine.requestConfirmation(task, effects);
                } else if (task.phaseSince - event.requestedAt() < 0) {
                    stateMachine.giveUp(task, "is lost: the worker no longer lists it", 0);
                }
            }
        });
    }

    private List<TaskEntry> activeTasks(java.util.function.Predicate<TaskEntry> filter) {
        List<TaskEntry> tasks = new ArrayList<>();
        for (JobEntry job : stateMachine.jobs.values()) {
            if (job.activeTasks > 0) {
                job.tasks.values().stream()
                        .filter(TaskEntry::active)
                        .filter(filter)
                        .forEach(tasks::add);
            }
        }
        return tasks;
    }

    /** Queues the attempts in zones that were taken out of service for evacuation, those of always-on jobs first. */
    void queueEvacuations() {
        ifOwned(() -> {
            stateMachine.evacuations.clear();
            List<TaskEntry> tasks = activeTasks(task -> shared.index().zoneOut(task.worker));
            tasks.sort(java.util.Comparator.comparing(task -> !task.job.equivalenceClass.alwaysOn()));
            stateMachine.evacuations.addAll(tasks);
        });
    }

    /** Requeues unplaceable jobs that can be placed after a change of workers or quotas. */
    void retryUnplaceable(List<PlacementEffect> effects) {
        ifOwned(() -> {
            for (JobEntry job : List.copyOf(unplaceableJobs)) {
                if (unplaceableReason(job).isEmpty()) {
                    unplaceableJobs.remove(job);
                    job.unplaceable = false;
                    effects.add(new PlacementEffect.Unplaceable(job.job.id(), ""));
                    stateMachine.requeue(job);
                }
            }
        });
    }

    /** Runs the periodic work of the shard except placing waiting tasks. */
    void tick(long now, Set<WorkerId> expired, List<PlacementEffect> effects) {
        ifOwned(() -> {
            stateMachine.timers.runDue(now, MAX_TIMERS_PER_TICK, effects);
            if (!expired.isEmpty()) {
                activeTasks(task -> expired.contains(task.worker))
                        .forEach(task -> stateMachine.giveUp(task, "lapsed: no daemon holds the worker's lease", 0));
            }
            stopCancelled(effects);
            long evacuations = Math.min(MAX_EVACUATIONS_PER_TICK, (now - lastEvacuation) / EVACUATION_INTERVAL_NANOS);
            for (long i = 0; i < evacuations && !stateMachine.evacuations.isEmpty(); i++) {
                TaskEntry task = stateMachine.evacuations.poll();
                lastEvacuation = now;
                stateMachine.evacuate(task, task.attempt, effects);
            }
        });
    }

    private void stopCancelled(List<PlacementEffect> effects) {
        for (int i = 0; i < MAX_STOPS_PER_TICK && !(tasksToStop.isEmpty() && cancelledJobs.isEmpty()); i++) {
            if (tasksToStop.isEmpty()) {
                cancelledJobs.poll().tasks.values().stream()
                        .filter(TaskEntry::active)
                        .forEach(tasksToStop::add);
            } else {
                TaskEntry task = tasksToStop.poll();
                if (task.active()) {
                    stateMachine.stop(task, effects);
                }
            }
        }
    }

    /** Returns the queue key of the most urgent job that may be placed now; empty if there is none. */
    Optional<ReadyQueue.QueueKey> mostUrgentKey(Set<JobEntry.EquivalenceClass> blockedClasses) {
        return locked(() -> acceptsStarts()
                        ? Optional.ofNullable(stateMachine.ready.first(blockedClasses))
                        : Optional.<JobEntry>empty())
                .map(job -> job.queueKey);
    }

    private boolean acceptsStarts() {
        return owned && fenced && stateMachine.now() - earliestStart >= 0;
    }

    /**
     * Issues attempts for the most urgent job and returns their number. Adds the job's equivalence class to {@code
     * blockedClasses} if it cannot be placed.
     */
    int placeMostUrgent(Set<JobEntry.EquivalenceClass> blockedClasses, List<PlacementEffect> effects) {
        return locked(() -> {
            JobEntry job = acceptsStarts() ? stateMachine.ready.first(blockedClasses) : null;
            if (job == null) {
                return 0;
            }
            String reason = unplaceableReason(job);
            if (!reason.isEmpty()) {
                markUnplaceable(job, reason, effects);
                return 0;
            }
            int maxStarts = job.held ? Math.max(0, 1 - job.activeTasks) : MAX_STARTS_PER_TURN;
            int starts = 0;
            while (starts < maxStarts && job.waitingTasks.size() > 0 && startTask(job, blockedClasses, effects)) {
                starts++;
            }
            if (job.held) {
                // A held job gets a single trial attempt, and the end of that attempt requeues the job.
                stateMachine.ready.remove(job);
            } else {
                stateMachine.requeue(job);
            }
            return starts;
        });
    }

    private boolean startTask(
            JobEntry job, Set<JobEntry.EquivalenceClass> blockedClasses, List<PlacementEffect> effects) {
        long now = stateMachine.now();
        if (!shared.quotas().tryCharge(job.job.team(), job.job.demand())) {
            return blockClass(job, "team " + job.job.team() + " has used up its quota", blockedClasses);
        }
        Optional<WorkerIndex.SelectedWorker> selected =
                shared.index().selectAndReserve(job.job.demand(), job.spread, now);
        if (selected.isEmpty()) {
            shared.quotas().release(job.job.team(), job.job.demand());
            return blockClass(job, "no worker with enough free capacity in a zone that allows starts", blockedClasses);
        }
        int index = job.waitingTasks.first();
        job.waitingTasks.remove(index);
        job.reason = "";
        TaskEntry task = job.task(index);
        task.attempt = new Attempt(epoch, ++attemptSequence);
        task.worker = selected.get().worker().id();
        stateMachine.activate(task, Phase.STARTING);
        task.measureRunTime = task.resumeFrom.isEmpty();
        task.startCommand = new PlacementEffect.Start(
                task.worker,
                task.id,
                job.job.workClass(),
                shardNumber,
                task.attempt,
                job.job.demand(),
                job.job.runTime(),
                task.resumeFrom,
                selected.get().reason());
        effects.add(task.startCommand);
        stateMachine.scheduleRepeat(task);
        stateMachine.recordDecision(
                job,
                "start " + task.id + " attempt " + task.attempt + " on " + task.worker + ": "
                        + selected.get().reason());
        return true;
    }

    private boolean blockClass(JobEntry job, String reason, Set<JobEntry.EquivalenceClass> blockedClasses) {
        job.reason = reason;
        blockedClasses.add(job.equivalenceClass);
        return false;
    }

    private String unplaceableReason(JobEntry job) {
        if (!shared.quotas().withinQuota(job.job.team(), job.job.demand())) {
            return "a single task exceeds the quota of team " + job.job.team();
        }
        return shared.index().fitsAnyWorker(job.job.demand())
                ? ""
                : "a single task needs more than the capacity of any worker";
    }

    private void markUnplaceable(JobEntry job, String reason, List<PlacementEffect> effects) {
        job.unplaceable = true;
        job.reason = reason;
        unplaceableJobs.add(job);
        stateMachine.requeue(job);
        stateMachine.recordDecision(job, "unplaceable: " + reason);
        effects.add(new PlacementEffect.Unplaceable(job.job.id(), reason));
    }

    /** Explains a job; empty if the shard is not owned or does not know the job. */
    Optional<JobExplanation> explain(JobId id) {
        Function<JobEntry, JobExplanation> explanation = job -> job.explain(acceptsStarts());
        return locked(
                () -> owned ? Optional.ofNullable(stateMachine.jobs.get(id)).map(explanation) : Optional.empty());
    }
}
