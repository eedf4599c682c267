package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that a long-running task gets its next run as soon as a responsive worker has room for it. */
public class LongRunningTaskTest {
    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);

    /** Guards against a task that waits for its next run behind one whose first run finds no double room. */
    @Test
    public void laterRunDoesNotWaitForFirstRunOfOtherTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("short", SchedulerFixture.step(1, 4000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 1);
        JobSpec job = fixture.job("service", SchedulerFixture.step(2, 3600, LONG_RUNNING));
        TaskRecord ranBefore = new TaskRecord(false, 1, 0, "", Optional.empty());
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(TaskRecord.NEW, ranBefore)))));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1, "only the later run needs single room");
        assertEquals(starts.getFirst().task().index(), 1);
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, starts.getFirst(), EndKind.INTERRUPTED)));
        List<Order.Start> next = fixture.starts();
        assertEquals(next.size(), 1, "the room is free again");
        assertEquals(next.getFirst().run(), 3);
    }

    /** Guards against a long-running task that stays assigned and runs nowhere while reports list too many ends. */
    @Test
    public void missingRunIsReleasedAlthoughEndsAreCut() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 1000, LONG_RUNNING)));
        Order.Start start = startAndConfirm(fixture);
        fixture.time.advance(Duration.ofSeconds(2));
        fixture.report("w1", List.of(), cutEnds(fixture));
        List<Order.Start> next = fixture.starts();
        assertEquals(next.size(), 1);
        assertEquals(next.getFirst().task(), start.task());
        assertEquals(next.getFirst().run(), 2);
    }

    /** Guards against the loss of a result that is not listed yet because a report lists too many ends. */
    @Test
    public void missingRunWithResultWaitsForAllEnds() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("short", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        Order.Start start = startAndConfirm(fixture);
        fixture.time.advance(Duration.ofSeconds(2));
        fixture.report("w1", List.of(), cutEnds(fixture));
        assertEquals(fixture.starts().size(), 0, "its end may be beyond the listed ones");
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(501, start, EndKind.DONE)));
        Plan plan = fixture.scheduler.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(plan.orders(), List.of());
    }

    /** Guards against a finished run that a new owner starts again because the first report lists too many ends. */
    @Test
    public void inheritedRunWithResultWaitsForAllEnds() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        JobSpec job = fixture.job(
                "both",
                SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN),
                SchedulerFixture.step(1, 1000, LONG_RUNNING));
        TaskRecord placed = new TaskRecord(
                false,
                1,
                0,
                "",
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION)));
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed), List.of(placed)))));
        fixture.report("w1", List.of(), cutEnds(fixture));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1, "only the long-running task is started again");
        assertEquals(starts.getFirst().task().step(), 1);
        fixture.time.advance(Duration.ofSeconds(2));
        fixture.report("w1", List.of(SchedulerFixture.running(starts.getFirst(), 100, 10)), List.of());
        List<Order.Start> afterAllEnds = fixture.starts();
        assertEquals(afterAllEnds.size(), 1, "a complete report shows that the run has no end");
        assertEquals(afterAllEnds.getFirst().run(), 2);
    }

    private static Order.Start startAndConfirm(SchedulerFixture fixture) {
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(start.task(), start.run());
        return start;
    }

    /** Returns as many ends as a report lists at most, of runs of a job that is not known. */
    private static List<WorkerReport.Ended> cutEnds(SchedulerFixture fixture) {
        JobSpec unknown = fixture.job("unknown", SchedulerFixture.step(500, 1000, Step.Behaviour.PLAIN));
        return IntStream.rangeClosed(1, 500)
                .mapToObj(i ->
                        new WorkerReport.Ended(i, new TaskName(unknown.id(), 0, i - 1), 1, EndKind.INTERRUPTED, ""))
                .toList();
    }

    /** Guards against a task that is not retried on a worker that is responsive again after the interval has grown. */
    @Test
    public void retriesTasksAfterLongerReportInterval() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.time.advance(Duration.ofMillis(1800));
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 1000, LONG_RUNNING)));
        assertEquals(fixture.starts().size(), 0, "the worker is unresponsive");
        fixture.scheduler.expectReportsEvery(Duration.ofMillis(1200));
        fixture.report("w1", List.of(), List.of());
        assertEquals(fixture.starts().size(), 1);
    }
}
