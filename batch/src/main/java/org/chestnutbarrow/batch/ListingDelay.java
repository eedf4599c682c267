package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Optional;

/**
 * For how long a number that a worker has not listed may still be listed, by its latest lists. Guarded by the lock of
 * its {@link BatchScheduler}.
 *
 * <p>Invariant: a missing number is awaited at least as long as the discard of listed ends makes room for it.
 */
final class ListingDelay {
    /**
     * Time for which a list that is not full may leave out a number. The numbers of an incarnation are consecutive from
     * 1 and a list holds part of them in any order, but those that an earlier owner has acknowledged are never listed
     * again.
     */
    static final Duration MAX_DELAY = Duration.ofSeconds(1);
    /**
     * Time for which a full list in which nothing can be acknowledged may leave out a number. The worker then never
     * lists its further ends, so that their tasks wait. The time is long because the result may be lost.
     */
    static final Duration MAX_BLOCKING = Duration.ofSeconds(15);

    /** The delay by the latest list; empty if the number may be listed at any time. */
    private Optional<Duration> delay = Optional.empty();
    /** Since when {@link #delay} has been the same, in ns. */
    private long start;

    /**
     * Takes note of a list.
     *
     * @param acknowledgeable number up to which the ends may be discarded
     * @param lowestHeld the lowest number that the worker can hold; empty if not known
     */
    void update(EndList list, long acknowledgeable, Optional<Long> lowestHeld, long now) {
        Optional<Duration> update = delayBy(list, acknowledgeable, lowestHeld);
        if (!update.equals(delay)) {
            delay = update;
            start = now;
        }
    }

    /**
     * A worker holds consecutive numbers. If its list is full and has gaps or starts above the lowest number that it
     * holds, it leaves out numbers that it holds.
     */
    private static Optional<Duration> delayBy(EndList list, long acknowledgeable, Optional<Long> lowestHeld) {
        if (!list.full()) {
            return Optional.of(MAX_DELAY);
        }
        if (list.lowest() <= acknowledgeable) {
            return Optional.empty();
        }
        boolean startsAtLowestHeld = list.consecutive() && lowestHeld.equals(Optional.of(list.lowest()));
        return Optional.of(startsAtLowestHeld ? MAX_DELAY : MAX_BLOCKING);
    }

    /** Starts again, since the discard of ends makes room in a full list. */
    void restart(long now) {
        start = now;
    }

    /** Returns whether the delay has passed for a number; {@code higherListedAt} is when a higher one was listed, in ns. */
    boolean isOver(long higherListedAt, long now) {
        return delay.filter(wait -> now - Math.max(higherListedAt, start) >= wait.toNanos())
                .isPresent();
    }
}
