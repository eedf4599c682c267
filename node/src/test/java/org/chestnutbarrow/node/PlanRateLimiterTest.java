package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests the minimum time between plans. */
public class PlanRateLimiterTest {
    private final ManualTime time = new ManualTime();
    private final PlanRateLimiter limiter = new PlanRateLimiter();

    /** Guards against a separate plan, with its own append, for each report of a worker. */
    @Test
    public void successivePlansWait() {
        limiter.planStarted(time.nanos());
        time.advance(Duration.ofMillis(5));
        assertEquals(limiter.delay(time.nanos()), PlanRateLimiter.MIN_INTERVAL.minusMillis(5));
    }

    /** Guards against a delayed job on an idle node. */
    @Test
    public void firstPlanAfterIdlePeriodIsMadeAtOnce() {
        assertFalse(limiter.delay(time.nanos()).isPositive());
        limiter.planStarted(time.nanos());
        time.advance(PlanRateLimiter.MIN_INTERVAL);
        assertFalse(limiter.delay(time.nanos()).isPositive());
    }

    /** Guards against an interval so long that starts and cancellations are late. */
    @Test
    public void intervalIsShortComparedToAStart() {
        assertTrue(PlanRateLimiter.MIN_INTERVAL.compareTo(Duration.ofMillis(20)) <= 0);
    }
}
