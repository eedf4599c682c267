package org.chestnutbarrow.daemon;

import java.util.List;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.LoggedJobState;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.membership.FreshnessGate;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.placement.LoggedJob;

/** Tells the other parts what the log has changed. Called on the follower's thread; does not block. */
final class CatalogEvents implements AppliedListener, ReadReport {
    private final Catalog catalog;
    private final FreshnessGate gate;
    private final CatalogJobLog jobLog;
    private final JobRunner jobs;
    private final Runnable roomChanged;

    CatalogEvents(Catalog catalog, FreshnessGate gate, CatalogJobLog jobLog, JobRunner jobs, Runnable roomChanged) {
        this.catalog = catalog;
        this.gate = gate;
        this.jobLog = jobLog;
        this.jobs = jobs;
        this.roomChanged = roomChanged;
    }

    @Override
    public void applied(List<AppliedRecord> records) {
        records.forEach(record -> tell(record.result()));
        gate.onApplied(catalog.position());
    }

    @Override
    public void restored(long position) {
        configured(catalog.configuration());
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            int number = shard;
            catalog.shardClaim(shard).ifPresent(claim -> claimed(number, claim.epoch()));
            for (LoggedJob job : jobLog.jobs(shard)) {
                jobs.jobAdded(job);
            }
            for (LoggedJobState job : catalog.jobs(shard)) {
                if (job.cancelled()) {
                    jobs.jobCancelled(job.job().id());
                }
            }
        }
        gate.onApplied(position);
    }

    @Override
    public void readToEnd(long sentNanos, long position) {
        gate.onApplied(position);
        gate.onReadToEnd(sentNanos, position);
    }

    @Override
    public void readFailed(String reason) {
        gate.onReadFailed();
    }

    private void tell(ApplyResult result) {
        switch (result) {
            case ApplyResult.ConfigurationReplaced replaced -> configured(replaced.configuration());
            case ApplyResult.JobAdded added -> jobs.jobAdded(LoggedJob.newlyAccepted(added.job()));
            case ApplyResult.JobsCancelled cancelled -> cancelled.jobs().forEach(jobs::jobCancelled);
            case ApplyResult.ShardClaimAccepted taken ->
                claimed(taken.shard(), taken.claim().epoch());
            case ApplyResult.ConfigurationConflict _,
                    ApplyResult.JobAlreadyExists _,
                    ApplyResult.ShardClaimRejected _,
                    ApplyResult.TasksRecorded _,
                    ApplyResult.ReceiptsChecked _,
                    ApplyResult.SnapshotRecorded _,
                    ApplyResult.NoEffect _ -> {}
        }
    }

    private void configured(Configuration configuration) {
        Events.info("configuration-applied", "version", configuration.version(), "change", configuration.changeId());
        jobs.configured(configuration);
        roomChanged.run();
    }

    private void claimed(int shard, long epoch) {
        jobLog.claimRead(shard, epoch);
        jobs.shardClaimed(shard, epoch);
    }
}
