package org.chestnutbarrow.membership;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Guards against treating a dead, restarted or lagging daemon as one that can hold workers. */
public class PeerRegistryTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");

    private final ManualTime time = new ManualTime();
    private final PeerRegistry peers = new PeerRegistry(A, List.of(A, B), time);

    @Test
    public void distinguishesRestartsLateHeartbeatsAndSilence() {
        assertEquals(peers.onHeartbeat(report(1, Duration.ZERO)), new PeerChange.Joined(B, 1));
        assertEquals(peers.onHeartbeat(report(2, Duration.ZERO)), new PeerChange.Restarted(B, 2));
        assertEquals(peers.onHeartbeat(report(1, Duration.ZERO)), new PeerChange.Ignored(B, 1));
        assertEquals(peers.alive(), Set.of(A, B));
        time.advance(PeerRegistry.SUSPECT_TIMEOUT);
        assertEquals(peers.alive(), Set.of(A));
        assertEquals(peers.onHeartbeat(report(2, Duration.ZERO)), new PeerChange.Joined(B, 2));
        peers.onHeartbeat(report(3, Duration.ofSeconds(3)));
        assertEquals(peers.eligible(), Set.of(A), "a daemon that lags behind the log is eligible for workers");
    }

    private static PeerReport report(long incarnation, Duration logAge) {
        return new PeerReport(B, incarnation, false, 0, Optional.of(logAge), true, Map.of());
    }
}
