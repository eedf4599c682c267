package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.Test;

/**
 * Tests that all tasks of a best-effort job run, if slowly, while most of the CPU of their service is not reserved, and
 * that the latency-critical tasks beside them keep their target.
 */
public class SlowStartsTest {
    private static final int WORKERS = 123;
    private static final int TASKS = 35;
    private static final int MILLI_CORES = 2300;
    private static final int UNBOUNDED = 10_000;
    private static final Duration RUN_TIME = Duration.ofMillis(1500);
    /** The bound on the time without a run, which includes the next plan. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);
    /** Latency-critical tasks may miss their target for less than this. */
    private static final Duration MAX_OVER_TARGET = Duration.ofSeconds(4);

    private static final Sensitivity STRONG = new Sensitivity("batch", SimulatedInterference.SERVING_IMAGE, 40, 0.01);
    private static final Sensitivity WEAK = new Sensitivity("batch", SimulatedInterference.SERVING_IMAGE, 0.7, 0.01);
    private static final double WEAK_STRENGTH = 0.14;
    private static final double STRONG_STRENGTH = 1.4;
    private static final Duration FULL_SPEED_RUN_TIME = Duration.ofMillis(1300);
    /** Tasks of {@link #MILLI_CORES} that run at full speed on a worker without a latency-critical task. */
    private static final int FULL_SPEED_SLOTS = 3;

    private static final Step.Behaviour SERVING =
            new Step.Behaviour(SimulatedInterference.SERVING_IMAGE, false, true, false, 50, 0);
    /** Far below the target. */
    private static final int TAIL_MS = 12;

    private static Step bestEffort(int tasks, int milliCores) {
        return SchedulerFixture.step(tasks, milliCores, SimulatedInterference.bestEffort("batch"));
    }

    private static void addJob(SimulatedInterference workers, String id, int tasks, int milliCores) {
        workers.fixture.add(workers.fixture.job(id, bestEffort(tasks, milliCores)));
    }

    /** Adds small jobs of narrow tasks, which come first in the job order. */
    private static void runBesideNarrowJobs(SimulatedInterference workers, int jobsPerStep, Duration duration) {
        for (long i = 0; i < duration.dividedBy(SimulatedInterference.STEP); i++) {
            for (int job = 0; job < jobsPerStep; job++) {
                addJob(workers, "narrow-" + workers.fixture.time.nanos() + "-" + job, 4, 1000);
            }
            workers.run(SimulatedInterference.STEP);
        }
    }

    private static void assertTargetsKept(SimulatedInterference workers) {
        assertTrue(
                workers.longestOverTarget().compareTo(MAX_OVER_TARGET) < 0,
                "over target for " + workers.longestOverTarget());
    }

    /** Guards against a job whose tasks run one after the other because a restored model refuses all workers. */
    @Test
    public void allTasksRunAlthoughModelRefusesAllWorkers() {
        SimulatedInterference workers =
                new SimulatedInterference(WORKERS, 0.45, WEAK_STRENGTH, RUN_TIME, UNBOUNDED, STRONG);
        addJob(workers, "a", TASKS, MILLI_CORES);
        workers.run(MAX_WAIT);
        assertEquals(workers.started("a"), TASKS);
        workers.run(Duration.ofSeconds(20));
        assertTargetsKept(workers);
    }

    /** Guards against a job that waits for as long as narrower best-effort tasks take each piece of spare CPU. */
    @Test
    public void allTasksRunAlthoughNarrowerTasksTakeSpareCpu() {
        // The workers finish about 12 narrow jobs in a step, so that few or most of those wait for long.
        for (int jobsPerStep : List.of(13, 20)) {
            SimulatedInterference workers =
                    new SimulatedInterference(WORKERS, 0.45, WEAK_STRENGTH, RUN_TIME, UNBOUNDED, WEAK);
            runBesideNarrowJobs(workers, jobsPerStep, Duration.ofSeconds(5));
            addJob(workers, "a", TASKS, MILLI_CORES);
            runBesideNarrowJobs(workers, jobsPerStep, MAX_WAIT);
            assertEquals(workers.started("a"), TASKS, jobsPerStep + " narrow jobs in a step");
            runBesideNarrowJobs(workers, jobsPerStep, Duration.ofSeconds(3));
            assertEquals(workers.started("a"), TASKS, "no task ran twice");
            assertTargetsKept(workers);
        }
    }

