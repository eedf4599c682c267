package org.chestnutbarrow.batch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that runs which must not go on are stopped, and no others. */
public class StopOrderTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);

    private static JobProgress placedOn(JobSpec job, int run, String worker, long incarnation) {
        TaskRecord placed = new TaskRecord(
                false, run, 0, "", Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId(worker), incarnation)));
        return new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed)));
    }

    /** Guards against a cancelled run that is never stopped because its worker was not listed when it was cancelled. */
    @Test
    public void stopIsOrderedAgainAfterItsWorkerWasNotListed() {
        SchedulerFixture fixture = new SchedulerFixture();
        JobSpec job = fixture.job("a", PLAIN);
        TaskName task = new TaskName(job.id(), 0, 0);
        fixture.scheduler.addJob(job, Optional.of(placedOn(job, 1, "w1", SchedulerFixture.INCARNATION)));
        fixture.scheduler.cancelJob(job.id());
        fixture.scheduler.plan().orders().forEach(fixture.scheduler::orderDropped);
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.report("w1", List.of(new WorkerReport.Running(task, 1, 50, 0)), List.of());
        assertTrue(SchedulerFixture.stops(fixture.scheduler.plan(), task));
    }

    /** Guards against a run that goes on because its stop had no effect on the worker. */
    @Test
    public void stopIsRepeatedWhileRunIsListed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Order.Start start = fixture.starts().getFirst();
        List<WorkerReport.Running> listed = List.of(SchedulerFixture.running(start, 10, 0));
        fixture.report("w1", listed, List.of());
        fixture.scheduler.cancelJob(start.task().job());
        assertTrue(SchedulerFixture.stops(fixture.scheduler.plan(), start.task()));
        fixture.report("w1", listed, List.of());
        assertFalse(
                SchedulerFixture.stops(fixture.scheduler.plan(), start.task()), "the first stop may still take effect");
        fixture.time.advance(Duration.ofSeconds(2));
        fixture.report("w1", listed, List.of());
        assertTrue(SchedulerFixture.stops(fixture.scheduler.plan(), start.task()));
    }

    /** Guards against a run of a finished task that a new owner lets go on. */
    @Test
    public void inheritedRunOfFinishedTaskIsStopped() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        JobSpec job = fixture.job("a", SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN));
        TaskRecord finished = new TaskRecord(
                true,
                1,
                0,
                "",
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION)));
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(finished, TaskRecord.NEW)))));
        TaskName task = new TaskName(job.id(), 0, 0);
        fixture.report("w1", List.of(new WorkerReport.Running(task, 1, 50, 0)), List.of());
        assertTrue(SchedulerFixture.stops(fixture.scheduler.plan(), task));
    }

    /** Guards against tasks of some minutes that never end, because a percent of their work takes seconds. */
    @Test
    public void longTaskIsNotStoppedBetweenTwoPercents() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step minutes = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofMinutes(5),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        fixture.add(fixture.job("a", minutes));
        Order.Start start = fixture.starts().getFirst();
        fixture.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
        // The limit is 9 s, and the worker reports at its interval.
        for (int i = 0; i < 15; i++) {
            fixture.time.advance(Duration.ofMillis(600));
            fixture.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
            assertFalse(SchedulerFixture.stops(fixture.scheduler.plan(), start.task()), "report " + i);
        }
        fixture.time.advance(Duration.ofMillis(600));
        fixture.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
        assertTrue(SchedulerFixture.stops(fixture.scheduler.plan(), start.task()));
    }
}
