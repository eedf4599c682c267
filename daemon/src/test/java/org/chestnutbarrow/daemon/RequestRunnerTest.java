package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.routing.PeerCapacity;
import org.chestnutbarrow.routing.Router;
import org.chestnutbarrow.routing.RoutingRequest;
import org.testng.annotations.Test;

/** Guards against the outcome not-run for a request of which an earlier attempt may have run. */
public class RequestRunnerTest {
    private static final DaemonId PEER = new DaemonId("peer");
    private static final WorkClass WORK_CLASS =
            new WorkClass("desk", "team", new Target.TailLatency(0.99, Duration.ofMillis(200)), Resources.ONE_REQUEST);
    private static final Freshness CURRENT = new Freshness.Current(Duration.ZERO, true);

    @Test
    public void aRefusedRetryLeavesTheFirstAttemptUnknown() throws InterruptedException {
        assertTrue(run(new FakeLink(false)) instanceof Outcome.Unknown);
    }

    @Test
    public void aPeerThatFailsMidwayLeavesTheOutcomeUnknown() throws InterruptedException {
        assertTrue(run(new FakeLink(true)) instanceof Outcome.Unknown);
    }

    private static Outcome run(PeerLink link) throws InterruptedException {
        TimeSource time = TimeSource.SYSTEM;
        CapacityLedger ledger = new CapacityLedger(time);
        List<PeerCapacity> peerCapacity = List.of(new PeerCapacity(PEER, 4));
        Router router =
                new Router(time, ledger, () -> Configuration.INITIAL, () -> CURRENT, () -> peerCapacity, new Random(1));
        try (HttpClient endpoints = new HttpClient(1024);
                ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor()) {
            RequestRunner runner = new RequestRunner(
                    router,
                    ledger,
                    () -> Configuration.INITIAL,
                    () -> CURRENT,
                    endpoints,
                    link,
                    time,
                    timer,
                    new CapacityWaiters(),
                    new Metrics());
            long deadline = time.nanos() + Duration.ofSeconds(30).toNanos();
            RoutingRequest request = new RoutingRequest("r", WORK_CLASS, true, deadline, false);
            return runner.run(request, HttpRequest.get("/desk/1")).outcome();
        }
    }

    /** Loses the response of the first call, or fails it midway; later calls fail before anything is sent. */
    private static final class FakeLink implements PeerLink {
        private final boolean failsMidway;
        private int calls;

        FakeLink(boolean failsMidway) {
            this.failsMidway = failsMidway;
        }

        @Override
        public PeerMessage call(DaemonId peer, PeerMessage request, Duration timeout)
                throws NotRunException, OutcomeUnknownException {
            calls++;
            if (calls > 1) {
                throw new NotRunException("no connection", "try again");
            }
            if (failsMidway) {
                return new PeerMessage.Failure("the handler failed");
            }
            throw new OutcomeUnknownException("the answer was lost", "ask for the outcome");
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
