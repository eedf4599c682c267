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
import org.chestnutbarrow.placement.ModelWorker.Run;
import org.chestnutbarrow.placement.PlacementEvent.WorkerRoom;
import org.chestnutbarrow.testkit.ManualTime;

/**
 * The daemons of {@link Simulation}: their heartbeats over links that break in one or both directions, and what a holder
 * does that the owner of the job shards does not answer.
 */
final class ModelDaemons {
    static final int COUNT = 5;
    private static final long SECOND = 1_000_000_000L;
    private static final long HEARTBEAT = SECOND / 4;
    private static final long NEVER = -1_000 * SECOND;

    private final ManualTime time;
    private final Random random;
    private final ModelNetwork network;
    private final List<ModelWorker> workers;
    private final boolean[][] broken = new boolean[COUNT][COUNT];
    private final long[][] heard = new long[COUNT][COUNT];
    private final long[][] answered = new long[COUNT][COUNT];
    private final Report[][] reports = new Report[COUNT][COUNT];
    private final long[] pausedUntil = new long[COUNT];
    private final long[] startedAt = new long[COUNT];
    private final long[] checkAt = new long[COUNT];
    private final double[] slowness = new double[COUNT];
    private long nextBeat;

    ModelDaemons(ManualTime time, Random random, ModelNetwork network, List<ModelWorker> workers) {
        this.time = time;
        this.random = random;
        this.network = network;
        this.workers = workers;
        for (int i = 0; i < COUNT; i++) {
            Arrays.fill(heard[i], NEVER);
            Arrays.fill(answered[i], NEVER);
            slowness[i] = 1 + random.nextDouble() / 10;
        }
    }

    private record Report(long sent, List<WorkerRoom> rooms) {}

    /** A worker as a daemon believes it to be held; {@code sent} is the holder's time of the report. */
    record Held(WorkerRoom room, int holder, long sent) {}

    boolean runs(int daemon) {
        return pausedUntil[daemon] - time.nanos() <= 0;
    }

    /** A daemon that runs, searched from the given one on; -1 if all are stopped. */
    int runningFrom(int first) {
        for (int i = 0; i < COUNT; i++) {
            if (runs((first + i) % COUNT)) {
                return (first + i) % COUNT;
            }
        }
        return -1;
    }

    boolean up(int from, int to) {
        return from == to || (!broken[from][to] && runs(to));
    }

    /** A daemon does nothing for a time; if it is replaced, the new process has heard nobody. */
    void stop(int daemon, long nanos, boolean replaced) {
        pausedUntil[daemon] = time.nanos() + nanos;
        if (replaced) {
            startedAt[daemon] = pausedUntil[daemon];
            Arrays.fill(heard[daemon], NEVER);
            Arrays.fill(answered[daemon], NEVER);
            Arrays.fill(reports[daemon], null);
        }
    }

    /** Breaks links between the owner and another daemon, or of a daemon to all, for a time. */
    void breakLinks(int owner) {
        int daemon = random.nextInt(COUNT);
        int other = random.nextInt(3) > 0 ? owner : random.nextInt(COUNT);
        int direction = random.nextInt(3);
        boolean all = random.nextInt(5) == 0;
        long duration = random.nextLong(30 * SECOND);
        for (int i = 0; i < COUNT; i++) {
            if (all || i == other) {
                cut(daemon, i, direction != 0, duration);
                cut(i, daemon, direction != 1, duration);
            }
        }
    }

    private void cut(int from, int to, boolean really, long duration) {
        if (really && from != to && !broken[from][to]) {
            broken[from][to] = true;
            network.post(duration, () -> broken[from][to] = false);
        }
    }

    void repair() {
        for (boolean[] row : broken) {
            Arrays.fill(row, false);
        }
        Arrays.fill(pausedUntil, time.nanos());
    }

    /** Sends the heartbeats that are due. */
    void beat() {
        if (nextBeat - time.nanos() > 0) {
            return;
        }
        nextBeat = time.nanos() + HEARTBEAT;
        for (int from = 0; from < COUNT; from++) {
            Report report = new Report(time.nanos(), own(from));
            for (int to = 0; to < COUNT && runs(from); to++) {
                if (from != to) {
                    send(from, to, report);
                }
            }
        }
    }

