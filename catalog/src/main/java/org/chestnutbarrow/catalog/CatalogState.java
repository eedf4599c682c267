package org.chestnutbarrow.catalog;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;

/**
 * The complete state of a catalog at one log position. Immutable. Two catalogs that have applied the same records have
 * equal states.
 *
 * @param position offset of the last record included in the state; -1 if none
 * @param configuration effective configuration
 * @param changes newest configuration changes, oldest first
 * @param jobTime latest submission time seen; the clock for removing ended jobs
 * @param receiptTime latest receipt time seen; the clock for removing receipts
 * @param shards one entry for each job shard
 * @param receipts receipts ordered by time and request id
 */
public record CatalogState(
        long position,
        Configuration configuration,
        List<ConfigChange> changes,
        Instant jobTime,
        Instant receiptTime,
        List<ShardState> shards,
        List<ReceiptState> receipts) {
    public CatalogState {
        changes = List.copyOf(changes);
        shards = List.copyOf(shards);
        receipts = List.copyOf(receipts);
        Checks.require(shards.size() == Job.SHARDS, "catalog state needs " + Job.SHARDS + " shards");
    }

    /**
     * The state of one job shard.
     *
     * @param claim effective claim of the shard
     * @param jobs jobs in the order of acceptance
     * @param ended ids of the ended jobs in the order in which they ended
     */
    public record ShardState(Optional<ShardClaim> claim, List<LoggedJobState> jobs, List<JobId> ended) {
        public ShardState {
            jobs = List.copyOf(jobs);
            ended = List.copyOf(ended);
        }
    }
}
