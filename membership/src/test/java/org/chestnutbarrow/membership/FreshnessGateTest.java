package org.chestnutbarrow.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against starts on an outdated view of the log, for each row of the table in section 7 of the design page. */
public class FreshnessGateTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final DaemonId C = new DaemonId("c");

    private ManualTime time;
    private FreshnessGate gate;

    @BeforeMethod
    public void createGate() {
        time = new ManualTime();
        gate = new FreshnessGate(A, List.of(A, B, C), time);
    }

    @Test
    public void isStaleAfterAnUnnoticedPause() {
        applyAndReadToEnd(4);
        assertTrue(gate.freshness() instanceof Freshness.Current current && current.ownRead());
        time.advance(FreshnessGate.MAX_LOG_AGE);
        assertFalse(gate.freshness().allowsStarts());
    }

    @Test
    public void countsAReadFromItsSendTimeOnceItIsApplied() {
        long sentAt = time.nanos();
        time.advance(Duration.ofMillis(1900));
        gate.onReadToEnd(sentAt, 4);
        assertFalse(gate.freshness().allowsStarts(), "fresh before the records were applied");
        gate.onApplied(4);
        assertTrue(gate.freshness().allowsStarts());
        time.advance(Duration.ofMillis(100));
        assertFalse(gate.freshness().allowsStarts());
    }

    @Test
    public void countsARelayedAgeFromTheRequestNotTheReceipt() {
        gate.onApplied(4);
        time.advance(Duration.ofSeconds(5));
        long requestedAt = time.nanos();
        time.advance(Duration.ofMillis(1500));
        gate.onHeartbeat(report(B, 4, Optional.of(Duration.ofMillis(400)), true), requestedAt);
        assertTrue(gate.freshness() instanceof Freshness.Current current && !current.ownRead());
        time.advance(Duration.ofMillis(100));
        assertFalse(gate.freshness().allowsStarts());
    }

    @Test
    public void isFreshOnlyAfterCatchingUpWithAPeer() {
        time.advance(Duration.ofSeconds(5));
        gate.onHeartbeat(report(B, 7, Optional.of(Duration.ZERO), true), time.nanos());
        assertFalse(gate.freshness().allowsStarts());
        assertEquals(gate.peerAhead(), Optional.of(B));
        gate.onApplied(7);
        assertTrue(gate.freshness().allowsStarts());
    }

    @Test
    public void isVouchedForByAMajorityOnly() {
        applyAndReadToEnd(4);
        gate.onReadFailed();
        time.advance(Duration.ofSeconds(5));
        assertFalse(gate.freshness().allowsStarts(), "the daemon alone is no majority");
        gate.onHeartbeat(report(B, 4, Optional.of(Duration.ofSeconds(5)), false), time.nanos());
        assertTrue(gate.freshness() instanceof Freshness.Vouched vouched && vouched.vouchers() == 2);
        gate.onHeartbeat(report(C, 5, Optional.of(Duration.ofSeconds(5)), false), time.nanos());
        assertFalse(gate.freshness().allowsStarts(), "a peer has applied a newer position");
    }

    @Test
    public void isNotVouchedForByADaemonThatNeverReadTheEnd() {
        applyAndReadToEnd(4);
        gate.onReadFailed();
        time.advance(Duration.ofSeconds(5));
        gate.onHeartbeat(report(B, -1, Optional.empty(), false), time.nanos());
        assertFalse(gate.freshness().allowsStarts(), "a restarted daemon does not know what it confirmed before");
    }

    @Test
    public void aChangeIsInForceOnceSilentDaemonsMustBeStale() {
        gate.onApplied(4);
        assertEquals(gate.confirmationOf(4), new Confirmation.Pending(Set.of(B, C)));
        time.advance(Duration.ofSeconds(9));
        gate.onConfirmed(B, 4);
        assertEquals(gate.confirmationOf(4), new Confirmation.Pending(Set.of(C)));
        time.advance(FreshnessGate.CONFIRMATION_WAIT);
        assertEquals(gate.confirmationOf(4), new Confirmation.InForce());
        assertEquals(gate.confirmationOf(5), new Confirmation.Pending(Set.of(A, B, C)));
        gate.onApplied(5);
        gate.onConfirmed(B, 5);
        assertEquals(gate.confirmationOf(5), new Confirmation.Pending(Set.of(C)));
        gate.onConfirmed(C, 5);
        assertEquals(gate.confirmationOf(5), new Confirmation.InForce());
    }

    private void applyAndReadToEnd(long lastOffset) {
        gate.onApplied(lastOffset);
        gate.onReadToEnd(time.nanos(), lastOffset);
    }

    private static PeerReport report(DaemonId daemon, long position, Optional<Duration> logAge, boolean logReadable) {
        return new PeerReport(daemon, 1, false, position, logAge, logReadable, Map.of());
    }
}
