package org.chestnutbarrow.daemon;

import java.util.List;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.JobState;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.membership.FreshnessGate;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.placement.LoggedJob;

/**
 * Notifies the other components of the changes that log records made to the catalog. Called on the follower's thread;
 * does not block.
 */
final class CatalogEventDispatcher implements AppliedListener, ReadReport {
    private final Catalog catalog;
    private final FreshnessGate gate;
    private final CatalogJobLog jobLog;
    private final PlacementExecutor placementExecutor;
    private final Runnable capacityChanged;

    CatalogEventDispatcher(
            Catalog catalog,
            FreshnessGate gate,
            CatalogJobLog jobLog,
            PlacementExecutor placementExecutor,
            Runnable capacityChanged) {
        this.catalog = catalog;
        this.gate = gate;
        this.jobLog = jobLog;
        this.placementExecutor = placementExecutor;
        this.capacityChanged = capacityChanged;
    }

    @Override
    public void onApplied(List<AppliedRecord> records) {
        records.forEach(record -> dispatch(record.result()));
        gate.onApplied(catalog.position());
    }

    @Override
    public void onRestored(long position) {
        onConfiguration(catalog.configuration());
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            int shardIndex = shard;
            catalog.shardClaim(shard).ifPresent(claim -> onShardClaimed(shardIndex, claim.epoch()));
            for (LoggedJob job : jobLog.unfinishedJobs(shard)) {
                placementExecutor.onJobAdded(job);
            }
            for (JobState job : catalog.jobs(shard)) {
                if (job.cancelled()) {
                    placementExecutor.onJobCancelled(job.job().id());
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

    private void dispatch(ApplyResult result) {
        switch (result) {
            case ApplyResult.ConfigurationReplaced replaced -> onConfiguration(replaced.configuration());
            case ApplyResult.JobAdded added -> placementExecutor.onJobAdded(LoggedJob.newlyAccepted(added.job()));
            case ApplyResult.JobsCancelled cancelled -> cancelled.jobs().forEach(placementExecutor::onJobCancelled);
            case ApplyResult.ShardClaimAccepted accepted ->
                onShardClaimed(accepted.shard(), accepted.claim().epoch());
            case ApplyResult.ConfigurationConflict _,
                    ApplyResult.JobAlreadyExists _,
                    ApplyResult.ShardClaimRejected _,
                    ApplyResult.TasksRecorded _,
                    ApplyResult.ReceiptsChecked _,
                    ApplyResult.SnapshotRecorded _,
                    ApplyResult.NoEffect _ -> {}
        }
    }

    private void onConfiguration(Configuration configuration) {
        Events.info("configuration-applied", "version", configuration.version(), "change", configuration.changeId());
        placementExecutor.onConfigurationChanged(configuration);
        capacityChanged.run();
    }

    private void onShardClaimed(int shard, long epoch) {
        jobLog.onClaimRead(shard, epoch);
        placementExecutor.onShardClaimed(shard, epoch);
    }
}
