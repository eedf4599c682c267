package org.chestnutbarrow.logging;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against a timer that never runs again after one unexpected failure. */
public class PeriodicTaskTest {
    private static final int TIMEOUT_SECONDS = 30;

    @Test
    public void laterRunsContinueAfterAnException() throws InterruptedException {
        assertContinues(() -> {
            throw new IllegalStateException("unexpected");
        });
    }

    @Test
    public void laterRunsContinueAfterAnError() throws InterruptedException {
        assertContinues(() -> {
            throw new StackOverflowError();
        });
    }

    private static void assertContinues(Runnable failure) throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        PeriodicTask task = new PeriodicTask("test", Duration.ofMillis(1), () -> {
            runs.countDown();
            failure.run();
        });
        try {
            assertTrue(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the action must run again");
        } finally {
            task.close();
        }
    }
}
