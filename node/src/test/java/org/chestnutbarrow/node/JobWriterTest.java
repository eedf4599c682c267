package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the three outcomes of an append: stored, not stored, unknown. */
public class JobWriterTest {
    private static final StateStore.Entry ENTRY = new StateStore.Entry("j/a", Optional.of(new byte[] {1}));

    private FakeStore store;
    private JobWriter writer;
    private Thread thread;

    @BeforeMethod
    public void begin() {
        store = new FakeStore();
        writer = new JobWriter(store, "test");
        thread = Thread.ofVirtual().start(writer::run);
    }

    @AfterMethod
    public void end() {
        thread.interrupt();
    }

    /** Guards against a refusal that is reported as unknown, which would keep the caller from coming back. */
    @Test
    public void aRefusedEntryIsNotStored() {
        store.fault(FakeStore.Fault.REFUSES);
        assertEquals(writer.append(ENTRY, Duration.ofSeconds(2)), JobService.Receipt.NOT_STORED);
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 0);
    }

    /** Guards against a job that is said not to run although it was stored. */
    @Test
    public void aLostAnswerIsUnknown() {
        store.fault(FakeStore.Fault.LOSES_ANSWERS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
    }

    /** Guards against a refusal of the repeat that hides the first try, and against a second record. */
    @Test
    public void aLostAnswerIsResolvedByTheRepeat() {
        store.fault(FakeStore.Fault.LOSES_ANSWERS);
        assertEquals(writer.append(ENTRY, Duration.ofMillis(200)), JobService.Receipt.UNKNOWN);
        store.fault(FakeStore.Fault.REFUSES);
        StateStore.Entry later = new StateStore.Entry("j/b", Optional.of(new byte[] {1}));
        assertEquals(
                writer.append(later, Duration.ofMillis(200)),
                JobService.Receipt.NOT_STORED,
                "an entry that was never sent is certainly not stored");
        store.fault(FakeStore.Fault.NONE);
        assertEquals(writer.append(later, Duration.ofSeconds(2)), JobService.Receipt.STORED);
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 2);
    }
}
