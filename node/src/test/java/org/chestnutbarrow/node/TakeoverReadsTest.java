package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests what a new owner reads while it fences the earlier one. */
public class TakeoverReadsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, description);
            Thread.sleep(10);
        }
    }

    private static Optional<JobState> state(Node node, JobSpec job) {
        try {
            return node.state(job.id(), TIMEOUT);
        } catch (NotRunException e) {
            throw new AssertionError("the in-memory store did not answer", e);
        }
    }

    /** Guards against an owner that discards the results, and repeats the runs, of a job stored while it took over. */
    @Test
    public void jobThatEarlierOwnerPlacedDuringTakeoverIsNotRunAgain() throws InterruptedException {
        FakeStore store = new FakeStore();
        NodeStore view = new NodeStore(store);
        FakeWorkers workers = new FakeWorkers();
        byte[] value = {1};
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(value)));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(value)));
        CountDownLatch fence = new CountDownLatch(1);
        view.hangProgress(fence);
        NodeSettings settings = new NodeSettings(
                "node", new NodeCapacity(1500, 0), Optional.empty(), Duration.ofMillis(300), Duration.ofSeconds(6));
        Node node = Node.start(settings, view, workers, NodeTest.CODEC, new OffsetClock());
        await("the node fences earlier owners", view::progressAppended);
        Thread.sleep(Duration.ofMillis(200));
        JobSpec job = NodeTest.job("a");
        runTasks(job, store, workers);
        fence.countDown();
        // A query of the state would read the jobs at once.
        await("the results are taken note of", workers::allEndsAcknowledged);
        await("the job is completed", () -> state(node, job).equals(Optional.of(JobState.COMPLETED)));
        assertEquals(workers.startedTwice(), List.of());
        node.close();
    }

    /** Stores a job with both tasks placed, and lets the worker finish them. */
    private static void runTasks(JobSpec job, FakeStore store, FakeWorkers workers) {
        WorkerRegistration worker =
                NodeTest.CODEC.decodeWorker("w1", new byte[0]).orElseThrow();
        TaskRecord placed = new TaskRecord(
                false,
                1,
                0,
                "",
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), worker.incarnation())));
        for (int index = 0; index < 2; index++) {
            Order start = new Order.Start(
                    new TaskName(job.id(), 0, index), 1, worker.id(), worker.incarnation(), "payload", "");
            workers.send(worker, start, 0, 0, TIMEOUT);
        }
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job));
        store.put(
                StateStore.Topic.PROGRESS,
                JobReplica.progressEntry(
                        new JobProgress(job.id(), JobState.QUEUED, Instant.now(), List.of(List.of(placed, placed)))));
    }
}
