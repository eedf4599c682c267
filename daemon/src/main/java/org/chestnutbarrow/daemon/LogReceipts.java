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

/** Receipts in the log, written in groups. Safe for use by several threads. */
final class LogReceipts implements Receipts {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String AGAIN = "send the request again with the same id";

    private final GroupCommitWriter<Receipt> writer;
    private final Predicate<String> known;

    /** Creates it; {@code known} tells whether the log's state has a receipt. */
    LogReceipts(GroupCommitWriter<Receipt> writer, Predicate<String> known) {
        this.writer = writer;
        this.known = known;
    }

    @Override
    public boolean known(String requestId) {
        return known.test(requestId);
    }

    @Override
    public boolean make(String requestId, Instant taken) throws NotRunException {
        CompletableFuture<GroupCommitWriter.WrittenEntry> written = writer.write(new Receipt(requestId, taken));
        try {
            GroupCommitWriter.WrittenEntry result = written.get(TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
            return judge(result);
        } catch (TimeoutException e) {
            throw new NotRunException("the receipt was not read back in time", AGAIN, e);
        } catch (ExecutionException e) {
            throw new NotRunException(
                    "the receipt was not made: " + e.getCause().getMessage(), AGAIN, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NotRunException("interrupted before the receipt was made", AGAIN, e);
        }
    }

    private static boolean judge(GroupCommitWriter.WrittenEntry written) throws NotRunException {
        if (!(written.record().result() instanceof ApplyResult.ReceiptsChecked judged)) {
            throw new NotRunException("the receipt had no effect", AGAIN);
        }
        return switch (judged.outcomes().get(written.index())) {
            case ApplyResult.ReceiptOutcome.Accepted _ -> true;
            case ApplyResult.ReceiptOutcome.Duplicate _ -> false;
            case ApplyResult.ReceiptOutcome.OutOfWindow _ ->
                throw new NotRunException("the request id is older than receipts are kept", "use a new id");
        };
    }
}
