package org.chestnutbarrow.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.node.LeaseSimulation.Call;
import org.chestnutbarrow.node.LeaseSimulation.Link;
import org.chestnutbarrow.node.LeaseSimulation.Outcome;
import org.chestnutbarrow.node.LeaseSimulation.PlannedWork;
import org.chestnutbarrow.node.LeaseSimulation.Reading;
import org.chestnutbarrow.node.LeaseSimulation.Release;
import org.chestnutbarrow.node.LeaseSimulation.Worker;
import org.chestnutbarrow.node.LeaseSimulation.Write;

/**
 * An owner of a {@link LeaseSimulation} with the parts of a term that use the tracker, by a clock of its own origin. Used
 * by one thread.
 */
final class SimulatedOwner implements TimeSource {
    private static final int MAX_RECORD_BYTES = StateStore.Limits.DEFAULT.recordBytes();

    private static final Duration LEASE = Duration.ofSeconds(4);
    /** A lease by a clock that is 2% slow, and 300 ms. */
    private static final Duration LEASE_BOUND = Duration.ofMillis(4380);

    private static final Duration HOLD_WAIT = Duration.ofMillis(500);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(750);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_WORKER_SILENCE = Duration.ofMillis(1300);
    private static final Duration ANSWER_WINDOW = Duration.ofMillis(1500);
    private static final Duration MAX_EXTENSION_WITHOUT_STORE = Duration.ofSeconds(12);
    private static final Duration PLAN_INTERVAL = Duration.ofMillis(200);
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(2);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration MAX_LATENESS = Duration.ofSeconds(5);

    private final LeaseSimulation simulation;
    final long token;
    private final long clockOrigin;
    private final LeaseTracker tracker =
            new LeaseTracker(this, LeaseSimulation.MAX_SILENCE, LeaseSimulation.MAX_LEASE, MAX_RECORD_BYTES);
    final Map<WorkerIncarnation, Link> links = new LinkedHashMap<>();
    final Set<Worker> placed = new HashSet<>();
    Optional<Write> pending = Optional.empty();
    Optional<Map<WorkerIncarnation, Duration>> remainingLeases = Optional.empty();
    long confirmedAt;
    long pausedUntil;
    long cutOffFromWorkersUntil;
    long cutOffFromStoreUntil;
    boolean majorityAnswered;
    boolean ended;
    boolean crashed;

    SimulatedOwner(LeaseSimulation simulation, long token) {
        this.simulation = simulation;
        this.clockOrigin = simulation.random.nextLong() >> 4;
        this.pausedUntil = simulation.time.nanos();
        this.cutOffFromWorkersUntil = pausedUntil;
        this.cutOffFromStoreUntil = pausedUntil;
        this.token = token;
        this.confirmedAt = nanos();
    }

    @Override
    public Instant now() {
        return simulation.time.now();
    }

    @Override
    public long nanos() {
        return simulation.time.nanos() + clockOrigin;
    }

    /** Schedules an action of this process, which does nothing while it is paused or after it was killed. */
    void later(Duration delay, Runnable action) {
        simulation.schedule(delay, () -> {
            if (!crashed && simulation.time.nanos() - pausedUntil < 0) {
                later(Duration.ofNanos(pausedUntil - simulation.time.nanos()), action);
            } else if (!crashed) {
                action.run();
            }
        });
    }

    void start(Map<WorkerIncarnation, Duration> inherited) {
        simulation.log("owner " + token + " starts, silences " + millis(simulation.store.silences) + ", leases "
                + millis(inherited));
        placed.addAll(simulation.store.placed);
        tracker.start(
                simulation.store.silences,
                inherited,
                placed.stream().map(worker -> worker.incarnation).collect(Collectors.toSet()));
        for (Worker worker : simulation.workers.values()) {
            Link link = new Link(worker, nanos());
            links.put(worker.incarnation, link);
            later(threadDelay(), () -> hold(link));
        }
        later(Duration.ZERO, this::plan);
        later(CONFIRMATION_INTERVAL, this::confirm);
    }

    void crash() {
        crashed = true;
        ended = true;
    }

    void pause(Duration duration) {
        simulation.log("owner " + token + " is paused for " + duration.toMillis() + " ms");
        pausedUntil = simulation.time.nanos() + duration.toNanos();
    }

    void end() {
        ended = true;
    }

