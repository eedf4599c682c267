package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Guards the rate of plans. */
public class PlanGapTest {
    private final ManualTime time = new ManualTime();
    private final PlanGap gap = new PlanGap();

    /** Guards against one plan, with one append, for each report of a worker. */
    @Test
    public void plansInARowWait() {
        gap.begin(time.nanos());
        time.advance(Duration.ofMillis(5));
        assertEquals(gap.left(time.nanos()), PlanGap.LEAST.minusMillis(5));
    }

    /** Guards against a job that waits although nothing else is going on. */
    @Test
    public void aPlanAfterAQuietTimeIsMadeAtOnce() {
        assertFalse(gap.left(time.nanos()).isPositive());
        gap.begin(time.nanos());
        time.advance(PlanGap.LEAST);
        assertFalse(gap.left(time.nanos()).isPositive());
    }

    /** Guards against plans so far apart that starts and cancellations are late. */
    @Test
    public void theGapIsShortAgainstTheTimeOfAStart() {
        assertTrue(PlanGap.LEAST.compareTo(Duration.ofMillis(20)) <= 0);
    }
}
