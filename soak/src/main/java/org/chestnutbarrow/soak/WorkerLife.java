package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.soak.Observation.EndKind;
import org.chestnutbarrow.soak.Observation.Incarnation;

/**
 * One incarnation of a worker: its lease, its runs and their ends. Thread-safe; all state is guarded by the monitor of
 * this object. Ends are determined when the state is next used, at the times at which they were due.
 *
 * <p>Invariants: nothing changes by a call with a token below the highest one; the lease is never shortened; when it runs
 * out all runs end; no run is started that is not above the last one of its task that was stopped or has ended.
 */
final class WorkerLife {
    /** Longest lease that is granted. */
    static final Duration MAX_LEASE = Duration.ofSeconds(10);

    private static final int FAILED_PERCENT = 4;
    private static final int MAX_STOP_MS = 120;

    /** Why a call was refused, or that it was not; {@code GONE} if the incarnation is down and cannot answer. */
    enum Answer {
        OK,
        FENCE,
        OLD,
        LATE,
        ROOM,
        GONE
    }

    /** A running task; it ends at {@code endsAt}, ns, unless the lease runs out before. */
    record Active(TaskKey task, int run, JobPlan.Stage need, long endsAt, EndKind how) {}

    /** The answer to a hold. */
    record Status(Answer answer, List<Active> running, List<Observation.Ended> ended) {
        private static Status refused(Answer answer) {
            return new Status(answer, List.of(), List.of());
        }
    }

    private record RunKey(TaskKey task, int run) {}

    private final Incarnation id;
    private final int cpu;
    private final History history;
    private final TimeSource time;
    private final RandomGenerator random;
    private final long startedAt;
    /** Rate of the clock of this worker; it may be 2% slow. */
    private final double rate;

    private final Map<RunKey, Active> active = new HashMap<>();
    private final Map<TaskKey, Integer> lastEnded = new HashMap<>();
    private final TreeMap<Long, Observation.Ended> ends = new TreeMap<>();
    private long lastNumber;
    private long highestToken;
    /** End of the lease by the clock of this worker. */
    private long deadlineMs = -1;

    private boolean leased;
    private boolean down;

    WorkerLife(Incarnation id, int cpu, History history, TimeSource time, RandomGenerator random) {
        this.id = id;
        this.cpu = cpu;
        this.history = history;
        this.time = time;
        this.random = random;
        this.startedAt = time.nanos();
        this.rate = 1 - random.nextDouble(0.02);
    }

    Incarnation id() {
        return id;
    }

    synchronized long clockMs() {
        return clockMs(time.nanos());
    }

    private long clockMs(long now) {
        return (long) ((now - startedAt) * rate / 1e6);
    }

    private long leaseEnd() {
        return startedAt + (long) (deadlineMs * 1e6 / rate);
    }

    /** Brings the state up to date and checks whether a call with a token has an effect. */
    private Answer admit(long token) {
        advance();
        if (down) {
            return Answer.GONE;
        }
        highestToken = Math.max(highestToken, token);
        return token < highestToken ? Answer.FENCE : Answer.OK;
    }

    private void extend(long requestedMs) {
        long limit = clockMs(time.nanos()) + MAX_LEASE.toMillis();
        deadlineMs = Math.max(deadlineMs, Math.min(requestedMs, limit));
        leased = leaseEnd() - time.nanos() > 0;
    }

    synchronized Answer start(TaskKey task, int run, JobPlan.Stage need, long token, long leaseMs) {
        Answer admitted = admit(token);
        if (admitted != Answer.OK) {
            return admitted;
        }
        if (leaseMs <= clockMs()) {
            return Answer.LATE;
        }
        if (active.containsKey(new RunKey(task, run))) {
            extend(leaseMs);
            return Answer.OK;
        }
        if (run <= lastEnded.getOrDefault(task, 0)) {
            return Answer.OLD;
        }
        int reserved = active.values().stream()
                .mapToInt(other -> other.need().reservedCpu())
                .sum();
        if (reserved + need.reservedCpu() > cpu) {
            return Answer.ROOM;
        }
        extend(leaseMs);
        long now = time.nanos();
        EndKind how = random.nextInt(100) < FAILED_PERCENT ? EndKind.FAILED : EndKind.DONE;
        long length = (long) (need.runTime().toNanos() * random.nextDouble(0.7, 1.3));
        active.put(new RunKey(task, run), new Active(task, run, need, now + length, how));
        history.record(new Observation.Started(history.at(now), id, task, run));
        notifyAll();
        return Answer.OK;
    }

