package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the three outcomes of an append: stored, not stored and unknown. */
public class JobWriterTest {
    private static final StateStore.Entry ENTRY = new StateStore.Entry("j/a", Optional.of(new byte[] {1}));

    private final OffsetClock clock = new OffsetClock();
    private FakeStore store;
    private JobWriter writer;
    private Thread thread;

    @BeforeMethod
    public void startWriter() {
        store = new FakeStore();
        writer = new JobWriter(store, "test", clock);
        thread = Thread.ofVirtual().start(writer::run);
    }

    @AfterMethod
    public void stopWriter() {
        thread.interrupt();
    }

    /** A refused append must not be reported as unknown, because the caller would not submit the entry again. */
    @Test
    public void refusedEntryIsNotStored() {
        store.fault(FakeStore.Fault.REFUSES);
        assertEquals(writer.append(ENTRY, Duration.ofSeconds(2)), JobService.Receipt.NOT_STORED);
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 0);
    }

    /** An entry that was stored must not be reported as not stored when the answer is lost. */
    @Test
    public void lostAnswerIsUnknown() {
        store.fault(FakeStore.Fault.LOSES_ANSWERS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
    }

    /**
     * The refusal of a repeated append must not hide the first attempt, and a repeat must not store a second record.
     */
    @Test
    public void lostAnswerIsResolvedByRepeat() {
        store.fault(FakeStore.Fault.LOSES_ANSWERS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
        store.fault(FakeStore.Fault.REFUSES);
        StateStore.Entry secondEntry = new StateStore.Entry("j/b", Optional.of(new byte[] {1}));
        assertEquals(
                writer.append(secondEntry, Duration.ofMillis(200)),
                JobService.Receipt.NOT_STORED,
                "an entry that was never sent is certainly not stored");
        store.fault(FakeStore.Fault.NONE);
        assertEquals(writer.append(secondEntry, Duration.ofSeconds(2)), JobService.Receipt.STORED);
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 2);
    }

    /** Entries of several callers must not form an append that is larger than the store accepts. */
    @Test
    public void largeEntriesAreAppendedSeparately() throws InterruptedException {
        store.fault(FakeStore.Fault.LOSES_ANSWERS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            StateStore.Entry large =
                    new StateStore.Entry("j/large-" + i, Optional.of(new byte[JobWriter.MAX_ENTRY_BYTES]));
            callers.add(Thread.ofVirtual().start(() -> writer.append(large, Duration.ofSeconds(5))));
        }
        Thread.sleep(200);
        store.fault(FakeStore.Fault.NONE);
        for (Thread caller : callers) {
            caller.join();
        }
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 5);
        assertTrue(
                store.largestAppendBytes() <= SequencedWriter.MAX_CHUNK_BYTES, store.largestAppendBytes() + " bytes");
    }

    /**
     * An append without an answer must not be repeated for ever, because the cancellation of its job is kept for a
     * limited time. An attempt that the store carries out late must not take effect after later appends.
     */
    @Test
    public void appendIsNotRepeatedForever() throws InterruptedException, NotRunException, OutcomeUnknownException {
        store.fault(FakeStore.Fault.DELAYS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
        clock.advance(JobWriter.MAX_REPEAT_TIME);
        Thread.sleep(300);
        store.fault(FakeStore.Fault.NONE);
        StateStore.Entry secondEntry = new StateStore.Entry("j/b", Optional.of(new byte[] {1}));
        assertEquals(writer.append(secondEntry, Duration.ofSeconds(2)), JobService.Receipt.STORED);
        store.applyDelayed();
        assertEquals(store.records(StateStore.Topic.JOBS), List.of(secondEntry));
    }

    /**
     * Guards against an entry that is stored when its job has ended and is removed, because the process was suspended
     * while the entry waited.
     */
    @Test
    public void entryThatHasWaitedForLongIsNotAppended() throws InterruptedException, ExecutionException {
        store.fault(FakeStore.Fault.DELAYS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
        StateStore.Entry second = new StateStore.Entry("j/b", Optional.of(new byte[] {1}));
        CompletableFuture<JobService.Receipt> receipt =
                CompletableFuture.supplyAsync(() -> writer.append(second, Duration.ofSeconds(5)));
        Thread.sleep(200);
        clock.advance(JobWriter.MAX_REPEAT_TIME.plusSeconds(1));
        Thread.sleep(300);
        store.fault(FakeStore.Fault.NONE);
        assertEquals(receipt.get(), JobService.Receipt.NOT_STORED);
        assertEquals(store.records(StateStore.Topic.JOBS), List.of());
    }

    /**
     * Guards against callers that get no answer because the store refuses the entry of another caller for good, and that
     * entry is repeated together with theirs.
     */
    @Test
    public void unstorableEntryDoesNotHoldBackOthers() throws InterruptedException, ExecutionException {
        store.maxRecordBytes(100);
        store.fault(FakeStore.Fault.LOSES_ANSWERS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
        List<CompletableFuture<JobService.Receipt>> receipts = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            StateStore.Entry queued = new StateStore.Entry("j/" + i, Optional.of(new byte[i == 2 ? 200 : 10]));
            receipts.add(CompletableFuture.supplyAsync(
                    () -> writer.append(queued, Duration.ofSeconds(5)), Executors.newVirtualThreadPerTaskExecutor()));
        }
        Thread.sleep(200);
        store.fault(FakeStore.Fault.NONE);
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    receipts.get(i).get(),
                    i == 2 ? JobService.Receipt.UNSTORABLE : JobService.Receipt.STORED,
                    "entry " + i);
        }
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 5);
    }
}
