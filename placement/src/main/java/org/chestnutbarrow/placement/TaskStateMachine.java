package org.chestnutbarrow.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.PlacementEvent.StartResult;
import org.chestnutbarrow.placement.TaskEntry.Phase;

/**
 * The task states of one shard and their transitions. Not safe for use by several threads; guarded by its shard's lock.
 *
 * <p>Invariant: a task waits only if its newest attempt has ended, is known not to have started, or its lease must have
 * expired.
 */
final class TaskStateMachine {
    /** Number of workers with a failed task of a job, without a success in between, after which the job is held. */
    private static final int HOLD_AFTER_WORKERS = 3;

    final Map<JobId, JobEntry> jobs = new HashMap<>();
    final ReadyQueue ready = new ReadyQueue();
    final Timers timers = new Timers();
    final ArrayDeque<TaskEntry> evacuations = new ArrayDeque<>();

    /** Request time of the newest attempt list received for each worker. */
    final Map<WorkerId, Long> listRequestedAt = new HashMap<>();

    private final Map<AttemptKey, WorkerId> unloggedEnds = new HashMap<>();
    private final int shard;
    private final SharedState shared;
    private final List<DeferredEnd> deferredEnds = new ArrayList<>();
    private long epoch;
    private boolean fencing;

    TaskStateMachine(int shard, SharedState shared) {
        this.shard = shard;
        this.shared = shared;
    }

    /** Where a reported state comes from and when it was requested. */
    record StatusSource(SourceKind kind, long requestedAt) {}

    /** Kind of status source. */
    enum SourceKind {
        /** A complete list of a worker's attempts. */
        LIST,
        /** The response to a start command. */
        RESPONSE,
        /** An unsolicited report. */
        REPORT
    }

    private record AttemptKey(TaskId task, Attempt attempt) {}

    private record DeferredEnd(TaskEntry task, TaskStatus status) {}

    void reset(long newEpoch) {
        jobs.values()
                .forEach(job -> job.tasks.values().forEach(task -> {
                    if (task.active()) {
                        deactivate(task, false);
                    }
                }));
        jobs.clear();
        ready.clear();
        timers.clear();
        evacuations.clear();
        listRequestedAt.clear();
        unloggedEnds.clear();
        deferredEnds.clear();
        fencing = true;
        epoch = newEpoch;
    }

    /** Updates a job's position in the ready queue, or removes it if none of its tasks may start. */
    void requeue(JobEntry job) {
        boolean excluded = job.cancelled || job.unplaceable || (job.held && job.holdUntil - now() > 0);
        if (job.waitingTasks.size() == 0 || excluded) {
            ready.remove(job);
        } else {
            ready.put(job, job.computeQueueKey(shared.runTimes().estimate(job.job.workClass(), job.job.runTime())));
        }
    }

    /**
     * Applies the state of an attempt as its worker reported it.
     *
     * @param source source of the state; an unknown running attempt is adopted only from a list, because a single
     *     report may be older than the list and the attempt may no longer exist
     */
    void observe(WorkerId worker, TaskStatus status, StatusSource source, List<PlacementEffect> effects) {
        JobEntry job = jobs.get(status.task().job());
        TaskState state = status.state();
        int index = status.task().index();
        if (job == null || index >= job.job.tasks() || job.finishedTasks.get(index)) {
            // Unfinished jobs are always known, so this ended attempt is no longer needed.
            if (state.ended() && !unloggedEnds.containsKey(new AttemptKey(status.task(), status.attempt()))) {
                effects.add(new PlacementEffect.Forget(worker, status.task(), status.attempt()));
            } else if (job != null && !state.ended()) {
                effects.add(new PlacementEffect.Stop(worker, status.task(), status.attempt()));
            }
            return;
        }
        TaskEntry task = job.task(index);
        int attemptOrder = task.attempt == null ? 1 : status.attempt().compareTo(task.attempt);
        if (state.ended()) {
            recordEnd(task, worker, status, effects);
        }
        if (attemptOrder > 0 && (source.kind() == SourceKind.LIST || state.ended())) {
            adopt(task, worker, status, source, effects);
        } else if (attemptOrder == 0 && task.active()) {
            updateActive(task, status, source, effects);
        } else if (attemptOrder <= 0 && !state.ended()) {
            effects.add(new PlacementEffect.Stop(worker, status.task(), status.attempt()));
        } else if (attemptOrder < 0 && state == TaskState.FINISHED) {
            finishedByEarlierAttempt(task, effects);
        }
    }

