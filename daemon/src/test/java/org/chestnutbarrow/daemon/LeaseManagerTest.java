package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.membership.PeerRegistry;
import org.chestnutbarrow.membership.WorkerLeases;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.ports.HostList;
import org.chestnutbarrow.ports.WorkerControl;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against workers that stay open in the ledger without a lease, and leases that are not renewed or released. */
public class LeaseManagerTest {
    private static final DaemonId SELF = new DaemonId("a");
    private static final WorkerId WORKER_ID = new WorkerId("w1");
    private static final Address ADDRESS = Address.parse("127.0.0.1:1");
    private static final Duration TICK_STEP = Duration.ofMillis(50);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final RecordingListener listener = new RecordingListener();
    private ManualTime time;
    private CapacityLedger ledger;
    private FakeControl control;
    private LeaseManager manager;
    private volatile Freshness freshness;

    @BeforeMethod
    public void create() {
        time = new ManualTime();
        ledger = new CapacityLedger(time);
        control = new FakeControl();
        freshness = new Freshness.Current(Duration.ZERO, true);
        listener.lines.clear();
        Worker worker = new Worker(
                WORKER_ID, new AvailabilityZone("z"), "r", ADDRESS, ADDRESS, false, new Resources(2, 2, 1000, 1000, 0));
        HostList hosts = () -> new HostList.Listing(Instant.EPOCH, List.of(worker));
        PeerRegistry peers = new PeerRegistry(SELF, List.of(SELF), time);
        LeaseCommands commands =
                new LeaseCommands(SELF, control.control(), ledger, listener, Duration.ofSeconds(10), time);
        manager = new LeaseManager(new WorkerLeases(SELF, 1, time), commands, peers, () -> freshness, ledger, hosts);
        manager.fetchHosts();
    }

    @AfterMethod
    public void close() {
        manager.close();
    }

    @Test
    public void opensTheLedgerEntryAndKeepsItValid() throws InterruptedException {
        await(() -> ledger.availableOn(WORKER_ID).isPresent());
        int earlierCalls = control.leaseCalls;
        await(() -> control.leaseCalls > earlierCalls + 5);
        assertTrue(ledger.holdsLease(WORKER_ID, 1));
        assertEquals(listener.lines.get(0), "acquired w1 1");
        assertTrue(listener.lines.contains("renewed w1 1"));
    }

    @Test
    public void validityEndsBeforeTheLeaseOfTheWorker() throws InterruptedException {
        await(() -> ledger.availableOn(WORKER_ID).isPresent());
        time.advance(WorkerLeases.LEASE_DURATION.multipliedBy(9).dividedBy(10));
        assertFalse(ledger.holdsLease(WORKER_ID, 1));
    }

    @Test
    public void repeatsAnUnansweredRenewalAndDropsTheLeaseOnExpiry() throws InterruptedException {
        await(() -> ledger.availableOn(WORKER_ID).isPresent());
        control.unresponsive = true;
        int earlierCalls = control.leaseCalls;
        await(() -> listener.lines.contains("ended w1 1"));
        assertTrue(control.leaseCalls > earlierCalls + 1, "the renewal was not repeated");
        assertFalse(ledger.holdsLease(WORKER_ID, 1));
        control.unresponsive = false;
        await(() -> ledger.holdsLease(WORKER_ID, 2));
    }

    @Test
    public void dropsALeaseThatAnotherDaemonHasTaken() throws InterruptedException {
        await(() -> ledger.availableOn(WORKER_ID).isPresent());
        control.refusing = true;
        await(() -> listener.lines.contains("ended w1 1"));
        assertTrue(ledger.availableOn(WORKER_ID).isEmpty());
    }

    @Test
    public void releasesEverythingWhileStale() throws InterruptedException {
        await(() -> ledger.availableOn(WORKER_ID).isPresent());
        freshness = new Freshness.Stale(Duration.ofSeconds(3));
        await(() -> control.releaseCalls == 1);
        assertFalse(ledger.holdsLease(WORKER_ID, 1));
    }

    @Test
    public void shutdownWaitsForRequestsInFlight() throws InterruptedException {
        await(() -> ledger.availableOn(WORKER_ID).isPresent());
        Optional<Reservation> reservation = ledger.reserve(WORKER_ID, Resources.ONE_REQUEST);
        boolean[] complete = {false};
        Thread shutdown = Thread.ofVirtual().start(() -> {
            try {
                complete[0] = manager.shutdown(TIMEOUT);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        await(() -> ledger.reserve(WORKER_ID, Resources.ONE_REQUEST)
                .map(this::release)
                .isEmpty());
        int earlierCalls = control.leaseCalls;
        await(() -> control.leaseCalls > earlierCalls);
        assertEquals(control.releaseCalls, 0, "released while a request was in flight");
        ledger.release(reservation.orElseThrow());
        await(() -> control.releaseCalls == 1 && !shutdown.isAlive());
        assertTrue(complete[0]);
    }

    private Reservation release(Reservation reservation) {
        ledger.release(reservation);
        return reservation;
    }

    /** Ticks until the condition holds; sleeps between ticks so that the virtual threads can complete their calls. */
    private void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - deadline < 0, "the condition was not met in time");
            time.advance(TICK_STEP);
            manager.tick();
            Thread.sleep(2);
        }
    }

    /** Records each call as a line. */
    private static final class RecordingListener implements LeaseListener {
        private final List<String> lines = new CopyOnWriteArrayList<>();

        @Override
        public void acquired(Worker worker, WorkerControl.Grant grant, long requestedAt) {
            lines.add("acquired " + worker.id() + " " + grant.epoch());
        }

        @Override
        public void renewed(Worker worker, WorkerControl.Grant grant, long requestedAt) {
            lines.add("renewed " + worker.id() + " " + grant.epoch());
        }

        @Override
        public void ended(Worker worker, long epoch) {
            lines.add("ended " + worker.id() + " " + epoch);
        }
    }

    /** A worker that grants a new epoch for each claim. */
    private static final class FakeControl {
        private volatile boolean unresponsive;
        private volatile boolean refusing;
        private volatile int leaseCalls;
        private volatile int releaseCalls;
        private long epoch;

        /** Returns a control that supports only {@code lease(worker, holder, epoch, ttl)} and {@code release}. */
        private WorkerControl control() {
            return (WorkerControl) Proxy.newProxyInstance(
                    WorkerControl.class.getClassLoader(),
                    new Class<?>[] {WorkerControl.class},
                    (proxy, method, arguments) -> switch (method.getName()) {
                        case "lease" -> lease((long) arguments[2]);
                        case "release" -> release();
                        default -> throw new UnsupportedOperationException(method.getName());
                    });
        }

        private synchronized WorkerControl.Grant lease(long requestedEpoch)
                throws RefusedException, UnavailableException {
            leaseCalls = leaseCalls + 1;
            if (unresponsive) {
                throw new UnavailableException("no answer", "repeat");
            }
            if (refusing) {
                throw new RefusedException("held", "wait");
            }
            epoch = requestedEpoch == 0 ? epoch + 1 : requestedEpoch;
            return new WorkerControl.Grant(epoch, 1, List.of(), 0);
        }

        private synchronized Object release() {
            releaseCalls = releaseCalls + 1;
            return null;
        }
    }
}
