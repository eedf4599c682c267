package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Guards against a node that goes on without one of its loops after an unexpected exception. */
public class ThreadsTest {
    @Test
    public void failedLoopIsStartedAgain() {
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger failures = new AtomicInteger();
        Threads.runSupervised(
                "test",
                () -> {
                    if (runs.incrementAndGet() == 1) {
                        throw new IllegalStateException("unexpected");
                    }
                },
                () -> true,
                failures::incrementAndGet);
        assertEquals(runs.get(), 2);
        assertEquals(failures.get(), 1);
    }

    @Test
    public void endedLoopIsNotStartedAgain() {
        AtomicInteger runs = new AtomicInteger();
        Threads.runSupervised(
                "test",
                () -> {
                    runs.incrementAndGet();
                    throw new IllegalStateException("unexpected");
                },
                () -> runs.get() == 0,
                () -> {});
        assertEquals(runs.get(), 1);
    }
}
