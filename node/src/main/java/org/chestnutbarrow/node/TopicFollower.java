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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
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
 * Loads the newest values of a topic and then follows its entries. Thread-safe; the listener is called by one thread
 * at a time.
 */
final class TopicFollower {
    /**
     * Attempts per page of newest values in {@link #catchUp}, so that a single failed page does not abort a takeover.
     */
    private static final int MAX_PAGE_ATTEMPTS = 3;
    /** Maximum delay between these attempts. */
    private static final Duration MAX_PAGE_RETRY_DELAY = Duration.ofMillis(150);

    /** Receives the contents of the topic. Called by one thread at a time. */
    interface Listener {
        /** Called with all newest values, which replace everything received before. */
        void onSnapshot(StateStore.Snapshot snapshot);

        /** Called with each newer entry. */
        void onEntry(StateStore.StoredEntry stored);

        /** Called after all entries of a page, or a whole snapshot, have been passed on. */
        default void onPageApplied() {}
    }

    /**
     * How to poll for new entries.
     *
     * @param maxWait how long the store may wait for an entry before it answers a read; zero to answer immediately
     * @param pollInterval delay between two reads that are not long polls
     * @param maxRetryDelay upper bound of the delay after a failed read
     */
    record PollPolicy(Duration maxWait, Duration pollInterval, Duration maxRetryDelay) {}

    /**
     * State of a load of the newest values, which are read in pages.
     *
     * @param id identifies the load
     * @param startedAt when the first page was requested, in nanoseconds
     * @param nextOffset end of the topic at the time of the first page, from which to continue after the load
     * @param pages the pages read so far, in order
     * @param lastKey key after which the next page starts; empty before the first page
     * @param extraWait additional time that the store may take to answer. It grows when a page fails, because the
     *     store answers late when all nodes read at once, and a read that times out costs the store as much as any
     *     other.
     */
    private record SnapshotLoad(
            long id,
            long startedAt,
            long nextOffset,
            List<Map<String, byte[]>> pages,
            String lastKey,
            Duration extraWait) {
        private static final Duration INITIAL_EXTRA_WAIT = Duration.ofSeconds(1);
        /** Two pages of 1.3 MB for each of 37 nodes take 2.4 s at 40 MB/s. */
        private static final Duration MAX_EXTRA_WAIT = Duration.ofSeconds(4);

        private static SnapshotLoad start(long id) {
            return new SnapshotLoad(id, 0, 0, List.of(), "", Duration.ZERO);
        }

        /** Returns whether both are the same load with the same number of pages read. */
        boolean isSamePageAs(SnapshotLoad other) {
            return id == other.id && pages.size() == other.pages.size();
        }

        SnapshotLoad withPage(StateStore.NewestPage page, long sentAt) {
            List<Map<String, byte[]>> allPages = new ArrayList<>(pages);
            allPages.add(page.values());
            boolean first = pages.isEmpty();
            return new SnapshotLoad(
                    id,
                    first ? sentAt : startedAt,
                    first ? page.endOffset() : nextOffset,
                    allPages,
                    page.lastKey(),
                    extraWait);
        }

        SnapshotLoad withLongerWait() {
            Duration longer = extraWait.isZero() ? INITIAL_EXTRA_WAIT : extraWait.multipliedBy(2);
            return new SnapshotLoad(
                    id,
                    startedAt,
                    nextOffset,
                    pages,
                    lastKey,
                    longer.compareTo(MAX_EXTRA_WAIT) < 0 ? longer : MAX_EXTRA_WAIT);
        }

        StateStore.Snapshot toSnapshot() {
            Map<String, byte[]> values = new HashMap<>();
            pages.forEach(values::putAll);
            return new StateStore.Snapshot(values, nextOffset);
        }
    }

    private final StateStore store;
    private final StateStore.Topic topic;
    private final Listener listener;
    private final Supplier<PollPolicy> pollPolicy;
    private final TimeSource time;
    private final Consumer<Duration> sleeper;
    private final Backoff backoff;
    private final Object readLock = new Object();
    private final Object refreshLock = new Object();
    private final CompletableFuture<Void> initialLoad = new CompletableFuture<>();
    private volatile boolean loaded;
    private volatile long freshAsOf;
    private volatile boolean storeUnavailable;
    /** Offset of the next entry to read; guarded by {@code readLock}. */
    private long nextOffset;
    /** The load in progress, which continues after a failed page; guarded by {@code readLock}. */
    private Optional<SnapshotLoad> load = Optional.empty();
    /** Number of loads started; guarded by {@code readLock}. */
    private long loadCount;
    /** The latest refresh for callers; guarded by {@code refreshLock}. */
    private CompletableFuture<Void> latestRefresh = CompletableFuture.completedFuture(null);
    /**
     * Until this time, in nanoseconds, callers share the failure of the latest refresh; guarded by {@code
     * refreshLock}.
     */
    private long shareFailureUntil;

