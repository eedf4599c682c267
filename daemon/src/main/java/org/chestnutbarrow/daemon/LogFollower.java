package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.ports.Log;

/**
 * Reads the log on one thread and applies its records to the catalog in order. Safe for use by several threads.
 *
 * <p>Invariant: the catalog never skips a readable record. When records have expired before they were read, a snapshot
 * that covers them is taken from a peer or from the log; until there is one, nothing is applied and every read counts as
 * failed.
 */
final class LogFollower implements AutoCloseable {
    private static final int MAX_RECORDS = 1000;
    /** A quarter of the freshness bound of 2 s, so that an idle log is confirmed several times within it. */
    private static final Duration LONG_POLL = Duration.ofMillis(500);
    /** Pause after an empty answer that came at once, in case the log does not wait as asked. */
    private static final Duration EMPTY_PAUSE = Duration.ofMillis(50);

    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    /** Short enough that the end of an outage is noticed within the freshness bound. */
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(1);

    private final Log log;
    private final Catalog catalog;
    private final LogRecords records;
    private final TimeSource time;
    private final Supplier<Optional<LogRecord.Snapshot>> peerSnapshot;
    private final BooleanSupplier peerAhead;
    private final ReadReport report;
    private final List<AppliedListener> listeners;
    private final Backoff backoff;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Thread thread;
    /** Whether the peers were asked for their state to avoid reading a long log; touched by the thread only. */
    private boolean peersAsked;

    private volatile boolean reachable;
    private volatile boolean caughtUp;

