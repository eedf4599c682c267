package org.chestnutbarrow.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.FakeWorker.Run;
import org.chestnutbarrow.placement.PlacementEvent.WorkerFreeCapacity;
import org.chestnutbarrow.testkit.ManualTime;

/**
 * The daemons of {@link Simulation}: heartbeats over links that fail in one or both directions, and the behaviour of a
 * holder that gets no answers from the owner of the job shards.
 */
final class FakeDaemons {
    static final int COUNT = 5;
    private static final long SECOND = 1_000_000_000L;
    private static final long HEARTBEAT_INTERVAL = SECOND / 4;
    private static final long NEVER = -1_000 * SECOND;

    private final ManualTime time;
    private final Random random;
    private final FakeNetwork network;
    private final List<FakeWorker> workers;
    private final boolean[][] brokenLinks = new boolean[COUNT][COUNT];
    private final long[][] lastHeard = new long[COUNT][COUNT];
    private final long[][] lastAnswered = new long[COUNT][COUNT];
    private final Heartbeat[][] heartbeats = new Heartbeat[COUNT][COUNT];
    private final long[] pausedUntil = new long[COUNT];
    private final long[] startedAt = new long[COUNT];
    private final long[] nextCutOffCheck = new long[COUNT];
    private final double[] clockFactor = new double[COUNT];
    private long nextHeartbeat;

    FakeDaemons(ManualTime time, Random random, FakeNetwork network, List<FakeWorker> workers) {
        this.time = time;
        this.random = random;
        this.network = network;
        this.workers = workers;
        for (int i = 0; i < COUNT; i++) {
            Arrays.fill(lastHeard[i], NEVER);
            Arrays.fill(lastAnswered[i], NEVER);
            clockFactor[i] = 1 + random.nextDouble() / 10;
        }
    }

    private record Heartbeat(long sentAt, List<WorkerFreeCapacity> workers) {}

    /** A worker that a daemon assumes to be held; {@code reportedAt} is when the holder sent the report. */
    record Lease(WorkerFreeCapacity free, int holder, long sentAt) {}

    boolean running(int daemon) {
        return pausedUntil[daemon] - time.nanos() <= 0;
    }

    /** Returns the first running daemon, searching from the given one on; -1 if none is running. */
    int firstRunningFrom(int first) {
        for (int i = 0; i < COUNT; i++) {
            if (running((first + i) % COUNT)) {
                return (first + i) % COUNT;
            }
        }
        return -1;
    }

    boolean reachable(int from, int to) {
        return from == to || (!brokenLinks[from][to] && running(to));
    }

    /** Stops a daemon for a time. If its process is replaced, the new one has received no heartbeats. */
    void stop(int daemon, long nanos, boolean replaced) {
        pausedUntil[daemon] = time.nanos() + nanos;
        if (replaced) {
            startedAt[daemon] = pausedUntil[daemon];
            Arrays.fill(lastHeard[daemon], NEVER);
            Arrays.fill(lastAnswered[daemon], NEVER);
            Arrays.fill(heartbeats[daemon], null);
        }
    }

    /** Breaks a daemon's links to the owner, to a random daemon or to all daemons for a random time. */
    void breakLinks(int owner) {
        int daemon = random.nextInt(COUNT);
        int other = random.nextInt(3) > 0 ? owner : random.nextInt(COUNT);
        int direction = random.nextInt(3);
        boolean all = random.nextInt(5) == 0;
        long duration = random.nextLong(30 * SECOND);
        for (int i = 0; i < COUNT; i++) {
            if (all || i == other) {
                breakLink(daemon, i, direction != 0, duration);
                breakLink(i, daemon, direction != 1, duration);
            }
        }
    }

    private void breakLink(int from, int to, boolean selected, long duration) {
        if (selected && from != to && !brokenLinks[from][to]) {
            brokenLinks[from][to] = true;
            network.schedule(duration, () -> brokenLinks[from][to] = false);
        }
    }

    void repairAll() {
        for (boolean[] row : brokenLinks) {
            Arrays.fill(row, false);
        }
        Arrays.fill(pausedUntil, time.nanos());
    }

    /** Sends the heartbeats that are due. */
    void sendHeartbeats() {
        if (nextHeartbeat - time.nanos() > 0) {
            return;
        }
        nextHeartbeat = time.nanos() + HEARTBEAT_INTERVAL;
        for (int from = 0; from < COUNT; from++) {
            Heartbeat heartbeat = new Heartbeat(time.nanos(), ownWorkers(from));
            for (int to = 0; to < COUNT && running(from); to++) {
                if (from != to) {
                    sendHeartbeat(from, to, heartbeat);
                }
            }
        }
    }

