package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs nodes against a store and workers in memory. */
public class NodeTest {
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final Duration WITHIN = Duration.ofSeconds(5);
    private static final RecordCodec CODEC = new RecordCodec() {
        @Override
        public ControlState control(Map<String, byte[]> records, ControlState before) {
            return new ControlState(records.size(), Map.of(QUEUE.key(), QUEUE), Set.of());
        }

        @Override
        public Optional<WorkerEntry> worker(String key, byte[] value) {
            return Optional.of(new WorkerEntry(
                    new WorkerId(key),
                    1,
                    new Address("127.0.0.1", 1),
                    "service",
                    new AvailabilityZone("zone"),
                    Set.of(),
                    new Resources(0, 0, 8000, 16000, 0),
                    false));
        }
    };

    private FakeStore store;
    private FakeWorkers workers;

    @BeforeMethod
    public void begin() {
        store = new FakeStore();
        workers = new FakeWorkers();
    }

    private static JobSpec job(String id) {
        Step step = new Step(
                2,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        return new JobSpec(new JobId(id), QUEUE, Instant.now(), "payload", List.of(step));
    }

    private Node start(String name) {
        return Node.start(
                new NodeSettings(name, Duration.ofMillis(300), Duration.ofSeconds(6)),
                store,
                workers,
                CODEC,
                TimeSource.SYSTEM);
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + WITHIN.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(10);
        }
    }

    private static JobState state(Node node, JobId id) {
        try {
            return node.state(id).orElseThrow();
        } catch (NotRunException e) {
            throw new AssertionError("the store in memory always answers", e);
        }
    }

    /** Guards against owners that change whenever a node joins, which stops all placement for a moment each time. */
    @Test
    public void theOwnerStaysWhenTheGroupDealsAnew() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node first = start("first");
        await("first node is ready", first::ready);
        assertEquals(first.submit(job("a"), WITHIN), JobService.Receipt.STORED);
        await("a is completed", () -> state(first, new JobId("a")) == JobState.COMPLETED);
        long token = workers.token();
        Node second = start("second");
        await("second node is ready", second::ready);
        store.dealAnew();
        assertEquals(first.submit(job("b"), WITHIN), JobService.Receipt.STORED);
        await("b is completed", () -> state(first, new JobId("b")) == JobState.COMPLETED);
        Thread.sleep(Duration.ofMillis(400));
        assertEquals(workers.token(), token, "the owner has changed");
        first.close();
        second.close();
    }

    /** Guards against a job that is lost or run twice when the owner leaves and another node takes over. */
    @Test
    public void jobsGoOnWithTheNextOwner() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node first = start("first");
        await("first node is ready", first::ready);
        assertEquals(first.submit(job("a"), WITHIN), JobService.Receipt.STORED);
        await("a is completed", () -> state(first, new JobId("a")) == JobState.COMPLETED);
        Node second = start("second");
        await("second node is ready", second::ready);
        first.close();
        assertEquals(second.submit(job("b"), WITHIN), JobService.Receipt.STORED);
        assertEquals(second.submit(job("a"), WITHIN), JobService.Receipt.STORED);
        await("b is completed", () -> state(second, new JobId("b")) == JobState.COMPLETED);
        assertEquals(state(second, new JobId("a")), JobState.COMPLETED);
        String metrics = second.metrics();
        assertTrue(metrics.contains("chestnutbarrow_node_submissions_total{receipt=\"STORED\"} 1.0"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_owner 1.0"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_task_ends_total{how=\"DONE\"} 2.0"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_order_wait_seconds_count 2"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_hold_late_seconds_bucket"), metrics);
        assertEquals(workers.doubled(), List.of());
        assertEquals(workers.starts(), 4);
        second.close();
    }
}
