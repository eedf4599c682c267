package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.ports.Log;

/**
 * Appends records and waits until {@link LogFollower} has read them back, so that the result is the catalog's and not a
 * guess. Safe for use by several threads.
 *
 * <p>Invariant: a record is appended at most once. When the log's answer is lost, the record's own id among the records
 * read decides whether it stands.
 *
 * <pre>{@code
 * AppliedRecord written = writer.write(new LogRecord.JobAccepted(job));
 * }</pre>
 */
final class LogWriter implements AppliedListener {
    private final Log log;
    private final LogRecords records;
    private final BooleanSupplier reachable;
    private final Duration timeout;
    private final String prefix;
    private final AtomicLong sequence = new AtomicLong();
    private final LongAdder appends = new LongAdder();
    private final LongAdder appendedBytes = new LongAdder();
    private final Map<String, CompletableFuture<AppliedRecord>> pending = new ConcurrentHashMap<>();

    /**
     * Creates a writer.
     *
     * @param reachable whether the log answered last time; appends are refused at once if not
     * @param timeout longest wait for a record to be read back
     */
    LogWriter(
            Log log,
            LogRecords records,
            DaemonId daemon,
            long incarnation,
            BooleanSupplier reachable,
            Duration timeout) {
        this.log = log;
        this.records = records;
        this.reachable = reachable;
        this.timeout = timeout;
        // The record id has at most 128 characters; daemon ids may be that long themselves.
        String name = daemon.value();
        this.prefix = name.substring(0, Math.min(name.length(), 64)) + "-" + Long.toHexString(incarnation) + "-";
    }

    /**
     * Appends a record and waits until it was applied; whether it took effect or lost is in the result.
     *
     * @throws NotRunException if it was not appended
     * @throws OutcomeUnknownException if it was not read back in time and may still be
     */
    AppliedRecord write(LogRecord record) throws NotRunException, OutcomeUnknownException {
        CompletableFuture<AppliedRecord> result = append(record);
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw unknown("the record was not read back in time", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unknown("interrupted before the record was read back", e);
        }
    }

    /**
     * Appends a record; blocks until the log has answered, or its answer is lost, but not until the record is applied.
     *
     * @return completes when the record was applied, or exceptionally if it was not read back in time
     * @throws NotRunException if it was not appended
     */
    CompletableFuture<AppliedRecord> append(LogRecord record) throws NotRunException {
        if (!reachable.getAsBoolean()) {
            throw new NotRunException("the log cannot be read at present", "try again when it is back");
        }
        String id = prefix + sequence.incrementAndGet();
        byte[] data = records.encode(id, record);
        if (data.length > LogRecords.MAX_BYTES) {
            throw new NotRunException(
                    "the record has " + data.length + " bytes", "keep it below " + LogRecords.MAX_BYTES);
        }
        CompletableFuture<AppliedRecord> result = new CompletableFuture<>();
        pending.put(id, result);
        appends.increment();
        appendedBytes.add(data.length);
        try {
            log.append(id, data);
        } catch (OutcomeUnknownException e) {
            Events.warn("log-answer-lost", "id", id, "reason", e.getMessage());
        } catch (NotRunException | RuntimeException e) {
            pending.remove(id);
            throw e;
        }
        return result.orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS)
                .whenComplete((applied, error) -> pending.remove(id));
    }

    /** Appends that were tried so far, including refused ones and ones whose answer was lost. */
    long appends() {
        return appends.sum();
    }

    /** Bytes of the records of these appends. */
    long appendedBytes() {
        return appendedBytes.sum();
    }

    @Override
    public void onApplied(List<AppliedRecord> applied) {
        for (AppliedRecord record : applied) {
            CompletableFuture<AppliedRecord> result = pending.remove(record.id());
            if (result != null) {
                result.complete(record);
            }
        }
    }

    /** Records that the snapshot covers are never read one by one, so nothing can be said of those that wait. */
    @Override
    public void onRestored(long position) {
        pending.values()
                .forEach(result -> result.completeExceptionally(
                        unknown("the state was restored before the record was read", null)));
    }

    private static OutcomeUnknownException unknown(String what, Throwable cause) {
        return new OutcomeUnknownException(what, "look whether it has taken effect before repeating it", cause);
    }
}
