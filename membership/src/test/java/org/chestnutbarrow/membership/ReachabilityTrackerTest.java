package org.chestnutbarrow.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.membership.ReachabilityTracker.Level;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a holder that renews attempts while their owner, cut off from it, restarts them elsewhere. */
public class ReachabilityTrackerTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final DaemonId C = new DaemonId("c");
    private static final Duration TICK = Duration.ofMillis(250);

    private ManualTime time;
    private ReachabilityTracker tracker;

    @BeforeMethod
    public void createTracker() {
        time = new ManualTime();
        tracker = new ReachabilityTracker(A, List.of(A, B, C), time);
    }

    @Test
    public void levelDependsOnRecentAnswersAndRequests() {
        assertEquals(tracker.level(), Level.MINORITY);
        tracker.onAnswer(B, time.nanos(), 0, Set.of());
        assertEquals(tracker.level(), Level.MAJORITY);
        tracker.onAnswer(C, time.nanos(), 0, Set.of());
        tracker.onRequest(B, 0);
        tracker.onRequest(C, 0);
        assertEquals(tracker.level(), Level.ALL);
        time.advance(Duration.ofMillis(600));
        assertEquals(tracker.level(), Level.MAJORITY);
        time.advance(Duration.ofSeconds(2));
        assertEquals(tracker.level(), Level.MINORITY);
    }

    @Test
    public void stopsRenewingForAnUnansweringOwnerThatOthersHear() {
        long acquiredAt = time.nanos();
        advance(Duration.ofSeconds(9), () -> {
            tracker.onRequest(B, 5);
            tracker.onAnswer(B, time.nanos(), 5, Set.of());
        });
        assertTrue(tracker.mayRenew(B, acquiredAt, 5));
        assertFalse(tracker.mayRenew(C, acquiredAt, 5), "C may be alive and in contact with B");
    }

    @Test
    public void keepsRenewingWhileAMajorityDoesNotHearTheOwner() {
        long acquiredAt = time.nanos();
        advance(Duration.ofSeconds(20), () -> {
            tracker.onRequest(B, 5);
            tracker.onAnswer(B, time.nanos(), 5, Set.of(C));
        });
        assertTrue(tracker.mayRenew(C, acquiredAt, 5));
        assertFalse(tracker.mayRenew(C, acquiredAt, 4), "B has applied a record that may name a new owner");
    }

    @Test
    public void reportsNoSilentPeersWhileAPeerIsAhead() {
        advance(Duration.ofSeconds(6), () -> tracker.onRequest(B, 5));
        assertEquals(tracker.silentPeers(5), Set.of(C));
        assertEquals(tracker.silentPeers(4), Set.of());
    }

    @Test
    public void stopsRenewingUnlessTheOwnerLearnsOfANewHolderInTime() {
        tracker.onAnswer(C, time.nanos(), 0, Set.of());
        time.advance(Duration.ofSeconds(1));
        long acquiredAt = time.nanos();
        assertTrue(tracker.mayRenew(C, acquiredAt, 0));
        time.advance(ReachabilityTracker.TAKEOVER_GRACE);
        assertFalse(tracker.mayRenew(C, acquiredAt, 0), "C has not answered since the worker was acquired");
        tracker.onAnswer(C, time.nanos(), 0, Set.of());
        assertTrue(tracker.mayRenew(C, acquiredAt, 0));
    }

    private void advance(Duration duration, Runnable everyTick) {
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; elapsed = elapsed.plus(TICK)) {
            time.advance(TICK);
            everyTick.run();
        }
    }
}
