package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.model.LogRecord.Receipt;
import org.chestnutbarrow.model.NotRunException;

/** Stores receipts in the log, several in one record. Safe for use by several threads. */
final class LogReceiptStore implements ReceiptStore {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String RETRY_ADVICE = "send the request again with the same id";

    private final GroupCommitWriter<Receipt> writer;
    private final Predicate<String> hasReceipt;

    /**
     * Creates a store.
     *
     * @param hasReceipt whether the state read from the log has a receipt for a request id
     */
    LogReceiptStore(GroupCommitWriter<Receipt> writer, Predicate<String> hasReceipt) {
        this.writer = writer;
        this.hasReceipt = hasReceipt;
    }

    @Override
    public boolean contains(String requestId) {
        return hasReceipt.test(requestId);
    }

    @Override
    public boolean create(String requestId, Instant receivedAt) throws NotRunException {
        CompletableFuture<GroupCommitWriter.WrittenEntry> written = writer.write(new Receipt(requestId, receivedAt));
        try {
            GroupCommitWriter.WrittenEntry result = written.get(TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
            return isAccepted(result);
        } catch (TimeoutException e) {
            throw new NotRunException("the receipt was not read back in time", RETRY_ADVICE, e);
        } catch (ExecutionException e) {
            throw new NotRunException(
                    "the receipt was not written: " + e.getCause().getMessage(), RETRY_ADVICE, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NotRunException("interrupted before the receipt was written", RETRY_ADVICE, e);
        }
    }

    private static boolean isAccepted(GroupCommitWriter.WrittenEntry written) throws NotRunException {
        if (!(written.record().result() instanceof ApplyResult.ReceiptsChecked checked)) {
            throw new NotRunException("the receipt record was rejected", RETRY_ADVICE);
        }
        return switch (checked.outcomes().get(written.index())) {
            case ApplyResult.ReceiptOutcome.Accepted _ -> true;
            case ApplyResult.ReceiptOutcome.Duplicate _ -> false;
            case ApplyResult.ReceiptOutcome.OutOfWindow _ ->
                throw new NotRunException("the request id is older than the lifetime of receipts", "use a new id");
        };
    }
}
