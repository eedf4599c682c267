package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;

/**
 * Plays a series of owners, each with its own {@link LeaseTracker}, against workers that keep leases by clocks of their
 * own and a store that fences earlier owners. The seed decides all that happens. Used by one thread.
 *
 * <p>Invariants that each play checks: the runs of a worker are released only when no lease of them can be valid; the
 * newest owner extends no lease while a silence of the worker is stored or may still be.
 */
final class LeaseSimulation {
    static final Duration MAX_SILENCE = Duration.ofMillis(7080);
    static final Duration MAX_LEASE = Duration.ofSeconds(6);

    private static final double MIN_CLOCK_RATE = 0.98;
    private static final Duration HOLD_WAIT = Duration.ofMillis(500);
    private static final Duration SERIES = Duration.ofSeconds(25);
    private static final Duration CALM = Duration.ofSeconds(10);
    private static final int WORKERS = 5;
    private static final int TRACE_LENGTH = 80;

    /** What happens in a play. */
    sealed interface Kind {}

    /** All owners close their terms; some workers fall silent for good; no call or write fails otherwise. */
    record PlannedWork() implements Kind {}

    /** Owners are closed, paused, killed or replaced; calls and writes are lost, late or unknown. */
    record Faults() implements Kind {}

    private record Event(long at, long order, Runnable action) {}

    /** What an owner knows of the clock of a worker. */
    record Reading(long clock, long readAt) {}

    /** The owner recorded last, with the lease times that it left when it closed its term. */
    record StoredOwner(long token, Optional<Map<WorkerIncarnation, Duration>> remainingLeases) {}

    /** Runs of a worker that an owner has released, and for how long a lease of them could still be valid then. */
    record Release(Worker worker, Duration leaseLeft) {}

    /** The outcome of an attempt to write. */
    enum Outcome {
        ANSWERED,
        REFUSED,
        ANSWER_LOST,
        LATE
    }

    final Kind kind;
    private final long seed;
    final Random random;
    final ManualTime time = new ManualTime();
    private final long startedAt = time.nanos();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<String> trace = new ArrayList<>();
    final Map<WorkerIncarnation, Worker> workers = new LinkedHashMap<>();
    final Store store = new Store();
    /** Time without an owner, from the close of a term to the start of the next. */
    private Duration ownerless = Duration.ZERO;

    Optional<Long> ownerlessSince = Optional.empty();
    /** Whether the last owner was replaced while it could reach the workers and not the store. */
    private boolean contested;

    private long scheduled;

