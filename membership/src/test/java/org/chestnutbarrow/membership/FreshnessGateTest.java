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

/** Guards against starts on an old view of the log, row by row of the table in section 7 of the design page. */
public class FreshnessGateTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final DaemonId C = new DaemonId("c");

    private ManualTime time;
    private FreshnessGate gate;

    @BeforeMethod
    public void create() {
        time = new ManualTime();
        gate = new FreshnessGate(A, List.of(A, B, C), time);
    }

    @Test
    public void isStaleAfterAPauseThatNobodyReported() {
        readEnd(4);
        assertTrue(gate.freshness() instanceof Freshness.Current c && c.ownRead());
        time.advance(FreshnessGate.BOUND);
        assertFalse(gate.freshness().allowsStarts());
    }

    @Test
    public void countsAReadFromItsSendTimeAndOnlyOnceApplied() {
        long sentAt = time.nanos();
        time.advance(Duration.ofMillis(1900));
        gate.readEnd(sentAt, 4);
        assertFalse(gate.freshness().allowsStarts(), "fresh before the records were applied");
        gate.applied(4);
        assertTrue(gate.freshness().allowsStarts());
        time.advance(Duration.ofMillis(100));
        assertFalse(gate.freshness().allowsStarts());
    }

    @Test
    public void relaysAnAgeFromTheRequestAndNotFromTheReceipt() {
        gate.applied(4);
        time.advance(Duration.ofSeconds(5));
        long requestedAt = time.nanos();
        time.advance(Duration.ofMillis(1500));
        gate.heard(report(B, 4, Optional.of(Duration.ofMillis(400)), true), requestedAt);
        assertTrue(gate.freshness() instanceof Freshness.Current c && !c.ownRead());
        time.advance(Duration.ofMillis(100));
        assertFalse(gate.freshness().allowsStarts());
    }

    @Test
    public void mustCatchUpWithAPeerBeforeItIsFresh() {
        time.advance(Duration.ofSeconds(5));
        gate.heard(report(B, 7, Optional.of(Duration.ZERO), true), time.nanos());
        assertFalse(gate.freshness().allowsStarts());
        assertEquals(gate.ahead(), Optional.of(B));
        gate.applied(7);
        assertTrue(gate.freshness().allowsStarts());
    }

    @Test
    public void isVouchedForByAMajorityOnly() {
        readEnd(4);
        gate.readFailed();
        time.advance(Duration.ofSeconds(5));
        assertFalse(gate.freshness().allowsStarts(), "vouched for by itself alone");
        gate.heard(report(B, 4, Optional.of(Duration.ofSeconds(5)), false), time.nanos());
        assertTrue(gate.freshness() instanceof Freshness.Vouched v && v.vouchers() == 2);
        gate.heard(report(C, 5, Optional.of(Duration.ofSeconds(5)), false), time.nanos());
        assertFalse(gate.freshness().allowsStarts(), "a peer is at a newer position");
    }

    @Test
    public void isNotVouchedForByADaemonThatNeverReadTheEnd() {
        readEnd(4);
        gate.readFailed();
        time.advance(Duration.ofSeconds(5));
        gate.heard(report(B, -1, Optional.empty(), false), time.nanos());
        assertFalse(gate.freshness().allowsStarts(), "a restarted daemon has forgotten what it confirmed");
    }

    @Test
    public void aChangeIsInForceWhenTheSilentMustHaveGoneStale() {
        gate.applied(4);
        assertEquals(gate.confirmed(4), new Confirmation.NotYet(Set.of(B, C)));
        time.advance(Duration.ofSeconds(9));
        gate.confirmedBy(B, 4);
        assertEquals(gate.confirmed(4), new Confirmation.NotYet(Set.of(C)));
        time.advance(FreshnessGate.CONFIRMATION_WAIT);
        assertEquals(gate.confirmed(4), new Confirmation.InForce());
        assertEquals(gate.confirmed(5), new Confirmation.NotYet(Set.of(A, B, C)));
        gate.applied(5);
        gate.confirmedBy(B, 5);
        assertEquals(gate.confirmed(5), new Confirmation.NotYet(Set.of(C)));
        gate.confirmedBy(C, 5);
        assertEquals(gate.confirmed(5), new Confirmation.InForce());
    }

    private void readEnd(long last) {
        gate.applied(last);
        gate.readEnd(time.nanos(), last);
    }

    private static PeerReport report(DaemonId daemon, long position, Optional<Duration> age, boolean reads) {
        return new PeerReport(daemon, 1, false, position, age, reads, Map.of());
    }
}
