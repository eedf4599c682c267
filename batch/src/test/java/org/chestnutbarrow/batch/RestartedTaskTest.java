package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that long-running tasks run again soon on full workers, although short tasks of more urgent jobs wait. */
public class RestartedTaskTest {
    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);
    private static final int SHORT_MILLI_CORES = 1000;
    /** Jobs that wait at any time; few enough that none of them becomes overdue. */
    private static final int WAITING_JOBS = 20;
    /** The rule on long-running tasks asks for the next run within 6 s. */
    private static final int MAX_REPORTS_UNTIL_RESTART = 60;

    private static SimulatedWorkers simulation(SchedulerFixture fixture, int seed) {
        return new SimulatedWorkers(fixture, new Random(seed), Duration.ofMillis(1200));
    }

    /** Keeps the workers full of short tasks for {@code reports} reports of each worker. */
    private static void fill(SimulatedWorkers workers, int reports) {
        for (int i = 0; i < reports; i++) {
            addUrgentJobs(workers);
            workers.reportAll();
        }
        assertTrue(workers.shortRuns() > 0);
    }

    private static void addUrgentJobs(SimulatedWorkers workers) {
        workers.topUpFreshJobs(WAITING_JOBS, SHORT_MILLI_CORES);
    }

    /** Returns after how many reports of each worker the next run of a task starts, at most the bound and one. */
    private static int reportsUntilStart(SimulatedWorkers workers, TaskName task) {
        for (int report = 1; report <= MAX_REPORTS_UNTIL_RESTART; report++) {
            addUrgentJobs(workers);
            if (workers.reportAll().stream().anyMatch(start -> start.task().equals(task))) {
                return report;
            }
        }
        return MAX_REPORTS_UNTIL_RESTART + 1;
    }

    /**
     * Guards against an overdue long-running task that does not run again for many seconds, because short tasks of more
     * urgent jobs take each small piece of room as it gets free.
     */
    @Test
    public void overdueTaskOfLostWorkerRunsAgainWithinBoundOnFullWorkers() {
        for (int seed = 0; seed < 10; seed++) {
            SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4");
            SimulatedWorkers workers = simulation(fixture, seed);
            fixture.add(fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING)));
            Order.Start run = workers.apply(fixture.scheduler.plan()).getFirst();
            fill(workers, 50);
            workers.lose(run.worker());
            int reports = reportsUntilStart(workers, run.task());
            assertTrue(reports <= MAX_REPORTS_UNTIL_RESTART, "seed " + seed + ": no next run within 6 s");
        }
    }

    /** Guards against several restarted tasks of which the last ones wait while others have taken the room in pieces. */
    @Test
    public void allTasksOfLostWorkersRunAgainWithinBoundOnFullWorkers() {
        for (int seed = 0; seed < 5; seed++) {
            SchedulerFixture fixture =
                    new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8");
            SimulatedWorkers workers = simulation(fixture, seed);
            fixture.add(fixture.job("service", SchedulerFixture.step(4, 5000, LONG_RUNNING)));
            List<Order.Start> runs = workers.apply(fixture.scheduler.plan());
            assertEquals(runs.size(), 4);
            fill(workers, 50);
            workers.lose(runs.get(0).worker());
            workers.lose(runs.get(1).worker());
            int reports = 0;
            while (workers.runsOf(runs.getFirst().task().job()) < 4 && reports <= MAX_REPORTS_UNTIL_RESTART) {
                addUrgentJobs(workers);
                workers.reportAll();
                reports++;
            }
            assertTrue(reports <= MAX_REPORTS_UNTIL_RESTART, "seed " + seed + ": no next run within 6 s");
        }
    }

    /** Guards against short tasks that have no room left at all, because restarted tasks have claimed all of it. */
    @Test
    public void claimsLeaveShareOfFullWorkersToShortTasks() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4", "w5");
        SimulatedWorkers workers = simulation(fixture, 0);
        fixture.add(fixture.job("service", SchedulerFixture.step(8, 3700, LONG_RUNNING)));
        List<Order.Start> runs = workers.apply(fixture.scheduler.plan());
        assertEquals(runs.size(), 8);
        fill(workers, 50);
        workers.lose(runs.getFirst().worker());
        JobId service = runs.getFirst().task().job();
        assertEquals(workers.runsOf(service), 6);
        for (int i = 0; i < MAX_REPORTS_UNTIL_RESTART; i++) {
            addUrgentJobs(workers);
            workers.reportAll();
        }
        assertEquals(workers.runsOf(service), 7, "the eighth task would use more than 92 % of the workers");
        assertTrue(workers.shortRuns() > 0);
        for (int i = 0; i < MAX_REPORTS_UNTIL_RESTART; i++) {
            workers.reportAll();
        }
        assertEquals(workers.runsOf(service), 8, "room is free when no short task waits");
    }

    /** Guards against a failed task whose own room short tasks take, on workers that are full of long-running tasks. */
    @Test
    public void failedTaskRunsAgainInItsOwnRoomOnFullWorker() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("service", SchedulerFixture.step(1, 7600, LONG_RUNNING));
        TaskRecord ranBefore = new TaskRecord(false, 1, 0, "", Optional.empty());
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(ranBefore)))));
        Order.Start run = fixture.starts().getFirst();
        fixture.time.advance(Duration.ofSeconds(5));
        fixture.add(fixture.job("fresh", SchedulerFixture.step(8, 1000, Step.Behaviour.PLAIN)));
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, run, EndKind.FAILED)));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1);
        assertEquals(starts.getFirst().task(), run.task());
    }

    /** Guards against a run that is stopped to move it and whose destination then runs a task of a later job. */
    @Test
    public void destinationOfMoveIsNotTakenBeforeStoppedRunEnds() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING)));
        Order.Start run = fixture.starts().getFirst();
        fixture.time.advance(Duration.ofSeconds(5));
        fixture.withWorkers("w2").setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        Order.Stop stop = fixture.stops().getFirst();
        fixture.add(fixture.job("fresh", SchedulerFixture.step(8, 1000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 2, "starts beside the room for the stopped task");
        fixture.time.advance(Duration.ofMillis(500));
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, stop, EndKind.INTERRUPTED)));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1);
        assertEquals(starts.getFirst().task(), run.task());
        assertEquals(starts.getFirst().worker(), new WorkerId("w2"));
    }

    /** Guards against a run that stays on a draining worker until this ends, because short tasks take all room elsewhere. */
    @Test
    public void runLeavesDrainingWorkerAlthoughOtherWorkersAreFull() {
        for (int seed = 0; seed < 10; seed++) {
            SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4");
            SimulatedWorkers workers = simulation(fixture, seed);
            fixture.add(fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING)));
            Order.Start run = workers.apply(fixture.scheduler.plan()).getFirst();
            fill(workers, 50);
            fixture.setDraining(run.worker().value(), true);
            int reports = 0;
            int away = 0;
            while (workers.runsOn(run.worker()).stream().anyMatch(r -> r.order().equals(run))
                    && reports <= MAX_REPORTS_UNTIL_RESTART) {
                addUrgentJobs(workers);
                workers.reportAll();
                reports++;
            }
            while (workers.runsOf(run.task().job()) == 0 && away <= MAX_REPORTS_UNTIL_RESTART) {
                addUrgentJobs(workers);
                workers.reportAll();
                away++;
            }
            assertTrue(reports <= MAX_REPORTS_UNTIL_RESTART, "seed " + seed + ": not stopped within 6 s");
            assertEquals(away, 0, "seed " + seed + ": reports between the end and the next start");
        }
    }

    /** Guards against a run that was stopped to move it and waits behind short tasks under the next owner. */
    @Test
    public void stoppedRunStartsFirstUnderNextOwner() {
        SchedulerFixture fixture = new SchedulerFixture();
        JobSpec job = fixture.job("service", SchedulerFixture.step(1, 7600, LONG_RUNNING));
        TaskRecord placed = new TaskRecord(
                false,
                4,
                0,
                "",
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION)));
        fixture.scheduler.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed)))));
        fixture.time.advance(Duration.ofSeconds(5));
        fixture.add(fixture.job("fresh", SchedulerFixture.step(8, 1000, Step.Behaviour.PLAIN)));
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.setDraining("w1", true);
        fixture.report("w1", List.of(), List.of());
        fixture.withWorkers("w2");
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1);
        assertEquals(starts.getFirst().task().job(), job.id());
    }

    /** Guards against room that stays withheld for a task that no longer needs it. */
    @Test
    public void roomIsFreeAgainWhenJobIsCancelled() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING)));
        Order.Start run = fixture.starts().getFirst();
        fixture.withWorkers("w2").setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        assertEquals(fixture.stops().size(), 1);
        fixture.add(fixture.job("fresh", SchedulerFixture.step(8, 1000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 2);
        fixture.scheduler.cancelJob(run.task().job());
        assertEquals(fixture.starts().size(), 6, "the other tasks of the fresh job");
    }

    /** Guards against a task that waits for the room of a worker which accepts no more tasks. */
    @Test
    public void claimIsMadeAnewWhenDestinationDrains() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING)));
        Order.Start run = fixture.starts().getFirst();
        fixture.withWorkers("w2").setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        Order.Stop stop = fixture.stops().getFirst();
        fixture.setDraining("w2", true);
        fixture.withWorkers("w3");
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        fixture.add(fixture.job("fresh", SchedulerFixture.step(8, 1000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 2, "starts beside the room for the stopped task");
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, stop, EndKind.INTERRUPTED)));
        assertEquals(fixture.starts().getFirst().worker(), new WorkerId("w3"));
    }

    /** Guards against room that is kept on a worker which the constraints of the task rule out. */
    @Test
    public void restartedTaskClaimsNoRoomAgainstItsConstraints() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        Step labelled = new Step(
                1,
                SchedulerFixture.step(1, 6000, LONG_RUNNING).demand(),
                Duration.ofSeconds(1),
                List.of(),
                new Step.Constraints(Optional.of("rack-w1"), Optional.empty(), 1),
                LONG_RUNNING);
        fixture.add(fixture.job("service", labelled));
        Order.Start run = fixture.starts().getFirst();
        assertEquals(run.worker(), new WorkerId("w1"));
        fixture.add(fixture.job("fill", SchedulerFixture.step(10, 1000, Step.Behaviour.PLAIN)));
        List<Order.Start> fill = fixture.starts();
        assertEquals(fill.size(), 10);
        fixture.setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        assertEquals(fixture.stops(), List.of(), "no other worker has the label");
        Order.Start ended = fill.stream()
                .filter(start -> start.worker().equals(new WorkerId("w2")))
                .findFirst()
                .orElseThrow();
        fixture.report("w2", List.of(), List.of(SchedulerFixture.ended(1, ended, EndKind.DONE)));
        fixture.add(fixture.job("next", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        assertFalse(fixture.starts().isEmpty(), "no room of w2 is kept");
    }
}
