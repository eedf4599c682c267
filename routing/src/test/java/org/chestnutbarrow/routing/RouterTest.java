package org.chestnutbarrow.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.model.ZoneState;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests without capacity, lost grants, retry storms and workers that attract requests by failing. */
public class RouterTest {
    private static final AvailabilityZone ZONE_A = new AvailabilityZone("a");
    private static final AvailabilityZone ZONE_B = new AvailabilityZone("b");
    private static final WorkClass WORK_CLASS =
            new WorkClass("desk", "team", new Target.TailLatency(0.99, Duration.ofMillis(200)), Resources.ONE_REQUEST);
    private static final Duration LEASE = Duration.ofHours(1);
    private static final long SEED = 7;

    private ManualTime time;
    private CapacityLedger ledger;
    private Configuration configuration;
    private Freshness freshness;
    private List<PeerCapacity> peerCapacities;
    private Router router;
    private int nextRequest;

    @BeforeMethod
    public void createRouter() {
        time = new ManualTime();
        ledger = new CapacityLedger(time);
        configuration = configuration(1, Map.of());
        freshness = new Freshness.Current(Duration.ZERO, true);
        peerCapacities = List.of();
        router = new Router(time, ledger, () -> configuration, () -> freshness, () -> peerCapacities, new Random(SEED));
    }

    @Test
    public void sendsNoMoreRequestsThanSlotsAndGrantsFreedSlotToOldestWaiter() {
        addWorker("w1", ZONE_A, 2);
        RoutingRequest first = newRequest();
        Reservation reservation = routeAndSend(first);
        routeAndSend(newRequest());
        RoutingRequest third = newRequest();
        RoutingDecision.Wait wait = (RoutingDecision.Wait) router.route(third);
        List<CapacityGrant> grants = router.complete(first, reservation, answered(10, 200));
        assertEquals(grants.size(), 1);
        assertEquals(grants.get(0).ticket(), wait.ticket());
        assertTrue(router.route(newRequest()) instanceof RoutingDecision.Wait);
    }

    @Test
    public void passesUnclaimedGrantToNextWaiter() {
        addWorker("w1", ZONE_A, 1);
        RoutingRequest first = newRequest();
        Reservation reservation = routeAndSend(first);
        RoutingRequest second = newRequest();
        RoutingDecision.Wait wait = (RoutingDecision.Wait) router.route(second);
        RoutingDecision.Wait next = (RoutingDecision.Wait) router.route(newRequest());
        router.complete(first, reservation, answered(10, 200));
        List<CapacityGrant> grants = router.cancelWait(second, wait.ticket());
        assertEquals(grants.stream().map(CapacityGrant::ticket).toList(), List.of(next.ticket()));
    }

    @Test
    public void keepsCapacityOfLostRequestUntilReleased() {
        addWorker("w1", ZONE_A, 1);
        RoutingRequest request = newRequest();
        Reservation reservation = routeAndSend(request);
        router.complete(request, reservation, new SendResult.Lost(Duration.ofMillis(5)));
        assertFalse(router.route(newRequest()) instanceof RoutingDecision.Send);
        router.releaseCapacity(reservation);
        assertTrue(
                ledger.reserve(new WorkerId("w1"), Resources.ONE_REQUEST).isEmpty(),
                "the waiting request must hold the capacity");
    }

    @Test
    public void sendsNothingToZoneThatIsOut() {
        addWorker("w1", ZONE_A, 8);
        addWorker("w2", ZONE_B, 8);
        configuration = configuration(2, Map.of(ZONE_A, ZoneState.OUT));
        for (int i = 0; i < 8; i++) {
            assertEquals(routeAndSend(newRequest()).worker().zone(), ZONE_B);
        }
        assertTrue(router.route(newRequest()) instanceof RoutingDecision.Wait);
    }

    @Test
    public void refusesWhileConfigurationIsStale() {
        addWorker("w1", ZONE_A, 8);
        freshness = new Freshness.Stale(Duration.ofSeconds(3));
        assertTrue(router.route(newRequest()) instanceof RoutingDecision.Refuse);
    }

    @Test
    public void forwardsOnceWhenNoLocalWorkerHasCapacity() {
        peerCapacities =
                List.of(new PeerCapacity(new DaemonId("d2"), 0, true), new PeerCapacity(new DaemonId("d3"), 4, true));
        RoutingDecision.Forward forward = (RoutingDecision.Forward) router.route(newRequest());
        assertEquals(forward.peer(), new DaemonId("d3"));
        RoutingRequest forwarded =
                new RoutingRequest("f", WORK_CLASS, true, newRequest().deadline(), true);
        assertTrue(router.route(forwarded) instanceof RoutingDecision.Refuse);
    }

