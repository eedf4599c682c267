package org.chestnutbarrow.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.TimeSource;

/**
 * Until when runs on each worker incarnation may hold leases, in one term of ownership. What is known of silent
 * incarnations is handed to the next owner, so that a change of the owner does not restart the wait for their leases to
 * expire: the silences are stored while the term lasts, and all bounds when it is closed. Safe for use by several
 * threads, under its own lock.
 *
 * <p>Invariants: while the silence of an incarnation is recorded in the store, or a write that records it may still take
 * effect, no owner extends its leases; a bound that was read is not exceeded, since incarnations that are silent or
 * recorded, and all of a closed term, are not extended; silence is counted only while no earlier owner can extend leases
 * of the incarnation, and no period is counted twice; the bound of an incarnation covers the leases that calls meant for
 * an earlier one may have granted.
 */
final class LeaseTracker {
    /** Time between two writes; silence after the last write is counted again by the next owner. */
    private static final Duration STORE_INTERVAL = Duration.ofMillis(500);
    /**
     * Time without an answer after which an incarnation that has not answered this owner is recorded. Most answer a new
     * owner within this time; recorded ones could not be extended until the withdrawal is stored.
     */
    private static final Duration RECORD_DELAY = Duration.ofSeconds(1);
    /**
     * Time for which an incarnation that has answered this owner must be unreachable before it is recorded. After a pause
     * of the owner all seem unreachable for a moment, and recorded ones cannot be extended until the withdrawal is stored.
     */
    static final Duration SILENT_RECORD_DELAY = Duration.ofMillis(500);

    private final TimeSource time;
    private final Duration maxSilence;
    private final Duration maxLease;
    private final int maxRecordBytes;
    private final Map<WorkerIncarnation, State> states = new HashMap<>();
    /** Until when calls meant for earlier incarnations may have granted leases, ns; only for incarnations replaced here. */
    private final Map<WorkerIncarnation, Long> misdirectedLeasesUntil = new HashMap<>();
    /** The incarnations of the newest record that is known to be stored. */
    private final Set<WorkerIncarnation> stored = new HashSet<>();
    /** The incarnations of {@link #stored} and of records that may be stored since. */
    private final Set<WorkerIncarnation> recorded = new HashSet<>();

    private Optional<Long> storedAt = Optional.empty();
    private boolean counting;
    private boolean closed;
    /** Whether a bound was raised above what the record of its incarnation says. */
    private boolean recordOutdated;

    private sealed interface State {}

    /**
     * An incarnation that has not answered this owner.
     *
     * @param inherited silence known from earlier owners
     * @param countedSince time at which this owner began to count, ns; empty until then
     */
    private record Unanswered(Duration inherited, Optional<Long> countedSince) implements State {
        Duration total(long now) {
            return countedSince.map(from -> inherited.plusNanos(now - from)).orElse(inherited);
        }
    }

    /**
     * An incarnation that answers this owner.
     *
     * @param extendedUntil time at which the last of its leases is over, ns
     */
    private record Responsive(long extendedUntil) implements State {}

    /**
     * An incarnation that has answered this owner and does not any more.
     *
     * @param extendedUntil time at which the last of its leases is over, ns
     * @param since time at which it was found to be unreachable, ns
     */
    private record Silent(long extendedUntil, long since) implements State {}

    /**
     * Creates the tracker of one term.
     *
     * @param maxSilence duration of silence after which no lease that an owner requested can still be valid
     * @param maxLease longest lease that a worker grants
     * @param maxRecordBytes size of the largest record of silences that can be stored
     */
    LeaseTracker(TimeSource time, Duration maxSilence, Duration maxLease, int maxRecordBytes) {
        this.maxRecordBytes = maxRecordBytes;
        this.time = time;
        this.maxSilence = maxSilence;
        this.maxLease = maxLease;
    }

    /**
     * Starts from the state that earlier owners left.
     *
     * @param recordedSilences the newest record of silences in the store
     * @param remainingLeases lease time that was left when the term of the direct predecessor was closed; empty if it
     *     was not closed
     * @param incarnations worker incarnations on which earlier owners have placed tasks
     */
    synchronized void start(
            Map<WorkerIncarnation, Duration> recordedSilences,
            Map<WorkerIncarnation, Duration> remainingLeases,
            Collection<WorkerIncarnation> incarnations) {
        long now = time.nanos();
        stored.addAll(recordedSilences.keySet());
        recorded.addAll(recordedSilences.keySet());
        for (WorkerIncarnation incarnation : incarnations) {
            Optional<Duration> silence = longest(
                    Optional.ofNullable(recordedSilences.get(incarnation)),
                    Optional.ofNullable(remainingLeases.get(incarnation)).map(maxSilence::minus));
            // A known silence already allows for misdirected calls.
            Duration inherited = silence.orElseGet(() -> silenceBefore(incarnation, now));
            states.put(incarnation, new Unanswered(inherited, silence.map(_ -> now)));
        }
    }

