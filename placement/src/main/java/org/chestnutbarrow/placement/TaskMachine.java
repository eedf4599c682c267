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
import org.chestnutbarrow.placement.PlacementEvent.StartAnswer;
import org.chestnutbarrow.placement.TaskEntry.Phase;

/**
 * The states of the tasks of one shard. Not safe for use by several threads; guarded by its shard's lock.
 *
 * <p>Invariant: a task waits only while its newest attempt has ended, never started, or must have lapsed.
 */
final class TaskMachine {
    /** Failures of a job's tasks on that many workers, with no success between them, make it a bad job. */
    private static final int BAD_AFTER_WORKERS = 3;

    final Map<JobId, JobEntry> jobs = new HashMap<>();
    final ReadyQueue ready = new ReadyQueue();
    final Timers timers = new Timers();
    final ArrayDeque<TaskEntry> moves = new ArrayDeque<>();

    /** When the newest list that was taken of each worker was asked for. */
    final Map<WorkerId, Long> lists = new HashMap<>();

    private final Map<Ended, WorkerId> unlogged = new HashMap<>();
    private final int shard;
    private final Shared shared;
    private final List<Found> found = new ArrayList<>();
    private long epoch;
    private boolean fencing;

    TaskMachine(int shard, Shared shared) {
        this.shard = shard;
        this.shared = shared;
    }

    /** Where a state comes from and when it was asked for. */
    record Source(Kind kind, long asked) {}

    /** Kinds of sources. */
    enum Kind {
        /** A complete list of a worker. */
        LIST,
        /** The answer to a start. */
        ANSWER,
        /** A report that was not asked for. */
        REPORT
    }

    private record Ended(TaskId task, Attempt attempt) {}

    private record Found(TaskEntry task, TaskStatus status) {}

    void reset(long newEpoch) {
        jobs.values()
                .forEach(job -> job.tasks.values().forEach(task -> {
                    if (task.active()) {
                        free(task, false);
                    }
                }));
        jobs.clear();
        ready.clear();
        timers.clear();
        moves.clear();
        lists.clear();
        unlogged.clear();
        found.clear();
        fencing = true;
        epoch = newEpoch;
    }

    /** Puts a job at its place in the ready queue, or takes it out if none of its tasks may start. */
    void queue(JobEntry job) {
        boolean heldBack = job.cancelled || job.unplaceable || (job.held && job.holdUntil - now() > 0);
        if (job.waiting.size() == 0 || heldBack) {
            ready.remove(job);
        } else {
            ready.put(job, job.key(shared.runTimes().estimate(job.job.workClass(), job.job.runTime())));
        }
    }

    /**
     * Takes the state of an attempt as its worker reported it.
     *
     * @param source where it comes from; a running attempt that was not known is adopted from a list only, because a
     *     single report may be older than the list and the attempt already gone
     */
    void observe(WorkerId worker, TaskStatus status, Source source, List<PlacementEffect> out) {
        JobEntry job = jobs.get(status.task().job());
        TaskState state = status.state();
        int index = status.task().index();
        if (job == null || index >= job.job.tasks() || job.finished.get(index)) {
            // An unfinished job stays known, so whatever has ended here is no longer needed.
            if (state.ended() && !unlogged.containsKey(new Ended(status.task(), status.attempt()))) {
                out.add(new PlacementEffect.Forget(worker, status.task(), status.attempt()));
            } else if (job != null && !state.ended()) {
                out.add(new PlacementEffect.Stop(worker, status.task(), status.attempt()));
            }
            return;
        }
        TaskEntry task = job.task(index);
        int order = task.attempt == null ? 1 : status.attempt().compareTo(task.attempt);
        if (state.ended()) {
            record(task, worker, status, out);
        }
        if (order > 0 && (source.kind() == Kind.LIST || state.ended())) {
            adopt(task, worker, status, source, out);
        } else if (order == 0 && task.active()) {
            advance(task, status, source, out);
        } else if (order <= 0 && !state.ended()) {
            out.add(new PlacementEffect.Stop(worker, status.task(), status.attempt()));
        } else if (order < 0 && state == TaskState.FINISHED) {
            finishedBefore(task, out);
        }
    }

