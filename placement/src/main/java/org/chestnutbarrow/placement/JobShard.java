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
import org.chestnutbarrow.placement.PlacementEvent.AttemptsFound;
import org.chestnutbarrow.placement.PlacementEvent.ShardGained;
import org.chestnutbarrow.placement.TaskEntry.Phase;

/**
 * One job shard. Safe for use by several threads; every access is under the shard's own lock.
 *
 * <p>Invariant: an attempt is issued only while the shard is owned and its earlier attempts have been looked for.
 */
final class JobShard {
    /** Most attempts issued for one job before the next most urgent one is looked at. */
    private static final int BATCH = 16;

    /** Most stop commands issued per tick, so that a wave of cancellations does not delay starts. */
    private static final int STOPS = 256;

    /** Most decisions that were due at a time that are taken per tick. */
    private static final int DUE = 1024;

    /** Time between two checkpoints of tasks in zones that were taken out, and the most in a row. */
    private static final long MOVE_INTERVAL = 50_000_000L;

    private static final int MOVES = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final Shared shared;
    private final int number;
    private final TaskMachine machine;
    private final ArrayDeque<JobEntry> cancelling = new ArrayDeque<>();
    private final ArrayDeque<TaskEntry> stops = new ArrayDeque<>();
    private final Set<JobEntry> parked = new HashSet<>();
    private boolean owned;
    private boolean fenced;
    private long epoch;
    private long sequence;
    private long startsFrom;
    private long lastMove;

    JobShard(int number, Shared shared) {
        this.number = number;
        this.shared = shared;
        machine = new TaskMachine(number, shared);
    }

    /** Runs a decision under the lock if the shard is owned. */
    void owned(Runnable decision) {
        locked(() -> {
            if (owned) {
                decision.run();
            }
            return null;
        });
    }

    private <T> T locked(java.util.function.Supplier<T> action) {
        lock.lock();
        try {
            return action.get();
        } finally {
            lock.unlock();
        }
    }

    /** The task states, for use within {@link #owned}. */
    TaskMachine machine() {
        return machine;
    }

    void gained(ShardGained event) {
        locked(() -> {
            if (event.epoch() > epoch) {
                reset(event.epoch());
                owned = true;
                event.jobs().forEach(this::add);
            }
            return null;
        });
    }

    void lost() {
        owned(() -> {
            reset(epoch);
            owned = false;
        });
    }

    private void reset(long newEpoch) {
        machine.reset(newEpoch);
        cancelling.clear();
        stops.clear();
        parked.clear();
        fenced = false;
        epoch = newEpoch;
        sequence = 0;
    }

    void fenced(long fencedEpoch, long from, List<PlacementEffect> out) {
        owned(() -> {
            if (fencedEpoch == epoch && !fenced) {
                fenced = true;
                startsFrom = from;
                machine.fenced(out);
            }
        });
    }

    void add(LoggedJob logged) {
        owned(() -> {
            if (!machine.jobs.containsKey(logged.job().id())) {
                JobEntry job = new JobEntry(logged);
                machine.jobs.put(logged.job().id(), job);
                machine.queue(job);
            }
        });
    }

    void cancel(JobId id) {
        owned(() -> {
            JobEntry job = machine.jobs.get(id);
            if (job != null && !job.cancelled) {
                job.cancelled = true;
                job.waiting.clear();
                parked.remove(job);
                machine.queue(job);
                machine.note(job, "cancelled");
                cancelling.add(job);
            }
        });
    }

    /** Takes the complete list of the shard's attempts at a worker. */
    void found(AttemptsFound event, List<PlacementEffect> out) {
        owned(() -> {
            Long newest = machine.lists.get(event.worker());
            if (event.epoch() != epoch || (newest != null && event.asked() - newest < 0)) {
                return;
            }
            machine.lists.put(event.worker(), event.asked());
            Set<TaskId> listed = new HashSet<>();
            TaskMachine.Source source = new TaskMachine.Source(TaskMachine.Kind.LIST, event.asked());
            for (TaskStatus status : event.tasks()) {
                listed.add(status.task());
                machine.observe(event.worker(), status, source, out);
            }
            List<TaskEntry> missing = active(task ->
                    task.phase == Phase.RUNNING && task.worker.equals(event.worker()) && !listed.contains(task.id));
            for (TaskEntry task : missing) {
                // A late duplicate of a start made under this epoch can still take effect at a worker that has lost its
                // state, so that attempt is asked for again instead of being replaced.
                if (task.command != null) {
                    machine.confirmAgain(task, out);
                } else if (task.since - event.asked() < 0) {
                    machine.gone(task, "is gone: the worker no longer lists it", 0);
                }
            }
        });
    }

    private List<TaskEntry> active(java.util.function.Predicate<TaskEntry> filter) {
        List<TaskEntry> tasks = new ArrayList<>();
        for (JobEntry job : machine.jobs.values()) {
            if (job.active > 0) {
                job.tasks.values().stream()
                        .filter(TaskEntry::active)
                        .filter(filter)
                        .forEach(tasks::add);
            }
        }
        return tasks;
    }

    /** Queues the attempts in zones that were taken out to be moved, always-on ones first. */
    void zonesChanged() {
        owned(() -> {
            machine.moves.clear();
            List<TaskEntry> tasks = active(task -> shared.index().zoneOut(task.worker));
            tasks.sort(java.util.Comparator.comparing(task -> !task.job.group.alwaysOn()));
            machine.moves.addAll(tasks);
        });
    }

