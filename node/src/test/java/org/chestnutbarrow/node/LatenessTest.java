package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Guards against an allowance that grows without bound or stays after the process has caught up. */
public class LatenessTest {
    @Test
    public void latenessIsBoundedAndFades() {
        Lateness lateness = new Lateness();
        lateness.paused(Lateness.INTERVAL);
        assertEquals(lateness.now(), Duration.ZERO);
        lateness.paused(Lateness.INTERVAL.plusSeconds(10));
        assertEquals(lateness.now(), Lateness.MOST);
        for (int i = 0; i < 20; i++) {
            lateness.paused(Lateness.INTERVAL);
        }
        assertTrue(
                lateness.now().compareTo(Duration.ofMillis(5)) < 0,
                lateness.now().toString());
    }
}