    /** An attempt that was taken for lapsed turns out to have finished: the task needs no other. */
    private void finishedBefore(TaskEntry task, List<PlacementEffect> out) {
        task.finished = true;
        if (task.active()) {
            stop(task, out);
        } else {
            task.phase = Phase.DONE;
            task.job.waiting.remove(task.id.index());
            queue(task.job);
        }
    }

    /**
     * Has the end appended to the log once, so that the worker may drop it afterwards.
     *
     * <p>The end names the newest checkpoint written up to this attempt, even if an earlier attempt wrote it. While fencing may still find
     * a newer checkpoint at another worker, ends are kept back.
     */
    private void record(TaskEntry task, WorkerId worker, TaskStatus status, List<PlacementEffect> out) {
        task.keepCheckpoint(status.attempt(), status.checkpoint());
        if (unlogged.putIfAbsent(new Ended(status.task(), status.attempt()), worker) == null) {
            if (fencing) {
                found.add(new Found(task, status));
            } else {
                append(task, status, out);
            }
        }
    }

    private void append(TaskEntry task, TaskStatus status, List<PlacementEffect> out) {
        boolean later = task.resumeWriter != null && status.attempt().compareTo(task.resumeWriter) >= 0;
        Optional<CheckpointId> checkpoint = later ? task.resume : status.checkpoint();
        TaskEnd end = new TaskEnd(status.task(), status.attempt(), status.state(), checkpoint);
        out.add(new PlacementEffect.AppendEnd(shard, epoch, end));
    }

    /** All attempts have been looked for: appends the ends that were found. */
    void fenced(List<PlacementEffect> out) {
        fencing = false;
        found.forEach(end -> append(end.task(), end.status(), out));
        found.clear();
    }

    private void adopt(TaskEntry task, WorkerId worker, TaskStatus status, Source source, List<PlacementEffect> out) {
        if (task.active()) {
            free(task, false);
        }
        task.job.waiting.remove(task.id.index());
        task.attempt = status.attempt();
        task.worker = worker;
        task.command = null;
        task.measured = false;
        hold(task, Phase.RUNNING);
        task.since = source.asked();
        shared.quotas().adopt(task.job.job.team(), task.job.job.demand());
        note(task.job, "found " + task.id + " attempt " + status.attempt() + " " + status.state() + " on " + worker);
        queue(task.job);
        advance(task, status, source, out);
    }

    /** Marks an attempt as using its worker. Its quota is charged by the caller. */
    void hold(TaskEntry task, Phase phase) {
        task.phase = phase;
        task.since = now();
        task.stopping = false;
        task.moving = false;
        task.uncertain = false;
        task.place = shared.index().worker(task.worker).orElse(null);
        task.job.active++;
        if (task.place != null) {
            task.job.spread.add(task.place);
        }
    }

    /** Gives back all that an active attempt uses. */
    private void free(TaskEntry task, boolean confirmed) {
        if (task.phase == Phase.STARTING) {
            shared.index().settle(task.worker, task.job.job.demand(), confirmed, now());
        }
        shared.quotas().release(task.job.job.team(), task.job.job.demand());
        task.job.active--;
        if (task.place != null) {
            task.job.spread.remove(task.place);
        }
        task.phase = Phase.WAITING;
    }

    private void advance(TaskEntry task, TaskStatus status, Source source, List<PlacementEffect> out) {
        if (status.state().ended()) {
            end(task, status);
            return;
        }
        if (task.phase == Phase.STARTING) {
            // Evidence older than a list that does not have the attempt may precede a restart of the worker.
            Long listed = lists.get(task.worker);
            if (source.kind() == Kind.REPORT || (listed != null && source.asked() - listed < 0)) {
                return;
            }
            shared.index().settle(task.worker, task.job.job.demand(), true, now());
            task.phase = Phase.RUNNING;
            task.uncertain = false;
            task.since = now();
        }
        if (task.job.cancelled) {
            stop(task, out);
        } else if (shared.index().zoneOut(task.worker) && !task.moving) {
            moves.add(task);
        }
    }

