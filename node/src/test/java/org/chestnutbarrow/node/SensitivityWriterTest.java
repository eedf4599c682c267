package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.Sensitivity;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the storing of sensitivities beside the progress. */
public class SensitivityWriterTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private AtomicBoolean active;
    private FakeStore store;
    private JobReplica replica;

    @BeforeMethod
    public void setUp() {
        active = new AtomicBoolean(true);
        store = new FakeStore();
        replica = new JobReplica(new OffsetClock());
    }

    @AfterMethod
    public void stop() {
        active.set(false);
    }

    private SensitivityWriter start(long epoch) {
        SensitivityWriter writer = new SensitivityWriter(store, replica, epoch);
        Thread.ofVirtual().start(() -> writer.run(active::get));
        return writer;
    }

    private static List<Sensitivity> sensitivities(String image) {
        return List.of(new Sensitivity(image, "s", 1, 1));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "time is over");
            Thread.sleep(10);
        }
    }

    private void awaitStored(String image) throws InterruptedException {
        await(() -> replica.estimates().sensitivities().equals(sensitivities(image)));
    }

    /** Guards against sensitivities that are lost while the store refuses calls for a moment. */
    @Test
    public void storesLatestOnceTheStoreAnswers() throws InterruptedException {
        SensitivityWriter writer = start(1);
        store.fault(FakeStore.Fault.REFUSES);
        writer.submit(sensitivities("a"));
        Thread.sleep(150);
        writer.submit(sensitivities("b"));
        writer.submit(sensitivities("c"));
        store.fault(FakeStore.Fault.NONE);
        awaitStored("c");
        assertTrue(store.records(StateStore.Topic.PROGRESS).size() <= 2, "outdated sensitivities are stored");
    }

    /** Guards against a writer that repeats for ever what the store refuses for good. */
    @Test
    public void unstorableSensitivitiesAreDropped() throws InterruptedException {
        SensitivityWriter writer = start(1);
        store.maxRecordBytes(100);
        writer.submit(sensitivities("x".repeat(200)));
        await(() -> store.unstorableAppends() > 0);
        writer.submit(sensitivities("a"));
        awaitStored("a");
        assertEquals(store.unstorableAppends(), 1);
    }

    /** Guards against sensitivities of a former owner that replace those of the current one. */
    @Test
    public void formerOwnerStoresNothingAfterTheNextOne() throws InterruptedException {
        SensitivityWriter former = start(1);
        SensitivityWriter next = start(2);
        next.submit(sensitivities("next"));
        awaitStored("next");
        former.submit(sensitivities("former"));
        Thread.sleep(200);
        assertEquals(store.records(StateStore.Topic.PROGRESS).size(), 1);
    }
}