    private void send(int from, int to, Report report) {
        network.post(random.nextLong(SECOND / 20), () -> {
            if (!up(from, to) || (reports[to][from] != null && reports[to][from].sent() > report.sent())) {
                return;
            }
            heard[to][from] = time.nanos();
            reports[to][from] = report;
            if (up(to, from)) {
                answered[from][to] = Math.max(answered[from][to], report.sent());
            }
        });
    }

    private List<WorkerRoom> own(int daemon) {
        List<WorkerRoom> rooms = new ArrayList<>();
        for (ModelWorker worker : workers) {
            if (worker.holder == daemon) {
                rooms.add(new WorkerRoom(worker.worker, worker.free()));
            }
        }
        return rooms;
    }

    /** Workers that a daemon believes to be held. */
    Map<WorkerId, Held> held(int daemon) {
        Map<WorkerId, Held> held = new HashMap<>();
        for (int i = 0; i < COUNT; i++) {
            int peer = i;
            if (peer != daemon && reports[daemon][peer] != null && time.nanos() - heard[daemon][peer] <= SECOND) {
                Report report = reports[daemon][peer];
                report.rooms().forEach(room -> held.put(room.worker().id(), new Held(room, peer, report.sent())));
            }
        }
        own(daemon).forEach(room -> held.put(room.worker().id(), new Held(room, daemon, time.nanos())));
        return held;
    }

    Contact contact(int daemon) {
        int answers = 1;
        boolean all = true;
        for (int peer = 0; peer < COUNT; peer++) {
            if (peer != daemon) {
                boolean answer = time.nanos() - answered[daemon][peer] <= 2 * SECOND;
                answers += answer ? 1 : 0;
                all &= answer && time.nanos() - heard[daemon][peer] <= SECOND;
            }
        }
        return all ? Contact.ALL : 2 * answers > COUNT ? Contact.MAJORITY : Contact.MINORITY;
    }

    /** Whether a holder must not run attempts of the owner, by the rule that {@link LapseRule} counts on. */
    boolean cutOff(int holder, int owner) {
        long silent = time.nanos() - Math.max(answered[holder][owner], startedAt[holder]);
        if (holder == owner || silent < 8 * SECOND * slowness[holder]) {
            return false;
        }
        int without = 0;
        for (int peer = 0; peer < COUNT; peer++) {
            long last = Math.max(heard[peer][owner], startedAt[peer]);
            boolean reached = peer == holder || (peer != owner && up(holder, peer) && up(peer, holder));
            without += reached && time.nanos() - last >= 5 * SECOND * slowness[peer] ? 1 : 0;
        }
        return 2 * without <= COUNT;
    }

    /** Lets holders stop the attempts of an owner that they are cut off from, up to 0.5 s after the rule demands it. */
    void stopCutOff(int owner, BiConsumer<ModelWorker, Run> stop) {
        for (int holder = 0; holder < COUNT; holder++) {
            if (!runs(holder) || checkAt[holder] - time.nanos() > 0) {
                continue;
            }
            checkAt[holder] = time.nanos() + (long) (SECOND / 2 * slowness[holder]) - SECOND / 7;
            for (ModelWorker worker : workers) {
                if (worker.holder == holder && cutOff(holder, owner)) {
                    List.copyOf(worker.runs.values()).stream()
                            .filter(run -> !run.state.ended())
                            .forEach(run -> stop.accept(worker, run));
                }
            }
        }
    }

    ModelWorker worker(WorkerId id) {
        return workers.stream()
                .filter(w -> w.worker.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** A random worker, if it is held. */
    Optional<ModelWorker> pick() {
        ModelWorker worker = workers.get(random.nextInt(workers.size()));
        return worker.holder >= 0 ? Optional.of(worker) : Optional.empty();
    }

    /** Ends the lease of a worker; a daemon acquires it later. */
    void lose(ModelWorker worker) {
        worker.holder = -1;
        worker.unheldSince = time.nanos();
        int daemon = random.nextInt(COUNT);
        network.post(2 * SECOND + random.nextLong(7 * SECOND), () -> take(worker, daemon));
    }

    void take(ModelWorker worker, int daemon) {
        if (worker.holder >= 0) {
            return;
        }
        worker.lapse(time.nanos());
        if (runs(daemon)) {
            worker.take(daemon, time.nanos());
        } else {
            network.post(SECOND, () -> take(worker, daemon));
        }
    }
}
