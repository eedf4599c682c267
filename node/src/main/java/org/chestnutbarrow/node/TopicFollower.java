package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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

    /**
     * A read to the end of the topic for callers.
     *
     * @param sent when it began, ns
     * @param done ends with the read
     */
    private record Attempt(long sent, CompletableFuture<Void> done) {}

    private final StateStore store;
    private final StateStore.Topic topic;
    private final Listener listener;
    private final Supplier<Pace> pace;
    private final TimeSource time;
    private final Object reading = new Object();
    private final Object attempts = new Object();
    private final CompletableFuture<Void> firstLoad = new CompletableFuture<>();
    private volatile boolean loaded;
    private volatile long freshAt;
    private volatile boolean failing;
    /** Guarded by {@code reading}. */
    private long next;
    /** The newest read for callers; guarded by {@code attempts}. */
    private Attempt last;

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

    /** A time before which all that the topic held is known, ns. */
    long freshAt() {
        return freshAt;
    }

    /** Age of what is known. */
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

    /**
     * Makes sure that what is known is no older than {@code mostAge}: zero means that the store is asked after this call
     * began. Callers at the same time share one read, and a refusal for {@link #RETRY}.
     *
     * @throws NotRunException if the store does not answer in time or the first read has not ended in time
     */
    void refresh(Duration mostAge, Duration within) throws NotRunException {
        long begin = time.nanos();
        long needed = begin - mostAge.toNanos();
        await(firstLoad, within);
        while (freshAt - needed < 0) {
            await(attempt().done(), within.minusNanos(time.nanos() - begin));
        }
    }

    private Attempt attempt() {
        synchronized (attempts) {
            long now = time.nanos();
            boolean over = last == null || last.done().isDone();
            boolean refused = last != null && last.done().isCompletedExceptionally();
            if (over && !(refused && now - last.sent() < RETRY.toNanos())) {
                Attempt next = new Attempt(now, new CompletableFuture<>());
                last = next;
                Thread.ofVirtual().name("refresh").start(() -> carryOut(next));
            }
            return last;
        }
    }

    private void carryOut(Attempt attempt) {
        try {
            catchUp();
            attempt.done().complete(null);
        } catch (NotRunException | RuntimeException e) {
            attempt.done().completeExceptionally(e);
        }
    }

    private void await(CompletableFuture<Void> result, Duration within) throws NotRunException {
        try {
            result.get(within.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            throw new NotRunException(
                    "the copy of " + topic + " is old: " + e.getCause().getMessage(), "try again", e);
        } catch (TimeoutException e) {
            throw new NotRunException("the copy of " + topic + " is old: no answer in time", "try again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NotRunException("the wait for " + topic + " was interrupted", "try again", e);
        }
    }

    /** The entries from {@code offset} on are known already; if all before them were read, they are not read again. */
    void skip(long offset, int count) {
        synchronized (reading) {
            if (loaded && next == offset) {
                next = offset + count;
            }
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
                // The store answers without entries only when it has held the call to its end.
                boolean held = page.entries().isEmpty() && time.nanos() - sent >= wait.toNanos();
                fresh(held ? sent + wait.toNanos() : sent);
            }
            regained();
            return more;
        }
    }

    private boolean load(long sent) throws NotRunException {
        StateStore.Snapshot snapshot = store.newest(topic);
        synchronized (reading) {
            if (loaded && snapshot.next() < next) {
                return true;
            }
            listener.replaced(snapshot);
            listener.settled();
            next = snapshot.next();
            fresh(sent);
            loaded = true;
            firstLoad.complete(null);
            Events.info(
                    "topic-loaded", "topic", topic, "keys", snapshot.values().size(), "offset", next);
            regained();
            return false;
        }
    }

    /** Called with the monitor of {@code reading}; of two reads at a time the later one counts. */
    private void fresh(long sent) {
        if (!loaded || sent - freshAt > 0) {
            freshAt = sent;
        }
    }

    private void regained() {
        if (failing) {
            failing = false;
            Events.info("store-regained", "topic", topic);
        }
    }
}
