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
 * The state that follows from the log's records in order. Safe for use by several threads: jobs and receipts lie in
 * shards, each under its own lock; the configuration is immutable; appliers and snapshots take turns.
 *
 * <p>Invariants: records are applied once, in order and without gaps; the state never goes back; the same records give
 * the same state on every daemon, whether or not a snapshot stood in for the first of them.
 *
 * <pre>{@code
 * ApplyResult result = catalog.apply(entry.offset(), record);
 * }</pre>
 */
public final class Catalog {
    /** Times after this are refused, because adding a retention time to them could overflow. */
    private static final Instant LATEST_ALLOWED = Instant.parse("9999-12-31T00:00:00Z");

    private final ReentrantLock applyLock = new ReentrantLock();
    private final JobShard[] shards = new JobShard[Job.SHARDS];
    private final ReceiptIndex receipts = new ReceiptIndex();

    private volatile ConfigHistory configHistory = ConfigHistory.INITIAL;
    private volatile long position = -1;
    private Instant jobTime = Instant.EPOCH;
    private Instant receiptTime = Instant.EPOCH;

    /** Creates the state before the first record. */
    public Catalog() {
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new JobShard(i);
        }
    }

    /**
     * Applies the record that follows {@link #position()}; an older one has no effect.
     *
     * @throws IllegalArgumentException if records between the position and the offset are missing
     */
    public ApplyResult apply(long offset, LogRecord record) {
        applyLock.lock();
        try {
            if (offset <= position) {
                return new ApplyResult.NoEffect("offset " + offset + " is applied already");
            }
            requireNext(offset);
            ApplyResult result = applyRecord(offset, record);
            position = offset;
            return result;
        } finally {
            applyLock.unlock();
        }
    }

    /** Passes over the record that follows {@link #position()} because it cannot be read. */
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
        List<JobId> changed = new ArrayList<>();
        for (JobId id : cancelled.jobs()) {
            if (shards[Job.shardOf(id)].cancel(id, jobTime)) {
                changed.add(id);
            }
        }
        return new ApplyResult.JobsCancelled(changed);
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

    /** Offset of the last record applied; -1 before any. */
    public long position() {
        return position;
    }

    /** The configuration in force. */
    public Configuration configuration() {
        return configHistory.current();
    }

    /** A job, if it is known. */
    public Optional<JobState> job(JobId id) {
        return shards[Job.shardOf(id)].job(id);
    }

    /** The jobs of a shard in order of acceptance. */
    public List<JobState> jobs(int shard) {
        return shards[shard].snapshot().jobs();
    }

    /** The claim of a shard that stands. */
    public Optional<ShardClaim> shardClaim(int shard) {
        return shards[shard].claim();
    }

    /** The first receipt of a request id, if it is kept. */
    public Optional<ReceiptState> receipt(String requestId) {
        return receipts.get(requestId);
    }

    /** The whole state at the current position. Appliers wait only while references are copied. */
    public CatalogState snapshot() {
        List<ShardState> all = new ArrayList<>(shards.length);
        List<ReceiptState> taken;
        ConfigHistory history;
        Instant jobs;
        Instant requests;
        long covered;
        applyLock.lock();
        try {
            for (JobShard shard : shards) {
                all.add(shard.snapshot());
            }
            taken = receipts.snapshot();
            history = configHistory;
            jobs = jobTime;
            requests = receiptTime;
            covered = position;
        } finally {
            applyLock.unlock();
        }
        taken.sort(ReceiptShard.BY_TIME);
        return new CatalogState(covered, history.current(), history.changes(), jobs, requests, all, taken);
    }

    /**
     * Replaces the state by a newer one; an older one is ignored.
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