    /** Closes the term; another owner takes over once it has ended. */
    void close() {
        remainingLeases = Optional.of(tracker.close());
        simulation.log("owner " + token + " closes, leases " + millis(remainingLeases.get()));
        long closedAt = simulation.time.nanos();
        simulation.ownerlessSince = Optional.of(closedAt);
        plan();
        later(CLOSE_TIMEOUT, this::end);
        simulation.schedule(
                simulation.kind instanceof PlannedWork ? simulation.between(100, 600) : simulation.between(0, 1500),
                () -> simulation.replace(token));
    }

    private Duration threadDelay() {
        return simulation.faultyCalls() && simulation.chance(0.03)
                ? simulation.between(1, 6000)
                : simulation.between(0, 5);
    }

    private boolean majority(long answeredWithin) {
        long answered = links.values().stream()
                .filter(link -> link.answered && nanos() - link.lastAnswerAt < answeredWithin)
                .count();
        return 2 * answered > links.size();
    }

    private boolean mayExtend() {
        long unconfirmed = nanos() - confirmedAt;
        return !ended
                && unconfirmed < MAX_EXTENSION_WITHOUT_STORE.toNanos()
                && (unconfirmed < ANSWER_WINDOW.toNanos() || majority(ANSWER_WINDOW.toNanos()));
    }

    private void hold(Link link) {
        if (ended) {
            return;
        }
        boolean reachable = nanos() - link.lastAnswerAt < MAX_WORKER_SILENCE.toNanos();
        call(link, link.held && reachable, HOLD_WAIT);
    }

    /** Makes a call; its thread may be delayed before the extension is allowed and before the call is sent. */
    private void call(Link link, boolean extend, Duration wait) {
        long now = nanos();
        boolean permitted = extend && link.reading.isPresent() && mayExtend();
        later(threadDelay(), () -> {
            Optional<Call> call = permitted && extend(link, now)
                    ? Optional.of(new Call(this, deadline(link.reading.get(), now)))
                    : Optional.empty();
            call.ifPresent(link.worker.calls::add);
            later(threadDelay(), () -> send(link, call, wait));
        });
    }

    private static long deadline(Reading reading, long now) {
        return reading.clock() + (now - reading.readAt()) + LEASE.toNanos();
    }

    private boolean extend(Link link, long now) {
        WorkerIncarnation incarnation = link.worker.incarnation;
        if (!tracker.extend(incarnation, now + LEASE_BOUND.toNanos())) {
            return false;
        }
        simulation.check(remainingLeases.isEmpty(), "owner " + token + " extends leases after its term was closed");
        simulation.check(
                token < simulation.store.fence || !simulation.store.mayRecordSilence(incarnation),
                "owner " + token + " extends " + link.worker + " while its silence may be stored");
        return true;
    }

    private void send(Link link, Optional<Call> call, Duration wait) {
        Worker worker = link.worker;
        call.ifPresent(c -> c.sent = true);
        boolean cutOff = worker.isSilent() || simulation.time.nanos() - cutOffFromWorkersUntil < 0;
        boolean arrives = !cutOff && !(simulation.faultyCalls() && simulation.chance(0.06));
        if (arrives) {
            boolean accepted = worker.carryOut(token, call);
            boolean lost = simulation.faultyCalls() && simulation.chance(0.06);
            simulation.schedule(wait, () -> {
                if (lost || worker.isSilent()) {
                    later(ANSWER_TIMEOUT.minus(wait), () -> failed(link, wait));
                } else if (accepted) {
                    long clock = worker.clock();
                    later(simulation.between(0, 20), () -> answered(link, clock, wait));
                } else {
                    later(simulation.between(0, 20), this::end);
                }
            });
            return;
        }
        if (simulation.faultyCalls() && simulation.chance(0.4)) {
            simulation.schedule(simulation.between(0, MAX_LATENESS.toMillis()), () -> worker.carryOut(token, call));
        } else {
            call.ifPresent(c -> c.settled = true);
        }
        later(ANSWER_TIMEOUT, () -> failed(link, wait));
    }

    private void answered(Link link, long clock, Duration wait) {
        if (ended || wait.isZero()) {
            return;
        }
        link.lastAnswerAt = nanos();
        link.reading = Optional.of(new Reading(clock, nanos()));
        link.answered = true;
        link.held = true;
        tracker.answered(link.worker.incarnation, nanos() + LEASE_BOUND.toNanos());
        hold(link);
    }

