package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
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
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", PLAIN));
        Plan plan = f.scheduler.plan();
        assertEquals(SchedulerFixture.starts(plan).size(), 1);
        TaskRecord stored = plan.changes().getFirst().steps().getFirst().getFirst();
        assertEquals(stored.run(), 1);
        assertEquals(
                stored.placedOn(),
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION)));
        assertTrue(f.starts().isEmpty());
    }

    private static JobState storedState(SchedulerFixture f) {
        return f.scheduler.plan().changes().getFirst().state();
    }

    /**
     * Guards against a job that counts as running before a worker has confirmed a run, so that too few are reported as
     * pending.
     */
    @Test
    public void jobStaysQueuedUntilRunIsConfirmed() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", PLAIN));
        Plan placed = f.scheduler.plan();
        assertEquals(placed.changes().getFirst().state(), JobState.QUEUED);
        Order.Start start = SchedulerFixture.starts(placed).getFirst();
        f.scheduler.confirmStarted(start.task(), start.run());
        assertEquals(storedState(f), JobState.RUNNING);
    }

    /** Guards against a running job that stays queued because the response to its order was lost. */
    @Test
    public void listedRunOrEndMarksJobRunning() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", PLAIN));
        f.add(f.job("b", PLAIN));
        List<Order.Start> starts = f.starts();
        f.report("w1", List.of(SchedulerFixture.running(starts.get(0), 1, 0)), List.of());
        assertEquals(storedState(f), JobState.RUNNING);
        f.report("w1", List.of(), List.of(SchedulerFixture.ended(1, starts.get(1), EndKind.FAILED)));
        assertEquals(storedState(f), JobState.RUNNING);
    }

    /** Guards against a job that stays queued because its owner failed between an order and its confirmation. */
    @Test
    public void inheritedJobIsRunningOnceItsRunIsListed() {
        SchedulerFixture f = new SchedulerFixture();
        f.workers.add(f.worker("w1", SchedulerFixture.INCARNATION));
        f.scheduler.updateWorkers(f.workers);
        JobSpec job = f.job("a", PLAIN);
        TaskRecord.WorkerIncarnation incarnation =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(incarnation));
        f.scheduler.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.QUEUED, Instant.EPOCH, List.of(List.of(placed)))));
        assertTrue(f.scheduler.plan().changes().isEmpty());
        f.report("w1", List.of(new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 5, 0)), List.of());
        assertEquals(storedState(f), JobState.RUNNING);
    }

    /**
     * Guards against a step that starts before its dependencies have finished, and against orders for a completed job.
     */
    @Test
    public void stepsWaitForTheirDependencies() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", PLAIN, SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN, 0)));
        List<Order.Start> first = f.starts();
        assertEquals(first.size(), 1);
        f.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first.getFirst(), EndKind.DONE)));
        List<Order.Start> second = f.starts();
        assertEquals(second.size(), 2);
        f.report(
                "w1",
                List.of(),
                List.of(
                        SchedulerFixture.ended(2, second.get(0), EndKind.DONE),
                        SchedulerFixture.ended(3, second.get(1), EndKind.DONE)));
        Plan last = f.scheduler.plan();
        assertEquals(last.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(last.acknowledgements().get(new WorkerId("w1")), Long.valueOf(3));
        assertTrue(last.orders().isEmpty());
    }

    /** Guards against overcommitting a worker, also while a stop is in progress. */
    @Test
    public void capacityIsReservedUntilEndIsListed() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", SchedulerFixture.step(1, 8000, Step.Behaviour.PLAIN)));
        Order.Start start = f.starts().getFirst();
        f.add(f.job("b", PLAIN));
        f.scheduler.cancelJob(start.task().job());
        Plan plan = f.scheduler.plan();
        assertTrue(
                plan.orders().stream().allMatch(Order.Stop.class::isInstance),
                plan.orders().toString());
        f.report("w1", List.of(), List.of(SchedulerFixture.ended(1, start, EndKind.INTERRUPTED)));
        assertEquals(f.starts().size(), 1);
    }

    /** Guards against more attempts than the queue allows, and against a failed job whose other tasks keep running. */
    @Test
    public void jobFailsAfterMaxAttempts() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1", "w2", "w3");
        f.add(f.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        for (int run = 1; run <= SchedulerFixture.QUEUE.maxAttempts(); run++) {
            Order.Start start = f.starts().getFirst();
            assertEquals(start.run(), run);
            f.report(start.worker().value(), List.of(), List.of(SchedulerFixture.ended(run, start, EndKind.FAILED)));
        }
        Plan plan = f.scheduler.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.FAILED);
        assertTrue(plan.orders().isEmpty());
    }

    /**
     * Guards against a second start while the run that an earlier owner placed on an unresponsive worker may still be
     * active.
     */
    @Test
    public void inheritedRunWaitsForWorkerOrLeaseExpiry() {
        SchedulerFixture f = new SchedulerFixture();
        f.workers.add(f.worker("w1", SchedulerFixture.INCARNATION));
        f.workers.add(f.worker("w2", SchedulerFixture.INCARNATION));
        f.scheduler.updateWorkers(f.workers);
        TaskRecord.WorkerIncarnation incarnation =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        JobSpec job = f.job("a", PLAIN);
        JobProgress stored = new JobProgress(
                job.id(),
                JobState.RUNNING,
                Instant.EPOCH,
                List.of(List.of(new TaskRecord(false, 3, 0, "", Optional.of(incarnation)))));
        f.scheduler.addJob(job, Optional.of(stored));
        f.report("w2", List.of(), List.of());
        assertTrue(f.starts().isEmpty());
        f.scheduler.expireLeases(incarnation);
        assertEquals(f.starts().getFirst().run(), 4);
    }

    /** Guards against losing or duplicating a run when its worker first reports to a new owner. */
    @Test
    public void adoptsInheritedRun() {
        SchedulerFixture f = new SchedulerFixture();
        f.workers.add(f.worker("w1", SchedulerFixture.INCARNATION));
        f.scheduler.updateWorkers(f.workers);
        JobSpec job = f.job("a", PLAIN, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN));
        TaskRecord.WorkerIncarnation incarnation =
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(incarnation));
        f.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed), List.of(placed)))));
        WorkerReport.Running running = new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 50, 0);
        f.report("w1", List.of(running), List.of());
        List<Order.Start> starts = f.starts();
        assertEquals(starts.size(), 1, "only the run that the worker does not list is restarted");
        assertEquals(starts.getFirst().task().step(), 1);
        assertEquals(starts.getFirst().run(), 2);
    }

    /** Guards against placing tasks in an evacuated availability zone or on an unresponsive worker. */
    @Test
    public void doesNotStartTasksOnUnavailableWorkers() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1", "w2");
        f.scheduler.setEvacuatedZones(Set.of(new AvailabilityZone("zone-w1")));
        f.add(f.job("a", PLAIN));
        assertEquals(f.starts().getFirst().worker(), new WorkerId("w2"));
        f.time.advance(Duration.ofSeconds(5));
        f.scheduler.setEvacuatedZones(Set.of());
        f.add(f.job("b", PLAIN));
        assertTrue(f.starts().isEmpty());
    }

    /** Guards against a hung task that blocks its job. */
    @Test
    public void stopsStuckTask() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", PLAIN));
        Order.Start start = f.starts().getFirst();
        f.scheduler.confirmStarted(start.task(), start.run());
        f.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
        f.time.advance(Duration.ofSeconds(2));
        f.report("w1", List.of(SchedulerFixture.running(start, 10, 0)), List.of());
        assertTrue(f.scheduler.plan().orders().getFirst() instanceof Order.Stop);
    }

    /** Guards against resources that stay reserved for a run that the worker never started. */
    @Test
    public void releasesRunThatIsNeverListed() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        f.add(f.job("a", PLAIN));
        Order.Start start = f.starts().getFirst();
        f.scheduler.abandonStart(start.task(), start.run());
        f.report("w1", List.of(), List.of());
        assertTrue(f.starts().isEmpty(), "the report may predate the order");
        f.time.advance(Duration.ofSeconds(2));
        f.report("w1", List.of(), List.of());
        assertEquals(f.starts().getFirst().run(), 2);
    }

    /** Guards against a long-running task that is not restarted after its worker restarted. */
    @Test
    public void restartsLongRunningTaskAfterWorkerRestart() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        f.add(f.job("a", SchedulerFixture.step(1, 1000, longRunning)));
        f.workers.clear();
        f.workers.add(f.worker("w2", SchedulerFixture.INCARNATION));
        f.workers.add(f.worker("w3", SchedulerFixture.INCARNATION));
        Order.Start start = startOnAnyWorker(f);
        f.workers.replaceAll(worker ->
                worker.id().equals(start.worker()) ? f.worker(worker.id().value(), 2) : worker);
        f.scheduler.updateWorkers(f.workers);
        f.report("w2", List.of(), List.of());
        f.report("w3", List.of(), List.of());
        assertEquals(f.starts().getFirst().run(), start.run() + 1);
    }

    /** Guards against a failed long-running task that waits although a worker has capacity reserved for short tasks. */
    @Test
    public void failedLongRunningTaskMayUseShortTaskReserve() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        f.add(f.job("a", SchedulerFixture.step(1, 3800, longRunning)));
        Order.Start first = f.starts().getFirst();
        f.add(f.job("b", SchedulerFixture.step(1, 3800, longRunning)));
        assertTrue(f.starts().isEmpty(), "a first run leaves the reserve for short tasks");
        f.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.FAILED)));
        f.add(f.job("c", SchedulerFixture.step(1, 3000, Step.Behaviour.PLAIN)));
        List<Order.Start> next = f.starts();
        assertTrue(next.stream().anyMatch(start -> start.run() == 2), next.toString());
    }

    /** Guards against a long-running task that waits although a worker has double room for it. */
    @Test
    public void firstRunOfLongRunningTaskMayUseWorkerWithDoubleRoom() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        f.add(f.job("a", SchedulerFixture.step(1, 4000, longRunning)));
        assertEquals(f.starts().size(), 1);
    }

    private static Order.Start startOnAnyWorker(SchedulerFixture f) {
        f.scheduler.updateWorkers(f.workers);
        f.report("w2", List.of(), List.of());
        f.report("w3", List.of(), List.of());
        return f.starts().getFirst();
    }

    /** Guards against best-effort tasks that keep a latency-critical task above its target: they are moved. */
    @Test
    public void movesInterferingTask() {
        SchedulerFixture f = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour latencyCritical = new Step.Behaviour("s", false, true, false, 50, 0);
        Step.Behaviour bestEffort = new Step.Behaviour("f", true, false, true, 0, 0);
        f.add(f.job("a", SchedulerFixture.step(1, 2000, latencyCritical)));
        Order.Start latencyCriticalStart = f.starts().getFirst();
        f.add(f.job("b", SchedulerFixture.step(1, 1000, bestEffort)));
        Order.Start bestEffortStart = f.starts().getFirst();
        f.withWorkers("w2");
        boolean stopped = false;
        for (int i = 0; i < 5 && !stopped; i++) {
            f.time.advance(Duration.ofMillis(700));
            f.report("w2", List.of(), List.of());
            f.report(
                    "w1",
                    List.of(
                            SchedulerFixture.running(latencyCriticalStart, 100, 200),
                            SchedulerFixture.running(bestEffortStart, 10 + i, 900)),
                    List.of());
            stopped = f.scheduler.plan().orders().stream()
                    .anyMatch(
                            order -> order instanceof Order.Stop && order.task().equals(bestEffortStart.task()));
        }
        assertTrue(stopped);
    }
}
