package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the delays after failures. */
public class BackoffTest {
    private static final Duration LARGE_MAXIMUM = Duration.ofSeconds(10);
    private static final int NODES = 1000;

    private static Duration longestDelayAfter(int failures, Duration maxDelay, boolean afterSuccess) {
        Duration longestDelay = Duration.ZERO;
        for (int node = 0; node < NODES; node++) {
            Backoff backoff = new Backoff(new Random(node));
            for (int i = 1; i < failures; i++) {
                backoff.nextDelay(maxDelay);
            }
            if (afterSuccess) {
                backoff.reset();
            }
            Duration delay = backoff.nextDelay(maxDelay);
            longestDelay = delay.compareTo(longestDelay) > 0 ? delay : longestDelay;
        }
        return longestDelay;
    }

    private static void assertBound(Duration actual, long boundMs) {
        long ms = actual.toMillis();
        assertTrue(ms <= boundMs && ms > boundMs * 9 / 10, "longest delay: " + ms + " ms, upper bound: " + boundMs);
    }

    /** Nodes must not call a failing store as often as a healthy one. */
    @Test
    public void delaysGrowWithFailures() {
        assertBound(longestDelayAfter(1, LARGE_MAXIMUM, false), 150);
        assertBound(longestDelayAfter(2, LARGE_MAXIMUM, false), 300);
        assertBound(longestDelayAfter(4, LARGE_MAXIMUM, false), 1200);
        assertBound(longestDelayAfter(20, LARGE_MAXIMUM, false), 2000);
    }

    /** The owner passes a lower maximum, since its plans depend on fresh data; other nodes may wait longer. */
    @Test
    public void delaysDoNotExceedTheGivenMaximum() {
        assertBound(longestDelayAfter(20, Duration.ofMillis(300), false), 300);
    }

    /** Long delays must not persist after the failures are over. */
    @Test
    public void successResetsTheBound() {
        assertBound(longestDelayAfter(20, LARGE_MAXIMUM, true), 150);
    }

    /** Nodes that failed at the same time must not retry at the same time. */
    @Test
    public void delaysOfNodesDiffer() {
        Set<Duration> delays = new HashSet<>();
        for (int node = 0; node < NODES; node++) {
            delays.add(new Backoff(new Random(node)).nextDelay(LARGE_MAXIMUM));
        }
        assertEquals(delays.size(), NODES);
    }
}