    private void sendHeartbeat(int from, int to, Heartbeat heartbeat) {
        network.schedule(random.nextLong(SECOND / 20), () -> {
            if (!reachable(from, to)
                    || (heartbeats[to][from] != null && heartbeats[to][from].sentAt() > heartbeat.sentAt())) {
                return;
            }
            lastHeard[to][from] = time.nanos();
            heartbeats[to][from] = heartbeat;
            if (reachable(to, from)) {
                lastAnswered[from][to] = Math.max(lastAnswered[from][to], heartbeat.sentAt());
            }
        });
    }

    private List<WorkerFreeCapacity> ownWorkers(int daemon) {
        List<WorkerFreeCapacity> own = new ArrayList<>();
        for (FakeWorker worker : workers) {
            if (worker.holder == daemon) {
                own.add(new WorkerFreeCapacity(worker.worker, worker.free()));
            }
        }
        return own;
    }

    /** Returns the workers that a daemon assumes to be held. */
    Map<WorkerId, Lease> leases(int daemon) {
        Map<WorkerId, Lease> leases = new HashMap<>();
        for (int i = 0; i < COUNT; i++) {
            int peer = i;
            if (peer != daemon
                    && heartbeats[daemon][peer] != null
                    && time.nanos() - lastHeard[daemon][peer] <= SECOND) {
                Heartbeat heartbeat = heartbeats[daemon][peer];
                heartbeat
                        .workers()
                        .forEach(reported ->
                                leases.put(reported.worker().id(), new Lease(reported, peer, heartbeat.sentAt())));
            }
        }
        ownWorkers(daemon)
                .forEach(reported -> leases.put(reported.worker().id(), new Lease(reported, daemon, time.nanos())));
        return leases;
    }

    Connectivity connectivity(int daemon) {
        int answeringDaemons = 1;
        boolean all = true;
        for (int peer = 0; peer < COUNT; peer++) {
            if (peer != daemon) {
                boolean recentlyAnswered = time.nanos() - lastAnswered[daemon][peer] <= 2 * SECOND;
                answeringDaemons += recentlyAnswered ? 1 : 0;
                all &= recentlyAnswered && time.nanos() - lastHeard[daemon][peer] <= SECOND;
            }
        }
        return all ? Connectivity.ALL : 2 * answeringDaemons > COUNT ? Connectivity.MAJORITY : Connectivity.MINORITY;
    }

    /** Whether a holder must stop the owner's attempts, by the rule that {@link LeaseExpiryRule} relies on. */
    boolean cutOff(int holder, int owner) {
        long silentFor = time.nanos() - Math.max(lastAnswered[holder][owner], startedAt[holder]);
        if (holder == owner || silentFor < 8 * SECOND * clockFactor[holder]) {
            return false;
        }
        int peersWithoutOwner = 0;
        for (int peer = 0; peer < COUNT; peer++) {
            long lastHeardOwner = Math.max(lastHeard[peer][owner], startedAt[peer]);
            boolean peerReachable =
                    peer == holder || (peer != owner && reachable(holder, peer) && reachable(peer, holder));
            peersWithoutOwner +=
                    peerReachable && time.nanos() - lastHeardOwner >= 5 * SECOND * clockFactor[peer] ? 1 : 0;
        }
        return 2 * peersWithoutOwner <= COUNT;
    }

    /**
     * Makes holders stop the attempts of an owner that they are cut off from, up to 0.5 s after the rule requires it.
     */
    void stopCutOff(int owner, BiConsumer<FakeWorker, Run> stop) {
        for (int holder = 0; holder < COUNT; holder++) {
            if (!running(holder) || nextCutOffCheck[holder] - time.nanos() > 0) {
                continue;
            }
            nextCutOffCheck[holder] = time.nanos() + (long) (SECOND / 2 * clockFactor[holder]) - SECOND / 7;
            for (FakeWorker worker : workers) {
                if (worker.holder == holder && cutOff(holder, owner)) {
                    List.copyOf(worker.runs.values()).stream()
                            .filter(run -> !run.state.ended())
                            .forEach(run -> stop.accept(worker, run));
                }
            }
        }
    }

    FakeWorker worker(WorkerId id) {
        return workers.stream()
                .filter(candidate -> candidate.worker.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a random worker; empty if it is not held. */
    Optional<FakeWorker> randomHeldWorker() {
        FakeWorker worker = workers.get(random.nextInt(workers.size()));
        return worker.holder >= 0 ? Optional.of(worker) : Optional.empty();
    }

    /** Ends the lease of a worker; a random daemon acquires it later. */
    void loseLease(FakeWorker worker) {
        worker.holder = -1;
        worker.unheldSince = time.nanos();
        int daemon = random.nextInt(COUNT);
        network.schedule(2 * SECOND + random.nextLong(7 * SECOND), () -> acquireLease(worker, daemon));
    }

    void acquireLease(FakeWorker worker, int daemon) {
        if (worker.holder >= 0) {
            return;
        }
        worker.expireLeases(time.nanos());
        if (running(daemon)) {
            worker.acquireLease(daemon, time.nanos());
        } else {
            network.schedule(SECOND, () -> acquireLease(worker, daemon));
        }
    }
}
