package org.chestnutbarrow.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/**
 * Guards against two valid holders of a worker and against workers that stay without one: random losses, delays, pauses,
 * restarts and stale daemons against a worker that decides by epoch and term.
 */
public class WorkerLeasesPropertyTest {
    private static final int SEEDS = 1000;
    private static final int FAULTY_STEPS = 300;
    private static final int CALM_STEPS = 600;
    private static final int WORKERS = 6;
    private static final Freshness FRESH = new Freshness.Current(Duration.ZERO, true);
    private static final Freshness STALE = new Freshness.Stale(Duration.ofSeconds(3));

    @Test
    public void oneValidHolderAtATimeAndOneForEachWorkerWhenCalm() {
        int grants = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Run run = new Run(seed);
            run.go();
            grants += run.grants;
        }
        assertTrue(grants > SEEDS * WORKERS, "too few grants to show anything: " + grants);
    }

    /** A worker: grants an epoch to one holder at a time. Its clock may run 10% fast. */
    private static final class Arbiter {
        private long epoch;
        private Optional<DaemonId> holder = Optional.empty();
        private long until;

        private Optional<Long> lease(DaemonId daemon, long asked, long now) {
            boolean held = holder.isPresent() && now < until;
            if (asked == 0 && held && !holder.get().equals(daemon)) {
                return Optional.empty();
            }
            if (asked != 0 && asked != epoch) {
                return Optional.empty();
            }
            epoch = asked == 0 ? epoch + 1 : epoch;
            holder = Optional.of(daemon);
            until = now + WorkerLeases.TERM.toNanos() * 10 / 11;
            return Optional.of(epoch);
        }

        private void release(long asked) {
            if (asked == epoch) {
                holder = Optional.empty();
            }
        }
    }

    /** What a daemon believes to hold. */
    private record Held(long epoch, long validUntil) {}

    /** A daemon. */
    private static final class Node {
        private final DaemonId id;
        private WorkerLeases leases;
        private Peers peers;
        private long incarnation;
        private int paused;
        private boolean stale;
        private final Map<WorkerId, Held> held = new HashMap<>();

        private Node(int index) {
            id = new DaemonId("d" + index);
        }
    }

    /** Something that happens at a step; {@code incarnation} 0 happens at the platform whatever becomes of the sender. */
    private record Delivery(int step, Node to, long incarnation, Runnable action) {}

    /** One order of events. */
    private static final class Run {
        private final int seed;
        private final SplittableRandom random;
        private final ManualTime time = new ManualTime();
        private final List<Node> nodes = new ArrayList<>();
        private final Map<WorkerId, Arbiter> arbiters = new HashMap<>();
        private final List<Worker> workers = new ArrayList<>();
        private final List<Delivery> deliveries = new ArrayList<>();
        private boolean calm;
        private int step;
        private int grants;

        private Run(int seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
            Address address = Address.parse("127.0.0.1:1");
            for (int i = 0; i < WORKERS; i++) {
                WorkerId id = new WorkerId("w" + i);
                arbiters.put(id, new Arbiter());
                AvailabilityZone zone = new AvailabilityZone("z");
                workers.add(new Worker(id, zone, "r", address, address, false, Resources.ONE_REQUEST));
            }
            for (int i = 0; i < 4; i++) {
                nodes.add(new Node(i));
            }
            nodes.forEach(this::restart);
        }

        private void go() {
            for (step = 0; step < FAULTY_STEPS + CALM_STEPS; step++) {
                calm = step >= FAULTY_STEPS;
                time.advance(Duration.ofMillis(20 + random.nextInt(60)));
                if (calm) {
                    nodes.forEach(node -> node.stale = false);
                } else {
                    faults(nodes.get(random.nextInt(nodes.size())));
                }
                deliver();
                nodes.forEach(this::act);
                check();
            }
            for (Worker worker : workers) {
                assertEquals(holders(worker.id()).size(), 1, "seed " + seed + ": holders of " + worker.id());
            }
            Set<DaemonId> owners =
                    nodes.stream().filter(n -> !n.held.isEmpty()).map(n -> n.id).collect(Collectors.toSet());
            assertTrue(owners.size() > 1, "seed " + seed + ": one daemon kept all workers");
        }

        private void faults(Node node) {
            switch (random.nextInt(40)) {
                case 0 -> node.paused = random.nextInt(80);
                case 1 -> restart(node);
                case 2, 3 -> node.stale = !node.stale;
                case 4 -> node.leases.hosts(workers.subList(0, random.nextInt(WORKERS)));
                case 5, 6 -> node.leases.hosts(workers);
                default -> {}
            }
        }

        private void restart(Node node) {
            node.incarnation++;
            node.held.clear();
            node.leases = new WorkerLeases(node.id, node.incarnation, time);
            node.peers = new Peers(node.id, nodes.stream().map(n -> n.id).toList(), time);
            node.leases.hosts(workers);
        }

        private void deliver() {
            List<Delivery> due = new ArrayList<>();
            deliveries.removeIf(d -> d.step() <= step && (d.incarnation() == 0 || d.to().paused == 0) && due.add(d));
            for (Delivery d : due) {
                if (d.incarnation() == 0 || d.incarnation() == d.to().incarnation) {
                    d.action().run();
                }
            }
        }

        private void act(Node node) {
            if (node.paused > 0) {
                node.paused--;
                return;
            }
            if (step % 4 == 0) {
                heartbeat(node);
            }
            if (calm && step % 20 == 0) {
                node.leases.hosts(workers);
            }
            LeaseView view = new LeaseView(
                    node.peers.eligible(),
                    node.stale ? STALE : FRESH,
                    worker -> node.peers.holder(worker).isPresent(),
                    worker -> calm ? 0 : random.nextInt(2));
            node.leases.tick(view).forEach(effect -> execute(node, effect));
        }

        private void heartbeat(Node node) {
            Map<WorkerId, Resources> rooms = new HashMap<>();
            node.held.keySet().forEach(worker -> rooms.put(worker, Resources.NONE));
            PeerReport report =
                    new PeerReport(node.id, node.incarnation, false, 0, Optional.of(Duration.ZERO), true, rooms);
            for (Node other : nodes) {
                send(other, other.incarnation, () -> other.peers.heard(report));
            }
        }

        private void execute(Node node, LeaseEffect effect) {
            WorkerId worker = effect.worker().id();
            switch (effect) {
                case LeaseEffect.Claim claim -> lease(node, worker, 0);
                case LeaseEffect.Renew renew -> lease(node, worker, renew.epoch());
                case LeaseEffect.Release release -> {
                    node.held.remove(worker);
                    send(node, 0, () -> arbiters.get(worker).release(release.epoch()));
                    answer(node, step + 5, new LeaseEvent.Unanswered(worker));
                }
                case LeaseEffect.Drop drop -> node.held.remove(worker);
                case LeaseEffect.Pause pause -> {}
                case LeaseEffect.Resume resume -> {}
            }
        }

        /** Sends a claim or renewal; the daemon gives up after five steps, the command may still arrive later. */
        private void lease(Node node, WorkerId worker, long epoch) {
            long sentAt = time.nanos();
            boolean[] answered = {false};
            send(node, 0, () -> {
                Optional<Long> granted = arbiters.get(worker).lease(node.id, epoch, time.nanos());
                send(node, node.incarnation, () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        take(node, worker, granted, sentAt);
                    }
                });
            });
            long incarnation = node.incarnation;
            deliveries.add(new Delivery(step + 5, node, incarnation, () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    on(node, new LeaseEvent.Unanswered(worker));
                }
            }));
        }

        private void take(Node node, WorkerId worker, Optional<Long> epoch, long sentAt) {
            if (epoch.isEmpty()) {
                on(node, new LeaseEvent.Refused(worker));
                return;
            }
            grants++;
            node.held.put(worker, new Held(epoch.get(), WorkerLeases.validUntil(sentAt)));
            on(node, new LeaseEvent.Granted(worker, epoch.get(), sentAt, 0));
        }

        private void on(Node node, LeaseEvent event) {
            node.leases.on(event).forEach(effect -> execute(node, effect));
        }

        private void answer(Node node, int at, LeaseEvent event) {
            deliveries.add(new Delivery(at, node, node.incarnation, () -> on(node, event)));
        }

        private void send(Node to, long incarnation, Runnable action) {
            if (calm || random.nextInt(8) > 0) {
                int delay = !calm && random.nextInt(10) == 0 ? random.nextInt(60) : random.nextInt(2);
                deliveries.add(new Delivery(step + delay, to, incarnation, action));
            }
        }

        private void check() {
            for (Worker worker : workers) {
                List<DaemonId> holders = holders(worker.id());
                assertTrue(holders.size() <= 1, "seed " + seed + " step " + step + ": " + worker.id() + " " + holders);
            }
        }

        private List<DaemonId> holders(WorkerId worker) {
            return nodes.stream()
                    .filter(n -> n.held.containsKey(worker))
                    .filter(n -> time.nanos() - n.held.get(worker).validUntil() < 0)
                    .map(n -> n.id)
                    .toList();
        }
    }
}
