package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.model.TimeSource;

/**
 * Counts ends without effect and hands out the first of them at most once in {@link #INTERVAL}, for the log. Guarded by
 * the lock of its {@link BatchScheduler}.
 */
final class IneffectiveEnds {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final TimeSource time;
    private Optional<IneffectiveEnd> first = Optional.empty();
    private int count;
    private long takenAt;

    IneffectiveEnds(TimeSource time) {
        this.time = time;
        takenAt = time.nanos() - INTERVAL.toNanos();
    }

    void record(WorkerNode node, WorkerReport.Ended end, IneffectiveEnd.Reason reason) {
        record(new IneffectiveEnd(node.id(), end.sequence(), end.sequence(), Optional.of(end), reason, 1));
    }

    void record(WorkerNode node, EndNumbers.Gap gap) {
        record(new IneffectiveEnd(
                node.id(), gap.first(), gap.last(), Optional.empty(), IneffectiveEnd.Reason.NEVER_LISTED, 1));
    }

    private void record(IneffectiveEnd end) {
        first = first.or(() -> Optional.of(end));
        count++;
    }

    /** Returns the first end since the last one that was returned; empty if that was a moment ago. */
    Optional<IneffectiveEnd> take() {
        long now = time.nanos();
        if (first.isEmpty() || now - takenAt < INTERVAL.toNanos()) {
            return Optional.empty();
        }
        int counted = count;
        Optional<IneffectiveEnd> result = first.map(
                end -> new IneffectiveEnd(end.worker(), end.first(), end.last(), end.end(), end.reason(), counted));
        first = Optional.empty();
        count = 0;
        takenAt = now;
        return result;
    }
}
