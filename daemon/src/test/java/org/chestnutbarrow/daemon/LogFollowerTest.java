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

/** Guards against serving from a state with gaps, and against losing the state when records expire. */
public class LogFollowerTest {
    private static final DaemonId DAEMON = new DaemonId("d1");

    @Test
    public void appliesInOrderAndPassesOverWhatItCannotRead() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.append("a", node.records.encode("a", claim(0, 1)));
            log.append("b", new byte[] {1, 2, 3});
            log.append("c", node.records.encode("c", claim(0, 2)));
            FakeLog.await(() -> node.endSeen.get() == 2);
            assertEquals(node.seen.stream().map(AppliedRecord::id).toList(), List.of("a", "c"));
            assertEquals(node.catalog.shardClaim(0).orElseThrow().epoch(), 2);
            assertEquals(node.records.unreadable(), 1);
        }
    }

    @Test
    public void waitsBetweenReadsInAnOutageAndGoesOnAfterIt() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.setReadsFail(true);
            FakeLog.await(() -> node.failures.get() > 0);
            int before = log.readCalls();
            long start = System.nanoTime();
            FakeLog.await(() -> node.failures.get() >= 5);
            long halfSeconds = (System.nanoTime() - start) / 500_000_000L + 1;
            assertTrue(log.readCalls() - before <= 6 * halfSeconds, "reads without waiting");
            assertFalse(node.follower.reachable());
            log.setReadsFail(false);
            log.append("a", node.records.encode("a", claim(3, 1)));
            FakeLog.await(() -> node.endSeen.get() == 0);
            assertTrue(node.follower.reachable());
        }
    }

    @Test
    public void servesNothingFromALogWithAGapUntilAPeerFillsIt() throws Exception {
        FakeLog log = new FakeLog();
        Catalog whole = fill(log, 10);
        log.expireBefore(5);
        try (LogNode node = new LogNode(log, "d1")) {
            node.follower.start();
            FakeLog.await(() -> node.failures.get() > 1);
            assertEquals(node.catalog.position(), -1);
            assertEquals(node.endSeen.get(), -2);
            Catalog old = new Catalog();
            old.skip(0);
            node.peer.set(node.records.snapshot(old.snapshot()));
            int failures = node.failures.get();
            FakeLog.await(() -> node.failures.get() > failures);
            assertEquals(node.catalog.position(), -1, "a snapshot that leaves a gap was used");
            node.peer.set(node.records.snapshot(whole.snapshot()));
            FakeLog.await(() -> node.endSeen.get() == 9);
            assertEquals(node.catalog.snapshot(), whole.snapshot());
        }
    }

    @Test
    public void startsFromTheNewestUsableSnapshotInTheLog() throws Exception {
        FakeLog log = new FakeLog();
        Catalog whole = fill(log, 6);
        var records = new LogRecords();
        LogRecord.Snapshot good = records.snapshot(whole.snapshot());
        log.append("s", records.encode("s", good));
        log.append("bad", records.encode("bad", new LogRecord.Snapshot(6, new byte[] {1})));
        whole.apply(6, good);
        whole.skip(7);
        log.expireBefore(4);
        try (LogNode node = new LogNode(log, "d1").started()) {
            assertEquals(node.catalog.snapshot(), whole.snapshot());
            assertTrue(node.seen.stream().allMatch(record -> record.offset() >= 6));
        }
    }

    @Test
    public void writesASnapshotBeforeTheRecordsExpire() throws Exception {
        FakeLog log = new FakeLog();
        Catalog whole = fill(log, 3);
        try (LogNode node = new LogNode(log, "d1").started();
                Snapshots snapshots = new Snapshots(
                        node.catalog,
                        node.records,
                        node.writer,
                        TimeSource.SYSTEM,
                        Duration.ofMillis(400),
                        node.follower::caughtUp,
                        new Random(1))) {
            snapshots.start();
            FakeLog.await(() -> node.endSeen.get() >= 3);
            log.expireBefore(3);
            try (LogNode late = new LogNode(log, "d2").started()) {
                assertEquals(late.catalog.shardClaim(0), whole.shardClaim(0));
            }
        }
    }

    /** Appends claims of shard 0 and returns the state that follows from them. */
    private static Catalog fill(FakeLog log, int count) throws Exception {
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
