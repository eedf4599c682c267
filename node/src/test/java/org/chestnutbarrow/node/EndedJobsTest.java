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

/** Guards the store against growth without bound, and jobs against a second run after their records are dropped. */
public class EndedJobsTest {
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));

    private FakeStore store;
    private ManualTime time;
    private JobReplica replica;
    private EndedJobs endedJobs;
    private TopicFollower jobs;
    private TopicFollower progress;

    @BeforeMethod
    public void begin() {
        store = new FakeStore();
        time = new ManualTime();
        replica = new JobReplica();
        endedJobs = new EndedJobs(store, replica, time, 1);
        jobs = follower(StateStore.Topic.JOBS, replica.jobs());
        progress = follower(StateStore.Topic.PROGRESS, replica.progress());
    }

    private TopicFollower follower(StateStore.Topic topic, TopicFollower.Listener listener) {
        return new TopicFollower(
                store,
                topic,
                listener,
                () -> new TopicFollower.Pace(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                time);
    }

    private void job(String id, JobState state, List<List<TaskRecord>> steps) {
        Step step = new Step(1, Resources.NONE, Duration.ZERO, List.of(), Step.Constraints.NONE, Step.Behaviour.PLAIN);
        JobSpec job = new JobSpec(new JobId(id), QUEUE, Instant.EPOCH, "payload", List.of(step));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job));
        store.put(
                StateStore.Topic.PROGRESS,
                JobReplica.progressEntry(new JobProgress(job.id(), state, Instant.EPOCH, steps)));
    }

    private void sweep() throws NotRunException {
        jobs.catchUp();
        progress.catchUp();
        endedJobs.sweep(() -> false);
    }

    private Set<String> kept(StateStore.Topic topic) throws NotRunException {
        return store.values(topic).keySet();
    }

    /** Guards against jobs that are unknown too early or kept for good, and against progress dropped before its job. */
    @Test
    public void endedJobsAreDroppedBeforeTheirProgress() throws NotRunException {
        job("a", JobState.COMPLETED, List.of());
        store.put(StateStore.Topic.JOBS, JobReplica.cancelEntry(new JobId("a")));
        sweep();
        time.advance(EndedJobs.KEPT.minusMillis(1));
        sweep();
        assertEquals(kept(StateStore.Topic.JOBS), Set.of("j/a", "c/a"));
        time.advance(Duration.ofMillis(1));
        sweep();
        assertEquals(kept(StateStore.Topic.JOBS), Set.of());
        time.advance(EndedJobs.GAP.minusMillis(1));
        sweep();
        assertEquals(endedJobs.takeDue(), List.of());
        time.advance(Duration.ofMillis(1));
        sweep();
        List<StateStore.Entry> due = endedJobs.takeDue();
        assertEquals(due, List.of(new StateStore.Entry("a", Optional.empty())));
        due.forEach(entry -> store.put(StateStore.Topic.PROGRESS, entry));
        sweep();
        assertEquals(kept(StateStore.Topic.PROGRESS), Set.of());
        assertEquals(replica.find(new JobId("a")), Optional.empty());
        time.advance(EndedJobs.KEPT);
        sweep();
        assertEquals(endedJobs.takeDue(), List.of());
    }

    /** Guards against a task that runs unknown to all, because its job was dropped before the task was stopped. */
    @Test
    public void jobsThatMayRunAreKept() throws NotRunException {
        TaskRecord placed =
                new TaskRecord(false, 1, 0, "", Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1)));
        job("stopping", JobState.CANCELLED, List.of(List.of(placed)));
        job("running", JobState.RUNNING, List.of(List.of(placed)));
        sweep();
        time.advance(EndedJobs.KEPT.plus(EndedJobs.GAP));
        sweep();
        assertEquals(kept(StateStore.Topic.JOBS), Set.of("j/stopping", "j/running"));
    }

    /** Guards against progress that is dropped although the store has refused to drop its job. */
    @Test
    public void aRefusedDropIsTriedAgain() throws NotRunException {
        job("a", JobState.FAILED, List.of());
        sweep();
        time.advance(EndedJobs.KEPT);
        store.fault(FakeStore.Fault.REFUSES);
        endedJobs.sweep(() -> false);
        time.advance(EndedJobs.GAP);
        endedJobs.sweep(() -> false);
        assertEquals(endedJobs.takeDue(), List.of());
        store.fault(FakeStore.Fault.NONE);
        sweep();
        assertEquals(kept(StateStore.Topic.JOBS), Set.of());
        assertEquals(endedJobs.takeDue(), List.of());
    }

    /** Guards against a job that seems to wait again on a node that reads the end of its progress before its own. */
    @Test
    public void aJobWithoutItsProgressIsForgotten() throws NotRunException {
        job("a", JobState.COMPLETED, List.of());
        jobs.catchUp();
        progress.catchUp();
        store.put(StateStore.Topic.PROGRESS, new StateStore.Entry("a", Optional.empty()));
        progress.catchUp();
        assertEquals(replica.pending(QUEUE.key()), 0);
        assertEquals(replica.find(new JobId("a")), Optional.empty());
    }
}
