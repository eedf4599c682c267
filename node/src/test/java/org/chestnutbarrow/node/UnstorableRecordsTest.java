package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests what an owner does while a record cannot be stored, for good or for the moment. */
public class UnstorableRecordsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int TASKS = 200;
    /** Less than the progress of a job with {@link #TASKS} workers takes, and more than that of one with a worker. */
    private static final int MAX_RECORD_BYTES = 1000;

    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final TaskRecord.WorkerIncarnation INCARNATION =
            new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1);

    private final OffsetClock clock = new OffsetClock();

    private static JobSpec job(String id, int tasks) {
        Step step = new Step(
                tasks, Resources.NONE, Duration.ofSeconds(1), List.of(), Step.Constraints.NONE, Step.Behaviour.PLAIN);
        return new JobSpec(new JobId(id), QUEUE, Instant.EPOCH, "payload", List.of(step));
    }

    private static TaskRecord runOn(TaskRecord.WorkerIncarnation incarnation) {
        return new TaskRecord(false, 1, 0, "", Optional.of(incarnation));
    }

    private static JobProgress running(JobSpec job, List<TaskRecord> tasks) {
        return new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(tasks));
    }

    private OwnershipTerm term(StateStore store, WorkerPort port, JobReplica replica) {
        OwnershipTerm term = new OwnershipTerm(
                7,
                store,
                port,
                replica,
                new PermissionTime(clock),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        term.start(new ControlState(1, Map.of(), Set.of()), List.of(TestWorkers.worker("w")));
        return term;
    }

    /**
     * Guards against an owner that hangs as long as the progress of one job cannot be stored: it must go on to stop the
     * runs of other cancelled jobs, and the end of the job must be stored.
     */
    @Test
    public void unstorableProgressOfAJobDoesNotHoldBackOthers() throws InterruptedException {
        JobSpec wide = job("wide", TASKS);
        JobSpec other = job("other", 1);
        List<TaskRecord> wideTasks = IntStream.range(0, TASKS)
                .mapToObj(i -> runOn(new TaskRecord.WorkerIncarnation(new WorkerId("worker-" + i), i + 1)))
                .toList();
        JobReplica replica = new JobReplica(clock);
        replica.applyJob(wide);
        replica.applyJob(other);
        replica.applyStored(
                List.of(
                        JobReplica.progressEntry(running(wide, wideTasks)),
                        JobReplica.progressEntry(running(other, List.of(runOn(INCARNATION))))),
                0);
        FakeStore store = new FakeStore();
        store.maxRecordBytes(MAX_RECORD_BYTES);
        StoppableWorker worker = new StoppableWorker(new TaskName(other.id(), 0, 0));
        OwnershipTerm term = term(store, worker, replica);
        replica.applyCancellation(wide.id());
        Thread.sleep(600);
        assertTrue(store.unstorableAppends() > 0, "the progress was not refused");
        replica.applyCancellation(other.id());
        assertTrue(worker.awaitStopped(TIMEOUT), "the run of the other job is not stopped");
        assertTrue(term.active());
        assertEquals(replica.find(wide.id()).orElseThrow().state(), JobState.CANCELLED);
        term.end();
    }

    /**
     * Guards against stops and acknowledgements that wait until estimates are stored, which only the next owner uses.
     */
    @Test
    public void estimatesDoNotHoldBackStopsAndAcknowledgements() throws InterruptedException {
        JobSpec job = job("job", 1);
        JobReplica replica = new JobReplica(clock);
        replica.applyJob(job);
        replica.applyStored(List.of(JobReplica.progressEntry(running(job, List.of(runOn(INCARNATION))))), 0);
        NodeStore store = new NodeStore(new FakeStore());
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch estimatesAppended = store.answerLate(entry -> entry.key().equals("learned/"), released);
        StoppableWorker worker = new StoppableWorker(new TaskName(job.id(), 0, 0));
        OwnershipTerm term = term(store, worker, replica);
        replica.applyCancellation(job.id());
        assertTrue(estimatesAppended.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS), "no estimates are stored");
        assertTrue(worker.awaitStopped(TIMEOUT), "the run is not stopped");
        assertTrue(worker.awaitAcknowledged(TIMEOUT), "its end is not acknowledged");
        assertEquals(released.getCount(), 1);
        released.countDown();
        term.end();
    }
}