    /** Guards against refusing a request because of the peer that no longer has the capacity that it reported. */
    @Test
    public void forwardsToAnotherPeerAfterOneHasRefused() {
        DaemonId refusing = new DaemonId("d2");
        DaemonId other = new DaemonId("d3");
        peerCapacities = List.of(new PeerCapacity(refusing, 100, true), new PeerCapacity(other, 1, true));
        RoutingRequest request = newRequest();
        Tried tried = Tried.NOWHERE.with(refusing);
        RoutingDecision.Forward forward = (RoutingDecision.Forward) router.reroute(request, tried);
        assertEquals(forward.peer(), other);
        assertTrue(router.reroute(request, tried.with(other)) instanceof RoutingDecision.Refuse);
    }

    /** Guards against refusing a request although a peer has workers, which were busy at its last heartbeat. */
    @Test
    public void daemonWithoutWorkersForwardsToBusyPeer() {
        DaemonId busy = new DaemonId("d3");
        peerCapacities = List.of(new PeerCapacity(new DaemonId("d2"), 0, false), new PeerCapacity(busy, 0, true));
        RoutingDecision.Forward forward = (RoutingDecision.Forward) router.route(newRequest());
        assertEquals(forward.peer(), busy);
        RoutingDecision next = router.reroute(newRequest(), Tried.NOWHERE.with(busy));
        assertTrue(next instanceof RoutingDecision.Refuse, next.toString());
    }

    /** Guards against retries that use up all attempts on the worker that has just failed. */
    @Test
    public void retryPrefersPeerToWorkerThatWasTried() {
        addWorker("w1", ZONE_A, 2);
        Tried tried = Tried.NOWHERE.with(new WorkerId("w1"));
        peerCapacities = List.of(new PeerCapacity(new DaemonId("d2"), 1, true));
        assertTrue(router.retry(newRequest(), tried) instanceof RoutingDecision.Forward);
        peerCapacities = List.of();
        assertTrue(router.retry(newRequest(), tried) instanceof RoutingDecision.Send);
        assertTrue(router.retry(newRequest(), tried) instanceof RoutingDecision.Send, "the forward holds no capacity");
    }

    /** Guards against requests that wait until their deadlines for a worker that was handed over. */
    @Test
    public void waitsEndWhenTheLastWorkerIsLost() {
        addWorker("w1", ZONE_A, 1);
        addWorker("w2", ZONE_A, 1);
        routeAndSend(newRequest());
        routeAndSend(newRequest());
        RoutingDecision.Wait wait = (RoutingDecision.Wait) router.route(newRequest());
        ledger.close(new WorkerId("w1"), 1);
        assertEquals(router.withdrawWaits(), List.of());
        ledger.close(new WorkerId("w2"), 1);
        assertEquals(router.withdrawWaits(), List.of(wait.ticket()));
        addWorker("w3", ZONE_A, 1);
        assertEquals(router.grantFreeCapacity(), List.of(), "the wait has ended");
    }

    @Test
    public void refusesWhenDeadlineCannotBeMet() {
        addWorker("w1", ZONE_A, 1);
        routeAndSend(newRequest());
        RoutingRequest urgent = new RoutingRequest(
                "urgent", WORK_CLASS, true, time.nanos() + Duration.ofMillis(20).toNanos(), false);
        RoutingDecision.Refuse refuse = (RoutingDecision.Refuse) router.route(urgent);
        assertEquals(refuse.reason(), "deadline-cannot-be-met");
    }

