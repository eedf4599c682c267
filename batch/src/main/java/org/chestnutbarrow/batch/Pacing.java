package org.chestnutbarrow.batch;

import java.time.Duration;

/**
 * Chooses the share of processor time that filling tasks on one worker may use, from the tail latency that the serving
 * tasks beside them report. Guarded by the lock of its {@link Cell}.
 */
final class Pacing {
    private static final int FULL = 100;
    /** Shares in percent, from free to still. */
    private static final int[] LEVELS = {FULL, 50, 20, 0};
    /** A tail above this part of its target slows the filling tasks down. */
    private static final double HIGH = 0.9;
    /** A tail below this part of its target lets them go faster. */
    private static final double LOW = 0.6;
    /** A step down shows in the reported tail, an average over half a second, only after this time. */
    private static final Duration DOWN_GAP = Duration.ofMillis(600);
    /** Time between two steps up, longer so that the share does not swing. */
    private static final Duration UP_GAP = Duration.ofMillis(1500);

    private int level;
    private long changedAt;
    private boolean started;

    /**
     * Takes the worst ratio of tail to target on the worker.
     *
     * @return whether the share changed
     */
    boolean observe(long now, double worst) {
        int before = level;
        long since = started ? now - changedAt : Long.MAX_VALUE;
        if (worst > HIGH && level < LEVELS.length - 1 && since >= DOWN_GAP.toNanos()) {
            level++;
        } else if (worst < LOW && level > 0 && since >= UP_GAP.toNanos()) {
            level--;
        }
        if (level != before) {
            changedAt = now;
            started = true;
        }
        return level != before;
    }

    int percent() {
        return LEVELS[level];
    }
}
