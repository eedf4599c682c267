package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.chestnutbarrow.batch.Queue;
import org.testng.annotations.Test;

/** Tests how recent the state of a job is that a caller gets. */
public class JobAnswersTest {
    private static Duration age(long allowanceMs) {
        return JobAnswers.stateAge(new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofMillis(allowanceMs)));
    }

    /** Guards against an end that is shown so late that a short job misses its objective, and against needless reads. */
    @Test
    public void ageFollowsTheTimeThatTheQueueAllows() {
        assertEquals(age(300), Duration.ofMillis(150));
        assertEquals(age(0), Duration.ofMillis(100));
        assertEquals(age(60_000), JobAnswers.MAX_COPY_AGE);
    }
}
