package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Numbers of the ends that one worker incarnation has listed, and up to which of them it may discard its ends. Guarded
 * by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariants: a number is processed once; it is not both processed and withheld; {@link #acknowledgeable} never falls, is below each withheld number, and
 * passes a number that was never listed only after its {@link ListingDelay}.
 */
final class EndNumbers {
    /** Time after which an end of an unknown job is acknowledged; longer than the expected outages of the store, 9 s. */
    static final Duration MAX_WITHHOLDING = Duration.ofSeconds(15);

    /** An end without effect in stored progress, which must not be acknowledged yet. */
    record Withheld(WorkerReport.Ended end, IneffectiveEnd.Reason reason, long since) {
        /** A job that is restored in part stays so, and a later owner needs its ends. */
        private boolean isOverdue(long now) {
            return reason == IneffectiveEnd.Reason.UNKNOWN_JOB && now - since >= MAX_WITHHOLDING.toNanos();
        }
    }

    /** Consecutive numbers that were never listed and are acknowledged all the same. */
    record Gap(long first, long last) {
        private boolean contains(long number) {
            return first <= number && number <= last;
        }
    }

    /** Processed numbers above {@link #acknowledgeable}, and when they were listed first, in ns. */
    private final TreeMap<Long, Long> processed = new TreeMap<>();

    private final TreeMap<Long, Withheld> withheld = new TreeMap<>();
    private final ListingDelay listingDelay = new ListingDelay();
    private final List<Gap> passedGaps = new ArrayList<>();
    /** Processed numbers in {@link #passedGaps}. */
    private final Set<Long> processedInGaps = new HashSet<>();

    private long acknowledgeable;
    /**
     * Whether no earlier owner can have acknowledged the numbers above {@link #acknowledgeable}, so that the worker
     * holds those that it does not list.
     */
    private boolean earlierOwnerExcluded;

    /** Records that no earlier owner has acknowledged ends of this incarnation. */
    void excludeEarlierOwner() {
        earlierOwnerExcluded = true;
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
        Withheld earlier = withheld.remove(number);
        if (number > acknowledgeable) {
            processed.put(number, earlier == null ? now : earlier.since());
        } else {
            processedInGaps.add(number);
        }
    }

    /** Returns why an end is withheld; empty if it is not. */
    Optional<IneffectiveEnd.Reason> withheldFor(long number) {
        return Optional.ofNullable(withheld.get(number)).map(Withheld::reason);
    }

    /** Keeps an end from being acknowledged, unless it may be already. */
    void withhold(WorkerReport.Ended end, IneffectiveEnd.Reason reason, long now) {
        if (end.sequence() <= acknowledgeable) {
            processedInGaps.add(end.sequence());
            return;
        }
        // An end that was given up and not yet acknowledged is withheld again if its job is added.
        Long listedAt = processed.remove(end.sequence());
        withheld.merge(
                end.sequence(),
                new Withheld(end, reason, listedAt == null ? now : listedAt),
                (earlier, update) -> new Withheld(end, update.reason(), earlier.since()));
    }

    /** Gives up and returns the ends that have been withheld for too long. */
    List<Withheld> giveUpOverdue(long now) {
        List<Withheld> overdue =
                withheld.values().stream().filter(end -> end.isOverdue(now)).toList();
        overdue.forEach(end -> markProcessed(end.end().sequence(), now));
        return overdue;
    }

    /**
     * Gives up and returns the lowest withheld end if the list of the worker is full and nothing in it can be
     * acknowledged otherwise, since the worker lists no further ends before it has discarded some.
     */
    Optional<Withheld> giveUpBlocking(EndList list, long now) {
        Withheld lowest = withheld.get(acknowledgeable + 1);
        if (lowest == null || !list.full() || list.lowest() <= acknowledgeable) {
            return Optional.empty();
        }
        markProcessed(acknowledgeable + 1, now);
        passProcessed();
        return Optional.of(lowest);
    }

    /** Raises {@link #acknowledgeable} as far as the latest list allows and returns the gaps that it has passed. */
    List<Gap> advance(EndList list, long now) {
        List<Gap> passed = new ArrayList<>();
        passProcessed();
        Optional<Long> lowestHeld = earlierOwnerExcluded ? Optional.empty() : Optional.of(nextListed());
        listingDelay.update(list, acknowledgeable, lowestHeld, now);
        while (nextListed() != Long.MAX_VALUE && !withheld.containsKey(acknowledgeable + 1)) {
            long next = nextListed();
            long listedAt = withheld.containsKey(next) ? withheld.get(next).since() : processed.get(next);
            if (!listingDelay.isOver(listedAt, now)) {
                return passed;
            }
            Gap gap = new Gap(acknowledgeable + 1, next - 1);
            passedGaps.add(gap);
            if (earlierOwnerExcluded) {
                passed.add(gap);
            }
            earlierOwnerExcluded = true;
            acknowledgeable = gap.last();
            passProcessed();
            if (list.full()) {
                // The discard makes room, so that the next gap may be listed.
                listingDelay.restart(now);
                return passed;
            }
        }
        return passed;
    }

    /** Returns the lowest number above {@link #acknowledgeable} that was listed; {@link Long#MAX_VALUE} if none was. */
    private long nextListed() {
        long next = processed.isEmpty() ? Long.MAX_VALUE : processed.firstKey();
        return withheld.isEmpty() ? next : Math.min(next, withheld.firstKey());
    }

    private void passProcessed() {
        while (processed.remove(acknowledgeable + 1) != null) {
            acknowledgeable++;
            earlierOwnerExcluded = true;
        }
    }
}
