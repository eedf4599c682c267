package org.chestnutbarrow.catalog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.catalog.ApplyResult.ReceiptOutcome;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.ZoneState;
import org.testng.annotations.Test;

/** Guards against records that take effect although they are outdated, repeated or conflicting. */
public class CatalogTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final DaemonId DAEMON = new DaemonId("d1");
    private static final JobId JOB = new JobId("job");

    private final Catalog catalog = new Catalog();

    @Test
    public void reportsTheConflictingChangeOfTheSameBaseVersion() {
        TreeSet<AvailabilityZone> zones = new TreeSet<>(List.of(RandomRecords.ZONE));
        Declarations declarations = new Declarations(new TreeMap<>(), new TreeMap<>(), zones);
        Catalog freshCatalog = new Catalog();
        freshCatalog.apply(0, new LogRecord.ConfigChanged("first", -1, "ildiko", declarations));
        freshCatalog.apply(1, new LogRecord.ZoneChanged("second", 0, "peter", RandomRecords.ZONE, ZoneState.OUT));
        var conflicting = new LogRecord.ConfigChanged("third", -1, "zoltan", declarations);
        assertEquals(
                freshCatalog.apply(2, conflicting),
                new ApplyResult.ConfigurationConflict(new ConfigChange("first", "ildiko", -1, 0)));
        assertFalse(freshCatalog.configuration().startsAllowed(RandomRecords.ZONE));
        assertEquals(freshCatalog.configuration().version(), 1);
    }

    @Test
    public void rejectsAGapAndIgnoresARepeatedRecord() {
        Catalog freshCatalog = new Catalog();
        LogRecord record = new LogRecord.JobAccepted(RandomRecords.job(JOB, START));
        assertThrows(IllegalArgumentException.class, () -> freshCatalog.apply(1, record));
        freshCatalog.skip(0);
        freshCatalog.apply(1, record);
        assertTrue(freshCatalog.apply(1, record) instanceof ApplyResult.NoEffect);
        assertEquals(freshCatalog.position(), 1);
    }

    @Test
    public void removesEndedJobsAfterTheirRetentionButNeverOpenOnes() {
        Catalog freshCatalog = new Catalog();
        freshCatalog.apply(0, new LogRecord.JobAccepted(RandomRecords.job(JOB, START)));
        freshCatalog.apply(1, new LogRecord.JobAccepted(RandomRecords.job(sameShard(1), START)));
        freshCatalog.apply(2, new LogRecord.JobsCancelled(List.of(JOB)));
        Instant beforeExpiry = START.plus(CatalogShard.ENDED_RETENTION);
        freshCatalog.apply(3, new LogRecord.JobAccepted(RandomRecords.job(JOB, beforeExpiry)));
        assertTrue(freshCatalog.job(JOB).orElseThrow().cancelled(), "submission was not idempotent");
        freshCatalog.apply(4, new LogRecord.JobAccepted(RandomRecords.job(sameShard(2), beforeExpiry.plusSeconds(1))));
        assertTrue(freshCatalog.job(JOB).isEmpty());
        assertTrue(freshCatalog.job(sameShard(1)).isPresent());
    }

    @Test
    public void ignoresEndsUnderAnOlderEpoch() {
        int shard = Job.shardOf(JOB);
        catalog.apply(0, new LogRecord.JobAccepted(RandomRecords.job(JOB, START)));
        catalog.apply(1, new LogRecord.ShardClaimed(shard, 1, DAEMON, 1));
        catalog.apply(2, new LogRecord.ShardClaimed(shard, 2, DAEMON, 2));
        var end = new LogRecord.TaskEnd(new TaskId(JOB, 0), new Attempt(1, 1), TaskState.FINISHED, Optional.empty());
        ApplyResult result = catalog.apply(3, new LogRecord.TasksEnded(shard, 1, List.of(end)));
        assertTrue(result instanceof ApplyResult.NoEffect);
        catalog.apply(4, new LogRecord.TasksEnded(shard, 2, List.of(end)));
        assertFalse(catalog.job(JOB).orElseThrow().startAllowed(0));
    }

    @Test
    public void neverAcceptsARequestTwiceEvenAfterItsReceiptWasRemoved() {
        Catalog freshCatalog = new Catalog();
        String id = START.toEpochMilli() + "-a";
        assertEquals(outcome(freshCatalog, 0, id, START), new ReceiptOutcome.Accepted(id));
        assertTrue(
                outcome(freshCatalog, 1, id, START.plus(Duration.ofMinutes(14))) instanceof ReceiptOutcome.Duplicate);
        assertTrue(
                outcome(freshCatalog, 2, id, START.plus(Duration.ofMinutes(16))) instanceof ReceiptOutcome.OutOfWindow);
        assertTrue(freshCatalog.receipt(id).isEmpty());
    }

    private static ReceiptOutcome outcome(Catalog catalog, long offset, String id, Instant taken) {
        var receipts = new LogRecord.ReceiptsMade(DAEMON, 1, List.of(new LogRecord.Receipt(id, taken)));
        return ((ApplyResult.ReceiptsChecked) catalog.apply(offset, receipts))
                .outcomes()
                .getFirst();
    }

    /** Returns the n-th other job id in the shard of {@link #JOB}. */
    private static JobId sameShard(int n) {
        int found = 0;
        for (int i = 0; ; i++) {
            JobId id = new JobId("other-" + i);
            if (Job.shardOf(id) == Job.shardOf(JOB) && ++found == n) {
                return id;
            }
        }
    }
}
