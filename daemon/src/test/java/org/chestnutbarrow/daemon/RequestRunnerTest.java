package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.routing.PeerCapacity;
import org.chestnutbarrow.routing.Router;
import org.chestnutbarrow.routing.RoutingDecision;
import org.chestnutbarrow.routing.RoutingRequest;
import org.chestnutbarrow.routing.Tried;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against the outcome not-run for a request of which an earlier attempt may have run, and for one that another
 * daemon could run.
 */
public class RequestRunnerTest {
    private static final DaemonId PEER = new DaemonId("peer");
    private static final DaemonId OTHER_PEER = new DaemonId("other-peer");
    private static final WorkClass WORK_CLASS =
            new WorkClass("desk", "team", new Target.TailLatency(0.99, Duration.ofMillis(200)), Resources.ONE_REQUEST);
    private static final Freshness CURRENT = new Freshness.Current(Duration.ZERO, true);
    private static final Duration DEADLINE = Duration.ofSeconds(30);
    private static final WorkerId WORKER = new WorkerId("w");
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final Configuration CONFIGURATION = new Configuration(
            1,
            "change",
            new Declarations(
                    new TreeMap<>(Map.of(WORK_CLASS.name(), WORK_CLASS)),
                    new TreeMap<>(Map.of("team", new Team("team", Resources.NONE))),
                    new TreeSet<>(Set.of(ZONE))),
            new TreeMap<>());

    private final TimeSource time = TimeSource.SYSTEM;
    private CapacityLedger ledger;
    private CapacityWaiters waiters;
    private HttpClient endpoints;
    private ScheduledExecutorService timer;
    private volatile List<PeerCapacity> peerCapacities;
    private Router router;

    @BeforeMethod
    public void createRouter() {
        ledger = new CapacityLedger(time);
        waiters = new CapacityWaiters();
        endpoints = new HttpClient(1024);
        timer = Executors.newSingleThreadScheduledExecutor();
        peerCapacities = List.of(new PeerCapacity(PEER, 4, true));
        Supplier<List<PeerCapacity>> capacities = () -> peerCapacities;
        router = new Router(time, ledger, () -> CONFIGURATION, () -> CURRENT, capacities, new Random(1));
    }

    @AfterMethod
    public void close() {
        timer.shutdownNow();
        endpoints.close();
    }

    @Test
    public void aRefusedRetryLeavesTheFirstAttemptUnknown() throws InterruptedException {
        FakeLink link = new FakeLink(_ -> {
            throw new OutcomeUnknownException("the answer was lost", "ask for the outcome");
        });
        assertTrue(run(link).outcome() instanceof Outcome.Unknown);
    }

    @Test
    public void aPeerThatFailsMidwayLeavesTheOutcomeUnknown() throws InterruptedException {
        FakeLink link = new FakeLink(_ -> new PeerMessage.Failure("the handler failed"));
        assertTrue(run(link).outcome() instanceof Outcome.Unknown);
    }

    /** Guards against a refusal because one peer has handed over its workers since its last heartbeat. */
    @Test
    public void requestThatOnePeerRefusesRunsAtAnother() throws InterruptedException {
        peerCapacities = List.of(new PeerCapacity(PEER, 100, true), new PeerCapacity(OTHER_PEER, 1, true));
        FakeLink link = new FakeLink(peer -> peer.equals(PEER) ? notRun() : ran());
        assertTrue(run(link).outcome() instanceof Outcome.Ran);
        assertEquals(link.calls(), List.of(PEER, OTHER_PEER));
    }

    /** Guards against a request that waits until its deadline after the last worker of this daemon was handed over. */
    @Test
    public void waitingRequestRunsAtAPeerOnceTheWorkersAreHandedOver() throws Exception {
        peerCapacities = List.of();
        openWorker(1);
        ledger.reserve(WORKER, Resources.ONE_REQUEST);
        FakeLink link = new FakeLink(_ -> ran());
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            CompletableFuture<Outcome> outcome = CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return run(link).outcome();
                        } catch (InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                    },
                    executor);
            while (router.waitingRequests(WORK_CLASS.name()) == 0) {
                assertFalse(outcome.isDone(), "the request must wait");
                Thread.sleep(5);
            }
            ledger.close(WORKER, 1);
            peerCapacities = List.of(new PeerCapacity(PEER, 4, true));
            waiters.wake(router.grantFreeCapacity());
            waiters.withdraw(router.withdrawWaits());
            assertTrue(outcome.get(DEADLINE.toSeconds() / 2, TimeUnit.SECONDS) instanceof Outcome.Ran);
        }
    }

    /** Guards against a worker that refuses connections and uses up the retries of requests that other workers lose. */
    @Test
    public void requestsThatWereNotSentLeaveTheRetryBudget() throws InterruptedException {
        peerCapacities = List.of();
        openWorker(8);
        FakeLink link = new FakeLink(_ -> ran());
        for (int i = 0; i < 20; i++) {
            assertTrue(run(link).isNotRun());
        }
        RoutingDecision retry = router.retry(request(), Tried.NOWHERE.with(WORKER));
        assertTrue(retry instanceof RoutingDecision.Send, retry.toString());
    }

    /** Opens a worker whose endpoint refuses connections. */
    private void openWorker(int slots) {
        Address unused = Address.parse("127.0.0.1:1");
        Resources capacity = new Resources(slots, 64, 1000, 1000, 0);
        Worker worker = new Worker(WORKER, ZONE, "r", unused, unused, false, capacity);
        long validUntil = time.nanos() + Duration.ofHours(1).toNanos();
        ledger.open(worker, 1, validUntil, List.of(), 0, Duration.ZERO);
    }

    private RoutingRequest request() {
        return new RoutingRequest("r", WORK_CLASS, true, time.nanos() + DEADLINE.toNanos(), false);
    }

    private RequestResult run(PeerLink link) throws InterruptedException {
        RequestRunner runner = new RequestRunner(
                router,
                ledger,
                () -> CONFIGURATION,
                () -> CURRENT,
                endpoints,
                link,
                time,
                timer,
                waiters,
                new Metrics());
        return runner.run(request(), HttpRequest.get("/desk/1"));
    }

    private static PeerMessage ran() {
        return new PeerMessage.ForwardResponse("ran", "", "w", 200, List.of(), new byte[0]);
    }

    private static PeerMessage notRun() {
        return new PeerMessage.ForwardResponse("not-run", "no-worker", "", 503, List.of(), new byte[0]);
    }

    /** The result of a call to a peer. */
    @FunctionalInterface
    private interface Response {
        PeerMessage from(DaemonId peer) throws NotRunException, OutcomeUnknownException;
    }

    /** Records the called peers; a second call of one peer fails before anything is sent. */
    private static final class FakeLink implements PeerLink {
        private final Response response;
        private final List<DaemonId> calls = new ArrayList<>();

        FakeLink(Response response) {
            this.response = response;
        }

        synchronized List<DaemonId> calls() {
            return List.copyOf(calls);
        }

        @Override
        public synchronized PeerMessage call(DaemonId peer, PeerMessage request, Duration timeout)
                throws NotRunException, OutcomeUnknownException {
            boolean repeated = calls.contains(peer);
            calls.add(peer);
            if (repeated) {
                throw new NotRunException("no connection", "try again");
            }
            return response.from(peer);
        }

        @Override
        public Address address() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void connect(DaemonId peer, Address address) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void send(DaemonId peer, PeerMessage message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }
}
