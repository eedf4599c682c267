package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which jobs of the replica the scheduler of a term takes, and what is logged of them. */
public class TermJobsTest {
    private static final String JOB = "term-jobs-test";
    private static final JobId ID = new JobId(JOB);

    private JobReplica replica;
    private BatchScheduler scheduler;
    private TermJobs jobs;

    @BeforeMethod
    public void setUp() {
        ManualTime time = new ManualTime();
        replica = new JobReplica(time);
        scheduler = new BatchScheduler(time);
        jobs = new TermJobs(7, scheduler, replica, new NodeMetrics(() -> true, () -> Duration.ZERO));
    }

    private static List<StateStore.Entry> progress(JobState state, List<List<TaskRecord>> steps) {
        return List.of(JobReplica.progressEntry(new JobProgress(ID, state, Instant.EPOCH, steps)));
    }

    private List<String> linesOfAddition() {
        return LogLines.of(JOB, () -> jobs.add(ID));
    }

    /** Guards against a log that does not tell with which progress a job came to the owner, and one with a line for each. */
    @Test
    public void jobWithProgressIsLoggedWhenItIsAdded() {
        replica.applyJob(NodeTest.job(JOB));
        assertEquals(linesOfAddition(), List.of());
        assertEquals(linesOfAddition(), List.of());
        scheduler = new BatchScheduler(new ManualTime());
        jobs = new TermJobs(8, scheduler, replica, new NodeMetrics(() -> true, () -> Duration.ZERO));
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(new WorkerIncarnation(new WorkerId("w"), 1)));
        replica.applyStored(progress(JobState.RUNNING, List.of(List.of(placed))), 0);
        assertEquals(linesOfAddition(), List.of("event=job-added job=" + JOB + " state=RUNNING ended=false token=8"));
        assertEquals(linesOfAddition(), List.of());
    }

    /** Guards against a job that is added after its end without a trace in the log. */
    @Test
    public void jobThatHasEndedIsLoggedUntilItsEndIsStored() {
        replica.applyJob(NodeTest.job(JOB));
        jobs.add(ID);
        scheduler.cancelJob(ID);
        assertEquals(scheduler.plan().changes().getFirst().state(), JobState.CANCELLED);
        assertEquals(linesOfAddition(), List.of("event=job-added job=" + JOB + " state=NONE ended=true token=7"));
        replica.applyStored(progress(JobState.CANCELLED, List.of()), 0);
        assertEquals(linesOfAddition(), List.of());
    }

    /** Returns progress that is unreadable as a whole, and one of which only the state is readable. */
    @DataProvider
    public Object[][] unreadableProgress() {
        byte[] readable = progress(JobState.RUNNING, List.of(List.of(TaskRecord.NEW)))
                .getFirst()
                .value()
                .orElseThrow();
        return new Object[][] {{new byte[] {99}}, {Arrays.copyOf(readable, readable.length - 1)}};
    }

    /** Guards against a job that runs again from older progress, or from the beginning, because the newest is unreadable. */
    @Test(dataProvider = "unreadableProgress")
    public void jobWithUnreadableProgressIsSetAside(byte[] unreadable) {
        WorkerRegistration worker = TestWorkers.worker("w");
        scheduler.updateWorkers(List.of(worker));
        scheduler.report(new WorkerReport(worker.id(), worker.incarnation(), List.of(), List.of()), 0);
        replica.applyJob(NodeTest.job(JOB));
        replica.applyStored(progress(JobState.QUEUED, List.of(List.of(TaskRecord.NEW))), 0);
        replica.applyStored(List.of(new StateStore.Entry(JOB, Optional.of(unreadable))), 1);
        jobs.add(ID);
        Plan plan = scheduler.plan();
        assertEquals(plan.orders(), List.of());
        assertEquals(plan.changes(), List.of());
        assertEquals(plan.setAside().getFirst().job(), ID);
    }

    /** Guards against a completed job that is shown as running because newer progress is unreadable. */
    @Test(dataProvider = "unreadableProgress")
    public void endedJobStaysEndedAfterUnreadableProgress(byte[] unreadable) {
        replica.applyJob(NodeTest.job(JOB));
        replica.applyStored(progress(JobState.COMPLETED, List.of()), 0);
        replica.applyStored(List.of(new StateStore.Entry(JOB, Optional.of(unreadable))), 1);
        assertEquals(replica.find(ID).orElseThrow().state(), JobState.COMPLETED);
        jobs.add(ID);
        assertEquals(scheduler.plan().setAside(), List.of());
    }
}
