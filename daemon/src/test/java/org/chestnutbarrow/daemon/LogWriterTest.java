package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.Test;

/** Guards against appending twice, against wrong results, and against more appends than the log can take. */
public class LogWriterTest {
    private static final DaemonId DAEMON = new DaemonId("d1");
    private static final Instant TIME = Instant.parse("2026-01-01T00:00:00Z");
    private static final GroupCommitWriter.Limits BOUNDS =
            new GroupCommitWriter.Limits(100, 10_000, 1000, Duration.ZERO);

    @Test
    public void resolvesALostAnswerFromTheLogWithoutASecondAppend() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.setFault(FakeLog.Fault.LOSE_ANSWER);
            AppliedRecord written = node.writer.write(claim(1));
            assertTrue(written.result() instanceof ApplyResult.ShardClaimAccepted);
            assertEquals(log.appendCalls(), 1);
        }
    }

    @Test
    public void tellsTheLoserOfARaceWhoWon() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode one = new LogNode(log, "d1").started();
                LogNode two = new LogNode(log, "d2").started()) {
            one.writer.write(claim(1));
            var lost =
                    (ApplyResult.ShardClaimRejected) two.writer.write(claim(1)).result();
            assertEquals(lost.holder().orElseThrow().daemon(), DAEMON);
        }
    }

    @Test
    public void reportsALostRecordAsUnknownAndARefusedOneAsNotRun() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1", Duration.ofMillis(200)).started()) {
            log.setFault(FakeLog.Fault.LOSE_RECORD);
            assertThrows(OutcomeUnknownException.class, () -> node.writer.write(claim(1)));
            log.setFault(FakeLog.Fault.REFUSE);
            assertThrows(NotRunException.class, () -> node.writer.write(claim(1)));
            assertEquals(log.appendCalls(), 2);
        }
    }

    @Test
    public void refusesAtOnceWhileTheLogIsDown() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            log.setReadsFail(true);
            FakeLog.await(() -> !node.follower.reachable());
            assertThrows(NotRunException.class, () -> node.writer.write(claim(1)));
            GroupCommitWriter<LogRecord.Receipt> group = receipts(node, BOUNDS);
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
            GroupCommitWriter<LogRecord.Receipt> group = receipts(node, BOUNDS);
            log.setFault(FakeLog.Fault.BLOCK);
            List<CompletableFuture<GroupCommitWriter.WrittenEntry>> results = new ArrayList<>();
            results.add(group.write(receipt("first")));
            FakeLog.await(() -> log.appendCalls() == 1);
            for (int i = 0; i < 250; i++) {
                results.add(group.write(receipt("r" + i)));
            }
            log.setFault(FakeLog.Fault.LOSE_ANSWER);
            results.forEach(CompletableFuture::join);
            assertEquals(log.appendCalls(), 4, "1 entry, then 100, 100 and 50");
            assertTrue(results.stream().allMatch(result -> first(result.join())));
        }
    }

    @Test
    public void keepsRecordsWithinTheirBytesAndTheQueueWithinItsBound() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            var bounds = new GroupCommitWriter.Limits(100, 450, 10, Duration.ofMillis(1));
            GroupCommitWriter<LogRecord.Receipt> group = receipts(node, bounds);
            log.setFault(FakeLog.Fault.BLOCK);
            var head = group.write(receipt("head"));
            FakeLog.await(() -> log.appendCalls() == 1);
            List<CompletableFuture<GroupCommitWriter.WrittenEntry>> results = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                results.add(group.write(receipt("r" + i)));
            }
            var refused = expectThrows(
                    CompletionException.class,
                    () -> group.write(receipt("full")).join());
            assertTrue(refused.getCause() instanceof NotRunException);
            log.setFault(FakeLog.Fault.NONE);
            head.join();
            results.forEach(CompletableFuture::join);
            assertEquals(log.appendCalls(), 4, "1 entry, then 4, 4 and 2 of 100 bytes each");
        }
    }

    @Test
    public void letsOneOfTwoEqualReceiptsInOneRecordWin() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            GroupCommitWriter<LogRecord.Receipt> group = receipts(node, BOUNDS);
            log.setFault(FakeLog.Fault.BLOCK);
            var head = group.write(receipt("head"));
            FakeLog.await(() -> log.appendCalls() == 1);
            var one = group.write(receipt("same"));
            var two = group.write(receipt("same"));
            log.setFault(FakeLog.Fault.NONE);
            assertTrue(first(head.join()));
            assertTrue(first(one.join()) != first(two.join()), "both or neither may send the request");
        }
    }

    @Test
    public void agreesWithTheLogOnEveryWriteWhileItFailsAtRandom() throws Exception {
        FakeLog log = new FakeLog();
        List<FakeLog.Fault> faults =
                List.of(FakeLog.Fault.NONE, FakeLog.Fault.LOSE_ANSWER, FakeLog.Fault.LOSE_RECORD, FakeLog.Fault.REFUSE);
        Map<String, String> told = new ConcurrentHashMap<>();
        try (LogNode node = new LogNode(log, "d1", Duration.ofSeconds(2)).started()) {
            try (var threads = Executors.newVirtualThreadPerTaskExecutor()) {
                for (int i = 0; i < 200; i++) {
                    JobId id = new JobId("job-" + i / 2);
                    String write = id + "/" + i % 2;
                    Random random = new Random(i);
                    threads.execute(() -> {
                        log.setFault(faults.get(random.nextInt(faults.size())));
                        told.put(write, tell(node, id));
                    });
                }
            }
            for (int i = 0; i < 100; i++) {
                List<String> pair = List.of(told.get("job-" + i + "/0"), told.get("job-" + i + "/1"));
                boolean stands = node.catalog.job(new JobId("job-" + i)).isPresent();
                assertEquals(stands, pair.contains("JobAdded"), "job-" + i + " " + pair);
                assertTrue(Collections.frequency(pair, "JobAdded") <= 1, "job-" + i + " " + pair);
            }
            long ids = node.seen.stream().map(AppliedRecord::id).distinct().count();
            assertEquals(ids, node.seen.size(), "a record was appended twice");
        }
    }

    private static String tell(LogNode node, JobId id) {
        Job job = new Job(id, "work", "team", 1, Resources.NONE, Duration.ZERO, Optional.empty(), TIME);
        try {
            return node.writer
                    .write(new LogRecord.JobAccepted(job))
                    .result()
                    .getClass()
                    .getSimpleName();
        } catch (NotRunException | OutcomeUnknownException e) {
            return e.getClass().getSimpleName();
        }
    }

    private static GroupCommitWriter<LogRecord.Receipt> receipts(LogNode node, GroupCommitWriter.Limits bounds) {
        return new GroupCommitWriter<>(
                node.writer, group -> new LogRecord.ReceiptsMade(DAEMON, 1, group), receipt -> 100, bounds);
    }

    private static boolean first(GroupCommitWriter.WrittenEntry written) {
        var judged = (ApplyResult.ReceiptsChecked) written.record().result();
        return judged.outcomes().get(written.index()) instanceof ApplyResult.ReceiptOutcome.Accepted;
    }

    private static LogRecord.Receipt receipt(String id) {
        return new LogRecord.Receipt(id, TIME);
    }

    private static LogRecord claim(long epoch) {
        return new LogRecord.ShardClaimed(0, epoch, DAEMON, 1);
    }
}
