package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Guards against an estimate that grows without bound or persists after the process has caught up. */
public class ThreadDelayEstimatorTest {
    @Test
    public void estimateIsBoundedAndDecays() {
        ThreadDelayEstimator estimator = new ThreadDelayEstimator();
        estimator.record(ThreadDelayEstimator.SAMPLE_INTERVAL);
        assertEquals(estimator.current(), Duration.ZERO);
        estimator.record(ThreadDelayEstimator.SAMPLE_INTERVAL.plusSeconds(10));
        assertEquals(estimator.current(), ThreadDelayEstimator.MAX_DELAY);
        for (int i = 0; i < 20; i++) {
            estimator.record(ThreadDelayEstimator.SAMPLE_INTERVAL);
        }
        assertTrue(
                estimator.current().compareTo(Duration.ofMillis(5)) < 0,
                estimator.current().toString());
    }
}
