package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.Test;

/** Guards against appending twice, against wrong results, and against more appends than the log can take. */
public class LogWriterTest {
    private static final DaemonId DAEMON = new DaemonId("d1");
    private static final Instant TIME = Instant.parse("2026-01-01T00:00:00Z");
    private static final GroupWriter.Bounds BOUNDS = new GroupWriter.Bounds(100, 10_000, 1000, Duration.ZERO);

    @Test
    public void resolvesALostAnswerFromTheLogWithoutASecondAppend() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.fault(FakeLog.Fault.LOSE_ANSWER);
            AppliedRecord written = node.writer.write(claim(1));
            assertTrue(written.result() instanceof ApplyResult.ShardTaken);
            assertEquals(log.appendCalls(), 1);
        }
    }

    @Test
    public void tellsTheLoserOfARaceWhoWon() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode one = new LogNode(log, "d1").started();
                LogNode two = new LogNode(log, "d2").started()) {
            one.writer.write(claim(1));
            var lost = (ApplyResult.ShardLost) two.writer.write(claim(1)).result();
            assertEquals(lost.holder().orElseThrow().daemon(), DAEMON);
        }
    }

    @Test
    public void reportsALostRecordAsUnknownAndARefusedOneAsNotRun() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1", Duration.ofMillis(200)).started()) {
            log.fault(FakeLog.Fault.LOSE_RECORD);
            assertThrows(OutcomeUnknownException.class, () -> node.writer.write(claim(1)));
            log.fault(FakeLog.Fault.REFUSE);
            assertThrows(NotRunException.class, () -> node.writer.write(claim(1)));
            assertEquals(log.appendCalls(), 2);
        }
    }

    @Test
    public void refusesAtOnceWhileTheLogIsDown() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.readsFail(true);
            FakeLog.await(() -> !node.follower.reachable());
            assertThrows(NotRunException.class, () -> node.writer.write(claim(1)));
            GroupWriter<LogRecord.Receipt> group = receipts(node, BOUNDS);
            var error = expectThrows(
                    ExecutionException.class, () -> group.write(receipt("a")).get());
            assertTrue(error.getCause() instanceof NotRunException);
            assertEquals(log.appendCalls(), 0);
        }
    }

    @Test
    public void putsWhatArrivesDuringAnAppendIntoTheNextWithinTheBounds() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            GroupWriter<LogRecord.Receipt> group = receipts(node, BOUNDS);
            log.fault(FakeLog.Fault.HOLD);
            List<CompletableFuture<GroupWriter.Written>> results = new ArrayList<>();
            results.add(group.write(receipt("first")));
            FakeLog.await(() -> log.appendCalls() == 1);
            for (int i = 0; i < 250; i++) {
                results.add(group.write(receipt("r" + i)));
            }
            log.fault(FakeLog.Fault.LOSE_ANSWER);
            results.forEach(CompletableFuture::join);
            assertEquals(log.appendCalls(), 4, "1 entry, then 100, 100 and 50");
            assertTrue(results.stream().allMatch(result -> first(result.join())));
        }
    }

    @Test
    public void keepsRecordsWithinTheirBytesAndTheQueueWithinItsBound() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            var bounds = new GroupWriter.Bounds(100, 450, 10, Duration.ofMillis(1));
            GroupWriter<LogRecord.Receipt> group = receipts(node, bounds);
            log.fault(FakeLog.Fault.HOLD);
            var head = group.write(receipt("head"));
            FakeLog.await(() -> log.appendCalls() == 1);
            List<CompletableFuture<GroupWriter.Written>> results = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                results.add(group.write(receipt("r" + i)));
            }
            var refused = expectThrows(
                    CompletionException.class,
                    () -> group.write(receipt("full")).join());
            assertTrue(refused.getCause() instanceof NotRunException);
            log.fault(FakeLog.Fault.NONE);
            head.join();
            results.forEach(CompletableFuture::join);
            assertEquals(log.appendCalls(), 4, "1 entry, then 4, 4 and 2 of 100 bytes each");
        }
    }

    @Test
    public void letsOneOfTwoEqualReceiptsInOneRecordWin() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            GroupWriter<LogRecord.Receipt> group = receipts(node, BOUNDS);
            log.fault(FakeLog.Fault.HOLD);
            var head = group.write(receipt("head"));
            FakeLog.await(() -> log.appendCalls() == 1);
            var one = group.write(receipt("same"));
            var two = group.write(receipt("same"));
            log.fault(FakeLog.Fault.NONE);
            assertTrue(first(head.join()));
            assertTrue(first(one.join()) != first(two.join()), "both or neither may send the request");
        }
    }

    private static GroupWriter<LogRecord.Receipt> receipts(LogNode node, GroupWriter.Bounds bounds) {
        return new GroupWriter<>(
                node.writer, group -> new LogRecord.ReceiptsMade(DAEMON, 1, group), receipt -> 100, bounds);
    }

    private static boolean first(GroupWriter.Written written) {
        var judged = (ApplyResult.ReceiptsJudged) written.record().result();
        return judged.verdicts().get(written.index()) instanceof ApplyResult.ReceiptVerdict.First;
    }

    private static LogRecord.Receipt receipt(String id) {
        return new LogRecord.Receipt(id, TIME);
    }

    private static LogRecord claim(long epoch) {
        return new LogRecord.ShardClaimed(0, epoch, DAEMON, 1);
    }
}