    /** Handles an earlier attempt that was given up but has finished: the task needs no further attempt. */
    private void finishedByEarlierAttempt(TaskEntry task, List<PlacementEffect> effects) {
        task.finishedLate = true;
        if (task.active()) {
            stop(task, effects);
        } else {
            task.phase = Phase.DONE;
            task.job.waitingTasks.remove(task.id.index());
            requeue(task.job);
        }
    }

    /**
     * Appends the end of an attempt to the log once, after which the worker may drop the attempt.
     *
     * <p>The end names the newest checkpoint written up to this attempt, even if an earlier attempt wrote it. Ends are
     * deferred until fencing is complete, because it may still find a newer checkpoint at another worker.
     */
    private void recordEnd(TaskEntry task, WorkerId worker, TaskStatus status, List<PlacementEffect> effects) {
        task.keepCheckpoint(status.attempt(), status.checkpoint());
        if (unloggedEnds.putIfAbsent(new AttemptKey(status.task(), status.attempt()), worker) == null) {
            if (fencing) {
                deferredEnds.add(new DeferredEnd(task, status));
            } else {
                appendEnd(task, status, effects);
            }
        }
    }

    private void appendEnd(TaskEntry task, TaskStatus status, List<PlacementEffect> effects) {
        boolean coversResumePoint =
                task.checkpointWriter != null && status.attempt().compareTo(task.checkpointWriter) >= 0;
        Optional<CheckpointId> checkpoint = coversResumePoint ? task.resumeFrom : status.checkpoint();
        TaskEnd end = new TaskEnd(status.task(), status.attempt(), status.state(), checkpoint);
        effects.add(new PlacementEffect.AppendEnd(shard, epoch, end));
    }

    /** Appends the ends that were deferred during fencing. */
    void completeFencing(List<PlacementEffect> effects) {
        fencing = false;
        deferredEnds.forEach(deferred -> appendEnd(deferred.task(), deferred.status(), effects));
        deferredEnds.clear();
    }

    private void adopt(
            TaskEntry task, WorkerId worker, TaskStatus status, StatusSource source, List<PlacementEffect> effects) {
        if (task.active()) {
            deactivate(task, false);
        }
        task.job.waitingTasks.remove(task.id.index());
        task.attempt = status.attempt();
        task.worker = worker;
        task.startCommand = null;
        task.measureRunTime = false;
        activate(task, Phase.RUNNING);
        task.phaseSince = source.requestedAt();
        shared.quotas().forceCharge(task.job.job.team(), task.job.job.demand());
        recordDecision(
                task.job,
                "adopted " + task.id + " attempt " + status.attempt() + " " + status.state() + " on " + worker);
        requeue(task.job);
        updateActive(task, status, source, effects);
    }

    /** Marks an attempt as active on its worker. The caller charges the quota. */
    void activate(TaskEntry task, Phase phase) {
        task.phase = phase;
        task.phaseSince = now();
        task.stopping = false;
        task.evacuating = false;
        task.outcomeUnknown = false;
        task.spreadWorker = shared.index().worker(task.worker).orElse(null);
        task.job.activeTasks++;
        if (task.spreadWorker != null) {
            task.job.spread.add(task.spreadWorker);
        }
    }

    /** Releases the reservation and quota of an active attempt. */
    private void deactivate(TaskEntry task, boolean confirmed) {
        if (task.phase == Phase.STARTING) {
            shared.index().settleReservation(task.worker, task.job.job.demand(), confirmed, now());
        }
        shared.quotas().release(task.job.job.team(), task.job.job.demand());
        task.job.activeTasks--;
        if (task.spreadWorker != null) {
            task.job.spread.remove(task.spreadWorker);
        }
        task.phase = Phase.WAITING;
    }

    private void updateActive(TaskEntry task, TaskStatus status, StatusSource source, List<PlacementEffect> effects) {
        if (status.state().ended()) {
            handleEnd(task, status);
            return;
        }
        if (task.phase == Phase.STARTING) {
            // A response older than a list without the attempt may predate a restart of the worker.
            Long lastListRequestedAt = listRequestedAt.get(task.worker);
            if (source.kind() == SourceKind.REPORT
                    || (lastListRequestedAt != null && source.requestedAt() - lastListRequestedAt < 0)) {
                return;
            }
            shared.index().settleReservation(task.worker, task.job.job.demand(), true, now());
            task.phase = Phase.RUNNING;
            task.outcomeUnknown = false;
            task.phaseSince = now();
        }
        if (task.job.cancelled) {
            stop(task, effects);
        } else if (shared.index().zoneOut(task.worker) && !task.evacuating) {
            evacuations.add(task);
        }
    }