    /** Stops a run within a short time, for which the call waits, and refuses it from then on. */
    synchronized Answer stop(TaskKey task, int run, long token) throws InterruptedException {
        Answer admitted = admit(token);
        if (admitted != Answer.OK) {
            return admitted;
        }
        lastEnded.merge(task, run, Math::max);
        Active stopped = active.get(new RunKey(task, run));
        if (stopped == null) {
            return Answer.OK;
        }
        long stopAt =
                time.nanos() + Duration.ofMillis(random.nextInt(MAX_STOP_MS)).toNanos();
        if (stopAt < stopped.endsAt()) {
            active.put(new RunKey(task, run), new Active(task, run, stopped.need(), stopAt, EndKind.STOPPED));
        }
        notifyAll();
        while (active.containsKey(new RunKey(task, run)) && !down) {
            wait(untilNextMs(stopAt));
            advance();
        }
        return down ? Answer.GONE : Answer.OK;
    }

    /** Extends the lease, discards acknowledged ends, and waits for an end. A negative lease extends nothing. */
    synchronized Status hold(long token, long leaseMs, long acknowledged, Duration wait, boolean unordered)
            throws InterruptedException {
        Answer admitted = admit(token);
        if (admitted != Answer.OK) {
            return Status.refused(admitted);
        }
        if (leaseMs >= 0) {
            extend(leaseMs);
        }
        Map<Long, Observation.Ended> discarded = ends.headMap(acknowledged, true);
        if (!discarded.isEmpty()) {
            history.record(new Observation.Acknowledged(history.now(), id, acknowledged));
            discarded.clear();
        }
        long deadline = time.nanos() + wait.toNanos();
        while (ends.isEmpty() && !down && deadline - time.nanos() > 0) {
            wait(untilNextMs(deadline));
            advance();
        }
        if (down) {
            return Status.refused(Answer.GONE);
        }
        List<Observation.Ended> listed = new ArrayList<>(ends.values());
        if (unordered) {
            shuffle(listed);
        }
        return new Status(Answer.OK, List.copyOf(active.values()), listed);
    }

    private void shuffle(List<Observation.Ended> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            list.set(i, list.set(random.nextInt(i + 1), list.get(i)));
        }
    }

    /** Ends the incarnation with all its runs. */
    synchronized void goDown() {
        advance();
        down = true;
        active.clear();
        history.record(new Observation.WentDown(history.now(), id));
        notifyAll();
    }

    /** Returns the time until a run or the lease ends or a deadline, ns, is reached, rounded up to a millisecond. */
    private long untilNextMs(long deadline) {
        long now = time.nanos();
        long next = Math.min(deadline, leased ? leaseEnd() : deadline);
        for (Active run : active.values()) {
            next = Math.min(next, run.endsAt());
        }
        return Math.max(0, (next - now) / 1_000_000) + 1;
    }

    /** Ends the runs that are due. */
    synchronized void advance() {
        if (down) {
            return;
        }
        long now = time.nanos();
        boolean expired = leased && leaseEnd() <= now;
        long until = expired ? leaseEnd() : now;
        active.values().stream()
                .filter(run -> run.endsAt() <= until)
                .sorted(Comparator.comparingLong(Active::endsAt))
                .toList()
                .forEach(run -> end(run, run.endsAt(), run.how()));
        if (expired) {
            leased = false;
            List.copyOf(active.values()).forEach(run -> end(run, until, EndKind.LAPSED));
            history.record(new Observation.LeaseExpired(history.at(until), id));
        }
    }

    private void end(Active run, long at, EndKind how) {
        active.remove(new RunKey(run.task(), run.run()));
        lastEnded.merge(run.task(), run.run(), Math::max);
        lastNumber++;
        Observation.Ended ended = new Observation.Ended(history.at(at), id, lastNumber, run.task(), run.run(), how);
        ends.put(lastNumber, ended);
        history.record(ended);
        notifyAll();
    }
}
