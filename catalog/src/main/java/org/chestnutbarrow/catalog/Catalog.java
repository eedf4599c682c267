package org.chestnutbarrow.catalog;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.catalog.CatalogState.ShardState;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.LogRecord.Receipt;

/**
 * The state that results from applying the records of the log in order. Thread-safe: jobs and receipts are sharded,
 * each shard with its own lock; the configuration is immutable; applying records, taking snapshots and restoring them
 * are serialized by one lock.
 *
 * <p>Invariants: records are applied once, in order and without gaps; the state never goes back to an earlier position;
 * the same records result in the same state on every daemon, whether or not the first of them were replaced by a
 * snapshot.
 *
 * <pre>{@code
 * ApplyResult result = catalog.apply(entry.offset(), record);
 * }</pre>
 */
public final class Catalog {
    /** Latest accepted time; adding a retention time to a later one could overflow. */
    private static final Instant LATEST_ALLOWED = Instant.parse("9999-12-31T00:00:00Z");

    private final ReentrantLock applyLock = new ReentrantLock();
    private final CatalogShard[] shards = new CatalogShard[Job.SHARDS];
    private final ReceiptIndex receipts = new ReceiptIndex();

    private volatile ConfigHistory configHistory = ConfigHistory.INITIAL;
    private volatile long position = -1;
    private Instant jobTime = Instant.EPOCH;
    private Instant receiptTime = Instant.EPOCH;