    private void handleEnd(TaskEntry task, TaskStatus status) {
        JobEntry job = task.job;
        deactivate(task, true);
        recordDecision(job, task.id + " attempt " + task.attempt + " " + status.state() + " on " + task.worker);
        Runnable transition = switch (status.state()) {
            case FINISHED -> () -> handleSuccess(task);
            case FAILED -> () -> handleFailure(task);
            case STOPPED, CHECKPOINTED, LAPSED -> () -> scheduleRetry(task, 0);
            case RUNNING -> throw new IllegalArgumentException("a running attempt has not ended");
        };
        transition.run();
    }

    private void handleSuccess(TaskEntry task) {
        JobEntry job = task.job;
        task.phase = Phase.DONE;
        if (task.measureRunTime) {
            shared.runTimes().recordRunTime(job.job.workClass(), now() - task.phaseSince);
        }
        shared.index().recordSuccess(task.worker, now());
        job.failedWorkers.clear();
        job.held = false;
        job.holdCount = 0;
        requeue(job);
    }

    private void handleFailure(TaskEntry task) {
        JobEntry job = task.job;
        task.failureCount++;
        boolean workerQuarantined = shared.index().recordFailure(task.worker, job.job.id(), now());
        if (!workerQuarantined) {
            job.failedWorkers.add(task.worker);
        }
        job.failedWorkers.removeIf(shared.index()::quarantined);
        if (!workerQuarantined && (job.held || job.failedWorkers.size() >= HOLD_AFTER_WORKERS)) {
            holdJob(job);
        }
        scheduleRetry(task, Timing.exponentialBackoff(Timing.FIRST_RETRY_DELAY_NANOS, task.failureCount));
    }

    private void holdJob(JobEntry job) {
        job.holdCount++;
        job.held = true;
        job.holdUntil = now() + Timing.exponentialBackoff(Timing.FIRST_JOB_HOLD_NANOS, job.holdCount);
        job.reason = "its tasks failed on " + job.failedWorkers.size() + " workers that are not quarantined";
        shared.index().clearFailures(job.failedWorkers, job.job.id(), now());
        recordDecision(job, "held: " + job.reason);
        timers.schedule(job.holdUntil, effects -> requeue(job));
    }

    /** Returns the task to the waiting tasks after a delay, unless it needs no further attempt. */
    private void scheduleRetry(TaskEntry task, long delay) {
        if (task.job.cancelled || task.finishedLate) {
            task.phase = Phase.DONE;
            if (task.finishLogged) {
                markFinished(task.job, task.id.index());
            }
        } else if (delay == 0) {
            task.job.waitingTasks.add(task.id.index());
        } else {
            Attempt ended = task.attempt;
            timers.schedule(now() + delay, effects -> {
                if (task.phase == Phase.WAITING && !task.job.cancelled && task.attempt.equals(ended)) {
                    task.job.waitingTasks.add(task.id.index());
                    requeue(task.job);
                }
            });
        }
        requeue(task.job);
    }

    /** Handles the result of a start, or the refusal of a stop because the worker does not know the attempt. */
    void handleStartResult(PlacementEvent.StartReported event, List<PlacementEffect> effects) {
        WorkerId worker = event.worker();
        StatusSource source = new StatusSource(SourceKind.RESPONSE, event.requestedAt());
        if (event.result() instanceof StartResult.Done done) {
            observe(worker, done.status(), source, effects);
            return;
        }
        TaskEntry task = findCurrent(event.task(), event.attempt());
        if (task == null || !task.active()) {
            return;
        }
        switch (event.result()) {
            case StartResult.Done done -> observe(worker, done.status(), source, effects);
            case StartResult.Refused refused -> {
                if (task.phase == Phase.STARTING || task.stopping || task.evacuating) {
                    shared.index().markFull(worker, now());
                    giveUp(task, "refused: " + refused.reason(), Timing.REFUSED_START_DELAY_NANOS);
                }
            }
            // Another copy of the command may still reach the next daemon that holds the worker's lease.
            case StartResult.NotHolder notHolder -> task.outcomeUnknown = true;
            case StartResult.Unknown unknown -> task.outcomeUnknown = true;
        }
    }

