package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Reads a topic from its newest values on and keeps reading. One thread reads at a time; safe for use by several threads.
 */
final class TopicFollower {
    /** Tries for a page of newest values by a read to the end, so that one refusal does not end a takeover. */
    private static final int PAGE_TRIES = 3;
    /** Longest pause between these tries. */
    private static final Duration PAGE_RETRY = Duration.ofMillis(150);

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
     * @param longestRetry bound of the pause after a call that failed
     */
    record Pace(Duration longest, Duration pause, Duration longestRetry) {}

    /**
     * Pages of newest values read so far.
     *
     * @param number tells loads apart
     * @param sent when the first page was asked for, ns
     * @param next end of the topic at the first page, where to read on
     * @param pages what was read, in order
     * @param after where the next page begins; empty before the first page
     * @param patience time that the store may take before it answers; grows when a page fails, since a store that all nodes
     *     read at once answers late, and a read that is given up costs it as much
     */
    private record Load(
            long number, long sent, long next, List<Map<String, byte[]>> pages, String after, Duration patience) {
        private static final Duration FIRST_PATIENCE = Duration.ofSeconds(1);
        /** Two pages of 1.3 MB for each of 37 nodes take 2.4 s at 40 MB/s. */
        private static final Duration LONGEST_PATIENCE = Duration.ofSeconds(4);

        private static Load begin(long number) {
            return new Load(number, 0, 0, List.of(), "", Duration.ZERO);
        }

        /** Whether the same load has reached the same page. */
        boolean at(Load other) {
            return number == other.number && pages.size() == other.pages.size();
        }

        Load with(StateStore.NewestPage page, long asked) {
            List<Map<String, byte[]>> all = new ArrayList<>(pages);
            all.add(page.values());
            boolean first = pages.isEmpty();
            return new Load(number, first ? asked : sent, first ? page.end() : next, all, page.after(), patience);
        }

        Load failed() {
            Duration more = patience.isZero() ? FIRST_PATIENCE : patience.multipliedBy(2);
            return new Load(
                    number, sent, next, pages, after, more.compareTo(LONGEST_PATIENCE) < 0 ? more : LONGEST_PATIENCE);
        }

        StateStore.Snapshot whole() {
            Map<String, byte[]> values = new HashMap<>();
            pages.forEach(values::putAll);
            return new StateStore.Snapshot(values, next);
        }
    }

    private final StateStore store;
    private final StateStore.Topic topic;
    private final Listener listener;
    private final Supplier<Pace> pace;
    private final TimeSource time;
    private final Consumer<Duration> sleep;
    private final Backoff backoff;
    private final Object reading = new Object();
    private final Object attempts = new Object();
    private final CompletableFuture<Void> firstLoad = new CompletableFuture<>();
    private volatile boolean loaded;
    private volatile long freshAt;
    private volatile boolean failing;
    /** Guarded by {@code reading}. */
    private long next;
    /** What is being loaded; kept when a page fails. Guarded by {@code reading}. */
    private Optional<Load> load = Optional.empty();
    /** Number of loads begun; guarded by {@code reading}. */
    private long loads;
    /** The newest read for callers; guarded by {@code attempts}. */
    private CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
    /** Until then callers share the refusal of the newest read, ns; guarded by {@code attempts}. */
    private long refusedUntil;

    TopicFollower(StateStore store, StateStore.Topic topic, Listener listener, Supplier<Pace> pace, TimeSource time) {
        this(store, topic, listener, pace, time, Threads::sleep, new Random());
    }