    /** Guards against waiting tasks that get no slow start for as long as one like them gets a full-speed slot at times. */
    @Test
    public void allTasksRunAlthoughSomeAreStillPlacedAtFullSpeed() {
        int tasks = 200;
        SimulatedInterference workers =
                new SimulatedInterference(WORKERS, 0.45, WEAK_STRENGTH, FULL_SPEED_RUN_TIME, UNBOUNDED, STRONG);
        workers.addWorkerWithoutServing("full-speed");
        addJob(workers, "a", tasks, MILLI_CORES);
        workers.run(SimulatedInterference.STEP);
        assertEquals(workers.started("a"), FULL_SPEED_SLOTS);
        workers.run(MAX_WAIT);
        assertTrue(workers.started("a") >= WORKERS / 2, "started " + workers.started("a"));
        workers.run(Duration.ofSeconds(7));
        assertEquals(workers.started("a"), tasks);
        assertTargetsKept(workers);
    }

    /** Guards against slow starts on workers whose CPU is fully reserved, on which they make no progress. */
    @Test
    public void slowStartsGoWhereTheyReachMostSpeed() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.scheduler.restore(new Estimates(List.of(STRONG), List.of(), List.of()));
        fixture.withWorkers("full", "serving-1", "serving-2");
        fixture.add(fixture.job("full", onWorker("full", 8000, Step.Behaviour.PLAIN)));
        fixture.add(fixture.job("serving-1", onWorker("serving-1", 1000, SERVING)));
        fixture.add(fixture.job("serving-2", onWorker("serving-2", 1000, SERVING)));
        List<Order.Start> runs = new ArrayList<>(fixture.starts());
        assertEquals(runs.size(), 3);
        fixture.add(fixture.job("a", bestEffort(3, 1000)));
        Set<String> used = new HashSet<>();
        for (int i = 1; i <= 10; i++) {
            reportAll(fixture, runs, i);
            List<Order.Start> starts = fixture.starts();
            starts.forEach(start -> used.add(start.worker().value()));
            runs.addAll(starts);
        }
        assertEquals(used, Set.of("serving-1", "serving-2"));
    }

    /** Guards against a sound worker that is quarantined because slow starts get no CPU there. */
    @Test
    public void slowStartWithoutCpuIsNoFailureOfItsWorker() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("full", "free-1", "free-2");
        fixture.add(fixture.job("full", onWorker("full", 8000, Step.Behaviour.PLAIN)));
        List<Order.Start> runs = new ArrayList<>(fixture.starts());
        fixture.add(fixture.job("a", onWorker("full", 1000, SimulatedInterference.bestEffort("batch"))));
        int stops = 0;
        for (int i = 1; i <= 60; i++) {
            reportAll(fixture, runs, i);
            Plan plan = fixture.scheduler.plan();
            runs.addAll(SchedulerFixture.starts(plan));
            stops += (int)
                    plan.orders().stream().filter(Order.Stop.class::isInstance).count();
            assertTrue(stops == 0 || i > 20, "stopped after " + i + " reports");
            assertEquals(fixture.scheduler.estimates().health(), List.of(), "no evidence against the worker");
        }
        assertEquals(runs.size(), 2);
        assertTrue(stops > 0, "a run without progress is stopped at last");
    }

    private static Step onWorker(String worker, int milliCores, Step.Behaviour behaviour) {
        return new Step(
                1,
                new Resources(0, 0, milliCores, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                new Step.Constraints(Optional.of("rack-" + worker), Optional.empty(), 0),
                behaviour);
    }

    /** Reports all runs half a second later; only the best-effort ones make no progress. */
    private static void reportAll(SchedulerFixture fixture, List<Order.Start> runs, int percent) {
        fixture.time.advance(Duration.ofMillis(500));
        for (WorkerRegistration worker : fixture.workers) {
            List<WorkerReport.Running> running = runs.stream()
                    .filter(run -> run.worker().equals(worker.id()))
                    .map(run -> switch (run.task().job().value()) {
                        case "a" -> SchedulerFixture.running(run, 0, 0);
                        case "full" -> SchedulerFixture.running(run, percent, 0);
                        default -> SchedulerFixture.running(run, 100, TAIL_MS);
                    })
                    .toList();
            fixture.report(worker.id().value(), running, List.of());
        }
    }

    /** Guards against slow starts that keep latency-critical tasks over their target when the model is right. */
    @Test
    public void targetsAreKeptBesideTasksThatInterfereStrongly() {
        SimulatedInterference workers =
                new SimulatedInterference(WORKERS, 0.6, STRONG_STRENGTH, RUN_TIME, UNBOUNDED, STRONG);
        addJob(workers, "a", TASKS, MILLI_CORES);
        workers.run(MAX_WAIT);
        assertEquals(workers.started("a"), TASKS);
        workers.run(Duration.ofSeconds(60));
        assertTargetsKept(workers);
    }

    /** Guards against slow starts beside latency-critical tasks that are close to their target. */
    @Test
    public void workersCloseToTargetGetNoFurtherSlowStarts() {
        SimulatedInterference workers =
                new SimulatedInterference(WORKERS, 0.74, STRONG_STRENGTH, RUN_TIME, UNBOUNDED, STRONG);
        addJob(workers, "a", 3 * WORKERS, MILLI_CORES);
        workers.run(Duration.ofSeconds(60));
        assertTrue(workers.started("a") > 0);
        assertTargetsKept(workers);
    }

    /** Guards against a calm service on which tasks start later or more slowly than the model allows. */
    @Test
    public void calmServiceStartsAllTasksAtFullSpeedAtOnce() {
        SimulatedInterference workers = new SimulatedInterference(WORKERS, 0.45, WEAK_STRENGTH, RUN_TIME, UNBOUNDED);
        addJob(workers, "a", TASKS, MILLI_CORES);
        workers.run(SimulatedInterference.STEP);
        assertEquals(workers.limits("a"), Collections.nCopies(TASKS, 1.0));
    }

    /** Guards against slow runs that add up on one worker or fill its memory, so that fast ones find no room. */
    @Test
    public void workerGetsOneSlowStartAtOnce() {
        SimulatedInterference workers =
                new SimulatedInterference(4, 0.45, WEAK_STRENGTH, Duration.ofMinutes(5), UNBOUNDED, STRONG);
        addJob(workers, "a", TASKS, MILLI_CORES);
        addJob(workers, "b", TASKS, 1500);
        workers.run(Duration.ofSeconds(10));
        assertEquals(workers.started("a") + workers.started("b"), 4);
        assertEquals(workers.maxRunsPerWorker(List.of("a", "b")), 1);
    }

    /** Guards against one large job that takes all slow starts. */
    @Test
    public void jobsGetSlowStartsInTurn() {
        SimulatedInterference workers =
                new SimulatedInterference(8, 0.45, WEAK_STRENGTH, Duration.ofMinutes(5), UNBOUNDED, STRONG);
        addJob(workers, "a", 10 * TASKS, MILLI_CORES);
        addJob(workers, "b", 4, MILLI_CORES);
        workers.run(Duration.ofSeconds(5));
        assertEquals(workers.started("a"), 4);
        assertEquals(workers.started("b"), 4);
    }

    /** Guards against slow starts that take the starts of a plan from tasks that can be on time. */
    @Test
    public void slowStartsGetBoundedShareOfStarts() {
        int maxStarts = 8;
        SimulatedInterference workers =
                new SimulatedInterference(WORKERS, 0.45, WEAK_STRENGTH, Duration.ofMinutes(5), maxStarts, STRONG);
        addJob(workers, "a", TASKS, MILLI_CORES);
        workers.run(Duration.ofMillis(1900));
        for (int i = 0; i < 100; i++) {
            workers.fixture.add(workers.fixture.job("plain" + i, SchedulerFixture.step(1, 100, Step.Behaviour.PLAIN)));
        }
        workers.run(SimulatedInterference.STEP);
        assertEquals(workers.started("a"), maxStarts / 4);
        assertEquals(workers.allStarted() - workers.started("a"), maxStarts - maxStarts / 4);
    }

    /** Guards against plans that search all workers once for each of many waiting tasks or jobs. */
    @Test
    public void planSearchesWorkersForBoundedNumberOfSlowStarts() {
        int workerCount = 425;
        SimulatedInterference workers =
                new SimulatedInterference(workerCount, 0.45, WEAK_STRENGTH, Duration.ofMinutes(5), UNBOUNDED, STRONG);
        for (int i = 0; i < 300; i++) {
            addJob(workers, "a" + i, 20, MILLI_CORES + i);
        }
        workers.run(Duration.ofSeconds(2));
        for (int plan = 0; plan < 10; plan++) {
            long before = workers.fixture.scheduler.examinedWorkers();
            workers.fixture.time.advance(SimulatedInterference.STEP);
            workers.fixture.scheduler.plan();
            long examined = workers.fixture.scheduler.examinedWorkers() - before;
            assertTrue(examined <= 4L * workerCount, examined + " workers examined");
        }
    }
}
