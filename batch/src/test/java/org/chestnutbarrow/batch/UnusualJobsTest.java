package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that a job with unusual figures does no harm to other jobs. */
public class UnusualJobsTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);

    /** Guards against an overflow in one job's figures that keeps the tasks of all jobs from being placed. */
    @Test
    public void largeDemandDoesNotKeepOtherJobsFromStarting() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        int most = Resources.MAX_PER_HOST.milliCores();
        fixture.add(fixture.job("a", SchedulerFixture.step(1, most, longRunning)));
        fixture.add(fixture.job("b", SchedulerFixture.step(1, most, Step.Behaviour.PLAIN)));
        fixture.add(fixture.job("c", PLAIN));
        assertEquals(fixture.starts().getFirst().task().job(), new JobId("c"));
        fixture.add(fixture.job("d", PLAIN));
        assertEquals(fixture.starts().getFirst().task().job(), new JobId("d"));
    }

    /** Guards against a job with an unexpected error that keeps the tasks of all jobs from being placed. */
    @Test
    public void jobThatCannotBePlacedIsSetAside() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Map<String, Optional<String>> noLabels = new HashMap<>();
        Step broken = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                new Step.Constraints(noLabels.get("missing"), Optional.empty(), 0),
                Step.Behaviour.PLAIN);
        fixture.add(fixture.job("a", broken));
        fixture.add(fixture.job("b", PLAIN));
        Plan plan = fixture.scheduler.plan();
        assertEquals(SchedulerFixture.starts(plan).getFirst().task().job(), new JobId("b"));
        assertEquals(plan.setAside().getFirst().job(), new JobId("a"));
        assertTrue(fixture.scheduler.plan().setAside().isEmpty(), "a job is set aside once");
    }

    /** Guards against a deadline that overflows, so that the job cannot be added by any owner. */
    @Test
    public void deadlineOfLongJobDoesNotOverflow() {
        Step longest =
                new Step(1, Resources.NONE, Step.MAX_ESTIMATE, List.of(), Step.Constraints.NONE, Step.Behaviour.PLAIN);
        Queue patient = new Queue("host", "/q/", "service", 0, 2, 1e300, Duration.ofMillis(Long.MAX_VALUE));
        JobSpec job = new JobSpec(new JobId("a"), patient, Instant.EPOCH, "payload", List.of(longest));
        assertTrue(job.deadline(patient).toEpochMilli() > 0);
    }

    /** Guards against a worker whose reports all fail because it lists a task with a negative index. */
    @Test
    public void negativeIndexesAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new TaskName(new JobId("a"), -1, 0));
        assertThrows(IllegalArgumentException.class, () -> new TaskName(new JobId("a"), 0, -1));
    }

    /**
     * Guards against a second run of a task whose stored run may still be active, after an unexpected error while the
     * stored progress of its job was restored.
     */
    @Test
    public void partlyRestoredJobIsSetAside() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", SchedulerFixture.step(3, 1000, Step.Behaviour.PLAIN));
        fixture.scheduler.addJob(job, Optional.of(partlyUnreadable(job)));
        fixture.add(fixture.job("b", PLAIN));
        Plan plan = fixture.scheduler.plan();
        assertEquals(SchedulerFixture.starts(plan).size(), 1, "the other job starts");
        assertEquals(SchedulerFixture.starts(plan).getFirst().task().job(), new JobId("b"));
        assertEquals(plan.setAside().getFirst().job(), new JobId("a"));
        fixture.time.advance(Duration.ofSeconds(2));
        fixture.report("w1", List.of(), List.of());
        assertTrue(fixture.starts().isEmpty(), "a released run of the job is not followed by another");
    }

    /** Guards against stored progress that is replaced by the part of it that could be restored. */
    @Test
    public void progressOfPartlyRestoredJobIsNotStored() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", SchedulerFixture.step(3, 1000, Step.Behaviour.PLAIN));
        fixture.scheduler.addJob(job, Optional.of(partlyUnreadable(job)));
        WorkerReport.Running restored = new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 5, 0);
        WorkerReport.Running unrestored = new WorkerReport.Running(new TaskName(job.id(), 0, 2), 1, 5, 0);
        fixture.report("w1", List.of(restored, unrestored), List.of());
        Plan plan = fixture.scheduler.plan();
        assertTrue(plan.changes().isEmpty(), plan.changes().toString());
        assertTrue(plan.orders().isEmpty(), "its runs are not affected: " + plan.orders());
        fixture.scheduler.addJob(job, Optional.empty(), true);
        plan = fixture.scheduler.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.CANCELLED);
        assertTrue(SchedulerFixture.stops(plan, restored.task()));
        fixture.report("w1", List.of(unrestored), List.of());
        assertTrue(SchedulerFixture.stops(fixture.scheduler.plan(), unrestored.task()));
    }

    /** Returns progress of three tasks that have a run on a worker; the record of the second causes an error. */
    private static JobProgress partlyUnreadable(JobSpec job) {
        TaskRecord.WorkerIncarnation worker =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        TaskRecord readable = new TaskRecord(false, 1, 0, "", Optional.of(worker));
        Map<String, Optional<TaskRecord.WorkerIncarnation>> noWorkers = new HashMap<>();
        TaskRecord unreadable = new TaskRecord(false, 1, 0, "", noWorkers.get("missing"));
        return new JobProgress(
                job.id(), JobState.QUEUED, Instant.EPOCH, List.of(List.of(readable, unreadable, readable)));
    }

    /** Guards against tasks of a job that could not be added, whose deadline is out of range. */
    @Test
    public void jobThatCannotBeAddedIsNotPlaced() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = new JobSpec(new JobId("a"), SchedulerFixture.QUEUE, Instant.MAX, "payload", List.of(PLAIN));
        assertThrows(RuntimeException.class, () -> fixture.add(job));
        assertTrue(fixture.starts().isEmpty());
    }
}
