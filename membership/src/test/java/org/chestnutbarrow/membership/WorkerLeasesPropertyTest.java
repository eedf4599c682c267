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
 * Guards against two valid holders of a worker and against workers without a holder. Random losses, delays, pauses,
 * restarts and stale daemons are simulated against workers that grant leases by epoch and expiry.
 */
public class WorkerLeasesPropertyTest {
    private static final int SEEDS = 1000;
    private static final int FAULTY_STEPS = 300;
    private static final int FAULT_FREE_STEPS = 600;
    private static final int WORKERS = 6;
    private static final Freshness FRESH = new Freshness.Current(Duration.ZERO, true);
    private static final Freshness STALE = new Freshness.Stale(Duration.ofSeconds(3));

    @Test
    public void hasAtMostOneValidHolderAndExactlyOneWithoutFaults() {
        int grants = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.run();
            grants += simulation.grants;
        }
        assertTrue(grants > SEEDS * WORKERS, "too few grants for a meaningful test: " + grants);
    }

    /** A worker that grants its lease to one holder at a time. Its clock runs 10% fast. */
    private static final class SimulatedWorker {
        private long epoch;
        private Optional<DaemonId> holder = Optional.empty();
        private long leaseEndsAt;

        private Optional<Long> grant(DaemonId daemon, long requestedEpoch, long now) {
            boolean held = holder.isPresent() && now < leaseEndsAt;
            if (requestedEpoch == 0 && held && !holder.get().equals(daemon)) {
                return Optional.empty();
            }
            if (requestedEpoch != 0 && requestedEpoch != epoch) {
                return Optional.empty();
            }
            epoch = requestedEpoch == 0 ? epoch + 1 : epoch;
            holder = Optional.of(daemon);
            leaseEndsAt = now + WorkerLeases.LEASE_DURATION.toNanos() * 10 / 11;
            return Optional.of(epoch);
        }

        private void release(long requestedEpoch) {
            if (requestedEpoch == epoch) {
                holder = Optional.empty();
            }
        }
    }

    /** A lease that a daemon considers itself the holder of. */
    private record HeldLease(long epoch, long validUntil) {}

    /** A daemon and the leases that it considers valid. */
    private static final class SimulatedDaemon {
        private final DaemonId id;
        private WorkerLeases leases;
        private PeerRegistry peers;
        private long incarnation;
        private int pausedSteps;
        private boolean stale;
        private final Map<WorkerId, HeldLease> held = new HashMap<>();

        private SimulatedDaemon(int index) {
            id = new DaemonId("d" + index);
        }
    }

    /**
     * An action that runs at a step. With an incarnation other than 0 it runs only if the daemon has not been restarted
     * since; with 0 it runs on the worker, regardless of the state of the daemon.
     */
    private record Delivery(int step, SimulatedDaemon to, long incarnation, Runnable action) {}

    /** One simulated sequence of events, determined by a seed. */
    private static final class Simulation {
        private final int seed;
        private final SplittableRandom random;
        private final ManualTime time = new ManualTime();
        private final List<SimulatedDaemon> daemons = new ArrayList<>();
        private final Map<WorkerId, SimulatedWorker> simulatedWorkers = new HashMap<>();
        private final List<Worker> workers = new ArrayList<>();
        private final List<Delivery> deliveries = new ArrayList<>();
        private boolean faultFree;
        private int step;
        private int grants;

        private Simulation(int seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
            Address address = Address.parse("127.0.0.1:1");
            for (int i = 0; i < WORKERS; i++) {
                WorkerId id = new WorkerId("w" + i);
                simulatedWorkers.put(id, new SimulatedWorker());
                AvailabilityZone zone = new AvailabilityZone("z");
                workers.add(new Worker(id, zone, "r", address, address, false, Resources.ONE_REQUEST));
            }
            for (int i = 0; i < 4; i++) {
                daemons.add(new SimulatedDaemon(i));
            }
            daemons.forEach(this::restart);
        }

        private void run() {
            for (step = 0; step < FAULTY_STEPS + FAULT_FREE_STEPS; step++) {
                faultFree = step >= FAULTY_STEPS;
                time.advance(Duration.ofMillis(20 + random.nextInt(60)));
                if (faultFree) {
                    daemons.forEach(daemon -> daemon.stale = false);
                } else {
                    injectFault(daemons.get(random.nextInt(daemons.size())));
                }
                deliver();
                daemons.forEach(this::runDaemon);
                checkSingleHolder();
            }
            for (Worker worker : workers) {
                assertEquals(holders(worker.id()).size(), 1, "seed " + seed + ": holders of " + worker.id());
            }
            Set<DaemonId> owners = daemons.stream()
                    .filter(daemon -> !daemon.held.isEmpty())
                    .map(daemon -> daemon.id)
                    .collect(Collectors.toSet());
            assertTrue(owners.size() > 1, "seed " + seed + ": one daemon holds all workers");
        }

        private void injectFault(SimulatedDaemon daemon) {
            switch (random.nextInt(40)) {
                case 0 -> daemon.pausedSteps = random.nextInt(80);
                case 1 -> restart(daemon);
                case 2, 3 -> daemon.stale = !daemon.stale;
                case 4 -> daemon.leases.updateHosts(workers.subList(0, random.nextInt(WORKERS)));
                case 5, 6 -> daemon.leases.updateHosts(workers);
                default -> {}
            }
        }

        private void restart(SimulatedDaemon daemon) {
            daemon.incarnation++;
            daemon.held.clear();
            daemon.leases = new WorkerLeases(daemon.id, daemon.incarnation, time);
            daemon.peers = new PeerRegistry(
                    daemon.id, daemons.stream().map(peer -> peer.id).toList(), time);
            daemon.leases.updateHosts(workers);
        }

        private void deliver() {
            List<Delivery> due = new ArrayList<>();
            deliveries.removeIf(delivery -> delivery.step() <= step
                    && (delivery.incarnation() == 0 || delivery.to().pausedSteps == 0)
                    && due.add(delivery));
            for (Delivery delivery : due) {
                if (delivery.incarnation() == 0 || delivery.incarnation() == delivery.to().incarnation) {
                    delivery.action().run();
                }
            }
        }

        private void runDaemon(SimulatedDaemon daemon) {
            if (daemon.pausedSteps > 0) {
                daemon.pausedSteps--;
                return;
            }
            if (step % 4 == 0) {
                heartbeat(daemon);
            }
            if (faultFree && step % 20 == 0) {
                daemon.leases.updateHosts(workers);
            }
            LeaseContext context = new LeaseContext(
                    daemon.peers.eligible(),
                    daemon.stale ? STALE : FRESH,
                    worker -> daemon.peers.holderOf(worker).isPresent(),
                    worker -> faultFree ? 0 : random.nextInt(2));
            daemon.leases.tick(context).forEach(action -> execute(daemon, action));
        }

        private void heartbeat(SimulatedDaemon daemon) {
            Map<WorkerId, Resources> freeByWorker = new HashMap<>();
            daemon.held.keySet().forEach(worker -> freeByWorker.put(worker, Resources.NONE));
            PeerReport report = new PeerReport(
                    daemon.id, daemon.incarnation, false, 0, Optional.of(Duration.ZERO), true, freeByWorker);
            for (SimulatedDaemon receiver : daemons) {
                send(receiver, receiver.incarnation, () -> receiver.peers.onHeartbeat(report));
            }
        }

        private void execute(SimulatedDaemon daemon, LeaseAction action) {
            WorkerId worker = action.worker().id();
            switch (action) {
                case LeaseAction.Claim claim -> sendLeaseCommand(daemon, worker, 0);
                case LeaseAction.Renew renew -> sendLeaseCommand(daemon, worker, renew.epoch());
                case LeaseAction.Release release -> {
                    daemon.held.remove(worker);
                    send(daemon, 0, () -> simulatedWorkers.get(worker).release(release.epoch()));
                    scheduleEvent(daemon, step + 5, new LeaseEvent.Unanswered(worker));
                }
                case LeaseAction.Drop drop -> daemon.held.remove(worker);
                case LeaseAction.Pause pause -> {}
                case LeaseAction.Resume resume -> {}
            }
        }

        /** Sends a claim or renewal. The daemon gives up after five steps, but the command may still arrive later. */
        private void sendLeaseCommand(SimulatedDaemon daemon, WorkerId worker, long epoch) {
            long sentAt = time.nanos();
            boolean[] answered = {false};
            send(daemon, 0, () -> {
                Optional<Long> grantedEpoch = simulatedWorkers.get(worker).grant(daemon.id, epoch, time.nanos());
                send(daemon, daemon.incarnation, () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        onReply(daemon, worker, grantedEpoch, sentAt);
                    }
                });
            });
            long incarnation = daemon.incarnation;
            deliveries.add(new Delivery(step + 5, daemon, incarnation, () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    deliverEvent(daemon, new LeaseEvent.Unanswered(worker));
                }
            }));
        }

        private void onReply(SimulatedDaemon daemon, WorkerId worker, Optional<Long> epoch, long sentAt) {
            if (epoch.isEmpty()) {
                deliverEvent(daemon, new LeaseEvent.Refused(worker));
                return;
            }
            grants++;
            daemon.held.put(worker, new HeldLease(epoch.get(), WorkerLeases.validUntil(sentAt)));
            deliverEvent(daemon, new LeaseEvent.Granted(worker, epoch.get(), sentAt, 0));
        }

        private void deliverEvent(SimulatedDaemon daemon, LeaseEvent event) {
            daemon.leases.onEvent(event).forEach(action -> execute(daemon, action));
        }

        private void scheduleEvent(SimulatedDaemon daemon, int at, LeaseEvent event) {
            deliveries.add(new Delivery(at, daemon, daemon.incarnation, () -> deliverEvent(daemon, event)));
        }

        private void send(SimulatedDaemon to, long incarnation, Runnable action) {
            if (faultFree || random.nextInt(8) > 0) {
                int delay = !faultFree && random.nextInt(10) == 0 ? random.nextInt(60) : random.nextInt(2);
                deliveries.add(new Delivery(step + delay, to, incarnation, action));
            }
        }

        private void checkSingleHolder() {
            for (Worker worker : workers) {
                List<DaemonId> holders = holders(worker.id());
                assertTrue(holders.size() <= 1, "seed " + seed + " step " + step + ": " + worker.id() + " " + holders);
            }
        }

        private List<DaemonId> holders(WorkerId worker) {
            return daemons.stream()
                    .filter(daemon -> daemon.held.containsKey(worker))
                    .filter(daemon -> time.nanos() - daemon.held.get(worker).validUntil() < 0)
                    .map(daemon -> daemon.id)
                    .toList();
        }
    }
}