    @Test
    public void limitsRetriesToShareOfRequests() {
        addWorker("w1", ZONE_A, 8);
        addWorker("w2", ZONE_A, 8);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            RoutingRequest request = newRequest();
            Reservation reservation = routeAndSend(request);
            router.complete(request, reservation, new SendResult.NotSent());
            RoutingDecision retry = router.retry(
                    request, Tried.NOWHERE.with(reservation.worker().id()));
            if (retry instanceof RoutingDecision.Send send) {
                retries++;
                router.complete(request, send.reservation(), answered(10, 200));
            }
            time.advance(Duration.ofMillis(100));
        }
        assertTrue(
                retries <= 1000 * RetryBudget.RETRIES_PER_REQUEST + RetryBudget.MAX_SAVED_RETRIES,
                "retries " + retries);
        assertTrue(retries >= 50, "retries " + retries);
    }

    @Test
    public void avoidsWorkerThatFailsFast() {
        addWorker("bad", ZONE_A, 8);
        for (int i = 1; i <= 5; i++) {
            addWorker("good" + i, ZONE_A, 8);
        }
        time.advance(Duration.ofSeconds(20));
        int sentToBad = 0;
        for (int i = 0; i < 600; i++) {
            RoutingRequest request = newRequest();
            Reservation reservation = routeAndSend(request);
            boolean fails = reservation.worker().id().value().equals("bad");
            sentToBad += fails ? 1 : 0;
            router.complete(request, reservation, fails ? answered(1, 500) : answered(20, 200));
            time.advance(Duration.ofMillis(10));
        }
        assertTrue(
                sentToBad < 30, "the failing worker got at least 30% of an equal share of 100 requests: " + sentToBad);
    }

    @Test
    public void prefersFasterWorkers() {
        addWorker("slow", ZONE_A, 8);
        addWorker("fast1", ZONE_A, 8);
        addWorker("fast2", ZONE_A, 8);
        time.advance(Duration.ofSeconds(20));
        int sentToSlow = 0;
        for (int i = 0; i < 300; i++) {
            RoutingRequest request = newRequest();
            Reservation reservation = routeAndSend(request);
            boolean onSlow = reservation.worker().id().value().equals("slow");
            sentToSlow += onSlow ? 1 : 0;
            router.complete(request, reservation, answered(onSlow ? 150 : 10, 200));
            time.advance(Duration.ofMillis(5));
        }
        assertTrue(
                sentToSlow < 60, "the slow worker got at least 60% of an equal share of 100 requests: " + sentToSlow);
    }

    @Test
    public void neverEjectsMoreThanHalfOfWorkers() {
        for (int i = 0; i < 4; i++) {
            addWorker("w" + i, ZONE_A, 8);
        }
        for (int i = 0; i < 200; i++) {
            RoutingRequest request = newRequest();
            Reservation reservation = routeAndSend(request);
            router.complete(request, reservation, new SendResult.NotSent());
        }
        Set<WorkerId> used = new TreeSet<>();
        for (int i = 0; i < 16; i++) {
            used.add(routeAndSend(newRequest()).worker().id());
        }
        assertEquals(used.size(), 2);
    }

    @Test
    public void usesEjectedWorkerIfNoOtherHasCapacity() {
        addWorker("w1", ZONE_A, 1);
        addWorker("w2", ZONE_A, 1);
        for (int i = 0; i < 50; i++) {
            RoutingRequest request = newRequest();
            router.complete(request, routeAndSend(request), new SendResult.NotSent());
        }
        routeAndSend(newRequest());
        routeAndSend(newRequest());
        assertTrue(router.route(newRequest()) instanceof RoutingDecision.Wait);
    }

    private Reservation routeAndSend(RoutingRequest request) {
        RoutingDecision decision = router.route(request);
        assertTrue(decision instanceof RoutingDecision.Send, "expected a send decision: " + decision);
        return ((RoutingDecision.Send) decision).reservation();
    }

    private RoutingRequest newRequest() {
        nextRequest++;
        return new RoutingRequest(
                "r" + nextRequest,
                WORK_CLASS,
                true,
                time.nanos() + Duration.ofSeconds(5).toNanos(),
                false);
    }

    private static SendResult answered(int millis, int status) {
        return new SendResult.Answered(Duration.ofMillis(millis), status);
    }

    private void addWorker(String id, AvailabilityZone zone, int slots) {
        Address address = Address.parse("127.0.0.1:1");
        Resources capacity = new Resources(slots, 64, 1000, 1000, 0);
        Worker worker = new Worker(new WorkerId(id), zone, "rack-1", address, address, false, capacity);
        ledger.open(worker, 1, time.nanos() + LEASE.toNanos(), List.of(), 0, Duration.ZERO);
    }

    private static Configuration configuration(long version, Map<AvailabilityZone, ZoneState> states) {
        Declarations declarations = new Declarations(
                new TreeMap<>(Map.of(WORK_CLASS.name(), WORK_CLASS)),
                new TreeMap<>(Map.of("team", new Team("team", Resources.NONE))),
                new TreeSet<>(Set.of(ZONE_A, ZONE_B)));
        return new Configuration(version, "change", declarations, new TreeMap<>(states));
    }
}
