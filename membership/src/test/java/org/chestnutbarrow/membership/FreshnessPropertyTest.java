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
 * Guards against reporting a change as in force while a daemon that has not applied it may start work. Random reads,
 * log outages, partitions, delays, pauses and restarts are simulated; the log is modelled by the offset of its last
 * record.
 */
public class FreshnessPropertyTest {
    private static final int SEEDS = 3000;
    private static final int STEPS = 600;

    @Test
    public void noFreshDaemonMissesAChangeInForce() {
        int inForce = 0;
        int vouched = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.run();
            inForce += simulation.inForceCount;
            vouched += simulation.vouchedCount;
        }
        assertTrue(inForce > SEEDS, "too few changes came into force for a meaningful test: " + inForce);
        assertTrue(vouched > SEEDS, "too few vouched daemons for a meaningful test: " + vouched);
    }

    /** A daemon with its gate, its log position and the faults that it is subject to. */
    private static final class SimulatedDaemon {
        private final DaemonId id;
        private FreshnessGate gate;
        private int incarnation;
        private long position = -1;
        private boolean logUnreachable;
        private int pausedSteps;
        private boolean partitioned;

        private SimulatedDaemon(int index) {
            id = new DaemonId("d" + index);
        }
    }

    /** An action that runs on its receiver at a step, unless the receiver has been restarted since. */
    private record Delivery(int step, SimulatedDaemon to, int incarnation, Runnable action) {}

    /** One simulated sequence of events, determined by a seed. */
    private static final class Simulation {
        private final SplittableRandom random;
        private final int seed;
        private final ManualTime time = new ManualTime();
        private final List<SimulatedDaemon> daemons = new ArrayList<>();
        private final List<DaemonId> ids = new ArrayList<>();
        private final List<Delivery> deliveries = new ArrayList<>();
        private long lastOffset;
        private boolean logDown;
        private long newestInForce = -1;
        private int step;
        private int inForceCount;
        private int vouchedCount;

        private Simulation(int seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
            int count = 3 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                daemons.add(new SimulatedDaemon(i));
                ids.add(daemons.get(i).id);
            }
            daemons.forEach(this::restart);
        }

        private void run() {
            for (step = 0; step < STEPS; step++) {
                time.advance(Duration.ofMillis(random.nextInt(120)));
                injectFault();
                deliver();
                for (SimulatedDaemon daemon : daemons) {
                    if (daemon.pausedSteps > 0) {
                        daemon.pausedSteps--;
                    } else {
                        runDaemon(daemon);
                    }
                }
                daemons.forEach(this::checkFreshness);
            }
        }

        private void injectFault() {
            SimulatedDaemon daemon = daemons.get(random.nextInt(daemons.size()));
            switch (random.nextInt(60)) {
                case 0 -> logDown = !logDown;
                case 1 -> daemon.logUnreachable = !daemon.logUnreachable;
                case 2 -> daemon.pausedSteps = random.nextInt(80);
                case 3 -> restart(daemon);
                case 4, 5 -> daemon.partitioned = !daemon.partitioned;
                default -> {}
            }
            if (!logDown && random.nextInt(10) == 0) {
                lastOffset++;
            }
        }

        private void restart(SimulatedDaemon daemon) {
            daemon.incarnation++;
            daemon.position = -1;
            daemon.gate = new FreshnessGate(daemon.id, ids, time);
        }

        private void deliver() {
            List<Delivery> due = new ArrayList<>();
            deliveries.removeIf(
                    delivery -> delivery.step() <= step && delivery.to().pausedSteps == 0 && due.add(delivery));
            for (Delivery delivery : due) {
                if (delivery.incarnation() == delivery.to().incarnation) {
                    delivery.action().run();
                }
            }
        }

        private void runDaemon(SimulatedDaemon daemon) {
            switch (random.nextInt(4)) {
                case 0 -> readLog(daemon);
                case 1 -> requestHeartbeat(daemon, daemons.get(random.nextInt(daemons.size())));
                case 2 -> requestHeartbeat(daemon, daemons.get(random.nextInt(daemons.size())));
                default -> recordInForce(daemon);
            }
        }

        private void readLog(SimulatedDaemon daemon) {
            long sentAt = time.nanos();
            if (logDown || daemon.logUnreachable) {
                daemon.gate.onReadFailed();
                return;
            }
            send(daemon, () -> {
                long offset = lastOffset;
                send(daemon, () -> {
                    daemon.gate.onReadToEnd(sentAt, offset);
                    apply(daemon, offset);
                });
            });
        }

        private void apply(SimulatedDaemon daemon, long position) {
            daemon.position = Math.max(daemon.position, position);
            daemon.gate.onApplied(daemon.position);
        }

        /** Requests a heartbeat from a peer and sometimes applies the log up to the position of the peer. */
        private void requestHeartbeat(SimulatedDaemon daemon, SimulatedDaemon peer) {
            long requestedAt = time.nanos();
            if (daemon == peer || daemon.partitioned || peer.partitioned) {
                return;
            }
            send(peer, () -> {
                PeerReport report = new PeerReport(
                        peer.id,
                        peer.incarnation,
                        false,
                        peer.position,
                        peer.gate.ownLogAge(),
                        peer.gate.logReadable(),
                        Map.of());
                send(daemon, () -> {
                    daemon.gate.onHeartbeat(report, requestedAt);
                    if (random.nextInt(3) == 0) {
                        apply(daemon, report.position());
                    }
                });
            });
        }

        private void send(SimulatedDaemon to, Runnable action) {
            if (random.nextInt(8) > 0) {
                int delay = random.nextInt(10) == 0 ? random.nextInt(60) : random.nextInt(3);
                deliveries.add(new Delivery(step + delay, to, to.incarnation, action));
            }
        }

        private void recordInForce(SimulatedDaemon daemon) {
            for (long position = daemon.position; position > newestInForce; position--) {
                if (daemon.gate.confirmationOf(position) instanceof Confirmation.InForce) {
                    newestInForce = position;
                    inForceCount++;
                    return;
                }
            }
        }

        private void checkFreshness(SimulatedDaemon daemon) {
            boolean fresh = daemon.gate.freshness().allowsStarts();
            if (daemon.gate.freshness() instanceof Freshness.Vouched) {
                vouchedCount++;
            }
            assertFalse(
                    fresh && daemon.position < newestInForce,
                    "seed " + seed + " step " + step + ": " + daemon.id + " is fresh at " + daemon.position
                            + ", in force " + newestInForce);
        }
    }
}
