package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that records of ended jobs are removed, and that a removed job does not run again. */
public class EndedJobCleanerTest {
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));

    private FakeStore store;
    private ManualTime time;
    private JobReplica replica;
    private EndedJobCleaner cleaner;
    private long epoch;
    private TopicFollower jobFollower;
    private TopicFollower progressFollower;

    @BeforeMethod
    public void setUp() {
        store = new FakeStore();
        time = new ManualTime();
        replica = new JobReplica(time);
        epoch = 1;
        cleaner = new EndedJobCleaner(store, replica, time, epoch);
        jobFollower = follower(StateStore.Topic.JOBS, replica.jobsListener());
        progressFollower = follower(StateStore.Topic.PROGRESS, replica.progressListener());
    }

    private TopicFollower follower(StateStore.Topic topic, TopicFollower.Listener listener) {
        return new TopicFollower(
                store,
                topic,
                listener,
                () -> new TopicFollower.PollPolicy(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                time);
    }

    private void putJob(String id, JobState state, List<List<TaskRecord>> steps) {
        Step step = new Step(1, Resources.NONE, Duration.ZERO, List.of(), Step.Constraints.NONE, Step.Behaviour.PLAIN);
        JobSpec job = new JobSpec(new JobId(id), QUEUE, Instant.EPOCH, "payload", List.of(step));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job));
        store.put(
                StateStore.Topic.PROGRESS,
                JobReplica.progressEntry(new JobProgress(job.id(), state, Instant.EPOCH, steps)));
    }

    private void sweep() throws NotRunException {
        jobFollower.catchUp();
        progressFollower.catchUp();
        cleaner.sweep(() -> false);
    }

    private Set<String> keys(StateStore.Topic topic) throws NotRunException {
        return store.values(topic).keySet();
    }

    /** Guards against jobs that are removed too early or never, and against progress that is removed before its job. */
    @Test
    public void endedJobsAreRemovedBeforeTheirProgress() throws NotRunException {
        putJob("a", JobState.COMPLETED, List.of());
        store.put(StateStore.Topic.JOBS, JobReplica.cancelEntry(new JobId("a")));
        sweep();
        time.advance(EndedJobCleaner.RETENTION.minusMillis(1));
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of("j/a", "c/a"));
        time.advance(Duration.ofMillis(1));
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of());
        time.advance(EndedJobCleaner.PROGRESS_DELAY.minusMillis(1));
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of());
        time.advance(Duration.ofMillis(1));
        sweep();
        List<StateStore.Entry> due = cleaner.takeProgressRemovals();
        assertEquals(due, List.of(new StateStore.Entry("a", Optional.empty())));
        due.forEach(entry -> store.put(StateStore.Topic.PROGRESS, entry));
        sweep();
        assertEquals(keys(StateStore.Topic.PROGRESS), Set.of());
        assertEquals(replica.find(new JobId("a")), Optional.empty());
        time.advance(EndedJobCleaner.RETENTION);
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of());
    }

    /** Continues with the cleaner of the next owner on the same node. */
    private void changeOwner() {
        epoch++;
        cleaner = new EndedJobCleaner(store, replica, time, epoch);
    }

    /** Guards against a store that grows without bound while each owner leaves before the retention time has passed. */
    @Test
    public void retentionContinuesAfterChangesOfTheOwner() throws NotRunException {
        putJob("a", JobState.COMPLETED, List.of());
        store.put(StateStore.Topic.JOBS, JobReplica.cancelEntry(new JobId("unknown")));
        Duration term = EndedJobCleaner.RETENTION.dividedBy(3);
        for (int i = 0; i < 3; i++) {
            sweep();
            time.advance(term);
            assertEquals(keys(StateStore.Topic.JOBS), Set.of("j/a", "c/unknown"));
            changeOwner();
        }
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of());
        changeOwner();
        // This owner reads that the job is removed.
        sweep();
        for (int i = 0; i < 3; i++) {
            assertEquals(cleaner.takeProgressRemovals(), List.of());
            time.advance(EndedJobCleaner.PROGRESS_DELAY.dividedBy(3));
            changeOwner();
            sweep();
        }
        assertEquals(cleaner.takeProgressRemovals(), List.of(new StateStore.Entry("a", Optional.empty())));
    }

    /**
     * Guards against progress that is removed at once by a node that has not seen when the job was removed, so that a
     * node that still knows the job runs it again.
     */
    @Test
    public void newNodeWaitsBeforeItRemovesProgress() throws NotRunException {
        putJob("a", JobState.COMPLETED, List.of());
        JobReplica.removalEntries(new JobId("a")).forEach(entry -> store.put(StateStore.Topic.JOBS, entry));
        sweep();
        time.advance(EndedJobCleaner.RETENTION.minusMillis(1));
        sweep();
        time.advance(Duration.ofMillis(1));
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of());
        time.advance(EndedJobCleaner.PROGRESS_DELAY.minusMillis(1));
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of());
        time.advance(Duration.ofMillis(1));
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of(new StateStore.Entry("a", Optional.empty())));
    }

    /** Guards against an orphaned task, whose job was removed before the task was stopped. */
    @Test
    public void jobsThatMayRunAreRetained() throws NotRunException {
        TaskRecord placed =
                new TaskRecord(false, 1, 0, "", Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1)));
        putJob("stopping", JobState.CANCELLED, List.of(List.of(placed)));
        putJob("running", JobState.RUNNING, List.of(List.of(placed)));
        sweep();
        time.advance(EndedJobCleaner.RETENTION.plus(EndedJobCleaner.PROGRESS_DELAY));
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of("j/stopping", "j/running"));
    }

    /** Guards against progress that is removed although the store has refused to remove its job. */
    @Test
    public void refusedRemovalIsRetried() throws NotRunException {
        putJob("a", JobState.FAILED, List.of());
        sweep();
        time.advance(EndedJobCleaner.RETENTION);
        store.fault(FakeStore.Fault.REFUSES);
        cleaner.sweep(() -> false);
        time.advance(EndedJobCleaner.PROGRESS_DELAY);
        cleaner.sweep(() -> false);
        assertEquals(cleaner.takeProgressRemovals(), List.of());
        store.fault(FakeStore.Fault.NONE);
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of());
        assertEquals(cleaner.takeProgressRemovals(), List.of());
    }

    /**
     * Guards against a job reported as queued by a node that reads the removal of its progress before that of the job.
     */
    @Test
    public void jobIsRemovedTogetherWithItsProgress() throws NotRunException {
        putJob("a", JobState.COMPLETED, List.of());
        jobFollower.catchUp();
        progressFollower.catchUp();
        store.put(StateStore.Topic.PROGRESS, new StateStore.Entry("a", Optional.empty()));
        progressFollower.catchUp();
        assertEquals(replica.pendingJobs(QUEUE.key()), 0);
        assertEquals(replica.find(new JobId("a")), Optional.empty());
    }

    /** Guards against cancellations of unknown jobs that stay in the store for ever, or are removed while they count. */
    @Test
    public void cancellationsOfUnknownJobsAreRemoved() throws NotRunException {
        store.put(StateStore.Topic.JOBS, JobReplica.cancelEntry(new JobId("a")));
        putJob("b", JobState.RUNNING, List.of(List.of(TaskRecord.NEW)));
        store.put(StateStore.Topic.JOBS, JobReplica.cancelEntry(new JobId("b")));
        sweep();
        time.advance(EndedJobCleaner.RETENTION.minusMillis(1));
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of("c/a", "j/b", "c/b"));
        time.advance(Duration.ofMillis(1));
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of("j/b", "c/b"));
    }

    /**
     * Guards against a job that runs again because it was appended late, after its removal, and only its progress is
     * removed then.
     */
    @Test
    public void jobAddedAgainAfterItsRemovalKeepsItsProgress() throws NotRunException {
        putJob("a", JobState.COMPLETED, List.of());
        sweep();
        time.advance(EndedJobCleaner.RETENTION);
        sweep();
        sweep();
        StateStore.Entry late = store.records(StateStore.Topic.JOBS).getFirst();
        store.put(StateStore.Topic.JOBS, late);
        time.advance(EndedJobCleaner.PROGRESS_DELAY);
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of());
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of());
        sweep();
        time.advance(EndedJobCleaner.PROGRESS_DELAY);
        sweep();
        assertEquals(cleaner.takeProgressRemovals(), List.of(new StateStore.Entry("a", Optional.empty())));
    }

    /** Guards against a job that runs again because its owner reads it only after it has removed its progress. */
    @Test
    public void progressStaysUntilTheRemovalOfTheJobIsRead() throws NotRunException {
        putJob("a", JobState.COMPLETED, List.of());
        progressFollower.catchUp();
        cleaner.sweep(() -> false);
        time.advance(EndedJobCleaner.RETENTION);
        for (int i = 0; i < 3; i++) {
            cleaner.sweep(() -> false);
            time.advance(EndedJobCleaner.PROGRESS_DELAY);
        }
        assertEquals(cleaner.takeProgressRemovals(), List.of());
    }

    /** Guards against ended jobs that are kept for ever because the store accepts fewer removals in one call. */
    @Test
    public void removalsThatAreTooLargeTogetherAreSplit() throws NotRunException {
        for (int i = 0; i < 50; i++) {
            putJob("job-" + i, JobState.COMPLETED, List.of());
        }
        sweep();
        store.limits(new StateStore.Limits(100, 200));
        time.advance(EndedJobCleaner.RETENTION);
        sweep();
        assertEquals(keys(StateStore.Topic.JOBS), Set.of());
    }
}
