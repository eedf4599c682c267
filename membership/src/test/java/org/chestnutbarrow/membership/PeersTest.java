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

/** Guards against taking a dead, old or unready daemon for one that can hold workers. */
public class PeersTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");

    private final ManualTime time = new ManualTime();
    private final Peers peers = new Peers(A, List.of(A, B), time);

    @Test
    public void tellsANewProcessFromTheOneBeforeAndFromSilence() {
        assertEquals(peers.heard(report(1, Duration.ZERO)), new PeerChange.Joined(B, 1));
        assertEquals(peers.heard(report(2, Duration.ZERO)), new PeerChange.Restarted(B, 2));
        assertEquals(peers.heard(report(1, Duration.ZERO)), new PeerChange.Ignored(B, 1));
        assertEquals(peers.alive(), Set.of(A, B));
        time.advance(Peers.SUSPECTED_AFTER);
        assertEquals(peers.alive(), Set.of(A));
        assertEquals(peers.heard(report(2, Duration.ZERO)), new PeerChange.Joined(B, 2));
        peers.heard(report(3, Duration.ofSeconds(3)));
        assertEquals(peers.eligible(), Set.of(A), "a daemon that is behind the log was to get workers");
    }

    private static PeerReport report(long incarnation, Duration age) {
        return new PeerReport(B, incarnation, false, 0, Optional.of(age), true, Map.of());
    }
}
