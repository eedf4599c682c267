package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests what happens to the runs of a worker that starts again under its id. */
public class WorkerRestartTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);

    /** Restarts worker w1, while w2 has room for its tasks. */
    private static void restartWorker(SchedulerFixture fixture) {
        fixture.workers.replaceAll(worker -> fixture.worker(worker.id().value(), SchedulerFixture.INCARNATION + 1));
        fixture.withWorkers("w2");
    }

    private static void reportOfRestartedWorker(SchedulerFixture fixture, WorkerReport.Running... running) {
        fixture.scheduler.report(
                new WorkerReport(new WorkerId("w1"), SchedulerFixture.INCARNATION + 1, List.of(running), List.of()),
                fixture.time.nanos());
    }

    /** Guards against a task that runs twice because the restarted worker has carried out a start meant for the earlier one. */
    @Test
    public void runStartedByRestartedWorkerIsKept() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(start.task(), start.run());
        restartWorker(fixture);
        assertTrue(fixture.starts().isEmpty(), "the restarted worker may run the task");
        reportOfRestartedWorker(fixture, SchedulerFixture.running(start, 10, 0));
        Plan plan = fixture.scheduler.plan();
        assertTrue(plan.orders().isEmpty(), plan.orders().toString());
        fixture.time.advance(Duration.ofSeconds(2));
        reportOfRestartedWorker(fixture, SchedulerFixture.running(start, 20, 0));
        assertTrue(fixture.starts().isEmpty());
    }

    /** Guards against a task that is not started again because the restarted worker was never asked for its runs. */
    @Test
    public void runThatRestartedWorkerDoesNotListIsStartedAgain() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(start.task(), start.run());
        restartWorker(fixture);
        reportOfRestartedWorker(fixture);
        assertEquals(fixture.starts().getFirst().run(), start.run() + 1);
    }

    /** Guards against a task that runs twice because the restarted worker carries out an unanswered start late. */
    @Test
    public void unansweredStartIsStoppedOnRestartedWorker() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        Order.Start start = fixture.starts().getFirst();
        restartWorker(fixture);
        reportOfRestartedWorker(fixture);
        Plan plan = fixture.scheduler.plan();
        assertEquals(
                plan.orders(),
                List.of(new Order.Stop(
                        start.task(),
                        start.run(),
                        start.worker(),
                        SchedulerFixture.INCARNATION + 1,
                        "worker-restarted")));
        fixture.scheduler.abandonStart(start.task(), start.run());
        fixture.time.advance(Duration.ofSeconds(2));
        reportOfRestartedWorker(fixture);
        fixture.report("w2", List.of(), List.of());
        assertEquals(fixture.starts().getFirst().run(), start.run() + 1);
    }

    /** Returns the next owner, which learns from the list that w1 has restarted since the start was stored. */
    private static SchedulerFixture ownerAfterRestart(SchedulerFixture fixture, Plan plan) {
        fixture.workers.replaceAll(worker -> fixture.worker(worker.id().value(), SchedulerFixture.INCARNATION + 1));
        JobProgress progress = plan.changes().getFirst();
        return fixture.nextOwner(Map.of(progress.id(), progress)).withWorkers("w2");
    }

    /** Guards against a run that the next owner stops because it was started for the earlier incarnation of its worker. */
    @Test
    public void nextOwnerKeepsRunOfRestartedWorker() {
        SchedulerFixture first = new SchedulerFixture().withWorkers("w1");
        first.add(first.job("a", PLAIN));
        Plan plan = first.scheduler.plan();
        Order.Start start = SchedulerFixture.starts(plan).getFirst();
        SchedulerFixture next = ownerAfterRestart(first, plan);
        assertEquals(
                next.scheduler.unconfirmedIncarnations(),
                Set.of(new TaskRecord.WorkerIncarnation(start.worker(), SchedulerFixture.INCARNATION + 1)),
                "the lease of the run is that of the later incarnation");
        reportOfRestartedWorker(next, SchedulerFixture.running(start, 10, 0));
        assertEquals(next.scheduler.plan().orders(), List.of());
    }

    /** Guards against a task that waits for leases of an earlier incarnation although the later one has none of its runs. */
    @Test
    public void nextOwnerStartsTaskOfRestartedWorkerAgain() {
        SchedulerFixture first = new SchedulerFixture().withWorkers("w1");
        first.add(first.job("a", PLAIN));
        Plan plan = first.scheduler.plan();
        SchedulerFixture next = ownerAfterRestart(first, plan);
        reportOfRestartedWorker(next);
        assertEquals(next.starts().size(), 1);
    }

    /** Guards against a service that waits for seconds although its runs have no result that the worker could discard. */
    @Test
    public void longRunningTaskStartsOnWorkerThatMayDiscardResults() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.scheduler.keepResultsAway(
                new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION),
                fixture.time.nanos() + Duration.ofSeconds(3).toNanos());
        fixture.add(fixture.job("a", PLAIN));
        fixture.add(
                fixture.job("b", SchedulerFixture.step(1, 1000, new Step.Behaviour("i", false, true, false, 0, 0))));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1);
        assertEquals(starts.getFirst().task().job(), new JobId("b"));
        fixture.time.advance(Duration.ofSeconds(3));
        fixture.report("w1", List.of(SchedulerFixture.running(starts.getFirst(), 100, 0)), List.of());
        assertEquals(fixture.starts().getFirst().task().job(), new JobId("a"));
    }
}