    LeaseSimulation(Kind kind, long seed) {
        this.kind = kind;
        this.seed = seed;
        this.random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(new WorkerIncarnation(new WorkerId("w" + i), i));
            workers.put(worker.incarnation, worker);
        }
        store.placed.addAll(workers.values());
    }

    /** Plays the series of owners and then a calm time with one owner. */
    void run() {
        schedule(Duration.ZERO, this::takeOver);
        switch (kind) {
            case PlannedWork _ -> scheduleDepartures();
            case Faults _ -> {
                workers.values().forEach(this::scheduleSilence);
                schedule(between(3000, 10_000), store::fail);
            }
        }
        schedule(SERIES, this::takeOver);
        long end = startedAt + SERIES.plus(CALM).toNanos();
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(event.at() - time.nanos()));
            event.action().run();
        }
        checkEnd();
    }

    private void checkEnd() {
        for (Worker worker : workers.values()) {
            if (worker.goneAt.isPresent()) {
                check(worker.releasedAt.isPresent(), worker + " is gone and its runs were never released");
            } else {
                Duration unextended = Duration.ofNanos(time.nanos() - worker.extendedAt);
                check(
                        unextended.compareTo(HOLD_WAIT.multipliedBy(4)) < 0,
                        worker + " answers and was not extended for " + unextended.toMillis() + " ms");
            }
        }
    }

    private void scheduleDepartures() {
        for (Worker worker : workers.values()) {
            if (chance(0.4)) {
                schedule(between(4000, 8000), worker::leave);
            }
        }
    }

    private void scheduleSilence(Worker worker) {
        schedule(between(500, 8000), () -> {
            if (isSeriesOver()) {
                return;
            }
            worker.silentUntil =
                    time.nanos() + between(100, chance(0.5) ? 2000 : 12_000).toNanos();
            log(worker + " silent until " + seconds(worker.silentUntil));
            scheduleSilence(worker);
        });
    }

    private boolean isSeriesOver() {
        return time.nanos() - startedAt >= SERIES.toNanos();
    }

    /** Fences the current owner and starts a new one. Some never start. */
    private void takeOver() {
        long token = ++store.fence;
        StoredOwner predecessor = store.owner;
        store.owner = new StoredOwner(token, Optional.empty());
        boolean faulty = kind instanceof Faults && !isSeriesOver();
        if (faulty && chance(0.1)) {
            log("owner " + token + " never starts");
            schedule(between(100, 1000), () -> replace(token));
            return;
        }
        // A snapshot that was loaded in between hides the record of the predecessor.
        Map<WorkerIncarnation, Duration> remainingLeases =
                faulty && chance(0.1) ? Map.of() : predecessor.remainingLeases().orElse(Map.of());
        schedule(between(20, 400), () -> {
            if (store.fence == token) {
                startOwner(token, remainingLeases);
            }
        });
    }

    /** Takes over unless another owner has done so. */
    void replace(long token) {
        if (store.fence == token && !isSeriesOver()) {
            takeOver();
        }
    }

    private void startOwner(long token, Map<WorkerIncarnation, Duration> remainingLeases) {
        ownerlessSince.ifPresent(since -> ownerless = ownerless.plusNanos(time.nanos() - since));
        ownerlessSince = Optional.empty();
        SimulatedOwner owner = new SimulatedOwner(this, token);
        if (faultyCalls() && chance(contested ? 0.7 : 0.1)) {
            owner.cutOffFromWorkersUntil = time.nanos() + between(100, 5000).toNanos();
            log("owner " + token + " cut off from workers until " + seconds(owner.cutOffFromWorkersUntil));
        }
        owner.start(remainingLeases);
        if (!isSeriesOver()) {
            schedule(between(200, contested ? 16_000 : chance(0.2) ? 9000 : 4000), () -> endTerm(owner));
        }
        contested = false;
    }

    private void endTerm(SimulatedOwner owner) {
        if (isSeriesOver() || owner.ended) {
            return;
        }
        switch (kind) {
            case PlannedWork _ -> owner.close();
            case Faults _ -> {
                int choice = random.nextInt(100);
                if (choice < 35) {
                    owner.close();
                } else if (choice < 60) {
                    log("owner " + owner.token + " crashes");
                    owner.crash();
                    schedule(between(100, 2000), () -> replace(owner.token));
                } else if (choice < 85) {
                    owner.pause(between(500, 9000));
                    if (chance(0.3)) {
                        owner.later(Duration.ZERO, owner::close);
                    }
                    schedule(between(800, 2500), () -> replace(owner.token));
                } else {
                    log("owner " + owner.token + " is replaced");
                    owner.cutOffFromStoreUntil =
                            time.nanos() + between(0, 14_000).toNanos();
                    contested = true;
                    takeOver();
                }
            }
        }
    }

    void schedule(Duration delay, Runnable action) {
        events.add(new Event(time.nanos() + delay.toNanos(), scheduled++, action));
    }

    Duration between(long minMs, long maxMs) {
        return Duration.ofMillis(minMs + random.nextLong(maxMs - minMs));
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    boolean faultyCalls() {
        return kind instanceof Faults && !isSeriesOver();
    }

    String seconds(long nanos) {
        return "%.3f s".formatted((nanos - startedAt) / 1e9);
    }

    void log(String event) {
        trace.add(seconds(time.nanos()) + " " + event);
    }

    void check(boolean condition, String violation) {
        if (!condition) {
            List<String> last = trace.subList(Math.max(0, trace.size() - TRACE_LENGTH), trace.size());
            throw new AssertionError(kind + " seed " + seed + " at " + seconds(time.nanos()) + ": " + violation + "\n"
                    + String.join("\n", last));
        }
    }

    /** A call that carries a lease, until it has been carried out or lost. */
    static final class Call {
        final SimulatedOwner owner;
        final long deadline;
        boolean sent;
        boolean settled;

        Call(SimulatedOwner owner, long deadline) {
            this.owner = owner;
            this.deadline = deadline;
        }

        boolean mayTakeEffect() {
            return !settled && (sent || !owner.crashed);
        }
    }

    /** A worker, which keeps the longest lease that a call with the newest token has given it. */
    final class Worker {
        final WorkerIncarnation incarnation;
        final double rate = MIN_CLOCK_RATE + (1 - MIN_CLOCK_RATE) * random.nextDouble();
        final List<Call> calls = new ArrayList<>();
        long leaseUntil;
        long newestToken;
        long silentUntil = time.nanos();
        long extendedAt = time.nanos();
        Optional<Long> goneAt = Optional.empty();
        Duration ownerlessBefore = Duration.ZERO;
        Optional<Long> releasedAt = Optional.empty();

        Worker(WorkerIncarnation incarnation) {
            this.incarnation = incarnation;
        }

        long clock() {
            return (long) ((time.nanos() - startedAt) * rate);
        }

        boolean isSilent() {
            return goneAt.isPresent() || (!isSeriesOver() && time.nanos() - silentUntil < 0);
        }

        void leave() {
            goneAt = Optional.of(time.nanos());
            ownerlessBefore = ownerless.plus(ownerlessSince
                    .map(since -> Duration.ofNanos(time.nanos() - since))
                    .orElse(Duration.ZERO));
            log(this + " is gone");
        }

        /** Carries out a call; returns false if a newer token was seen. */
        boolean carryOut(long token, Optional<Call> call) {
            call.ifPresent(c -> c.settled = true);
            if (token < newestToken) {
                return false;
            }
            newestToken = token;
            if (call.isPresent() && call.get().deadline > leaseUntil) {
                leaseUntil = call.get().deadline;
                extendedAt = time.nanos();
            }
            return true;
        }

        /** Returns for how long a lease may still be valid, also by calls that may be carried out later. */
        Duration leaseLeft() {
            calls.removeIf(call -> !call.mayTakeEffect());
            long until = calls.stream()
                    .filter(call -> call.owner.token >= newestToken)
                    .mapToLong(call -> call.deadline)
                    .reduce(leaseUntil, Math::max);
            return Duration.ofNanos(until - clock());
        }

        @Override
        public String toString() {
            return incarnation.worker().value();
        }
    }

    /** A batch that an owner stores as a whole. */
    static final class Write {
        final long token;
        final List<Release> releases;
        final Set<Worker> placements;
        final Optional<Map<WorkerIncarnation, Duration>> silences;
        final Optional<Map<WorkerIncarnation, Duration>> remainingLeases;
        boolean stored;

        Write(
                long token,
                List<Release> releases,
                Set<Worker> placements,
                Optional<Map<WorkerIncarnation, Duration>> silences,
                Optional<Map<WorkerIncarnation, Duration>> remainingLeases) {
            this.token = token;
            this.releases = releases;
            this.placements = placements;
            this.silences = silences;
            this.remainingLeases = remainingLeases;
        }

        boolean isEmpty() {
            return releases.isEmpty() && placements.isEmpty() && silences.isEmpty() && remainingLeases.isEmpty();
        }
    }

    /** The store, which applies no write of an owner that is not the newest. */
    final class Store {
        long fence;
        StoredOwner owner = new StoredOwner(0, Optional.empty());
        Map<WorkerIncarnation, Duration> silences = Map.of();
        final Set<Worker> placed = new HashSet<>();
        final List<Write> unresolved = new ArrayList<>();
        long downUntil = time.nanos();

        void fail() {
            if (!isSeriesOver()) {
                downUntil = time.nanos() + between(200, 6000).toNanos();
                log("store down until " + seconds(downUntil));
                schedule(between(4000, 12_000), this::fail);
            }
        }

        boolean isDown() {
            return !isSeriesOver() && time.nanos() - downUntil < 0;
        }

        /** Stores a batch unless it is stored already; returns false if a newer owner exists. */
        boolean apply(Write write) {
            if (write.stored) {
                return true;
            }
            if (write.token < fence) {
                return false;
            }
            write.stored = true;
            unresolved.remove(write);
            for (Release release : write.releases) {
                check(
                        !release.leaseLeft().isPositive(),
                        "the runs of " + release.worker() + " were released while a lease could be valid for "
                                + release.leaseLeft().toMillis() + " ms");
                placed.remove(release.worker());
                noteRelease(release.worker());
            }
            placed.addAll(write.placements);
            write.silences.ifPresent(record -> silences = record);
            if (write.remainingLeases.isPresent()) {
                owner = new StoredOwner(write.token, write.remainingLeases);
            }
            return true;
        }

        private void noteRelease(Worker worker) {
            if (worker.goneAt.isEmpty() || worker.releasedAt.isPresent()) {
                return;
            }
            worker.releasedAt = Optional.of(time.nanos());
            Duration wait = Duration.ofNanos(time.nanos() - worker.goneAt.get());
            Duration bound = MAX_SILENCE.plus(ownerless).minus(worker.ownerlessBefore);
            check(
                    wait.compareTo(bound) <= 0,
                    "the runs of " + worker + " were released after " + wait.toMillis() + " ms, not within "
                            + bound.toMillis());
        }

        boolean mayRecordSilence(WorkerIncarnation incarnation) {
            return silences.containsKey(incarnation)
                    || unresolved.stream()
                            .filter(write -> write.token == fence)
                            .anyMatch(write -> write.silences
                                    .filter(record -> record.containsKey(incarnation))
                                    .isPresent());
        }
    }

    /** What an owner knows of a worker. */
    static final class Link {
        final Worker worker;
        boolean held;
        boolean answered;
        long lastAnswerAt;
        Optional<Reading> reading = Optional.empty();

        Link(Worker worker, long now) {
            this.worker = worker;
            this.lastAnswerAt = now;
        }
    }
}
