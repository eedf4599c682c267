package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards the pauses after failures. */
public class BackoffTest {
    private static final Duration LONG = Duration.ofSeconds(10);
    private static final int NODES = 1000;

    private static Duration longestOf(int failures, Duration longest, boolean succeeded) {
        Duration most = Duration.ZERO;
        for (int node = 0; node < NODES; node++) {
            Backoff backoff = new Backoff(new Random(node));
            for (int i = 1; i < failures; i++) {
                backoff.failed(longest);
            }
            if (succeeded) {
                backoff.succeeded();
            }
            Duration pause = backoff.failed(longest);
            most = pause.compareTo(most) > 0 ? pause : most;
        }
        return most;
    }

    private static void assertBound(Duration longest, long boundMs) {
        long ms = longest.toMillis();
        assertTrue(ms <= boundMs && ms > boundMs * 9 / 10, "the longest pause is " + ms + " ms of " + boundMs);
    }

    /** Guards against nodes that ask a store that refuses them as often as one that answers. */
    @Test
    public void pausesGrowWithFailures() {
        assertBound(longestOf(1, LONG, false), 150);
        assertBound(longestOf(2, LONG, false), 300);
        assertBound(longestOf(4, LONG, false), 1200);
        assertBound(longestOf(20, LONG, false), 2000);
    }

    /** Guards against an owner that is late because its feeds pause as long as those of other nodes. */
    @Test
    public void pausesAreNoLongerThanAsked() {
        assertBound(longestOf(20, Duration.ofMillis(300), false), 300);
    }

    /** Guards against long pauses that outlast the failures. */
    @Test
    public void successEndsTheGrowth() {
        assertBound(longestOf(20, LONG, true), 150);
    }

    /** Guards against nodes that failed together and try again together. */
    @Test
    public void pausesOfNodesDiffer() {
        Set<Duration> pauses = new HashSet<>();
        for (int node = 0; node < NODES; node++) {
            pauses.add(new Backoff(new Random(node)).failed(LONG));
        }
        assertEquals(pauses.size(), NODES);
    }
}
