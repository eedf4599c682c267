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

/** Guards against requests without capacity, lost grants, retry storms and workers that attract work by failing. */
public class RouterTest {
    private static final AvailabilityZone ZONE_A = new AvailabilityZone("a");
    private static final AvailabilityZone ZONE_B = new AvailabilityZone("b");
    private static final WorkClass WORK =
            new WorkClass("desk", "team", new Target.TailLatency(0.99, Duration.ofMillis(200)), Resources.ONE_REQUEST);
    private static final Duration LEASE = Duration.ofHours(1);
    private static final long SEED = 7;

    private ManualTime time;
    private CapacityLedger accounts;
    private Configuration configuration;
    private Freshness freshness;
    private List<PeerSlots> peers;
    private Router router;
    private int nextRequest;

    @BeforeMethod
    public void createRouter() {
        time = new ManualTime();
        accounts = new CapacityLedger(time);
        configuration = configuration(1, Map.of());
        freshness = new Freshness.Current(Duration.ZERO, true);
        peers = List.of();
        router = new Router(time, accounts, () -> configuration, () -> freshness, () -> peers, new Random(SEED));
    }

    @Test
    public void sendsNoMoreThanTheSlotsAndGrantsTheNextInLine() {
        open("w1", ZONE_A, 2);
        RouteRequest first = request();
        Reservation hold = send(first);
        send(request());
        RouteRequest third = request();
        Decision.Wait wait = (Decision.Wait) router.arrive(third);
        List<Grant> grants = router.finished(first, hold, answered(10, 200));
        assertEquals(grants.size(), 1);
        assertEquals(grants.get(0).ticket(), wait.ticket());
        assertTrue(router.arrive(request()) instanceof Decision.Wait);
    }

    @Test
    public void passesOnTheGrantOfARequestThatGaveUp() {
        open("w1", ZONE_A, 1);
        RouteRequest first = request();
        Reservation hold = send(first);
        RouteRequest second = request();
        Decision.Wait wait = (Decision.Wait) router.arrive(second);
        Decision.Wait next = (Decision.Wait) router.arrive(request());
        router.finished(first, hold, answered(10, 200));
        List<Grant> grants = router.abandon(second, wait.ticket());
        assertEquals(grants.stream().map(Grant::ticket).toList(), List.of(next.ticket()));
    }

    @Test
    public void keepsTheCapacityOfALostRequestUntilItIsSettled() {
        open("w1", ZONE_A, 1);
        RouteRequest request = request();
        Reservation hold = send(request);
        router.finished(request, hold, new SendResult.Lost(Duration.ofMillis(5)));
        assertFalse(router.arrive(request()) instanceof Decision.Send);
        router.settle(hold);
        assertTrue(accounts.reserve(new WorkerId("w1"), Resources.ONE_REQUEST).isEmpty(), "the waiting request has it");
    }

    @Test
    public void sendsNothingToAZoneThatIsOut() {
        open("w1", ZONE_A, 8);
        open("w2", ZONE_B, 8);
        configuration = configuration(2, Map.of(ZONE_A, ZoneState.OUT));
        for (int i = 0; i < 8; i++) {
            assertEquals(send(request()).worker().zone(), ZONE_B);
        }
        assertTrue(router.arrive(request()) instanceof Decision.Wait);
    }

    @Test
    public void refusesWhileTheConfigurationIsStale() {
        open("w1", ZONE_A, 8);
        freshness = new Freshness.Stale(Duration.ofSeconds(3));
        assertTrue(router.arrive(request()) instanceof Decision.Refuse);
    }

    @Test
    public void forwardsOnceWhenNoLocalWorkerHasRoom() {
        peers = List.of(new PeerSlots(new DaemonId("d2"), 0), new PeerSlots(new DaemonId("d3"), 4));
        Decision.Forward forward = (Decision.Forward) router.arrive(request());
        assertEquals(forward.peer(), new DaemonId("d3"));
        RouteRequest forwarded = new RouteRequest("f", WORK, true, request().deadline(), true);
        assertTrue(router.arrive(forwarded) instanceof Decision.Refuse);
    }

    @Test
    public void refusesEarlyWhenTheDeadlineCannotBeMet() {
        open("w1", ZONE_A, 1);
        send(request());
        RouteRequest hurried = new RouteRequest(
                "hurried", WORK, true, time.nanos() + Duration.ofMillis(20).toNanos(), false);
        Decision.Refuse refuse = (Decision.Refuse) router.arrive(hurried);
        assertEquals(refuse.reason(), "deadline-cannot-be-met");
    }