    TopicFollower(
            StateStore store,
            StateStore.Topic topic,
            Listener listener,
            Supplier<PollPolicy> pollPolicy,
            TimeSource time) {
        this(store, topic, listener, pollPolicy, time, Threads::sleep, new Random());
    }

    TopicFollower(
            StateStore store,
            StateStore.Topic topic,
            Listener listener,
            Supplier<PollPolicy> pollPolicy,
            TimeSource time,
            Consumer<Duration> sleeper,
            RandomGenerator random) {
        this.store = store;
        this.topic = topic;
        this.listener = listener;
        this.pollPolicy = pollPolicy;
        this.time = time;
        this.sleeper = sleeper;
        this.backoff = new Backoff(random);
    }

    /** Returns whether the newest values have been loaded. */
    boolean loaded() {
        return loaded;
    }

    /** Returns the time, in nanoseconds, as of which all entries of the topic have been received. */
    long freshAsOf() {
        return freshAsOf;
    }

    /** Returns the age of the received data, or one day before the first load is complete. */
    Duration age() {
        return loaded ? Duration.ofNanos(time.nanos() - freshAsOf) : Duration.ofDays(1);
    }

    /** Follows the topic until the thread is interrupted. */
    void run() {
        run(() -> true);
    }

    /** Follows the topic while {@code keepReading} is true. */
    void run(BooleanSupplier keepReading) {
        while (keepReading.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
            PollPolicy policy = pollPolicy.get();
            Duration wait = loaded ? policy.maxWait() : Duration.ZERO;
            try {
                boolean more = readNext(wait);
                if (!more && wait.isZero()) {
                    sleeper.accept(policy.pollInterval());
                }
            } catch (NotRunException e) {
                if (!storeUnavailable) {
                    storeUnavailable = true;
                    Events.warn("store-lost", "topic", topic, "ageMs", age().toMillis(), "cause", e.getMessage());
                }
                sleeper.accept(backoff.nextDelay(policy.maxRetryDelay()));
            }
        }
    }

    /** Reads to the current end of the topic. */
    void catchUp() throws NotRunException {
        boolean more = true;
        int failures = 0;
        while (more) {
            try {
                more = readNext(Duration.ZERO);
                failures = 0;
            } catch (NotRunException e) {
                failures++;
                if (!isLoading() || failures == MAX_PAGE_ATTEMPTS) {
                    throw e;
                }
                sleeper.accept(backoff.nextDelay(MAX_PAGE_RETRY_DELAY));
            }
        }
    }

    /** Reads to the current end of the topic on another thread. */
    static Future<?> catchUp(TopicFollower follower, ExecutorService executor) {
        return executor.submit(() -> {
            follower.catchUp();
            return true;
        });
    }

    /** Reads two topics concurrently, since a call to a slow store takes 0.3 s or more. */
    static void catchUpBoth(TopicFollower first, TopicFollower second) throws NotRunException {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<?> firstCaughtUp = catchUp(first, executor);
            second.catchUp();
            firstCaughtUp.get();
        } catch (ExecutionException e) {
            throw new NotRunException(
                    "a topic could not be read: " + e.getCause().getMessage(), "try again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NotRunException("the read of a topic was interrupted", "try again", e);
        }
    }

    /**
     * Ensures that the received data is no older than {@code maxAge}; zero requires a read that starts after this
     * call. Concurrent callers share one read. If it fails, they share the failure for the duration of a retry delay.
     *
     * @throws NotRunException if the store does not answer, or the initial load does not complete, within the timeout
     */
    void refresh(Duration maxAge, Duration timeout) throws NotRunException {
        long begin = time.nanos();
        long needed = begin - maxAge.toNanos();
        awaitRefresh(initialLoad, timeout);
        while (freshAsOf - needed < 0) {
            awaitRefresh(startOrJoinRefresh(), timeout.minusNanos(time.nanos() - begin));
        }
    }

    private CompletableFuture<Void> startOrJoinRefresh() {
        synchronized (refreshLock) {
            boolean sharesFailure = latestRefresh.isCompletedExceptionally() && time.nanos() - shareFailureUntil < 0;
            if (latestRefresh.isDone() && !sharesFailure) {
                CompletableFuture<Void> refresh = new CompletableFuture<>();
                latestRefresh = refresh;
                Thread.ofVirtual().name("refresh").start(() -> runRefresh(refresh));
            }
            return latestRefresh;
        }
    }

    private void runRefresh(CompletableFuture<Void> refresh) {
        try {
            catchUp();
            refresh.complete(null);
        } catch (NotRunException | RuntimeException | Error e) {
            // An error as well must complete the refresh, which later callers would wait for otherwise.
            Duration delay = backoff.nextDelay(pollPolicy.get().maxRetryDelay());
            synchronized (refreshLock) {
                shareFailureUntil = time.nanos() + delay.toNanos();
            }
            refresh.completeExceptionally(e);
        }
    }

