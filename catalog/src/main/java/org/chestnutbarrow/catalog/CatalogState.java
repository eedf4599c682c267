package org.chestnutbarrow.catalog;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;

/**
 * The whole state of a catalog at one position. Immutable; two catalogs that applied the same records have equal
 * states.
 *
 * @param position offset of the last record that it covers; -1 before any
 * @param configuration the configuration in force
 * @param changes newest changes of the configuration, oldest first
 * @param jobTime latest submission time seen, the clock by which ended jobs are dropped
 * @param receiptTime latest receipt time seen, the clock by which receipts are dropped
 * @param shards one entry for each job shard
 * @param receipts receipts by time and id
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
     * State of one job shard.
     *
     * @param claim the claim that stands
     * @param jobs jobs in order of acceptance
     * @param ended ids of ended jobs in the order in which they ended
     */
    public record ShardState(Optional<ShardClaim> claim, List<JobState> jobs, List<JobId> ended) {
        public ShardState {
            jobs = List.copyOf(jobs);
            ended = List.copyOf(ended);
        }
    }
}