    private void failed(Link link, Duration wait) {
        if (ended || wait.isZero()) {
            return;
        }
        link.held = false;
        if (nanos() - link.lastAnswerAt >= MAX_WORKER_SILENCE.toNanos()) {
            tracker.unreachable(link.worker.incarnation);
        }
        later(RETRY_DELAY, () -> hold(link));
    }

    private void plan() {
        if (ended) {
            return;
        }
        if (pending.isEmpty()) {
            Write write = nextWrite();
            if (!write.isEmpty()) {
                pending = Optional.of(write);
                simulation.store.unresolved.add(write);
                attempt(write);
            }
        }
        if (remainingLeases.isEmpty()) {
            later(PLAN_INTERVAL, this::plan);
        }
    }

    private Write nextWrite() {
        if (!majorityAnswered && majority(Long.MAX_VALUE)) {
            majorityAnswered = true;
            tracker.startCounting();
        }
        List<Release> releases = new ArrayList<>();
        for (WorkerIncarnation expired : tracker.takeExpired()) {
            Worker worker = simulation.workers.get(expired);
            simulation.log("owner " + token + " releases " + worker);
            releases.add(new Release(worker, worker.leaseLeft()));
            placed.remove(worker);
        }
        Set<Worker> placements = new HashSet<>();
        for (Link link : links.values()) {
            if (remainingLeases.isEmpty() && link.held && !placed.contains(link.worker) && simulation.chance(0.5)) {
                placements.add(link.worker);
            }
        }
        Optional<Map<WorkerIncarnation, Duration>> silences = tracker.dueRecord();
        silences.ifPresent(record -> simulation.log("owner " + token + " records " + millis(record)));
        return new Write(token, releases, placements, silences, remainingLeases);
    }

    /** Attempts a write until its outcome is known or the term has ended. */
    private void attempt(Write write) {
        if (ended) {
            return;
        }
        long sentAt = nanos();
        switch (outcome()) {
            case ANSWERED -> {
                boolean stored = simulation.store.apply(write);
                later(simulation.between(3, 30), () -> resolved(write, stored, sentAt));
            }
            case REFUSED -> later(RETRY_DELAY, () -> attempt(write));
            case ANSWER_LOST -> {
                simulation.store.apply(write);
                later(STORE_TIMEOUT, () -> attempt(write));
            }
            default -> {
                simulation.schedule(
                        simulation.between(0, MAX_LATENESS.toMillis()), () -> simulation.store.apply(write));
                later(STORE_TIMEOUT, () -> attempt(write));
            }
        }
    }

    private boolean isCutOffFromStore() {
        return simulation.store.isDown() || simulation.time.nanos() - cutOffFromStoreUntil < 0;
    }

    private Outcome outcome() {
        if (isCutOffFromStore()) {
            return simulation.chance(0.5) ? Outcome.REFUSED : Outcome.LATE;
        }
        int choice = simulation.faultyCalls() ? simulation.random.nextInt(100) : 0;
        return choice < 80
                ? Outcome.ANSWERED
                : choice < 86 ? Outcome.REFUSED : choice < 93 ? Outcome.ANSWER_LOST : Outcome.LATE;
    }

    private void resolved(Write write, boolean stored, long sentAt) {
        if (!stored) {
            end();
        }
        if (ended) {
            return;
        }
        confirmedAt = Math.max(confirmedAt, sentAt);
        pending = Optional.empty();
        write.silences.ifPresent(tracker::recordStored);
        placed.addAll(write.placements);
        write.placements.forEach(worker -> call(links.get(worker.incarnation), true, Duration.ZERO));
        if (write.remainingLeases.isPresent()) {
            end();
        } else if (remainingLeases.isPresent()) {
            plan();
        }
    }

    private void confirm() {
        if (ended) {
            return;
        }
        if (!isCutOffFromStore() && nanos() - confirmedAt >= CONFIRMATION_INTERVAL.toNanos()) {
            if (simulation.store.fence > token) {
                end();
            }
            confirmedAt = nanos();
        }
        later(HOLD_WAIT, this::confirm);
    }

    private String millis(Map<WorkerIncarnation, Duration> durations) {
        Map<String, Long> result = new HashMap<>();
        durations.forEach(
                (incarnation, duration) -> result.put(incarnation.worker().value(), duration.toMillis()));
        return result.toString();
    }
}
