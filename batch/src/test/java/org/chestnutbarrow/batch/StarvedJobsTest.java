package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.testng.annotations.Test;

/**
 * Tests that no job waits without an end while its service has room, under a backlog of younger jobs that take all
 * starts of each plan.
 */
public class StarvedJobsTest {
    private static final JobId OLD = new JobId("old");
    private static final Step SMALL = SchedulerFixture.step(1, 100, Step.Behaviour.PLAIN);
    private static final int MAX_STARTS = 4;
    /** The bound on the wait, which includes the next plan. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    private final List<Order.Start> running = new ArrayList<>();
    private long ends;

    /** Lets the runs of all workers end, adds younger jobs for more starts than a plan has, and plans. */
    private List<Order.Start> nextPlan(SchedulerFixture fixture, Step step, int round) {
        fixture.time.advance(Duration.ofMillis(100));
        for (WorkerRegistration worker : fixture.workers) {
            List<WorkerReport.Ended> ended = running.stream()
                    .filter(start -> start.worker().equals(worker.id()))
                    .map(start -> SchedulerFixture.ended(++ends, start, EndKind.DONE))
                    .toList();
            fixture.report(worker.id().value(), List.of(), ended);
        }
        for (int i = 0; i < 2 * MAX_STARTS; i++) {
            fixture.add(fixture.job("young-" + round + "-" + i, step));
        }
        running.clear();
        running.addAll(SchedulerFixture.starts(fixture.scheduler.plan(MAX_STARTS)));
        return List.copyOf(running);
    }

    private static boolean startsOld(List<Order.Start> starts) {
        return starts.stream().anyMatch(start -> start.task().job().equals(OLD));
    }

    /** Returns after how long the overdue job starts, at most 10 s. */
    private Duration waitOfOverdueJob(SchedulerFixture fixture) {
        running.clear();
        ends = 0;
        fixture.add(fixture.job(OLD.value(), SMALL));
        // The job is beyond its deadline of 3 s, which comes from its estimate, before the first plan.
        fixture.time.advance(Duration.ofSeconds(4));
        for (int round = 0; round < 100; round++) {
            if (startsOld(nextPlan(fixture, SMALL, round))) {
                return Duration.ofMillis(100L * (round + 1));
            }
        }
        return Duration.ofSeconds(10);
    }

    /** Guards against an overdue job that gets no start while younger ones take all of them and most room is free. */
    @Test
    public void overdueJobStartsBesideBacklogOfYoungerJobs() {
        Duration wait = waitOfOverdueJob(new SchedulerFixture().withWorkers("w1", "w2"));
        assertTrue(wait.compareTo(MAX_WAIT) <= 0, "started after " + wait);
    }

    /** Guards against overdue jobs that take the starts of those that can still be on time. */
    @Test
    public void starvedJobsGetBoundedShareOfStarts() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        for (int i = 0; i < 8; i++) {
            fixture.add(fixture.job("old-" + i, SMALL));
        }
        fixture.time.advance(Duration.ofSeconds(4));
        List<Order.Start> starts = nextPlan(fixture, SMALL, 0);
        assertEquals(starts.size(), MAX_STARTS);
        long old = starts.stream()
                .filter(start -> start.task().job().value().startsWith("old"))
                .count();
        assertEquals(old, 1);
    }

    /** Guards against a change of the order on a full service, on which jobs that can be on time come first. */
    @Test
    public void urgentJobsComeFirstOnFullService() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("filling", SchedulerFixture.step(1, 5000, Step.Behaviour.PLAIN)));
        Order.Start filling = fixture.starts().getFirst();
        fixture.add(fixture.job(OLD.value(), SMALL));
        fixture.time.advance(Duration.ofSeconds(4));
        fixture.report("w1", List.of(SchedulerFixture.running(filling, 10, 0)), List.of());
        for (int i = 0; i < 2 * MAX_STARTS; i++) {
            fixture.add(fixture.job("young-" + i, SMALL));
        }
        assertFalse(startsOld(SchedulerFixture.starts(fixture.scheduler.plan(MAX_STARTS))));
    }

    private static final Step.Behaviour SERVING = new Step.Behaviour("web", false, true, false, 50, 0);
    private static final Step.Behaviour BEST_EFFORT = new Step.Behaviour("batch", false, false, true, 0, 0);
    /** Far below the target, but a model that has learnt a strong interference allows no other task beside it. */
    private static final int TAIL_MS = 12;

    private static SchedulerFixture withPessimisticModel() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.scheduler.restore(
                new Estimates(List.of(new Sensitivity("batch", "web", 40, 0.01)), List.of(), List.of()));
        return fixture;
    }

    /** Guards against a best-effort job that a pessimistic model keeps from all workers, so that it never learns better. */
    @Test
    public void bestEffortJobThatModelRefusesRunsAtLowSpeed() {
        SchedulerFixture fixture = withPessimisticModel();
        fixture.add(fixture.job("serving", SchedulerFixture.step(1, 1000, SERVING)));
        Order.Start serving = fixture.starts().getFirst();
        fixture.add(fixture.job(OLD.value(), SchedulerFixture.step(3, 1000, BEST_EFFORT)));
        Duration waited = Duration.ZERO;
        List<Order> orders = List.of();
        while (orders.isEmpty() && waited.compareTo(MAX_WAIT) <= 0) {
            fixture.time.advance(Duration.ofMillis(500));
            waited = waited.plusMillis(500);
            fixture.report("w1", List.of(SchedulerFixture.running(serving, 100, TAIL_MS)), List.of());
            orders = fixture.scheduler.plan().orders();
        }
        assertTrue(waited.compareTo(MAX_WAIT) <= 0, "started after " + waited);
        List<Order.Start> starts = orders.stream()
                .filter(Order.Start.class::isInstance)
                .map(Order.Start.class::cast)
                .toList();
        assertEquals(starts.size(), 1);
        List<Order.SetCpuLimit> limits = orders.stream()
                .filter(Order.SetCpuLimit.class::isInstance)
                .map(Order.SetCpuLimit.class::cast)
                .toList();
        assertEquals(limits.size(), 1);
        assertTrue(
                limits.getFirst().percent() < 50, "limit " + limits.getFirst().percent());
    }

    /** Guards against a second refused task on the same worker, whose interference adds to that of the first. */
    @Test
    public void workerGetsOneRefusedTaskAtOnce() {
        SchedulerFixture fixture = withPessimisticModel();
        fixture.add(fixture.job("serving", SchedulerFixture.step(1, 1000, SERVING)));
        Order.Start serving = fixture.starts().getFirst();
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 1000, BEST_EFFORT)));
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 1000, BEST_EFFORT)));
        int started = 0;
        for (int i = 0; i < 20; i++) {
            fixture.time.advance(Duration.ofMillis(500));
            fixture.report("w1", List.of(SchedulerFixture.running(serving, 100, TAIL_MS)), List.of());
            started += fixture.starts().size();
        }
        assertEquals(started, 1);
    }
}
