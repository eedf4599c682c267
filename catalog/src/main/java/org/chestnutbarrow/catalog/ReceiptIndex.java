package org.chestnutbarrow.catalog;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.catalog.ApplyResult.ReceiptOutcome;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.LogRecord.Receipt;
import org.chestnutbarrow.model.LogRecord.ReceiptsMade;

/**
 * The receipts of the last 15 minutes, sharded by the hash of the request id. Thread-safe; each shard has its own lock.
 *
 * <p>Invariant: at most one receipt is accepted for each id that contains a time. A receipt is removed based on the
 * time in its id, and an id that is old enough for its receipt to have been removed is refused. For an id without a
 * time, {@link Receipt#taken()} is used instead, so that such an id may be accepted again once its receipt has been
 * removed.
 */
final class ReceiptIndex {
    static final Duration RETENTION = Duration.ofMinutes(15);

    private static final int SHARDS = 16;

    private final ReceiptShard[] shards = new ReceiptShard[SHARDS];

    ReceiptIndex() {
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new ReceiptShard();
        }
    }

    List<ReceiptOutcome> add(long offset, ReceiptsMade record, Instant now) {
        Instant cutoff = now.minus(RETENTION);
        for (ReceiptShard shard : shards) {
            shard.removeBefore(cutoff);
        }
        List<ReceiptOutcome> outcomes = new ArrayList<>(record.receipts().size());
        for (Receipt receipt : record.receipts()) {
            outcomes.add(add(offset, record, receipt, cutoff));
        }
        return outcomes;
    }

    private ReceiptOutcome add(long offset, ReceiptsMade record, Receipt receipt, Instant cutoff) {
        String id = receipt.requestId();
        Instant time = timeOf(receipt);
        if (time.isBefore(cutoff) || time.isAfter(receipt.taken().plus(RETENTION))) {
            return new ReceiptOutcome.OutOfWindow(id);
        }
        ReceiptState state = new ReceiptState(id, time, record.daemon(), record.incarnation(), offset);
        Optional<ReceiptState> first = shard(id).add(state);
        if (first.isPresent()) {
            return new ReceiptOutcome.Duplicate(id, first.get());
        }
        return new ReceiptOutcome.Accepted(id);
    }

    /** Returns the time in an id of the form {@code <epochMillis>-<random>}, or else {@link Receipt#taken()}. */
    private static Instant timeOf(Receipt receipt) {
        int separator = receipt.requestId().indexOf('-');
        if (separator <= 0) {
            return receipt.taken();
        }
        try {
            return Instant.ofEpochMilli(Long.parseLong(receipt.requestId().substring(0, separator)));
        } catch (NumberFormatException e) {
            return receipt.taken();
        }
    }

    Optional<ReceiptState> get(String requestId) {
        return shard(requestId).get(requestId);
    }

    List<ReceiptState> snapshot() {
        List<ReceiptState> all = new ArrayList<>();
        for (ReceiptShard shard : shards) {
            shard.copyInto(all);
        }
        return all;
    }

    void restore(List<ReceiptState> receipts) {
        for (ReceiptShard shard : shards) {
            shard.clear();
        }
        receipts.forEach(receipt -> shard(receipt.requestId()).add(receipt));
    }

    private ReceiptShard shard(String requestId) {
        return shards[Math.floorMod(Hashing.hash(requestId), SHARDS)];
    }
}