    TopicFollower(
            StateStore store,
            StateStore.Topic topic,
            Listener listener,
            Supplier<Pace> pace,
            TimeSource time,
            Consumer<Duration> sleep,
            RandomGenerator random) {
        this.store = store;
        this.topic = topic;
        this.listener = listener;
        this.pace = pace;
        this.time = time;
        this.sleep = sleep;
        this.backoff = new Backoff(random);
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
                    sleep.accept(now.pause());
                }
            } catch (NotRunException e) {
                if (!failing) {
                    failing = true;
                    Events.warn("store-lost", "topic", topic, "ageMs", age().toMillis(), "cause", e.getMessage());
                }
                sleep.accept(backoff.failed(now.longestRetry()));
            }
        }
    }

    /** Reads to the present end. */
    void catchUp() throws NotRunException {
        boolean more = true;
        int failures = 0;
        while (more) {
            try {
                more = step(Duration.ZERO);
                failures = 0;
            } catch (NotRunException e) {
                failures++;
                if (!loading() || failures == PAGE_TRIES) {
                    throw e;
                }
                sleep.accept(backoff.failed(PAGE_RETRY));
            }
        }
    }

    /**
     * Makes sure that what is known is no older than {@code mostAge}: zero means that the store is asked after this call
     * began. Callers at the same time share one read, and a refusal for as long as a pause after a failure.
     *
     * @throws NotRunException if the store does not answer in time or the first read has not ended in time
     */
    void refresh(Duration mostAge, Duration within) throws NotRunException {
        long begin = time.nanos();
        long needed = begin - mostAge.toNanos();
        await(firstLoad, within);
        while (freshAt - needed < 0) {
            await(attempt(), within.minusNanos(time.nanos() - begin));
        }
    }

    private CompletableFuture<Void> attempt() {
        synchronized (attempts) {
            boolean refused = last.isCompletedExceptionally() && time.nanos() - refusedUntil < 0;
            if (last.isDone() && !refused) {
                CompletableFuture<Void> next = new CompletableFuture<>();
                last = next;
                Thread.ofVirtual().name("refresh").start(() -> carryOut(next));
            }
            return last;
        }
    }

    private void carryOut(CompletableFuture<Void> attempt) {
        try {
            catchUp();
            attempt.complete(null);
        } catch (NotRunException | RuntimeException e) {
            Duration pause = backoff.failed(pace.get().longestRetry());
            synchronized (attempts) {
                refusedUntil = time.nanos() + pause.toNanos();
            }
            attempt.completeExceptionally(e);
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

    private boolean loading() {
        synchronized (reading) {
            return !loaded || load.isPresent();
        }
    }

    /** Reads one page; returns whether more is known to be there. A waiting read does not hold the lock. */
    private boolean step(Duration wait) throws NotRunException {
        long sent = time.nanos();
        if (loading()) {
            return loadPage(sent);
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
            synchronized (reading) {
                if (load.isEmpty() && next == from) {
                    load = Optional.of(Load.begin(++loads));
                }
            }
            return true;
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

    /** Reads the next page of newest values; one that another thread has read meanwhile is dropped. */
    private boolean loadPage(long sent) throws NotRunException {
        Load before = currentLoad();
        StateStore.NewestPage page;
        try {
            page = store.newest(topic, before.after(), before.patience());
        } catch (NotRunException e) {
            synchronized (reading) {
                load = load.map(now -> now.at(before) ? before.failed() : now);
            }
            throw e;
        }
        synchronized (reading) {
            if (load.isEmpty() || !load.get().at(before)) {
                return true;
            }
            backoff.succeeded();
            Load now = before.with(page, sent);
            if (page.more()) {
                load = Optional.of(now);
                return true;
            }
            load = Optional.empty();
            if (loaded && now.next() < next) {
                return true;
            }
            replace(now);
            // What was stored between the first page and the last is read from the topic.
            return !before.pages().isEmpty();
        }
    }

    private Load currentLoad() {
        synchronized (reading) {
            Load now = load.orElseGet(() -> Load.begin(++loads));
            load = Optional.of(now);
            return now;
        }
    }

    /** Called with the monitor of {@code reading}. */
    private void replace(Load all) {
        StateStore.Snapshot snapshot = all.whole();
        listener.replaced(snapshot);
        listener.settled();
        next = snapshot.next();
        fresh(all.sent());
        loaded = true;
        firstLoad.complete(null);
        Events.info("topic-loaded", "topic", topic, "keys", snapshot.values().size(), "offset", next);
        regained();
    }

    /** Called with the monitor of {@code reading}; of two reads at a time the later one counts. */
    private void fresh(long sent) {
        if (!loaded || sent - freshAt > 0) {
            freshAt = sent;
        }
    }

    private void regained() {
        backoff.succeeded();
        if (failing) {
            failing = false;
            Events.info("store-regained", "topic", topic);
        }
    }
}
