package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a job stays ended that comes again to a term whose store has not answered the append of its end yet. */
public class EndedJobTermTest {
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final JobSpec JOB = new JobSpec(
            new JobId("a"),
            QUEUE,
            Instant.EPOCH,
            "payload",
            List.of(new Step(
                    1,
                    new Resources(0, 0, 1000, 100, 0),
                    Duration.ofSeconds(1),
                    List.of(),
                    Step.Constraints.NONE,
                    Step.Behaviour.PLAIN)));
    /** A run counts as missing after 1.2 s, and its task is started again with the next plan. */
    private static final Duration RESTART_TIME = Duration.ofMillis(2500);

    private final OffsetClock clock = new OffsetClock();

    /** How a job comes to the owner again. */
    private enum Way {
        SECOND_SUBMISSION,
        FOLLOWER,
        RELOAD,
        CANCELLATION;

        void repeat(JobReplica replica) {
            StateStore.Entry entry = JobReplica.jobEntry(JOB);
            switch (this) {
                case SECOND_SUBMISSION -> replica.applyJob(JOB);
                case FOLLOWER -> replica.jobsListener().onEntry(new StateStore.StoredEntry(0, entry));
                case RELOAD ->
                    replica.jobsListener()
                            .onSnapshot(new StateStore.Snapshot(
                                    Map.of(entry.key(), entry.value().orElseThrow()), 1));
                default -> replica.applyCancellation(JOB.id());
            }
        }
    }

    @DataProvider
    public Object[][] ways() {
        List<Object[]> ways = new ArrayList<>();
        for (Way way : Way.values()) {
            ways.add(new Object[] {way, EndKind.DONE, JobState.COMPLETED});
            ways.add(new Object[] {way, EndKind.FAILED, JobState.FAILED});
        }
        return ways.toArray(Object[][]::new);
    }

    /** Guards against a second run of a task of an ended job, and against an end that is replaced by a cancellation. */
    @Test(dataProvider = "ways")
    public void jobThatComesAgainStaysEnded(Way way, EndKind end, JobState state) throws Exception {
        FakeStore records = new FakeStore();
        NodeStore store = new NodeStore(records);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch stored = store.answerLate(EndedJobTermTest::isEnd, answered);
        FakeWorkers workers = new FakeWorkers(end);
        JobReplica replica = new JobReplica(clock);
        OwnershipTerm term = startTerm(store, workers, replica);
        try {
            replica.applyJob(JOB);
            assertTrue(stored.await(5, TimeUnit.SECONDS), "the job has not ended");
            int starts = workers.starts();
            way.repeat(replica);
            answered.countDown();
            Thread.sleep(RESTART_TIME);
            assertEquals(workers.starts(), starts, "starts");
            byte[] newest =
                    records.values(StateStore.Topic.PROGRESS).get(JOB.id().value());
            assertEquals(ProgressCodec.decodeState(newest), state);
            assertEquals(replica.find(JOB.id()).orElseThrow().state(), state);
        } finally {
            answered.countDown();
            term.end();
        }
    }

    /** Guards against a job that runs from the beginning because it is stored late, after its progress was removed. */
    @Test
    public void jobThatComesAfterItsRemovalIsNotStarted() throws Exception {
        FakeStore records = new FakeStore();
        FakeWorkers workers = new FakeWorkers();
        JobReplica replica = new JobReplica(clock);
        JobProgress end = new JobProgress(JOB.id(), JobState.COMPLETED, Instant.EPOCH, List.of());
        replica.applyJob(JOB);
        replica.applyStored(List.of(JobReplica.progressEntry(end)), 0);
        replica.applyStored(List.of(new StateStore.Entry(JOB.id().value(), Optional.empty())), 1);
        OwnershipTerm term = startTerm(records, workers, replica);
        replica.applyJob(JOB);
        Thread.sleep(1000);
        assertEquals(workers.starts(), 0);
        assertEquals(replica.find(JOB.id()).orElseThrow().state(), JobState.COMPLETED);
        byte[] newest = records.values(StateStore.Topic.PROGRESS).get(JOB.id().value());
        assertEquals(ProgressCodec.decode(JOB.id(), newest), end, "the end is stored again for later owners");
        term.end();
    }

    private static boolean isEnd(StateStore.Entry entry) {
        try {
            return entry.key().equals(JOB.id().value())
                    && ProgressCodec.decodeState(entry.value().orElseThrow()).isFinal()
                    && ProgressCodec.hasNoTasks(entry.value().orElseThrow());
        } catch (InvalidInputException e) {
            throw new AssertionError("unreadable progress", e);
        }
    }

    private OwnershipTerm startTerm(StateStore store, WorkerPort workers, JobReplica replica) {
        OwnershipTerm term = new OwnershipTerm(
                7,
                store,
                workers,
                replica,
                new PermissionTime(clock),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        term.start(new ControlState(1, Map.of(), Set.of()), List.of());
        term.updateWorkers(List.of(TestWorkers.worker("w")));
        return term;
    }
}