    /**
     * Creates a follower that starts with {@link #start}.
     *
     * @param peerSnapshot asks the peers for their state; empty if none answers; may block
     * @param peerAhead whether a peer has lately told of a newer position
     * @param listeners told of every batch in the order given
     */
    LogFollower(
            Log log,
            Catalog catalog,
            LogRecords records,
            TimeSource time,
            Supplier<Optional<LogRecord.Snapshot>> peerSnapshot,
            BooleanSupplier peerAhead,
            ReadReport report,
            List<AppliedListener> listeners,
            RandomGenerator random) {
        this.log = log;
        this.catalog = catalog;
        this.records = records;
        this.time = time;
        this.peerSnapshot = peerSnapshot;
        this.peerAhead = peerAhead;
        this.report = report;
        this.listeners = List.copyOf(listeners);
        this.backoff = new Backoff(FIRST_RETRY, LONGEST_RETRY, random);
        this.thread = Thread.ofPlatform().name("log-follower").daemon().unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Whether the last read succeeded. */
    boolean reachable() {
        return reachable;
    }

    /** Whether the log has been read to its end since the start. */
    boolean caughtUp() {
        return caughtUp;
    }

    private void run() {
        while (closed.getCount() > 0) {
            try {
                Duration pause = readOnce();
                backoff.reset();
                pause(pause);
            } catch (UnavailableException | RuntimeException e) {
                if (closed.getCount() == 0) {
                    return;
                }
                reachable = false;
                Events.warn("log-read-failed", "position", catalog.position(), "reason", e.getMessage());
                report.readFailed(String.valueOf(e.getMessage()));
                catchUpFromPeer();
                pause(backoff.nextDelay());
            }
        }
    }

    /** Takes a peer's state if it is newer, so that a daemon that cannot reach the log stays as fresh as its peers. */
    private void catchUpFromPeer() {
        if (peerAhead.getAsBoolean()) {
            restore(peerSnapshot.get(), 0, "peer");
        }
    }

    private void pause(Duration delay) {
        try {
            boolean ended = !delay.isZero() && closed.await(delay.toNanos(), TimeUnit.NANOSECONDS);
            if (ended) {
                Events.info("log-follower-closed", "position", catalog.position());
            }
        } catch (InterruptedException e) {
            closed.countDown();
        }
    }

    /** Reads and applies one batch; returns how long to wait before the next read. */
    private Duration readOnce() throws UnavailableException {
        long sent = time.nanos();
        long from = catalog.position() + 1;
        // The first read, and the first after an outage, answer at once so that freshness is known early.
        Duration wait = reachable && caughtUp ? LONG_POLL : Duration.ZERO;
        Log.Batch batch = log.read(from, MAX_RECORDS, wait);
        if (batch.next() < from) {
            throw new UnavailableException(
                    "the log ends at " + batch.next() + ", before the position " + from, "check the log's address");
        }
        if (batch.first() > from) {
            restore(batch.first());
            return Duration.ZERO;
        }
        if (from == 0 && batch.next() > MAX_RECORDS && !peersAsked) {
            peersAsked = true;
            if (restore(peerSnapshot.get(), batch.first(), "peer")) {
                return Duration.ZERO;
            }
        }
        apply(batch);
        reachable = true;
        if (catalog.position() + 1 >= batch.next()) {
            caughtUp = true;
            report.readToEnd(sent, catalog.position());
        }
        boolean early = time.nanos() - sent < EMPTY_PAUSE.toNanos();
        return batch.records().isEmpty() && early ? EMPTY_PAUSE : Duration.ZERO;
    }

    private void apply(Log.Batch batch) {
        List<AppliedRecord> applied = new ArrayList<>(batch.records().size());
        try {
            for (Log.Entry entry : batch.records()) {
                if (entry.offset() > catalog.position()) {
                    apply(entry).ifPresent(applied::add);
                }
            }
        } finally {
            // Records before one that failed are in force, so the listeners have to know of them.
            if (!applied.isEmpty()) {
                tell(listener -> listener.onApplied(applied));
            }
        }
    }

    private Optional<AppliedRecord> apply(Log.Entry entry) {
        return switch (records.decode(entry.data())) {
            case LogRecords.Read read -> {
                var result = catalog.apply(entry.offset(), read.record());
                yield Optional.of(new AppliedRecord(entry.offset(), read.id(), read.record(), result));
            }
            case LogRecords.Unreadable unreadable -> {
                Events.warn("log-record-skipped", "offset", entry.offset(), "reason", unreadable.reason());
                catalog.skip(entry.offset());
                yield Optional.empty();
            }
        };
    }

    /** Replaces the state by one from which the log can be followed without a gap. */
    private void restore(long first) throws UnavailableException {
        if (!restore(peerSnapshot.get(), first, "peer") && !restore(newestInLog(first), first, "log")) {
            throw new UnavailableException(
                    "records " + (catalog.position() + 1) + " to " + (first - 1) + " have expired unread",
                    "wait for a snapshot from a peer or in the log");
        }
    }

    private boolean restore(Optional<LogRecord.Snapshot> snapshot, long first, String source) {
        if (snapshot.isEmpty() || snapshot.get().position() + 1 < first) {
            return false;
        }
        try {
            if (!catalog.restore(records.state(snapshot.get()))) {
                return false;
            }
        } catch (InvalidInputException e) {
            Events.warn("snapshot-unusable", "source", source, "reason", e.getMessage());
            return false;
        }
        Events.info("snapshot-restored", "source", source, "position", catalog.position());
        long position = catalog.position();
        tell(listener -> listener.onRestored(position));
        return true;
    }

    /** The newest snapshot in the log that can be read and that the records kept follow without a gap. */
    private Optional<LogRecord.Snapshot> newestInLog(long first) throws UnavailableException {
        Optional<LogRecord.Snapshot> newest = Optional.empty();
        long from = first;
        while (closed.getCount() > 0) {
            Log.Batch batch = log.read(from, MAX_RECORDS, Duration.ZERO);
            for (Log.Entry entry : batch.records()) {
                from = entry.offset() + 1;
                if (records.decode(entry.data()) instanceof LogRecords.Read read
                        && read.record() instanceof LogRecord.Snapshot snapshot
                        && snapshot.position() + 1 >= batch.first()
                        && snapshot.position() < entry.offset()
                        && newest.stream().allMatch(other -> other.position() < snapshot.position())
                        && readable(snapshot)) {
                    newest = Optional.of(snapshot);
                }
            }
            if (batch.records().isEmpty() || from >= batch.next()) {
                return newest;
            }
        }
        return Optional.empty();
    }

    private boolean readable(LogRecord.Snapshot snapshot) {
        try {
            records.state(snapshot);
            return true;
        } catch (InvalidInputException e) {
            Events.warn("snapshot-unusable", "source", "log", "reason", e.getMessage());
            return false;
        }
    }

    /** Tells all listeners; a fault in one must not keep the others, or this thread, from going on. */
    private void tell(Consumer<AppliedListener> event) {
        for (AppliedListener listener : listeners) {
            try {
                event.accept(listener);
            } catch (RuntimeException e) {
                Events.warn(
                        "log-listener-failed", "listener", listener.getClass().getSimpleName(), "reason", e);
            }
        }
    }

    /** Ends the thread; a read in progress is interrupted. */
    @Override
    public void close() {
        closed.countDown();
        thread.interrupt();
    }
}