    private static Optional<Duration> longest(Optional<Duration> a, Optional<Duration> b) {
        if (a.isEmpty() || b.isEmpty()) {
            return a.or(() -> b);
        }
        return a.get().compareTo(b.get()) >= 0 ? a : b;
    }

    /** Starts to count the silence, once earlier owners can no longer extend leases of these incarnations. */
    synchronized void startCounting() {
        counting = true;
        long now = time.nanos();
        states.replaceAll((_, state) ->
                state instanceof Unanswered(Duration inherited, Optional<Long> countedSince) && countedSince.isEmpty()
                        ? new Unanswered(inherited, Optional.of(now))
                        : state);
    }

    /** Adds an incarnation to which runs of an earlier one have been transferred, unless it is known already. */
    synchronized void add(WorkerIncarnation incarnation) {
        long now = time.nanos();
        Optional<Long> countedSince = counting ? Optional.of(now) : Optional.empty();
        states.putIfAbsent(incarnation, new Unanswered(silenceBefore(incarnation, now), countedSince));
    }

    /**
     * Notes that a later incarnation has replaced an earlier one, to which no more calls are sent.
     *
     * @param lateCallsUntil until when unanswered calls to the earlier one may still be carried out, ns
     */
    synchronized void replace(WorkerIncarnation earlier, WorkerIncarnation later, long lateCallsUntil) {
        states.remove(earlier);
        misdirectedLeasesUntil.remove(earlier);
        long callsUntil = later(time.nanos() + LeaseTimes.MAX_TRANSMISSION.toNanos(), lateCallsUntil);
        misdirectedLeasesUntil.put(
                later, callsUntil + LeaseTimes.upperBound(maxLease).toNanos());
    }

    /** Returns the silence assumed for an unanswered incarnation, negative if calls may have granted longer leases. */
    private Duration silenceBefore(WorkerIncarnation incarnation, long now) {
        Duration silence = maxSilence.minusNanos(misdirectedLeasesUntil(incarnation, now) - now);
        return silence.isNegative() ? silence : Duration.ZERO;
    }

    /**
     * Returns until when leases may be valid that calls meant for an earlier incarnation have granted, ns. What earlier
     * owners have sent is unknown, so that this follows from the time at which the incarnation started.
     */
    private long misdirectedLeasesUntil(WorkerIncarnation incarnation, long now) {
        Long known = misdirectedLeasesUntil.get(incarnation);
        if (known != null) {
            return known;
        }
        Duration bound = LeaseTimes.afterRestart(maxLease);
        Duration age = Duration.between(Instant.ofEpochMilli(incarnation.incarnation()), time.now());
        if (age.compareTo(bound) >= 0) {
            return now;
        }
        return now + (age.isNegative() ? bound : bound.minus(age)).toNanos();
    }

    /**
     * Notes that an incarnation has answered this owner, since only this owner can now extend its leases.
     *
     * @param extendedUntil when leases that earlier owners have extended are over, ns; used for the first answer only
     */
    synchronized void answered(WorkerIncarnation incarnation, long extendedUntil) {
        long firstExtendedUntil = later(extendedUntil, misdirectedLeasesUntil(incarnation, time.nanos()));
        states.compute(incarnation, (_, state) -> switch (state) {
            case null -> new Responsive(firstExtendedUntil);
            case Unanswered _ -> new Responsive(firstExtendedUntil);
            case Responsive responsive -> responsive;
            case Silent silent -> new Responsive(silent.extendedUntil());
        });
    }

    /**
     * Allows, if it returns true, that leases of an incarnation are extended until a time, ns. This takes an answer of
     * the incarnation since it was last silent, and that no record of its silence is stored or may be.
     */
    synchronized boolean extend(WorkerIncarnation incarnation, long until) {
        if (closed
                || recorded.contains(incarnation)
                || !(states.get(incarnation) instanceof Responsive(long extendedUntil))) {
            return false;
        }
        states.put(incarnation, new Responsive(later(extendedUntil, until)));
        return true;
    }

    /**
     * Raises the bound of an incarnation, for leases that a later one may have granted to starts which were sent to this
     * one.
     */
    synchronized void raise(WorkerIncarnation incarnation, long until) {
        long now = time.nanos();
        State raised = states.computeIfPresent(incarnation, (_, state) -> switch (state) {
            case Unanswered unanswered -> {
                Duration longest = maxSilence.minusNanos(until - now);
                yield unanswered.total(now).compareTo(longest) <= 0
                        ? unanswered
                        : new Unanswered(longest, unanswered.countedSince().map(_ -> now));
            }
            case Responsive(long extendedUntil) -> new Responsive(later(extendedUntil, until));
            case Silent(long extendedUntil, long since) -> new Silent(later(extendedUntil, until), since);
        });
        recordOutdated |= raised != null && recorded.contains(incarnation);
    }