    private void awaitRefresh(CompletableFuture<Void> refresh, Duration timeout) throws NotRunException {
        try {
            refresh.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            throw new NotRunException(
                    "the local copy of " + topic + " is stale: " + e.getCause().getMessage(), "try again", e);
        } catch (TimeoutException e) {
            throw new NotRunException("the local copy of " + topic + " is stale: timed out", "try again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NotRunException("the wait for " + topic + " was interrupted", "try again", e);
        }
    }

    /**
     * Skips entries that are already applied, starting at {@code offset}, if all entries before them have been read.
     */
    void skip(long offset, int count) {
        synchronized (readLock) {
            if (loaded && nextOffset == offset) {
                nextOffset = offset + count;
            }
        }
    }

    private boolean isLoading() {
        synchronized (readLock) {
            return !loaded || load.isPresent();
        }
    }

    /** Reads one page and returns whether more entries are available. The lock is not held during the read. */
    private boolean readNext(Duration wait) throws NotRunException {
        long sentAt = time.nanos();
        if (isLoading()) {
            return loadPage(sentAt);
        }
        long fromOffset;
        synchronized (readLock) {
            fromOffset = nextOffset;
        }
        StateStore.Page page;
        try {
            page = store.read(topic, fromOffset, wait);
        } catch (OffsetOutOfRangeException e) {
            Events.warn("history-lost", "topic", topic, "offset", fromOffset, "cause", e.getMessage());
            synchronized (readLock) {
                if (load.isEmpty() && nextOffset == fromOffset) {
                    load = Optional.of(SnapshotLoad.start(++loadCount));
                }
            }
            return true;
        }
        synchronized (readLock) {
            for (StateStore.StoredEntry stored : page.entries()) {
                if (stored.offset() >= nextOffset) {
                    listener.onEntry(stored);
                }
            }
            nextOffset = Math.max(nextOffset, page.nextOffset());
            if (!page.entries().isEmpty()) {
                listener.onPageApplied();
            }
            boolean more = nextOffset < page.endOffset();
            if (!more) {
                // An empty answer after the full wait shows that there were no entries until the end of the wait.
                boolean heldToEnd = page.entries().isEmpty() && time.nanos() - sentAt >= wait.toNanos();
                updateFreshAsOf(heldToEnd ? sentAt + wait.toNanos() : sentAt);
            }
            markAvailable();
            return more;
        }
    }

    /** Reads the next page of newest values; discards it if another thread has read the same page meanwhile. */
    private boolean loadPage(long sentAt) throws NotRunException {
        SnapshotLoad requested = currentLoad();
        StateStore.NewestPage page;
        try {
            page = store.readNewest(topic, requested.lastKey(), requested.extraWait());
        } catch (NotRunException e) {
            synchronized (readLock) {
                load = load.map(current -> current.isSamePageAs(requested) ? requested.withLongerWait() : current);
            }
            throw e;
        }
        synchronized (readLock) {
            if (load.isEmpty() || !load.get().isSamePageAs(requested)) {
                return true;
            }
            backoff.reset();
            SnapshotLoad current = requested.withPage(page, sentAt);
            if (page.hasMore()) {
                load = Optional.of(current);
                return true;
            }
            load = Optional.empty();
            if (loaded && current.nextOffset() < nextOffset) {
                return true;
            }
            install(current);
            // Entries stored while the pages were read follow in the topic.
            return !requested.pages().isEmpty();
        }
    }

    private SnapshotLoad currentLoad() {
        synchronized (readLock) {
            SnapshotLoad current = load.orElseGet(() -> SnapshotLoad.start(++loadCount));
            load = Optional.of(current);
            return current;
        }
    }

    /** Completes a load; the caller holds {@code readLock}. */
    private void install(SnapshotLoad completed) {
        StateStore.Snapshot snapshot = completed.toSnapshot();
        listener.onSnapshot(snapshot);
        listener.onPageApplied();
        nextOffset = snapshot.nextOffset();
        updateFreshAsOf(completed.startedAt());
        loaded = true;
        initialLoad.complete(null);
        Events.info("topic-loaded", "topic", topic, "keys", snapshot.values().size(), "offset", nextOffset);
        markAvailable();
    }

    /** Records a read sent at a time, unless a later read is recorded; the caller holds {@code readLock}. */
    private void updateFreshAsOf(long sentAt) {
        if (!loaded || sentAt - freshAsOf > 0) {
            freshAsOf = sentAt;
        }
    }

    private void markAvailable() {
        backoff.reset();
        if (storeUnavailable) {
            storeUnavailable = false;
            Events.info("store-regained", "topic", topic);
        }
    }
}
