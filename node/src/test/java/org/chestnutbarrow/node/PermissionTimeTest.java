package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against permissions that still hold after a suspension of the machine in which they ran out. */
public class PermissionTimeTest {
    /** Clocks that advance separately; each reading of the monotonic clock may delay the thread. */
    private static final class SplitClocks implements TimeSource {
        private Instant now = Instant.EPOCH;
        private long nanos;
        private long nanosPerReading;

        void advance(Duration wall, Duration steady) {
            now = now.plus(wall);
            nanos += steady.toNanos();
        }

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public long nanos() {
            nanos += nanosPerReading;
            now = now.plusNanos(nanosPerReading);
            return nanos;
        }
    }

    private SplitClocks clocks;

    @BeforeMethod
    public void setUp() {
        clocks = new SplitClocks();
    }

    private static Duration elapsed(PermissionTime time, Runnable action) {
        long start = time.nanos();
        action.run();
        return Duration.ofNanos(time.nanos() - start);
    }

    @Test
    public void suspensionCounts() {
        PermissionTime time = new PermissionTime(clocks);
        Runnable suspension = () -> clocks.advance(Duration.ofSeconds(5), Duration.ofMillis(20));
        assertEquals(elapsed(time, suspension), Duration.ofSeconds(5));
    }

    @Test
    public void ordinaryTimeCountsOnce() {
        PermissionTime time = new PermissionTime(clocks);
        Runnable work = () -> clocks.advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
        assertEquals(elapsed(time, work), Duration.ofSeconds(5));
    }

    @Test
    public void clockSetBackDoesNotProlongPermissions() {
        PermissionTime time = new PermissionTime(clocks);
        Runnable setBack = () -> clocks.advance(Duration.ofSeconds(-30), Duration.ofSeconds(1));
        assertEquals(elapsed(time, setBack), Duration.ofSeconds(1));
    }

    @Test
    public void clockSetFarAheadIsBounded() {
        PermissionTime time = new PermissionTime(clocks);
        Runnable setAhead = () -> clocks.advance(Duration.ofDays(400_000), Duration.ZERO);
        assertEquals(elapsed(time, setAhead), Duration.ofDays(1));
    }

    /** A thread that waits for the processor between two readings must not look like a suspension. */
    @Test
    public void delayOfTheThreadDoesNotCountAsSuspension() {
        clocks.nanosPerReading = Duration.ofSeconds(1).toNanos();
        PermissionTime time = new PermissionTime(clocks);
        assertEquals(elapsed(time, () -> {}), Duration.ofSeconds(2));
    }
}