    /** Repeats the start of a confirmed attempt that is missing from a worker's list, to learn its current state. */
    void requestConfirmation(TaskEntry task, List<PlacementEffect> effects) {
        task.phase = Phase.STARTING;
        task.outcomeUnknown = true;
        effects.add(task.startCommand);
        scheduleRepeat(task);
    }

    /**
     * Ends an attempt that will not be reported: it never started, the worker lost it, or its lease must have expired.
     */
    void giveUp(TaskEntry task, String reason, long delay) {
        recordDecision(task.job, task.id + " attempt " + task.attempt + " on " + task.worker + " " + reason);
        deactivate(task, false);
        scheduleRetry(task, delay);
    }

    private TaskEntry findCurrent(TaskId id, Attempt attempt) {
        JobEntry job = jobs.get(id.job());
        TaskEntry task = job == null ? null : job.tasks.get(id.index());
        return task == null || !attempt.equals(task.attempt) ? null : task;
    }

    /** Schedules the repetition of a start command until it has a result. */
    void scheduleRepeat(TaskEntry task) {
        Attempt attempt = task.attempt;
        timers.schedule(now() + Timing.COMMAND_REPEAT_NANOS, effects -> {
            if (task.phase == Phase.STARTING && task.attempt.equals(attempt)) {
                if (task.stopping || task.job.cancelled) {
                    stop(task, effects);
                } else {
                    // A command without a response may have taken effect, like one whose outcome is unknown.
                    task.outcomeUnknown = true;
                    // While no daemon holds the worker's lease, a copy could still be in transit to the next holder
                    // after the attempt's lease counts as expired.
                    if (shared.index().held(task.worker)) {
                        effects.add(task.startCommand);
                    }
                    scheduleRepeat(task);
                }
            }
        });
    }

    /** Stops an attempt; the command is repeated until the end of the attempt is reported. */
    void stop(TaskEntry task, List<PlacementEffect> effects) {
        if (!task.stopping) {
            task.stopping = true;
            sendStop(task, task.attempt, effects);
        }
    }

    private void sendStop(TaskEntry task, Attempt attempt, List<PlacementEffect> effects) {
        if (task.active() && task.attempt.equals(attempt)) {
            effects.add(new PlacementEffect.Stop(task.worker, task.id, attempt));
            timers.schedule(
                    now() + 4 * Timing.COMMAND_REPEAT_NANOS, laterEffects -> sendStop(task, attempt, laterEffects));
        }
    }

    /** Checkpoints an attempt in a zone that is out of service; the command is repeated while the zone is out. */
    void evacuate(TaskEntry task, Attempt attempt, List<PlacementEffect> effects) {
        if (task.phase != Phase.RUNNING || !task.attempt.equals(attempt) || task.stopping) {
            return;
        }
        task.evacuating = shared.index().zoneOut(task.worker);
        if (task.evacuating) {
            effects.add(new PlacementEffect.Checkpoint(task.worker, task.id, attempt));
            timers.schedule(
                    now() + 4 * Timing.COMMAND_REPEAT_NANOS, laterEffects -> evacuate(task, attempt, laterEffects));
        }
    }

    /** Lets workers drop the attempts whose ends are in the log. */
    void endsLogged(List<TaskEnd> ends, List<PlacementEffect> effects) {
        for (TaskEnd end : ends) {
            WorkerId worker = unloggedEnds.remove(new AttemptKey(end.task(), end.attempt()));
            if (worker != null) {
                effects.add(new PlacementEffect.Forget(worker, end.task(), end.attempt()));
            }
            JobEntry job = jobs.get(end.task().job());
            if (job != null && end.state() == TaskState.FINISHED) {
                markFinished(job, end.task().index());
            }
        }
    }

    private void markFinished(JobEntry job, int index) {
        TaskEntry task = job.tasks.get(index);
        if (task != null && task.active()) {
            task.finishLogged = true;
            return;
        }
        job.finishedTasks.set(index);
        job.waitingTasks.remove(index);
        job.tasks.remove(index);
        requeue(job);
        if (job.complete() && !job.cancelled) {
            jobs.remove(job.job.id());
        }
    }

    void recordDecision(JobEntry job, String decision) {
        job.recordDecision(shared.time().now(), decision);
    }

    long now() {
        return shared.time().nanos();
    }
}
