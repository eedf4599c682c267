package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Reads a topic from its newest values on and keeps reading. One thread reads at a time; safe for use by several threads.
 */
final class TopicFollower {
    /** Pause after a call that failed. */
    private static final Duration RETRY = Duration.ofMillis(150);

    /** Takes what the topic holds. Called by one thread at a time. */
    interface Listener {
        /** All newest values; replaces what was taken before. */
        void replaced(StateStore.Snapshot snapshot);

        /** One newer value. */
        void changed(StateStore.Stored stored);

        /** A page has been taken. */
        default void settled() {}
    }

    /**
     * How to wait for the next entry.
     *
     * @param longest time that the store may hold the call; zero if it answers at once
     * @param pause time between two calls
     */
    record Pace(Duration longest, Duration pause) {}

    private final StateStore store;
    private final StateStore.Topic topic;
    private final Listener listener;
    private final Supplier<Pace> pace;
    private final TimeSource time;
    private final Object reading = new Object();
    private volatile boolean loaded;
    private volatile long freshAt;
    private volatile boolean failing;
    private long next;

    TopicFollower(StateStore store, StateStore.Topic topic, Listener listener, Supplier<Pace> pace, TimeSource time) {
        this.store = store;
        this.topic = topic;
        this.listener = listener;
        this.pace = pace;
        this.time = time;
    }

    /** Whether the topic was read to its end since the start. */
    boolean loaded() {
        return loaded;
    }

    /** Start of the last call that read to the end, ns. */
    long freshAt() {
        return freshAt;
    }

    /** Age of what is known: time since the start of the last call that read to the end. */
    Duration age() {
        return loaded ? Duration.ofNanos(time.nanos() - freshAt) : Duration.ofDays(1);
    }

    /** Reads until the thread is interrupted. */
    void run() {
        run(() -> true);
    }

    /** Reads for as long as {@code go} holds. */
    void run(BooleanSupplier go) {
        while (go.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
            Pace now = pace.get();
            Duration wait = loaded ? now.longest() : Duration.ZERO;
            try {
                boolean more = step(wait);
                if (!more && wait.isZero()) {
                    Pauses.sleep(now.pause());
                }
            } catch (NotRunException e) {
                if (!failing) {
                    failing = true;
                    Events.warn("store-lost", "topic", topic, "ageMs", age().toMillis(), "cause", e.getMessage());
                }
                Pauses.sleep(RETRY);
            }
        }
    }

    /** Reads to the present end. */
    void catchUp() throws NotRunException {
        boolean more = true;
        while (more) {
            more = step(Duration.ZERO);
        }
    }

    /** Reads one page; returns whether more is known to be there. A waiting read does not hold the lock. */
    private boolean step(Duration wait) throws NotRunException {
        long sent = time.nanos();
        if (!loaded) {
            return load(sent);
        }
        long from;
        synchronized (reading) {
            from = next;
        }
        StateStore.Page page;
        try {
            page = store.read(topic, from, wait);
        } catch (HistoryLostException e) {
            Events.warn("history-lost", "topic", topic, "offset", from, "cause", e.getMessage());
            return load(sent);
        }
        synchronized (reading) {
            for (StateStore.Stored stored : page.entries()) {
                if (stored.offset() >= next) {
                    listener.changed(stored);
                }
            }
            next = Math.max(next, page.next());
            if (!page.entries().isEmpty()) {
                listener.settled();
            }
            boolean more = next < page.end();
            if (!more) {
                freshAt = sent;
            }
            regained();
            return more;
        }
    }

    private boolean load(long sent) throws NotRunException {
        StateStore.Snapshot snapshot = store.newest(topic);
        synchronized (reading) {
            listener.replaced(snapshot);
            listener.settled();
            next = snapshot.next();
            loaded = true;
            freshAt = sent;
            Events.info(
                    "topic-loaded", "topic", topic, "keys", snapshot.values().size(), "offset", next);
            regained();
            return false;
        }
    }

    private void regained() {
        if (failing) {
            failing = false;
            Events.info("store-regained", "topic", topic);
        }
    }
}