    /** Creates a catalog to which no record has been applied. */
    public Catalog() {
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new CatalogShard(i);
        }
    }

    /**
     * Applies the record that follows {@link #position()}. A record that was already applied has no effect.
     *
     * @throws IllegalArgumentException if records between the position and the offset are missing
     */
    public ApplyResult apply(long offset, LogRecord record) {
        applyLock.lock();
        try {
            if (offset <= position) {
                return new ApplyResult.NoEffect("offset " + offset + " has already been applied");
            }
            requireNext(offset);
            ApplyResult result = applyRecord(offset, record);
            position = offset;
            return result;
        } finally {
            applyLock.unlock();
        }
    }

    /** Skips the record that follows {@link #position()}, because it cannot be read. */
    public void skip(long offset) {
        applyLock.lock();
        try {
            if (offset > position) {
                requireNext(offset);
                position = offset;
            }
        } finally {
            applyLock.unlock();
        }
    }

    private void requireNext(long offset) {
        Checks.require(
                offset == position + 1,
                "record " + offset + " does not follow " + position + "; restore a snapshot that covers the gap");
    }

    private ApplyResult applyRecord(long offset, LogRecord record) {
        return switch (record) {
            case LogRecord.ConfigChanged changed -> applyConfigChange(offset, changed);
            case LogRecord.ZoneChanged changed -> applyZoneChange(offset, changed);
            case LogRecord.JobAccepted accepted -> addJob(offset, accepted.job());
            case LogRecord.JobsCancelled cancelled -> cancelJobs(cancelled);
            case LogRecord.ShardClaimed claimed -> claimShard(offset, claimed);
            case LogRecord.TasksEnded ended -> recordTaskEnds(ended);
            case LogRecord.ReceiptsMade made -> addReceipts(offset, made);
            case LogRecord.Snapshot snapshot -> new ApplyResult.SnapshotRecorded(snapshot.position());
        };
    }

    private ApplyResult applyConfigChange(long offset, LogRecord.ConfigChanged changed) {
        if (!configHistory.isCurrentVersion(changed.baseVersion())) {
            return configHistory.rejection(changed.id(), changed.baseVersion());
        }
        configHistory = configHistory.withChange(offset, changed);
        return new ApplyResult.ConfigurationReplaced(configHistory.current());
    }

    private ApplyResult applyZoneChange(long offset, LogRecord.ZoneChanged changed) {
        if (!configHistory.isCurrentVersion(changed.baseVersion())) {
            return configHistory.rejection(changed.id(), changed.baseVersion());
        }
        if (!configHistory.current().declarations().zones().contains(changed.zone())) {
            return new ApplyResult.NoEffect("zone " + changed.zone() + " is not declared");
        }
        configHistory = configHistory.withChange(offset, changed);
        return new ApplyResult.ConfigurationReplaced(configHistory.current());
    }

    private ApplyResult addJob(long offset, Job job) {
        if (job.submitted().isAfter(LATEST_ALLOWED)) {
            return new ApplyResult.NoEffect("submission time " + job.submitted() + " is out of range");
        }
        jobTime = later(jobTime, job.submitted());
        return shards[Job.shardOf(job.id())].add(offset, job, jobTime);
    }

    private ApplyResult cancelJobs(LogRecord.JobsCancelled cancelled) {
        List<JobId> cancelledIds = new ArrayList<>();
        for (JobId id : cancelled.jobs()) {
            if (shards[Job.shardOf(id)].cancel(id, jobTime)) {
                cancelledIds.add(id);
            }
        }
        return new ApplyResult.JobsCancelled(cancelledIds);
    }

    private ApplyResult claimShard(long offset, LogRecord.ShardClaimed claimed) {
        if (claimed.shard() < 0 || claimed.shard() >= Job.SHARDS) {
            return new ApplyResult.NoEffect("shard " + claimed.shard() + " does not exist");
        }
        return shards[claimed.shard()].claim(offset, claimed);
    }

    private ApplyResult recordTaskEnds(LogRecord.TasksEnded ended) {
        if (ended.shard() < 0 || ended.shard() >= Job.SHARDS) {
            return new ApplyResult.NoEffect("shard " + ended.shard() + " does not exist");
        }
        return shards[ended.shard()].recordEnds(ended, jobTime);
    }

    private ApplyResult addReceipts(long offset, LogRecord.ReceiptsMade made) {
        if (made.receipts().stream().anyMatch(receipt -> receipt.taken().isAfter(LATEST_ALLOWED))) {
            return new ApplyResult.NoEffect("the time of a receipt is out of range");
        }
        for (Receipt receipt : made.receipts()) {
            receiptTime = later(receiptTime, receipt.taken());
        }
        return new ApplyResult.ReceiptsChecked(receipts.add(offset, made, receiptTime));
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    /** Returns the offset of the last applied record, or -1 if there is none. */
    public long position() {
        return position;
    }

    /** Returns the effective configuration. */
    public Configuration configuration() {
        return configHistory.current();
    }

    /** Returns a job, or empty if it is unknown. */
    public Optional<LoggedJobState> job(JobId id) {
        return shards[Job.shardOf(id)].job(id);
    }

    /** Returns the jobs of a shard in the order of acceptance. */
    public List<LoggedJobState> jobs(int shard) {
        return shards[shard].snapshot().jobs();
    }

    /** Returns the effective claim of a shard, or empty if it was never claimed. */
    public Optional<ShardClaim> shardClaim(int shard) {
        return shards[shard].claim();
    }

    /** Returns the first receipt of a request id, or empty if there is none or it was removed. */
    public Optional<ReceiptState> receipt(String requestId) {
        return receipts.get(requestId);
    }

    /** Returns the complete state at the current position. Blocks {@link #apply} only while references are copied. */
    public CatalogState snapshot() {
        List<ShardState> shardStates = new ArrayList<>(shards.length);
        List<ReceiptState> receiptStates;
        ConfigHistory history;
        Instant latestJobTime;
        Instant latestReceiptTime;
        long coveredPosition;
        applyLock.lock();
        try {
            for (CatalogShard shard : shards) {
                shardStates.add(shard.snapshot());
            }
            receiptStates = receipts.snapshot();
            history = configHistory;
            latestJobTime = jobTime;
            latestReceiptTime = receiptTime;
            coveredPosition = position;
        } finally {
            applyLock.unlock();
        }
        receiptStates.sort(ReceiptShard.BY_TIME);
        return new CatalogState(
                coveredPosition,
                history.current(),
                history.changes(),
                latestJobTime,
                latestReceiptTime,
                shardStates,
                receiptStates);
    }

    /**
     * Replaces the state with a newer one. A state that is not newer is ignored.
     *
     * @return whether the state was replaced
     */
    public boolean restore(CatalogState state) {
        applyLock.lock();
        try {
            if (state.position() <= position) {
                return false;
            }
            for (int i = 0; i < shards.length; i++) {
                shards[i].restore(state.shards().get(i));
            }
            receipts.restore(state.receipts());
            jobTime = state.jobTime();
            receiptTime = state.receiptTime();
            configHistory = new ConfigHistory(state.configuration(), state.changes());
            position = state.position();
            return true;
        } finally {
            applyLock.unlock();
        }
    }
}