    @Test
    public void boundsRetriesToAShareOfTheRequests() {
        open("w1", ZONE_A, 8);
        open("w2", ZONE_A, 8);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            RouteRequest request = request();
            Reservation hold = send(request);
            router.finished(request, hold, new SendResult.NotSent());
            Decision retry = router.retry(request, Set.of(hold.worker().id()));
            if (retry instanceof Decision.Send send) {
                retries++;
                router.finished(request, send.hold(), answered(10, 200));
            }
            time.advance(Duration.ofMillis(100));
        }
        assertTrue(retries <= 1000 * RetryBudget.SHARE + RetryBudget.RESERVE, "retries " + retries);
        assertTrue(retries >= 50, "retries " + retries);
    }

    @Test
    public void leavesOutAWorkerThatFailsFast() {
        open("bad", ZONE_A, 8);
        for (int i = 1; i <= 5; i++) {
            open("good" + i, ZONE_A, 8);
        }
        time.advance(Duration.ofSeconds(20));
        int bad = 0;
        for (int i = 0; i < 600; i++) {
            RouteRequest request = request();
            Reservation hold = send(request);
            boolean fails = hold.worker().id().value().equals("bad");
            bad += fails ? 1 : 0;
            router.finished(request, hold, fails ? answered(1, 500) : answered(20, 200));
            time.advance(Duration.ofMillis(10));
        }
        assertTrue(bad < 30, "a fair share would be 100, the bad worker got " + bad);
    }

    @Test
    public void prefersTheFasterWorkers() {
        open("slow", ZONE_A, 8);
        open("fast1", ZONE_A, 8);
        open("fast2", ZONE_A, 8);
        time.advance(Duration.ofSeconds(20));
        int slow = 0;
        for (int i = 0; i < 300; i++) {
            RouteRequest request = request();
            Reservation hold = send(request);
            boolean onSlow = hold.worker().id().value().equals("slow");
            slow += onSlow ? 1 : 0;
            router.finished(request, hold, answered(onSlow ? 150 : 10, 200));
            time.advance(Duration.ofMillis(5));
        }
        assertTrue(slow < 60, "a fair share would be 100, the slow worker got " + slow);
    }

    @Test
    public void neverEjectsMoreThanHalfOfAClass() {
        for (int i = 0; i < 4; i++) {
            open("w" + i, ZONE_A, 8);
        }
        for (int i = 0; i < 200; i++) {
            RouteRequest request = request();
            Reservation hold = send(request);
            router.finished(request, hold, new SendResult.NotSent());
        }
        Set<WorkerId> used = new TreeSet<>();
        for (int i = 0; i < 16; i++) {
            used.add(send(request()).worker().id());
        }
        assertEquals(used.size(), 2);
    }

    @Test
    public void usesAnEjectedWorkerRatherThanWaitingForNothing() {
        open("w1", ZONE_A, 1);
        open("w2", ZONE_A, 1);
        for (int i = 0; i < 50; i++) {
            RouteRequest request = request();
            router.finished(request, send(request), new SendResult.NotSent());
        }
        send(request());
        send(request());
        assertTrue(router.arrive(request()) instanceof Decision.Wait);
    }

    private Reservation send(RouteRequest request) {
        Decision decision = router.arrive(request);
        assertTrue(decision instanceof Decision.Send, "decided " + decision);
        return ((Decision.Send) decision).hold();
    }

    private RouteRequest request() {
        nextRequest++;
        return new RouteRequest(
                "r" + nextRequest,
                WORK,
                true,
                time.nanos() + Duration.ofSeconds(5).toNanos(),
                false);
    }

    private static SendResult answered(int millis, int status) {
        return new SendResult.Answered(Duration.ofMillis(millis), status);
    }

    private void open(String id, AvailabilityZone zone, int slots) {
        Address address = Address.parse("127.0.0.1:1");
        Resources capacity = new Resources(slots, 64, 1000, 1000, 0);
        Worker worker = new Worker(new WorkerId(id), zone, "rack-1", address, address, false, capacity);
        accounts.open(worker, 1, time.nanos() + LEASE.toNanos(), List.of(), 0, Duration.ZERO);
    }

    private static Configuration configuration(long version, Map<AvailabilityZone, ZoneState> states) {
        Declarations declarations = new Declarations(
                new TreeMap<>(Map.of(WORK.name(), WORK)),
                new TreeMap<>(Map.of("team", new Team("team", Resources.NONE))),
                new TreeSet<>(Set.of(ZONE_A, ZONE_B)));
        return new Configuration(version, "change", declarations, new TreeMap<>(states));
    }
}
