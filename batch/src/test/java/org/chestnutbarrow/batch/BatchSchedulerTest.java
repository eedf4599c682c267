package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests the guarantees on runs, step dependencies, attempts, capacity and changes of the owner. */
public class BatchSchedulerTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);

    /** Guards against a run that is ordered before its placement is stored. */
    @Test
    public void storesStartsWithTheirWorkers() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Plan plan = fixture.scheduler.plan();
        assertEquals(SchedulerFixture.starts(plan).size(), 1);
        TaskRecord stored = plan.changes().getFirst().steps().getFirst().getFirst();
        assertEquals(stored.run(), 1);
        assertEquals(
                stored.placedOn(),
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION)));
        assertTrue(fixture.starts().isEmpty());
    }

    private static JobState storedState(SchedulerFixture fixture) {
        return fixture.scheduler.plan().changes().getFirst().state();
    }

    /**
     * Guards against a job that counts as running before a worker has confirmed a run, so that too few are reported as
     * pending.
     */
    @Test
    public void jobStaysQueuedUntilRunIsConfirmed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Plan placed = fixture.scheduler.plan();
        assertEquals(placed.changes().getFirst().state(), JobState.QUEUED);
        Order.Start start = SchedulerFixture.starts(placed).getFirst();
        fixture.scheduler.confirmStarted(start.task(), start.run());
        assertEquals(storedState(fixture), JobState.RUNNING);
    }

    /** Guards against a running job that stays queued because the response to its order was lost. */
    @Test
    public void listedRunOrEndMarksJobRunning() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        fixture.add(fixture.job("b", PLAIN));
        List<Order.Start> starts = fixture.starts();
        fixture.report("w1", List.of(SchedulerFixture.running(starts.get(0), 1, 0)), List.of());
        assertEquals(storedState(fixture), JobState.RUNNING);
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, starts.get(1), EndKind.FAILED)));
        assertEquals(storedState(fixture), JobState.RUNNING);
    }

    /** Guards against a job that stays queued because its owner failed between an order and its confirmation. */
    @Test
    public void inheritedJobIsRunningOnceItsRunIsListed() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        JobSpec job = fixture.job("a", PLAIN);
        TaskRecord.WorkerIncarnation incarnation =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(incarnation));
        fixture.scheduler.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.QUEUED, Instant.EPOCH, List.of(List.of(placed)))));
        assertTrue(fixture.scheduler.plan().changes().isEmpty());
        fixture.report("w1", List.of(new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 5, 0)), List.of());
        assertEquals(storedState(fixture), JobState.RUNNING);
    }

    /**
     * Guards against a step that starts before its dependencies have finished, and against orders for a completed job.
     */
    @Test
    public void stepsWaitForTheirDependencies() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN, SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN, 0)));
        List<Order.Start> first = fixture.starts();
        assertEquals(first.size(), 1);
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first.getFirst(), EndKind.DONE)));
        List<Order.Start> second = fixture.starts();
        assertEquals(second.size(), 2);
        fixture.report(
                "w1",
                List.of(),
                List.of(
                        SchedulerFixture.ended(2, second.get(0), EndKind.DONE),
                        SchedulerFixture.ended(3, second.get(1), EndKind.DONE)));
        Plan last = fixture.scheduler.plan();
        assertEquals(last.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(
                last.acknowledgements(),
                Map.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION), 3L));
        assertTrue(last.orders().isEmpty());
    }

    /** Guards against overcommitting a worker, also while a stop is in progress. */
    @Test
    public void capacityIsReservedUntilEndIsListed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 8000, Step.Behaviour.PLAIN)));
        Order.Start start = fixture.starts().getFirst();
        fixture.add(fixture.job("b", PLAIN));
        fixture.scheduler.cancelJob(start.task().job());
        Plan plan = fixture.scheduler.plan();
        assertTrue(
                plan.orders().stream().allMatch(Order.Stop.class::isInstance),
                plan.orders().toString());
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, start, EndKind.INTERRUPTED)));
        assertEquals(fixture.starts().size(), 1);
    }

    /** Guards against more attempts than the queue allows, and against a failed job whose other tasks keep running. */
    @Test
    public void jobFailsAfterMaxAttempts() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3");
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        for (int run = 1; run <= SchedulerFixture.QUEUE.maxAttempts(); run++) {
            Order.Start start = fixture.starts().getFirst();
            assertEquals(start.run(), run);
            fixture.report(
                    start.worker().value(), List.of(), List.of(SchedulerFixture.ended(run, start, EndKind.FAILED)));
        }
        Plan plan = fixture.scheduler.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.FAILED);
        assertTrue(plan.orders().isEmpty());
    }

    /**
     * Guards against a second start while the run that an earlier owner placed on an unresponsive worker may still be
     * active.
     */
    @Test
    public void inheritedRunWaitsForWorkerOrLeaseExpiry() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.workers.add(fixture.worker("w2", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        TaskRecord.WorkerIncarnation incarnation =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        JobSpec job = fixture.job("a", PLAIN);
        JobProgress stored = new JobProgress(
                job.id(),
                JobState.RUNNING,
                Instant.EPOCH,
                List.of(List.of(new TaskRecord(false, 3, 0, "", Optional.of(incarnation)))));
        fixture.scheduler.addJob(job, Optional.of(stored));
        fixture.report("w2", List.of(), List.of());
        assertTrue(fixture.starts().isEmpty());
        fixture.scheduler.expireLeases(incarnation);
        assertEquals(fixture.starts().getFirst().run(), 4);
    }

    /** Guards against losing or duplicating a run when its worker first reports to a new owner. */
    @Test
    public void adoptsInheritedRun() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        JobSpec job = fixture.job("a", PLAIN, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN));
        TaskRecord.WorkerIncarnation incarnation =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(incarnation));
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed), List.of(placed)))));
        WorkerReport.Running running = new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 50, 0);
        fixture.report("w1", List.of(running), List.of());
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1, "only the run that the worker does not list is restarted");
        assertEquals(starts.getFirst().task().step(), 1);
        assertEquals(starts.getFirst().run(), 2);
    }

    /** Guards against a job that fails early because a new owner counts a failed run that is stored already. */
    @Test
    public void storedFailureIsNotCountedAgain() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        JobSpec job = fixture.job("a", PLAIN);
        TaskRecord failedOnce = new TaskRecord(false, 1, 1, "", Optional.empty());
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(failedOnce)))));
        WorkerReport.Ended end = new WorkerReport.Ended(1, new TaskName(job.id(), 0, 0), 1, EndKind.FAILED, "");
        fixture.report("w1", List.of(), List.of(end));
        Order.Start next = fixture.starts().getFirst();
        assertEquals(next.run(), 2);
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(2, next, EndKind.FAILED)));
        assertEquals(fixture.scheduler.plan().changes().getFirst().state(), JobState.FAILED);
    }

    /** Guards against placing tasks in an evacuated availability zone or on an unresponsive worker. */
    @Test
    public void doesNotStartTasksOnUnavailableWorkers() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        fixture.scheduler.setEvacuatedZones(Set.of(new AvailabilityZone("zone-w1")));
        fixture.add(fixture.job("a", PLAIN));
        assertEquals(fixture.starts().getFirst().worker(), new WorkerId("w2"));
        fixture.time.advance(Duration.ofSeconds(5));
        fixture.scheduler.setEvacuatedZones(Set.of());
        fixture.add(fixture.job("b", PLAIN));
        assertTrue(fixture.starts().isEmpty());
    }

    /** Guards against a hung task that blocks its job. */
    @Test
    public void stopsStuckTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(start.task(), start.run());
        fixture.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
        for (int i = 0; i < 3; i++) {
            fixture.time.advance(Duration.ofMillis(600));
            fixture.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
            assertTrue(fixture.scheduler.plan().orders().isEmpty(), "report " + i);
        }
        fixture.time.advance(Duration.ofMillis(200));
        fixture.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
        assertTrue(fixture.scheduler.plan().orders().getFirst() instanceof Order.Stop);
    }

    /** Guards against resources that stay reserved for a run that the worker never started. */
    @Test
    public void releasesRunThatIsNeverListed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.abandonStart(start.task(), start.run());
        fixture.report("w1", List.of(), List.of());
        assertTrue(fixture.starts().isEmpty(), "the report may predate the order");
        fixture.time.advance(Duration.ofSeconds(2));
        fixture.report("w1", List.of(), List.of());
        assertEquals(fixture.starts().getFirst().run(), 2);
    }

    /** Guards against a long-running task that is not restarted after its worker restarted. */
    @Test
    public void restartsLongRunningTaskAfterWorkerRestart() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 1000, longRunning)));
        fixture.workers.clear();
        fixture.workers.add(fixture.worker("w2", SchedulerFixture.INCARNATION));
        fixture.workers.add(fixture.worker("w3", SchedulerFixture.INCARNATION));
        Order.Start start = startOnAnyWorker(fixture);
        fixture.scheduler.confirmStarted(start.task(), start.run());
        fixture.report(start.worker().value(), List.of(SchedulerFixture.running(start, 100, 0)), List.of());
        fixture.workers.replaceAll(worker ->
                worker.id().equals(start.worker()) ? fixture.worker(worker.id().value(), 2) : worker);
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.report("w2", List.of(), List.of());
        fixture.report("w3", List.of(), List.of());
        assertEquals(fixture.starts().getFirst().run(), start.run() + 1);
    }

    /** Guards against a long-running task that counts as finished because an earlier run of it ended as done. */
    @Test
    public void endOfEarlierRunDoesNotFinishLongRunningTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 1000, longRunning)));
        Order.Start first = fixture.starts().getFirst();
        fixture.scheduler.expireLeases(new TaskRecord.WorkerIncarnation(first.worker(), first.incarnation()));
        Order.Start second = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(second.task(), second.run());
        fixture.report(first.worker().value(), List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.DONE)));
        assertFalse(SchedulerFixture.stops(fixture.scheduler.plan(), second.task()));
        fixture.report(second.worker().value(), List.of(), List.of(SchedulerFixture.ended(2, second, EndKind.DONE)));
        assertEquals(fixture.starts().getFirst().run(), 3);
    }

    /** Guards against a failed long-running task that waits although a worker has capacity reserved for short tasks. */
    @Test
    public void failedLongRunningTaskMayUseShortTaskReserve() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 3800, longRunning)));
        Order.Start first = fixture.starts().getFirst();
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 3800, longRunning)));
        assertTrue(fixture.starts().isEmpty(), "a first run leaves the reserve for short tasks");
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.FAILED)));
        fixture.add(fixture.job("c", SchedulerFixture.step(1, 3000, Step.Behaviour.PLAIN)));
        List<Order.Start> next = fixture.starts();
        assertTrue(next.stream().anyMatch(start -> start.run() == 2), next.toString());
    }

    /** Guards against a reserve for short tasks that consists of the room of workers that get no tasks. */
    @Test
    public void drainingWorkerDoesNotCountInShortTaskReserve() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        fixture.setDraining("w2", true);
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 3800, longRunning)));
        assertEquals(fixture.starts().size(), 1);
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 3800, longRunning)));
        assertEquals(fixture.starts(), List.of());
        fixture.setDraining("w2", false);
        assertEquals(fixture.starts().size(), 1);
    }

    /** Guards against a long-running task that waits although a worker has double room for it. */
    @Test
    public void firstRunOfLongRunningTaskMayUseWorkerWithDoubleRoom() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 4000, longRunning)));
        assertEquals(fixture.starts().size(), 1);
    }

    private static Order.Start startOnAnyWorker(SchedulerFixture fixture) {
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.report("w2", List.of(), List.of());
        fixture.report("w3", List.of(), List.of());
        return fixture.starts().getFirst();
    }

    /** Guards against best-effort tasks that keep a latency-critical task above its target: they are moved. */
    @Test
    public void movesInterferingTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour latencyCritical = new Step.Behaviour("s", false, true, false, 50, 0);
        Step.Behaviour bestEffort = new Step.Behaviour("f", true, false, true, 0, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 2000, latencyCritical)));
        Order.Start latencyCriticalStart = fixture.starts().getFirst();
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 1000, bestEffort)));
        Order.Start bestEffortStart = fixture.starts().getFirst();
        fixture.withWorkers("w2");
        boolean stopped = false;
        for (int i = 0; i < 5 && !stopped; i++) {
            fixture.time.advance(Duration.ofMillis(700));
            fixture.report("w2", List.of(), List.of());
            fixture.report(
                    "w1",
                    List.of(
                            SchedulerFixture.running(latencyCriticalStart, 100, 200),
                            SchedulerFixture.running(bestEffortStart, 10 + i, 900)),
                    List.of());
            stopped = fixture.scheduler.plan().orders().stream()
                    .anyMatch(
                            order -> order instanceof Order.Stop && order.task().equals(bestEffortStart.task()));
        }
        assertTrue(stopped);
    }
}
