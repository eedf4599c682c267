package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Numbers of the ends that one worker incarnation has listed, and up to which of them it may discard its ends. Guarded
 * by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariants: a number is processed once; {@link #acknowledgeable} never falls, and passes a number that was never listed only {@link #MAX_LISTING_DELAY} after a higher one was listed.
 */
final class EndNumbers {
    /**
     * Time for which a missing number may still be listed. The numbers of an incarnation are consecutive from 1 and a
     * list holds part of them in any order, but those that an earlier owner has acknowledged are never listed again.
     */
    static final Duration MAX_LISTING_DELAY = Duration.ofSeconds(1);
    /** Consecutive numbers that were never listed and are acknowledged all the same. */
    record Gap(long first, long last) {
        private boolean contains(long number) {
            return first <= number && number <= last;
        }
    }

    /** Processed numbers above {@link #acknowledgeable}, and when they were listed first, in ns. */
    private final TreeMap<Long, Long> processed = new TreeMap<>();

    private final List<Gap> passedGaps = new ArrayList<>();
    /** Processed numbers in {@link #passedGaps}. */
    private final Set<Long> processedInGaps = new HashSet<>();

    private long acknowledgeable;
    /** Whether no earlier owner can have acknowledged the numbers above {@link #acknowledgeable}. */
    private boolean startKnown;

    /** Records that no earlier owner has acknowledged ends of this incarnation. */
    void markStartKnown() {
        startKnown = true;
    }

    /** Returns the number up to which the ends may be discarded once the current changes are stored; 0 if none. */
    long acknowledgeable() {
        return acknowledgeable;
    }

    boolean isProcessed(long number) {
        if (number > acknowledgeable) {
            return processed.containsKey(number);
        }
        boolean skipped = passedGaps.stream().anyMatch(gap -> gap.contains(number));
        return !skipped || processedInGaps.contains(number);
    }

    void markProcessed(long number, long now) {
        if (number > acknowledgeable) {
            processed.put(number, now);
        } else {
            processedInGaps.add(number);
        }
    }

    /** Raises {@link #acknowledgeable} as far as possible and returns the gaps that it has passed. */
    List<Gap> advance(long now) {
        List<Gap> passed = new ArrayList<>();
        passProcessed();
        while (!processed.isEmpty()) {
            long next = processed.firstKey();
            long listedAt = processed.get(next);
            if (now - listedAt < MAX_LISTING_DELAY.toNanos()) {
                return passed;
            }
            Gap gap = new Gap(acknowledgeable + 1, next - 1);
            passedGaps.add(gap);
            if (startKnown) {
                passed.add(gap);
            }
            startKnown = true;
            acknowledgeable = gap.last();
            passProcessed();
        }
        return passed;
    }

    private void passProcessed() {
        while (processed.remove(acknowledgeable + 1) != null) {
            acknowledgeable++;
        }
    }
}
