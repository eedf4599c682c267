package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.membership.Confirmation;
import org.chestnutbarrow.membership.FreshnessGate;
import org.chestnutbarrow.membership.PeerRegistry;
import org.chestnutbarrow.membership.ReachabilityTracker;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage.Heartbeat;
import org.chestnutbarrow.peer.PeerMessage.WorkerCapacity;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Checks that heartbeats convey their contents and that the transit time counts towards the age of an answer. */
public class HeartbeatServiceTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final WorkerId WORKER = new WorkerId("w1");

    private final ManualTime time = new ManualTime();
    private final PeerRegistry peerRegistry = new PeerRegistry(A, List.of(A, B), time);
    private final FreshnessGate gate = new FreshnessGate(A, List.of(A, B), time);
    private final ReachabilityTracker reachability = new ReachabilityTracker(A, List.of(A, B), time);

    @Test
    public void countsTransitTimeTowardsAnswerAge() throws InterruptedException {
        time.advance(Duration.ofSeconds(5));
        gate.onApplied(3);
        FakeLink link = new FakeLink(Duration.ofMillis(1900), peerHeartbeat(false));
        try (HeartbeatService heartbeats = createHeartbeats(link)) {
            heartbeats.send();
            assertTrue(link.called.await(30, TimeUnit.SECONDS));
            while (gate.confirmationOf(3) instanceof Confirmation.Pending) {
                Thread.sleep(1);
            }
            assertEquals(gate.freshness().age(), Duration.ofSeconds(2));
            assertFalse(gate.freshness().allowsStarts());
            assertEquals(link.lastRequest.workers(), List.of(new WorkerCapacity(WORKER, Resources.ONE_REQUEST, 1)));
        }
    }

    @Test
    public void recordsPeerAndAnswersWithOwnPosition() {
        gate.onApplied(7);
        try (HeartbeatService heartbeats = createHeartbeats(new FakeLink(Duration.ZERO, peerHeartbeat(false)))) {
            Heartbeat answer = heartbeats.answer(B, peerHeartbeat(false));
            assertEquals(answer.position(), 7);
            assertEquals(peerRegistry.alive(), Set.of(A, B));
            assertEquals(peerRegistry.holderOf(WORKER), Optional.of(B));
            heartbeats.answer(B, peerHeartbeat(true));
            assertEquals(peerRegistry.alive(), Set.of(A), "a daemon that is shutting down counts as alive");
        }
    }

    @Test
    public void ignoresHeartbeatWithAnotherSenderId() {
        try (HeartbeatService heartbeats = createHeartbeats(new FakeLink(Duration.ZERO, peerHeartbeat(false)))) {
            heartbeats.answer(new DaemonId("c"), peerHeartbeat(false));
            assertEquals(peerRegistry.alive(), Set.of(A));
        }
    }

    private HeartbeatService createHeartbeats(FakeLink link) {
        List<WorkerCapacity> capacities = List.of(new WorkerCapacity(WORKER, Resources.ONE_REQUEST, 1));
        return new HeartbeatService(
                A,
                1,
                peerRegistry,
                gate,
                reachability,
                new TeamUsage(peerRegistry::alive),
                new LeaseEpochs(),
                link.asPeerLink(),
                () -> capacities,
                () -> 1,
                time);
    }

    private static Heartbeat peerHeartbeat(boolean leaving) {
        List<WorkerCapacity> capacities = List.of(new WorkerCapacity(WORKER, Resources.ONE_REQUEST, 1));
        return new Heartbeat(
                B, 1, leaving, 3, Optional.of(Duration.ofMillis(100)), true, 1, capacities, Set.of(), Map.of());
    }

    /** A link that advances the manual clock by the transit time and then answers every call. */
    private final class FakeLink {
        private final Duration transit;
        private final Heartbeat answer;
        private final CountDownLatch called = new CountDownLatch(1);
        private volatile Heartbeat lastRequest;

        private FakeLink(Duration transit, Heartbeat answer) {
            this.transit = transit;
            this.answer = answer;
        }

        /** Returns a link that only supports {@code call(peer, request, timeout)}. */
        private PeerLink asPeerLink() {
            return (PeerLink) Proxy.newProxyInstance(
                    PeerLink.class.getClassLoader(), new Class<?>[] {PeerLink.class}, (proxy, method, arguments) -> {
                        assertEquals(method.getName(), "call");
                        lastRequest = (Heartbeat) arguments[1];
                        time.advance(transit);
                        called.countDown();
                        return answer;
                    });
        }
    }
}
