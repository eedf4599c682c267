package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.chestnutbarrow.model.TimeSource;

/** Collects the observations of one play. Thread-safe; observations may be recorded late and in any order. */
final class History {
    private final Queue<Observation> observations = new ConcurrentLinkedQueue<>();
    private final TimeSource time;
    private final long start;
    private volatile Consumer<Observation.Ended> endListener = _ -> {};

    History(TimeSource time) {
        this.time = time;
        this.start = time.nanos();
    }

    /** Sets the listener that is called with each end of a run, on the thread that records it. */
    void onEnd(Consumer<Observation.Ended> listener) {
        endListener = listener;
    }

    /** Returns the time since the start of the play. */
    Duration now() {
        return at(time.nanos());
    }

    /** Returns a time of the monotonic clock, ns, as one since the start of the play. */
    Duration at(long nanos) {
        return Duration.ofNanos(nanos - start);
    }

    void record(Observation observation) {
        observations.add(observation);
        if (observation instanceof Observation.Ended ended) {
            endListener.accept(ended);
        }
    }

    /** Returns all observations in the order of their times. */
    List<Observation> sorted() {
        List<Observation> result = new ArrayList<>(observations);
        result.sort(Comparator.comparing(Observation::at));
        return result;
    }
}
