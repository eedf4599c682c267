package org.chestnutbarrow.placement;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against replacing attempts at a worker that an unreachable daemon may still hold. */
public class LeaseExpiryRuleTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LeaseExpiryRule rule = new LeaseExpiryRule();

    private void sample(Connectivity connectivity, long from, long to) {
        for (long millis = from; millis <= to; millis += 100) {
            rule.sample(connectivity, millis * NANOS_PER_MILLI);
        }
    }

    private boolean expired(long unheldSince, long now) {
        return rule.expired(unheldSince * NANOS_PER_MILLI, now * NANOS_PER_MILLI);
    }

    @Test
    public void expiresByTheConnectivityThatLastedWithoutInterruption() {
        sample(Connectivity.ALL, 0, 4_300);
        assertFalse(expired(0, 4_349), "expired before the task lease and the next heartbeat");
        assertTrue(expired(0, 4_350));
        assertFalse(expired(100, 4_350), "the worker was held until later");
        sample(Connectivity.MAJORITY, 4_400, 19_900);
        assertFalse(expired(0, 19_999), "connectivity to a majority was treated as full connectivity");
        assertTrue(expired(0, 20_000));
        sample(Connectivity.ALL, 20_000, 24_200);
        assertFalse(expired(19_900, 24_300), "time with majority connectivity counted as time with full connectivity");
    }

    @Test
    public void minorityConnectivityAndSampleGapsRestartBothClocks() {
        sample(Connectivity.ALL, 0, 13_000);
        sample(Connectivity.MINORITY, 13_100, 13_100);
        sample(Connectivity.ALL, 13_200, 17_400);
        assertFalse(expired(0, 17_500), "the clock continued through minority connectivity");
        sample(Connectivity.ALL, 17_500, 17_600);
        assertTrue(expired(0, 17_600));
        assertFalse(expired(0, 18_200), "connectivity was assumed after the last sample");
        sample(Connectivity.ALL, 18_200, 22_500);
        assertFalse(expired(0, 22_500), "the clock continued through a gap between samples");
    }
}
