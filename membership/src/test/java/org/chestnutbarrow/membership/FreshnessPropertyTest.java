package org.chestnutbarrow.membership;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/**
 * Guards against a change reported as in force while a daemon without it may start work: random reads, outages,
 * partitions, delays, pauses and restarts against a log that is one number.
 */
public class FreshnessPropertyTest {
    private static final int SEEDS = 3000;
    private static final int STEPS = 600;

    @Test
    public void noFreshDaemonMissesAChangeInForce() {
        int inForce = 0;
        int vouched = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Run run = new Run(seed);
            run.go();
            inForce += run.inForceSeen;
            vouched += run.vouchedSeen;
        }
        assertTrue(inForce > SEEDS, "too few changes came into force to show anything: " + inForce);
        assertTrue(vouched > SEEDS, "too few daemons were vouched for to show anything: " + vouched);
    }

    /** A daemon: its gate and what is on its way to it. */
    private static final class Node {
        private final DaemonId id;
        private FreshnessGate gate;
        private int incarnation;
        private long position = -1;
        private boolean logDown;
        private int paused;
        private boolean apart;

        private Node(int index) {
            id = new DaemonId("d" + index);
        }
    }

    /** A message that arrives at its receiver at a step, unless the receiver has restarted since. */
    private record Delivery(int step, Node to, int incarnation, Runnable action) {}

    /** One order of events. */
    private static final class Run {
        private final SplittableRandom random;
        private final int seed;
        private final ManualTime time = new ManualTime();
        private final List<Node> nodes = new ArrayList<>();
        private final List<DaemonId> ids = new ArrayList<>();
        private final List<Delivery> deliveries = new ArrayList<>();
        private long end;
        private boolean logDown;
        private long inForce = -1;
        private int step;
        private int inForceSeen;
        private int vouchedSeen;

        private Run(int seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
            int count = 3 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                nodes.add(new Node(i));
                ids.add(nodes.get(i).id);
            }
            nodes.forEach(this::restart);
        }

        private void go() {
            for (step = 0; step < STEPS; step++) {
                time.advance(Duration.ofMillis(random.nextInt(120)));
                faults();
                deliver();
                for (Node node : nodes) {
                    if (node.paused > 0) {
                        node.paused--;
                    } else {
                        act(node);
                    }
                }
                nodes.forEach(this::check);
            }
        }

        private void faults() {
            Node node = nodes.get(random.nextInt(nodes.size()));
            switch (random.nextInt(60)) {
                case 0 -> logDown = !logDown;
                case 1 -> node.logDown = !node.logDown;
                case 2 -> node.paused = random.nextInt(80);
                case 3 -> restart(node);
                case 4, 5 -> node.apart = !node.apart;
                default -> {}
            }
            if (!logDown && random.nextInt(10) == 0) {
                end++;
            }
        }

        private void restart(Node node) {
            node.incarnation++;
            node.position = -1;
            node.gate = new FreshnessGate(node.id, ids, time);
        }

        private void deliver() {
            List<Delivery> due = new ArrayList<>();
            deliveries.removeIf(d -> d.step() <= step && d.to().paused == 0 && due.add(d));
            for (Delivery delivery : due) {
                if (delivery.incarnation() == delivery.to().incarnation) {
                    delivery.action().run();
                }
            }
        }

        private void act(Node node) {
            switch (random.nextInt(4)) {
                case 0 -> read(node);
                case 1 -> exchange(node, nodes.get(random.nextInt(nodes.size())));
                case 2 -> exchange(node, nodes.get(random.nextInt(nodes.size())));
                default -> confirm(node);
            }
        }

        private void read(Node node) {
            long sentAt = time.nanos();
            if (logDown || node.logDown) {
                node.gate.readFailed();
                return;
            }
            send(node, () -> {
                long last = end;
                send(node, () -> {
                    node.gate.readEnd(sentAt, last);
                    apply(node, last);
                });
            });
        }

        private void apply(Node node, long position) {
            node.position = Math.max(node.position, position);
            node.gate.applied(node.position);
        }

        /** The node asks a peer for a heartbeat, and for its state of the log if that is newer. */
        private void exchange(Node node, Node peer) {
            long requestedAt = time.nanos();
            if (node == peer || node.apart || peer.apart) {
                return;
            }
            send(peer, () -> {
                PeerReport report = new PeerReport(
                        peer.id,
                        peer.incarnation,
                        false,
                        peer.position,
                        peer.gate.ownLogAge(),
                        peer.gate.readsLog(),
                        Map.of());
                send(node, () -> {
                    node.gate.heard(report, requestedAt);
                    if (random.nextInt(3) == 0) {
                        apply(node, report.position());
                    }
                });
            });
        }

        private void send(Node to, Runnable action) {
            if (random.nextInt(8) > 0) {
                int delay = random.nextInt(10) == 0 ? random.nextInt(60) : random.nextInt(3);
                deliveries.add(new Delivery(step + delay, to, to.incarnation, action));
            }
        }

        private void confirm(Node node) {
            for (long p = node.position; p > inForce; p--) {
                if (node.gate.confirmed(p) instanceof Confirmation.InForce) {
                    inForce = p;
                    inForceSeen++;
                    return;
                }
            }
        }

        private void check(Node node) {
            boolean fresh = node.gate.freshness().allowsStarts();
            if (node.gate.freshness() instanceof Freshness.Vouched) {
                vouchedSeen++;
            }
            assertFalse(
                    fresh && node.position < inForce,
                    "seed " + seed + " step " + step + ": " + node.id + " is fresh at " + node.position + ", in force "
                            + inForce);
        }
    }
}