    /** Looks again at jobs that could not be placed, because workers or quotas have changed. */
    void recheck(List<PlacementEffect> out) {
        owned(() -> {
            for (JobEntry job : List.copyOf(parked)) {
                if (unplaceable(job).isEmpty()) {
                    parked.remove(job);
                    job.unplaceable = false;
                    out.add(new PlacementEffect.Unplaceable(job.job.id(), ""));
                    machine.queue(job);
                }
            }
        });
    }

    /** Does what is due now, apart from placing waiting tasks. */
    void tick(long now, Set<WorkerId> lapsed, List<PlacementEffect> out) {
        owned(() -> {
            machine.timers.run(now, DUE, out);
            if (!lapsed.isEmpty()) {
                active(task -> lapsed.contains(task.worker))
                        .forEach(task -> machine.gone(task, "lapsed: no daemon holds the worker", 0));
            }
            stopCancelled(out);
            long moves = Math.min(MOVES, (now - lastMove) / MOVE_INTERVAL);
            for (long i = 0; i < moves && !machine.moves.isEmpty(); i++) {
                TaskEntry task = machine.moves.poll();
                lastMove = now;
                machine.move(task, task.attempt, out);
            }
        });
    }

    private void stopCancelled(List<PlacementEffect> out) {
        for (int i = 0; i < STOPS && !(stops.isEmpty() && cancelling.isEmpty()); i++) {
            if (stops.isEmpty()) {
                cancelling.poll().tasks.values().stream()
                        .filter(TaskEntry::active)
                        .forEach(stops::add);
            } else {
                TaskEntry task = stops.poll();
                if (task.active()) {
                    machine.stop(task, out);
                }
            }
        }
    }

    /** The most urgent job's position among those that may be placed now; empty if there is none. */
    Optional<ReadyQueue.Key> urgency(Set<JobEntry.Group> blocked) {
        return locked(() -> open() ? Optional.ofNullable(machine.ready.first(blocked)) : Optional.<JobEntry>empty())
                .map(job -> job.key);
    }

    private boolean open() {
        return owned && fenced && machine.now() - startsFrom >= 0;
    }

    /** Issues attempts for the most urgent job; adds its group to {@code blocked} if it cannot be placed. */
    int place(Set<JobEntry.Group> blocked, List<PlacementEffect> out) {
        return locked(() -> {
            JobEntry job = open() ? machine.ready.first(blocked) : null;
            if (job == null) {
                return 0;
            }
            String impossible = unplaceable(job);
            if (!impossible.isEmpty()) {
                park(job, impossible, out);
                return 0;
            }
            int most = job.held ? Math.max(0, 1 - job.active) : BATCH;
            int placed = 0;
            while (placed < most && job.waiting.size() > 0 && placeOne(job, blocked, out)) {
                placed++;
            }
            if (job.held) {
                // The probe's end puts the job back into the queue.
                machine.ready.remove(job);
            } else {
                machine.queue(job);
            }
            return placed;
        });
    }

    private boolean placeOne(JobEntry job, Set<JobEntry.Group> blocked, List<PlacementEffect> out) {
        long now = machine.now();
        if (!shared.quotas().charge(job.job.team(), job.job.demand())) {
            return block(job, "team " + job.job.team() + " uses its quota", blocked);
        }
        Optional<WorkerIndex.Choice> choice = shared.index().choose(job.job.demand(), job.spread, now);
        if (choice.isEmpty()) {
            shared.quotas().release(job.job.team(), job.job.demand());
            return block(job, "no worker with room in a zone that is in", blocked);
        }
        int index = job.waiting.first();
        job.waiting.remove(index);
        job.reason = "";
        TaskEntry task = job.task(index);
        task.attempt = new Attempt(epoch, ++sequence);
        task.worker = choice.get().worker().id();
        machine.hold(task, Phase.STARTING);
        task.measured = task.resume.isEmpty();
        task.command = new PlacementEffect.Start(
                task.worker,
                task.id,
                job.job.workClass(),
                number,
                task.attempt,
                job.job.demand(),
                job.job.runTime(),
                task.resume,
                choice.get().why());
        out.add(task.command);
        machine.repeatLater(task);
        machine.note(
                job,
                "start " + task.id + " attempt " + task.attempt + " on " + task.worker + ": "
                        + choice.get().why());
        return true;
    }

    private boolean block(JobEntry job, String reason, Set<JobEntry.Group> blocked) {
        job.reason = reason;
        blocked.add(job.group);
        return false;
    }

    private String unplaceable(JobEntry job) {
        if (!shared.quotas().possible(job.job.team(), job.job.demand())) {
            return "one task exceeds the quota of team " + job.job.team();
        }
        return shared.index().possible(job.job.demand()) ? "" : "one task needs more than any worker has";
    }

    private void park(JobEntry job, String reason, List<PlacementEffect> out) {
        job.unplaceable = true;
        job.reason = reason;
        parked.add(job);
        machine.queue(job);
        machine.note(job, "unplaceable: " + reason);
        out.add(new PlacementEffect.Unplaceable(job.job.id(), reason));
    }

    /** Answers a query about a job, if this shard is owned and knows it. */
    Optional<JobExplanation> explain(JobId id) {
        Function<JobEntry, JobExplanation> explain = job -> job.explain(open());
        return locked(() -> owned ? Optional.ofNullable(machine.jobs.get(id)).map(explain) : Optional.empty());
    }
}
