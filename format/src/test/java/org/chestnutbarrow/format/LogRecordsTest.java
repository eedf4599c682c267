package org.chestnutbarrow.format;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.ZoneState;
import org.testng.annotations.Test;

/** Tests that records survive encoding and decoding, and that corrupt records are skipped and counted. */
public class LogRecordsTest {
    private static final JobId JOB = new JobId("job");
    private static final DaemonId DAEMON = new DaemonId("d1");
    private static final AvailabilityZone ZONE = new AvailabilityZone("eger");
    private static final Instant TIME = Instant.parse("2026-01-01T00:00:00.123456789Z");

    private final LogRecords records = new LogRecords();

    @Test
    public void roundTripsEveryRecordType() throws Exception {
        Catalog catalog = new Catalog();
        List<LogRecord> all = everyRecordType();
        for (int i = 0; i < all.size(); i++) {
            LogRecords.Read read = (LogRecords.Read) records.decode(records.encode("id-" + i, all.get(i)));
            assertEquals(read, new LogRecords.Read("id-" + i, all.get(i)));
            catalog.apply(i, read.record());
        }
        byte[] data = records.encode("snapshot", records.snapshot(catalog.snapshot()));
        LogRecord decoded = ((LogRecords.Read) records.decode(data)).record();
        byte[] truncated = Arrays.copyOf(data, 5);
        assertTrue(new LogRecords().decode(truncated) instanceof LogRecords.Unreadable);
        assertEquals(records.state((LogRecord.Snapshot) decoded), catalog.snapshot());
    }

    @Test
    public void countsAndSkipsUnreadableRecords() {
        LogRecords counting = new LogRecords();
        byte[] valid = counting.encode("id", everyRecordType().getFirst());
        Random random = new Random(1);
        int unreadable = 0;
        for (int i = 0; i < 2000; i++) {
            byte[] corrupt = valid.clone();
            corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt(256);
            unreadable += counting.decode(corrupt) instanceof LogRecords.Unreadable ? 1 : 0;
        }
        for (String text :
                List.of("", "null", "[]", "{\"id\":\"a\",\"record\":{\"type\":\"new-kind\"}}", "{\"id\":\"a\"}")) {
            assertTrue(counting.decode(text.getBytes(StandardCharsets.UTF_8)) instanceof LogRecords.Unreadable, text);
            unreadable++;
        }
        assertEquals(counting.unreadable(), unreadable);
    }

    @Test
    public void rejectsCorruptSnapshot() {
        LogRecord.Snapshot valid = records.snapshot(new Catalog().snapshot());
        byte[] corrupt = valid.state().clone();
        corrupt[corrupt.length / 2] ^= 1;
        assertThrows(InvalidInputException.class, () -> records.state(new LogRecord.Snapshot(-1, corrupt)));
        assertThrows(InvalidInputException.class, () -> records.state(new LogRecord.Snapshot(5, valid.state())));
    }

    private static List<LogRecord> everyRecordType() {
        int shard = Job.shardOf(JOB);
        Resources demand = new Resources(0, 0, 500, 64, 1);
        Declarations declarations = new Declarations(new TreeMap<>(), new TreeMap<>(), new TreeSet<>(List.of(ZONE)));
        var end = new LogRecord.TaskEnd(
                new TaskId(JOB, 1), new Attempt(1, 2), TaskState.CHECKPOINTED, Optional.of(new CheckpointId("c")));
        var done = new LogRecord.TaskEnd(new TaskId(JOB, 70), new Attempt(1, 3), TaskState.FINISHED, Optional.empty());
        return List.of(
                new LogRecord.ConfigChanged("change", -1, "ildiko", declarations),
                new LogRecord.ZoneChanged("zone", 0, "ildiko", ZONE, ZoneState.OUT),
                new LogRecord.JobAccepted(
                        new Job(JOB, "work", "team", 80, demand, Duration.ofMillis(1500), Optional.of(TIME), TIME)),
                new LogRecord.ShardClaimed(shard, 1, DAEMON, 7),
                new LogRecord.TasksEnded(shard, 1, List.of(end, done)),
                new LogRecord.JobsCancelled(List.of(JOB)),
                new LogRecord.ReceiptsMade(DAEMON, 7, List.of(new LogRecord.Receipt("request", TIME))));
    }
}
