package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/** Guards against serving a state with missing records, and against losing the state when records expire. */
public class LogFollowerTest {
    private static final DaemonId DAEMON = new DaemonId("d1");

    @Test
    public void appliesInOrderAndSkipsUnreadableRecords() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.append("a", node.records.encode("a", claim(0, 1)));
            log.append("b", new byte[] {1, 2, 3});
            log.append("c", node.records.encode("c", claim(0, 2)));
            FakeLog.await(() -> node.lastPositionRead.get() == 2);
            assertEquals(node.applied.stream().map(AppliedRecord::id).toList(), List.of("a", "c"));
            assertEquals(node.catalog.shardClaim(0).orElseThrow().epoch(), 2);
            assertEquals(node.records.unreadable(), 1);
        }
    }

    @Test
    public void waitsBetweenReadsInAnOutageAndResumesAfterIt() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.setReadsFail(true);
            FakeLog.await(() -> node.readFailures.get() > 0);
            int earlierReads = log.readCalls();
            long start = System.nanoTime();
            FakeLog.await(() -> node.readFailures.get() >= 5);
            long halfSeconds = (System.nanoTime() - start) / 500_000_000L + 1;
            assertTrue(log.readCalls() - earlierReads <= 6 * halfSeconds, "the follower read without a delay");
            assertFalse(node.follower.reachable());
            log.setReadsFail(false);
            log.append("a", node.records.encode("a", claim(3, 1)));
            FakeLog.await(() -> node.lastPositionRead.get() == 0);
            assertTrue(node.follower.reachable());
        }
    }

    @Test
    public void servesNothingFromALogWithAGapUntilAPeerFillsIt() throws Exception {
        FakeLog log = new FakeLog();
        Catalog expected = appendClaims(log, 10);
        log.expireBefore(5);
        try (LogNode node = new LogNode(log, "d1")) {
            node.follower.start();
            FakeLog.await(() -> node.readFailures.get() > 1);
            assertEquals(node.catalog.position(), -1);
            assertEquals(node.lastPositionRead.get(), -2);
            Catalog outdated = new Catalog();
            outdated.skip(0);
            node.peerSnapshot.set(node.records.snapshot(outdated.snapshot()));
            int earlierFailures = node.readFailures.get();
            FakeLog.await(() -> node.readFailures.get() > earlierFailures);
            assertEquals(node.catalog.position(), -1, "a snapshot that leaves a gap was restored");
            node.peerSnapshot.set(node.records.snapshot(expected.snapshot()));
            FakeLog.await(() -> node.lastPositionRead.get() == 9);
            assertEquals(node.catalog.snapshot(), expected.snapshot());
        }
    }

    @Test
    public void startsFromTheNewestUsableSnapshotInTheLog() throws Exception {
        FakeLog log = new FakeLog();
        Catalog expected = appendClaims(log, 6);
        var records = new LogRecords();
        LogRecord.Snapshot usable = records.snapshot(expected.snapshot());
        log.append("s", records.encode("s", usable));
        log.append("bad", records.encode("bad", new LogRecord.Snapshot(6, new byte[] {1})));
        expected.apply(6, usable);
        expected.skip(7);
        log.expireBefore(4);
        try (LogNode node = new LogNode(log, "d1").started()) {
            assertEquals(node.catalog.snapshot(), expected.snapshot());
            assertTrue(node.applied.stream().allMatch(record -> record.offset() >= 6));
        }
    }

    @Test
    public void writesASnapshotBeforeTheRecordsExpire() throws Exception {
        FakeLog log = new FakeLog();
        Catalog expected = appendClaims(log, 3);
        try (LogNode node = new LogNode(log, "d1").started();
                SnapshotWriter snapshots = new SnapshotWriter(
                        node.catalog,
                        node.records,
                        node.writer,
                        TimeSource.SYSTEM,
                        Duration.ofMillis(400),
                        node.follower::caughtUp,
                        new Random(1))) {
            snapshots.start();
            FakeLog.await(() -> node.lastPositionRead.get() >= 3);
            log.expireBefore(3);
            try (LogNode lateNode = new LogNode(log, "d2").started()) {
                assertEquals(lateNode.catalog.shardClaim(0), expected.shardClaim(0));
            }
        }
    }

    /** Appends claims of shard 0 and returns the resulting state. */
    private static Catalog appendClaims(FakeLog log, int count) throws Exception {
        var records = new LogRecords();
        Catalog catalog = new Catalog();
        for (int i = 0; i < count; i++) {
            LogRecord record = claim(0, i + 1);
            long offset = log.append("fill-" + i, records.encode("fill-" + i, record));
            catalog.apply(offset, record);
        }
        return catalog;
    }

    private static LogRecord claim(int shard, long epoch) {
        return new LogRecord.ShardClaimed(shard, epoch, DAEMON, 1);
    }
}
