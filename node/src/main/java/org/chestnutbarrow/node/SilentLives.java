package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.TimeSource;

/**
 * Lives of workers that may run something for an earlier owner and have not answered this one. The time for which they
 * have been silent is stored, so that a change of the owner does not start the wait for their leases anew. Safe for use by
 * several threads, under its own lock.
 *
 * <p>Invariants: a life whose silence is stored is not extended by any owner before the record is taken back; the silence
 * of a life is counted only while no earlier owner can extend its leases, and never twice.
 */
final class SilentLives {
    /** Time between two records; what passed since the last one is counted again by the next owner. */
    private static final Duration STORE_INTERVAL = Duration.ofMillis(500);

    private final TimeSource time;
    private final Duration longest;
    private final Map<WorkerIncarnation, Silence> silent = new HashMap<>();
    private final Set<WorkerIncarnation> stored = new HashSet<>();
    private long storedAt;

    /**
     * The silence of one life.
     *
     * @param before silence that earlier owners have stored
     * @param since when this owner began to count, ns; empty before
     */
    private record Silence(Duration before, Optional<Long> since) {
        Duration at(long now) {
            return since.map(start -> before.plusNanos(now - start)).orElse(before);
        }
    }

    /**
     * Creates the record of one ownership.
     *
     * @param longest time after which no lease can be left
     */
    SilentLives(TimeSource time, Duration longest) {
        this.time = time;
        this.longest = longest;
    }

    /**
     * Begins with what earlier owners left.
     *
     * @param earlier the newest record in the store
     * @param lives lives on which earlier owners have placed something
     */
    synchronized void begin(Map<WorkerIncarnation, Duration> earlier, Collection<WorkerIncarnation> lives) {
        long now = time.nanos();
        stored.addAll(earlier.keySet());
        for (WorkerIncarnation life : lives) {
            Duration before = earlier.get(life);
            silent.put(
                    life,
                    before == null
                            ? new Silence(Duration.ZERO, Optional.empty())
                            : new Silence(before, Optional.of(now)));
        }
    }

    /** Earlier owners can extend no lease of a silent life any more. */
    synchronized void count() {
        long now = time.nanos();
        silent.replaceAll((_, silence) ->
                silence.since().isPresent() ? silence : new Silence(silence.before(), Optional.of(now)));
    }

    /** A life has answered this owner, so that only this owner can extend its leases. */
    synchronized void heard(WorkerIncarnation life) {
        silent.remove(life);
    }

    /** Whether leases of a life may be extended. */
    synchronized boolean mayExtend(WorkerIncarnation life) {
        return !stored.contains(life);
    }

    /** Takes the lives of which no lease can be left. */
    synchronized List<WorkerIncarnation> takeEnded() {
        long now = time.nanos();
        List<WorkerIncarnation> ended = silent.entrySet().stream()
                .filter(e -> e.getValue().at(now).compareTo(longest) > 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(silent::remove);
        return ended;
    }

    /** What must be stored now; empty if the record in the store is recent enough. */
    synchronized Optional<Map<WorkerIncarnation, Duration>> due() {
        long now = time.nanos();
        Map<WorkerIncarnation, Duration> counted = new HashMap<>();
        silent.forEach((life, silence) -> {
            if (silence.since().isPresent()) {
                counted.put(life, silence.at(now));
            }
        });
        boolean takeBack = !counted.keySet().containsAll(stored);
        boolean add = !counted.isEmpty() && now - storedAt > STORE_INTERVAL.toNanos();
        return takeBack || add ? Optional.of(counted) : Optional.empty();
    }

    /** A record was stored. */
    synchronized void stored(Map<WorkerIncarnation, Duration> record) {
        stored.clear();
        stored.addAll(record.keySet());
        storedAt = time.nanos();
    }
}
