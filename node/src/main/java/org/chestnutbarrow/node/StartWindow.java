package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.model.TimeSource;

/**
 * Congestion window for starts: bounds those that are ordered and not yet attempted by the rate at which the owner sends
 * them. It grows by one with each start that waited briefly, and shrinks once in each period by half the share of those
 * that waited long, so that one slow worker hardly changes it beside fast ones. Thread-safe; all state is guarded by the
 * monitor of this object.
 *
 * <p>Invariant: the window is between {@link #MIN_SIZE} and {@link #MAX_SIZE}. The number of waiting starts is passed in
 * and not counted here, so that a start that is dropped cannot occupy the window forever.
 */
final class StartWindow {
    /**
     * Age after which an unsent start is withdrawn and its task placed again, so that a node that was suspended does
     * not send outdated starts. Below the time limits for draining workers and evacuating zones, which begin at about
     * 2 s.
     */
    static final Duration MAX_START_AGE = Duration.ofSeconds(1);
    /**
     * Size at first and at most. An owner with enough processor time sends that many starts within milliseconds; one that
     * sends fewer than that in a second withdraws some of them once.
     */
    static final int MAX_SIZE = 512;
    /** Leaves room for other starts while one worker does not answer, and for growth within a few plans. */
    static final int MIN_SIZE = 32;
    /** Starts are withdrawn at four times this wait, which leaves time to shrink the window before. */
    static final Duration LONG_WAIT = MAX_START_AGE.dividedBy(4);
    /** Minimum time between two reductions. */
    static final Duration PERIOD = Duration.ofMillis(100);

    private final TimeSource time;
    private int size = MAX_SIZE;
    private long periodBegan;
    private int recorded;
    private int recordedLong;
    /** Starts to be attempted until the next plan is due; zero if none is due because of the window. */
    private int attemptsUntilPlan;

    StartWindow(TimeSource time) {
        this.time = time;
        this.periodBegan = time.nanos();
    }

    /** Returns how many starts may be ordered while {@code waiting} ones have not been attempted. */
    synchronized int maxStarts(int waiting) {
        return Math.max(0, size - waiting);
    }

    /** Records that {@code waiting} starts wait after a plan, and whether the window has bounded that plan. */
    synchronized void planned(int waiting, boolean bounded) {
        attemptsUntilPlan = bounded ? Math.max(1, waiting / 2) : 0;
    }

    /**
     * Records how long a start waited for its first attempt or until it was withdrawn. Returns whether a new plan is
     * due, because the window has bounded the last one and half of the starts have been attempted since.
     */
    synchronized boolean record(Duration wait) {
        recorded++;
        if (wait.compareTo(LONG_WAIT) > 0) {
            recordedLong++;
        } else {
            size = Math.min(MAX_SIZE, size + 1);
        }
        long now = time.nanos();
        if (now - periodBegan >= PERIOD.toNanos()) {
            long reduction = (long) size * recordedLong / (2L * recorded);
            size = (int) Math.max(MIN_SIZE, size - reduction);
            periodBegan = now;
            recorded = 0;
            recordedLong = 0;
        }
        return attemptsUntilPlan > 0 && --attemptsUntilPlan == 0;
    }
}
