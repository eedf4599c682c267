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

/** Guards against accounts that stay open without a lease, and against leases that are not renewed or given back. */
public class LeaseKeeperTest {
    private static final DaemonId SELF = new DaemonId("a");
    private static final WorkerId ID = new WorkerId("w1");
    private static final Address ADDRESS = Address.parse("127.0.0.1:1");
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration LIMIT = Duration.ofSeconds(30);

    private final Reports reports = new Reports();
    private ManualTime time;
    private CapacityLedger accounts;
    private FakeControl control;
    private LeaseKeeper keeper;
    private volatile Freshness freshness;

    @BeforeMethod
    public void create() {
        time = new ManualTime();
        accounts = new CapacityLedger(time);
        control = new FakeControl();
        freshness = new Freshness.Current(Duration.ZERO, true);
        reports.lines.clear();
        Worker worker = new Worker(
                ID, new AvailabilityZone("z"), "r", ADDRESS, ADDRESS, false, new Resources(2, 2, 1000, 1000, 0));
        HostList hosts = () -> new HostList.Listing(Instant.EPOCH, List.of(worker));
        PeerRegistry peers = new PeerRegistry(SELF, List.of(SELF), time);
        LeaseCommands commands =
                new LeaseCommands(SELF, control.control(), accounts, reports, Duration.ofSeconds(10), time);
        keeper = new LeaseKeeper(new WorkerLeases(SELF, 1, time), commands, peers, () -> freshness, accounts, hosts);
        keeper.fetchHosts();
    }

    @AfterMethod
    public void close() {
        keeper.close();
    }

    @Test
    public void opensTheAccountAndKeepsItValid() throws InterruptedException {
        await(() -> accounts.availableOn(ID).isPresent());
        int before = control.leases;
        await(() -> control.leases > before + 5);
        assertTrue(accounts.holdsLease(ID, 1));
        assertEquals(reports.lines.get(0), "taken w1 1");
        assertTrue(reports.lines.contains("renewed w1 1"));
    }

    @Test
    public void validityEndsBeforeTheTermOfTheWorker() throws InterruptedException {
        await(() -> accounts.availableOn(ID).isPresent());
        time.advance(WorkerLeases.LEASE_DURATION.multipliedBy(9).dividedBy(10));
        assertFalse(accounts.holdsLease(ID, 1));
    }

    @Test
    public void repeatsAnUnansweredRenewalAndDropsTheLeaseWhenItLapses() throws InterruptedException {
        await(() -> accounts.availableOn(ID).isPresent());
        control.silent = true;
        int before = control.leases;
        await(() -> reports.lines.contains("gone w1 1"));
        assertTrue(control.leases > before + 1, "the renewal was not repeated");
        assertFalse(accounts.holdsLease(ID, 1));
        control.silent = false;
        await(() -> accounts.holdsLease(ID, 2));
    }

    @Test
    public void dropsALeaseThatAnotherDaemonHasTaken() throws InterruptedException {
        await(() -> accounts.availableOn(ID).isPresent());
        control.refusing = true;
        await(() -> reports.lines.contains("gone w1 1"));
        assertTrue(accounts.availableOn(ID).isEmpty());
    }

    @Test
    public void releasesEverythingWhileStale() throws InterruptedException {
        await(() -> accounts.availableOn(ID).isPresent());
        freshness = new Freshness.Stale(Duration.ofSeconds(3));
        await(() -> control.released == 1);
        assertFalse(accounts.holdsLease(ID, 1));
    }

    @Test
    public void shutdownWaitsForRequestsInFlight() throws InterruptedException {
        await(() -> accounts.availableOn(ID).isPresent());
        Optional<Reservation> hold = accounts.reserve(ID, Resources.ONE_REQUEST);
        boolean[] done = {false};
        Thread shutdown = Thread.ofVirtual().start(() -> {
            try {
                done[0] = keeper.shutdown(LIMIT);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        await(() ->
                accounts.reserve(ID, Resources.ONE_REQUEST).map(this::giveBack).isEmpty());
        int before = control.leases;
        await(() -> control.leases > before);
        assertEquals(control.released, 0, "released while a request was in flight");
        accounts.release(hold.orElseThrow());
        await(() -> control.released == 1 && !shutdown.isAlive());
        assertTrue(done[0]);
    }

    private Reservation giveBack(Reservation hold) {
        accounts.release(hold);
        return hold;
    }

    /** Ticks until the condition holds; virtual threads get real time to answer between the steps. */
    private void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "condition did not come true");
            time.advance(STEP);
            keeper.tick();
            Thread.sleep(2);
        }
    }

    /** Records what it is told. */
    private static final class Reports implements TaskReports {
        private final List<String> lines = new CopyOnWriteArrayList<>();

        @Override
        public void taken(Worker worker, WorkerControl.Grant grant, long askedAt) {
            lines.add("taken " + worker.id() + " " + grant.epoch());
        }

        @Override
        public void renewed(Worker worker, WorkerControl.Grant grant, long askedAt) {
            lines.add("renewed " + worker.id() + " " + grant.epoch());
        }

        @Override
        public void gone(Worker worker, long epoch) {
            lines.add("gone " + worker.id() + " " + epoch);
        }
    }

    /** A worker that grants a new epoch for each claim. */
    private static final class FakeControl {
        private volatile boolean silent;
        private volatile boolean refusing;
        private volatile int leases;
        private volatile int released;
        private long epoch;

        /** A worker whose only methods are {@code lease(worker, holder, epoch, ttl)} and {@code release}. */
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

        private synchronized WorkerControl.Grant lease(long asked) throws RefusedException, UnavailableException {
            leases = leases + 1;
            if (silent) {
                throw new UnavailableException("no answer", "repeat");
            }
            if (refusing) {
                throw new RefusedException("held", "wait");
            }
            epoch = asked == 0 ? epoch + 1 : asked;
            return new WorkerControl.Grant(epoch, 1, List.of(), 0);
        }

        private synchronized Object release() {
            released = released + 1;
            return null;
        }
    }
}
