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

/** Guards against heartbeats that lose what they carry, and against an answer that counts as fresher than it is. */
public class HeartbeatsTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final WorkerId WORKER = new WorkerId("w1");

    private final ManualTime time = new ManualTime();
    private final PeerRegistry peers = new PeerRegistry(A, List.of(A, B), time);
    private final FreshnessGate gate = new FreshnessGate(A, List.of(A, B), time);
    private final ReachabilityTracker contacts = new ReachabilityTracker(A, List.of(A, B), time);

    @Test
    public void countsTheTransitOfAnAnswerAgainstIt() throws InterruptedException {
        time.advance(Duration.ofSeconds(5));
        gate.onApplied(3);
        FakeLink link = new FakeLink(Duration.ofMillis(1900), heartbeat(false));
        try (Heartbeats heartbeats = heartbeats(link)) {
            heartbeats.send();
            assertTrue(link.done.await(30, TimeUnit.SECONDS));
            while (gate.confirmationOf(3) instanceof Confirmation.Pending) {
                Thread.sleep(1);
            }
            assertEquals(gate.freshness().age(), Duration.ofSeconds(2));
            assertFalse(gate.freshness().allowsStarts());
            assertEquals(link.sent.workers(), List.of(new WorkerCapacity(WORKER, Resources.ONE_REQUEST, 1)));
        }
    }

    @Test
    public void takesTheHeartbeatOfAPeerAndAnswersWithItsOwnPosition() {
        gate.onApplied(7);
        try (Heartbeats heartbeats = heartbeats(new FakeLink(Duration.ZERO, heartbeat(false)))) {
            Heartbeat answer = heartbeats.answer(B, heartbeat(false));
            assertEquals(answer.position(), 7);
            assertEquals(peers.alive(), Set.of(A, B));
            assertEquals(peers.holderOf(WORKER), Optional.of(B));
            heartbeats.answer(B, heartbeat(true));
            assertEquals(peers.alive(), Set.of(A), "a leaving daemon counts as alive");
        }
    }

    @Test
    public void ignoresAHeartbeatInTheNameOfAnotherDaemon() {
        try (Heartbeats heartbeats = heartbeats(new FakeLink(Duration.ZERO, heartbeat(false)))) {
            heartbeats.answer(new DaemonId("c"), heartbeat(false));
            assertEquals(peers.alive(), Set.of(A));
        }
    }

    private Heartbeats heartbeats(FakeLink link) {
        List<WorkerCapacity> rooms = List.of(new WorkerCapacity(WORKER, Resources.ONE_REQUEST, 1));
        return new Heartbeats(
                A,
                1,
                peers,
                gate,
                contacts,
                new TeamUse(peers::alive),
                new LeaseEpochs(),
                link.link(),
                () -> rooms,
                () -> 1,
                time);
    }

    private static Heartbeat heartbeat(boolean leaving) {
        List<WorkerCapacity> rooms = List.of(new WorkerCapacity(WORKER, Resources.ONE_REQUEST, 1));
        return new Heartbeat(B, 1, leaving, 3, Optional.of(Duration.ofMillis(100)), true, 1, rooms, Set.of(), Map.of());
    }

    /** Answers every call after some time on the manual clock. */
    private final class FakeLink {
        private final Duration transit;
        private final Heartbeat answer;
        private final CountDownLatch done = new CountDownLatch(1);
        private volatile Heartbeat sent;

        private FakeLink(Duration transit, Heartbeat answer) {
            this.transit = transit;
            this.answer = answer;
        }

        /** A link whose only method is {@code call(peer, request, timeout)}. */
        private PeerLink link() {
            return (PeerLink) Proxy.newProxyInstance(
                    PeerLink.class.getClassLoader(), new Class<?>[] {PeerLink.class}, (proxy, method, arguments) -> {
                        assertEquals(method.getName(), "call");
                        sent = (Heartbeat) arguments[1];
                        time.advance(transit);
                        done.countDown();
                        return answer;
                    });
        }
    }
}
