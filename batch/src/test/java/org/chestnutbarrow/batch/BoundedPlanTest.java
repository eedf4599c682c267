package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests plans with a bound on their starts. */
public class BoundedPlanTest {
    /** Guards against a bound that is exceeded, that holds back urgent jobs, or that loses the remaining tasks. */
    @Test
    public void mostUrgentJobsAreStartedFirstAndTheOthersNext() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("large", SchedulerFixture.step(3, 1000, Step.Behaviour.PLAIN)));
        fixture.add(fixture.job("small", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        assertTrue(fixture.scheduler.plan(0).isEmpty());
        assertEquals(startedJobs(fixture, 2), List.of("small", "large"));
        assertEquals(startedJobs(fixture, 1), List.of("large"));
        assertEquals(startedJobs(fixture, 5), List.of("large"));
    }

    private static List<String> startedJobs(SchedulerFixture fixture, int maxStarts) {
        return SchedulerFixture.starts(fixture.scheduler.plan(maxStarts)).stream()
                .map(start -> start.task().job().value())
                .toList();
    }

    /** Guards against a bound that is computed wrongly and taken for one that is reached. */
    @Test
    public void negativeBoundIsRefused() {
        SchedulerFixture fixture = new SchedulerFixture();
        assertThrows(IllegalArgumentException.class, () -> fixture.scheduler.plan(-1));
    }
}