    private static long later(long a, long b) {
        return a - b > 0 ? a : b;
    }

    /** Notes that an incarnation which has answered this owner does not any more; its leases now expire. */
    synchronized void unreachable(WorkerIncarnation incarnation) {
        long now = time.nanos();
        states.computeIfPresent(
                incarnation,
                (_, state) -> state instanceof Responsive(long extendedUntil) ? new Silent(extendedUntil, now) : state);
    }

    /** Returns whether the incarnation has answered, or may hold leases. */
    synchronized boolean tracks(WorkerIncarnation incarnation) {
        return states.containsKey(incarnation);
    }

    /** Removes and returns the silent incarnations none of whose leases can still be valid. */
    synchronized List<WorkerIncarnation> takeExpired() {
        long now = time.nanos();
        List<WorkerIncarnation> expired = states.entrySet().stream()
                .filter(e -> !(e.getValue() instanceof Responsive))
                .filter(e -> remaining(e.getValue(), now)
                        .filter(Duration::isNegative)
                        .isPresent())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(incarnation -> {
            states.remove(incarnation);
            misdirectedLeasesUntil.remove(incarnation);
        });
        return expired;
    }

    /** Returns for how long leases may still be valid; empty if no bound is known. */
    private Optional<Duration> remaining(State state, long now) {
        return switch (state) {
            case Unanswered unanswered -> unanswered.countedSince().map(_ -> maxSilence.minus(unanswered.total(now)));
            case Responsive(long extendedUntil) -> Optional.of(Duration.ofNanos(extendedUntil - now));
            case Silent(long extendedUntil, long _) -> Optional.of(Duration.ofNanos(extendedUntil - now));
        };
    }

    /**
     * Returns the record of silences to be stored now; empty if the one in the store is recent enough. From now on the
     * leases of the incarnations in it are not extended. The silence of one whose leases were extended lately may be
     * negative. If not all fit into a record, those whose leases are over first are recorded, and the others are not held
     * back.
     */
    synchronized Optional<Map<WorkerIncarnation, Duration>> dueRecord() {
        long now = time.nanos();
        Map<WorkerIncarnation, Duration> silences = new HashMap<>();
        for (Map.Entry<WorkerIncarnation, State> entry : states.entrySet()) {
            if (!isToBeRecorded(entry.getKey(), entry.getValue(), now)) {
                continue;
            }
            Optional<Duration> remaining = remaining(entry.getValue(), now);
            if (remaining.isPresent()) {
                silences.put(entry.getKey(), maxSilence.minus(remaining.get()));
            }
        }
        Map<WorkerIncarnation, Duration> record =
                StateCodec.fitting(silences, Comparator.reverseOrder(), 0, maxRecordBytes);
        boolean silentUnstored = record.keySet().stream()
                .anyMatch(incarnation -> states.get(incarnation) instanceof Silent && !stored.contains(incarnation));
        boolean withdraw = !record.keySet().containsAll(recorded);
        boolean refresh = !record.isEmpty()
                && storedAt.map(at -> now - at > STORE_INTERVAL.toNanos()).orElse(true);
        if (!withdraw && !refresh && !silentUnstored && !recordOutdated) {
            return Optional.empty();
        }
        recorded.addAll(record.keySet());
        recordOutdated = false;
        return Optional.of(record);
    }

    private boolean isToBeRecorded(WorkerIncarnation incarnation, State state, long now) {
        return switch (state) {
            case Unanswered(Duration _, Optional<Long> countedSince) ->
                recorded.contains(incarnation)
                        || countedSince
                                .filter(since -> now - since >= RECORD_DELAY.toNanos())
                                .isPresent();
            case Responsive _ -> false;
            case Silent(long _, long since) ->
                recorded.contains(incarnation) || now - since >= SILENT_RECORD_DELAY.toNanos();
        };
    }

    /** Notes that a record was stored, and that no earlier one can take effect any more. */
    synchronized void recordStored(Map<WorkerIncarnation, Duration> record) {
        stored.clear();
        stored.addAll(record.keySet());
        recorded.clear();
        recorded.addAll(record.keySet());
        storedAt = Optional.of(time.nanos());
    }

    /**
     * Ends the extension of leases for good and returns the remaining lease time of each incarnation with a known bound.
     */
    synchronized Map<WorkerIncarnation, Duration> close() {
        closed = true;
        long now = time.nanos();
        Map<WorkerIncarnation, Duration> remainingLeases = new HashMap<>();
        states.forEach((incarnation, state) ->
                remaining(state, now).ifPresent(remaining -> remainingLeases.put(incarnation, remaining)));
        return remainingLeases;
    }
}