    private void end(TaskEntry task, TaskStatus status) {
        JobEntry job = task.job;
        free(task, true);
        note(job, task.id + " attempt " + task.attempt + " " + status.state() + " on " + task.worker);
        Runnable next = switch (status.state()) {
            case FINISHED -> () -> succeed(task);
            case FAILED -> () -> fail(task);
            case STOPPED, CHECKPOINTED, LAPSED -> () -> retry(task, 0);
            case RUNNING -> throw new IllegalArgumentException("a running attempt has not ended");
        };
        next.run();
    }

    private void succeed(TaskEntry task) {
        JobEntry job = task.job;
        task.phase = Phase.DONE;
        if (task.measured) {
            shared.runTimes().learn(job.job.workClass(), now() - task.since);
        }
        shared.index().succeeded(task.worker, now());
        job.failedOn.clear();
        job.held = false;
        job.holds = 0;
        queue(job);
    }

    private void fail(TaskEntry task) {
        JobEntry job = task.job;
        task.failures++;
        boolean badWorker = shared.index().failed(task.worker, job.job.id(), now());
        if (!badWorker) {
            job.failedOn.add(task.worker);
        }
        job.failedOn.removeIf(shared.index()::quarantined);
        if (!badWorker && (job.held || job.failedOn.size() >= BAD_AFTER_WORKERS)) {
            holdJob(job);
        }
        retry(task, Timing.backOff(Timing.RETRY_DELAY, task.failures));
    }

    private void holdJob(JobEntry job) {
        job.holds++;
        job.held = true;
        job.holdUntil = now() + Timing.backOff(Timing.JOB_HOLD, job.holds);
        job.reason = "its tasks failed on " + job.failedOn.size() + " workers that are not quarantined";
        shared.index().absolve(job.failedOn, job.job.id(), now());
        note(job, "held: " + job.reason);
        timers.at(job.holdUntil, out -> queue(job));
    }

    /** Lets the task wait for its next attempt after a delay. */
    private void retry(TaskEntry task, long delay) {
        if (task.job.cancelled || task.finished) {
            task.phase = Phase.DONE;
            if (task.finishLogged) {
                finish(task.job, task.id.index());
            }
        } else if (delay == 0) {
            task.job.waiting.add(task.id.index());
        } else {
            Attempt ended = task.attempt;
            timers.at(now() + delay, out -> {
                if (task.phase == Phase.WAITING && !task.job.cancelled && task.attempt.equals(ended)) {
                    task.job.waiting.add(task.id.index());
                    queue(task.job);
                }
            });
        }
        queue(task.job);
    }

    /** Takes the answer to a start, or the refusal of a stop because the worker does not know the attempt. */
    void answered(PlacementEvent.StartAnswered event, List<PlacementEffect> out) {
        WorkerId worker = event.worker();
        Source source = new Source(Kind.ANSWER, event.asked());
        if (event.answer() instanceof StartAnswer.Done done) {
            observe(worker, done.status(), source, out);
            return;
        }
        TaskEntry task = current(event.task(), event.attempt());
        if (task == null || !task.active()) {
            return;
        }
        switch (event.answer()) {
            case StartAnswer.Done done -> observe(worker, done.status(), source, out);
            case StartAnswer.Refused refused -> {
                if (task.phase == Phase.STARTING || task.stopping || task.moving) {
                    shared.index().full(worker, now());
                    gone(task, "refused: " + refused.reason(), Timing.REFUSED_DELAY);
                }
            }
            // Another copy of the command may still reach the worker's next holder.
            case StartAnswer.NotHolder notHolder -> task.uncertain = true;
            case StartAnswer.Unknown unknown -> task.uncertain = true;
        }
    }

