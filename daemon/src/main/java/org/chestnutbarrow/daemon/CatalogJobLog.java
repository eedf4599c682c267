package org.chestnutbarrow.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.JobState;
import org.chestnutbarrow.catalog.ShardClaim;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.placement.LoggedJob;

/** Reads jobs and claims from the catalog and appends claims and ends to the log. Safe for use by several threads. */
final class CatalogJobLog implements JobLog {
    private final DaemonId self;
    private final long incarnation;
    private final Catalog catalog;
    private final LogWriter writer;
    private final TimeSource time;
    private final Map<ShardEpoch, Long> claimReadTimes = new ConcurrentHashMap<>();

    CatalogJobLog(DaemonId self, long incarnation, Catalog catalog, LogWriter writer, TimeSource time) {
        this.self = self;
        this.incarnation = incarnation;
        this.catalog = catalog;
        this.writer = writer;
        this.time = time;
    }

    private record ShardEpoch(int shard, long epoch) {}

    @Override
    public Claim latestClaim(int shard) {
        Optional<ShardClaim> claim = catalog.shardClaim(shard);
        if (claim.isEmpty()) {
            return new Claim(0, false, "", time.nanos());
        }
        long epoch = claim.get().epoch();
        long firstReadAt = claimReadTimes.computeIfAbsent(new ShardEpoch(shard, epoch), _ -> time.nanos());
        return new Claim(epoch, isOwn(claim.get()), claim.get().daemon().value(), firstReadAt);
    }

    /** Records the time at which a claim was read; the wait for the expiry of earlier leases starts at this time. */
    void onClaimRead(int shard, long epoch) {
        claimReadTimes.computeIfAbsent(new ShardEpoch(shard, epoch), _ -> time.nanos());
        claimReadTimes.remove(new ShardEpoch(shard, epoch - 1));
    }

    @Override
    public boolean tryClaim(int shard, long epoch) throws NotRunException, OutcomeUnknownException {
        AppliedRecord applied = writer.write(new LogRecord.ShardClaimed(shard, epoch, self, incarnation));
        return applied.result() instanceof ApplyResult.ShardClaimAccepted accepted && isOwn(accepted.claim());
    }

    @Override
    public List<LoggedJob> unfinishedJobs(int shard) {
        List<LoggedJob> jobs = new ArrayList<>();
        for (JobState state : catalog.jobs(shard)) {
            if (!state.allTasksFinished()) {
                jobs.add(toLoggedJob(state));
            }
        }
        return jobs;
    }

    @Override
    public void appendEnds(int shard, long epoch, List<TaskEnd> ends) throws NotRunException, OutcomeUnknownException {
        AppliedRecord applied = writer.write(new LogRecord.TasksEnded(shard, epoch, ends));
        // If ignored ends counted as recorded, the workers would forget them and the tasks would run again.
        if (!(applied.result() instanceof ApplyResult.TasksRecorded)) {
            throw new NotRunException(
                    "epoch " + epoch + " of shard " + shard + " was superseded",
                    "the new owner of the shard records them");
        }
    }

    private boolean isOwn(ShardClaim claim) {
        return claim.daemon().equals(self) && claim.incarnation() == incarnation;
    }

    private static LoggedJob toLoggedJob(JobState state) {
        List<TaskEnd> ends = new ArrayList<>();
        state.unfinished()
                .forEach((index, progress) -> ends.add(new TaskEnd(
                        new TaskId(state.job().id(), index),
                        progress.attempt(),
                        progress.state(),
                        progress.resumeFrom())));
        return new LoggedJob(state.job(), state.cancelled(), state.finished().bits(), ends);
    }
}