    /** A list taken at about the time of the confirmation does not have the attempt: asks for its state again. */
    void confirmAgain(TaskEntry task, List<PlacementEffect> out) {
        task.phase = Phase.STARTING;
        task.uncertain = true;
        out.add(task.command);
        repeatLater(task);
    }

    /** Ends an attempt of which no report will come: it never started, or its lease must have lapsed. */
    void gone(TaskEntry task, String why, long delay) {
        note(task.job, task.id + " attempt " + task.attempt + " on " + task.worker + " " + why);
        free(task, false);
        retry(task, delay);
    }

    private TaskEntry current(TaskId id, Attempt attempt) {
        JobEntry job = jobs.get(id.job());
        TaskEntry task = job == null ? null : job.tasks.get(id.index());
        return task == null || !attempt.equals(task.attempt) ? null : task;
    }

    /** Repeats a start until it has a result. */
    void repeatLater(TaskEntry task) {
        Attempt attempt = task.attempt;
        timers.at(now() + Timing.REPEAT, out -> {
            if (task.phase == Phase.STARTING && task.attempt.equals(attempt)) {
                if (task.stopping || task.job.cancelled) {
                    stop(task, out);
                } else {
                    // A command that has had no answer yet may have taken effect, like one with an unclear answer.
                    task.uncertain = true;
                    // While nobody holds the worker, a copy would be under way for its next holder when the attempt
                    // counts as lapsed.
                    if (shared.index().held(task.worker)) {
                        out.add(task.command);
                    }
                    repeatLater(task);
                }
            }
        });
    }

    /** Stops an attempt and repeats the command until its end is reported. */
    void stop(TaskEntry task, List<PlacementEffect> out) {
        if (!task.stopping) {
            task.stopping = true;
            sendStop(task, task.attempt, out);
        }
    }

    private void sendStop(TaskEntry task, Attempt attempt, List<PlacementEffect> out) {
        if (task.active() && task.attempt.equals(attempt)) {
            out.add(new PlacementEffect.Stop(task.worker, task.id, attempt));
            timers.at(now() + 4 * Timing.REPEAT, later -> sendStop(task, attempt, later));
        }
    }

    /** Checkpoints an attempt in a zone that was taken out, and repeats the command while the zone is out. */
    void move(TaskEntry task, Attempt attempt, List<PlacementEffect> out) {
        if (task.phase != Phase.RUNNING || !task.attempt.equals(attempt) || task.stopping) {
            return;
        }
        task.moving = shared.index().zoneOut(task.worker);
        if (task.moving) {
            out.add(new PlacementEffect.Checkpoint(task.worker, task.id, attempt));
            timers.at(now() + 4 * Timing.REPEAT, later -> move(task, attempt, later));
        }
    }

    /** The ends stand in the log: lets their workers drop them. */
    void logged(List<TaskEnd> ends, List<PlacementEffect> out) {
        for (TaskEnd end : ends) {
            WorkerId worker = unlogged.remove(new Ended(end.task(), end.attempt()));
            if (worker != null) {
                out.add(new PlacementEffect.Forget(worker, end.task(), end.attempt()));
            }
            JobEntry job = jobs.get(end.task().job());
            if (job != null && end.state() == TaskState.FINISHED) {
                finish(job, end.task().index());
            }
        }
    }

    private void finish(JobEntry job, int index) {
        TaskEntry task = job.tasks.get(index);
        if (task != null && task.active()) {
            task.finishLogged = true;
            return;
        }
        job.finished.set(index);
        job.waiting.remove(index);
        job.tasks.remove(index);
        queue(job);
        if (job.complete() && !job.cancelled) {
            jobs.remove(job.job.id());
        }
    }

    void note(JobEntry job, String decision) {
        job.note(shared.time().now(), decision);
    }

    long now() {
        return shared.time().nanos();
    }
}
