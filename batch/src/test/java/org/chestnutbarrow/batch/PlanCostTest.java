package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests the cost of scheduling decisions, measured as the number of examined workers. */
public class PlanCostTest {
    private static final int WORKERS = 343;
    private static final int JOBS = 300;
    private static final int TASKS_PER_JOB = 20;
    private static final int TASKS_PER_SMALL_JOB = 14;
    private static final Step.Behaviour LATENCY_CRITICAL = new Step.Behaviour("s", false, true, false, 50, 0);
    private static final Step.Behaviour BEST_EFFORT = new Step.Behaviour("f", true, false, true, 0, 0);

    private static SchedulerFixture fixture(int workers) {
        return new SchedulerFixture()
                .withWorkers(IntStream.range(0, workers).mapToObj(i -> "w" + i).toArray(String[]::new));
    }

    /**
     * Fills all workers and adds a backlog of short and best-effort jobs; returns the starts of the tasks that fill the
     * workers.
     */
    private static List<Order.Start> fillWorkersAndAddBacklog(SchedulerFixture fixture) {
        fixture.add(fixture.job("full", SchedulerFixture.step(WORKERS, 8000, Step.Behaviour.PLAIN)));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), WORKERS);
        for (int i = 0; i < JOBS; i++) {
            Step.Behaviour behaviour = i % 2 == 0 ? Step.Behaviour.PLAIN : BEST_EFFORT;
            fixture.add(fixture.job("waiting" + i, SchedulerFixture.step(TASKS_PER_JOB, 4000, behaviour)));
        }
        assertTrue(fixture.starts().isEmpty());
        return starts;
    }

    private static long examinedWorkersByPlan(SchedulerFixture fixture) {
        long before = fixture.scheduler.examinedWorkers();
        fixture.scheduler.plan();
        return fixture.scheduler.examinedWorkers() - before;
    }

    /**
     * Guards against plans whose cost is the product of waiting jobs and workers, which delayed the processing of
     * reports.
     */
    @Test
    public void doesNotRetryBacklogOnUnchangedWorkers() {
        SchedulerFixture fixture = fixture(WORKERS);
        fillWorkersAndAddBacklog(fixture);
        assertEquals(examinedWorkersByPlan(fixture), 0);
    }

    /** Guards against a single end or report that makes a plan retry the whole backlog on all workers. */
    @Test
    public void endOfRunRetriesBacklogOnItsWorkerOnly() {
        SchedulerFixture fixture = fixture(WORKERS);
        Order.Start first = fillWorkersAndAddBacklog(fixture).getFirst();
        fixture.report(
                first.worker().value(),
                List.of(),
                List.of(SchedulerFixture.ended(1, first, WorkerReport.EndKind.DONE)));
        assertTrue(examinedWorkersByPlan(fixture) < 20, "one worker per equivalence class, and the starts on it");
        fixture.time.advance(Duration.ofMillis(500));
        fixture.report(first.worker().value(), List.of(), List.of());
        assertTrue(examinedWorkersByPlan(fixture) < 20);
    }

    /** Guards against reports that each search all workers for another place for the tasks they list. */
    @Test
    public void onlyTasksThatMoveFromDrainingWorkersAreSearchedFor() {
        SchedulerFixture fixture = fixture(WORKERS);
        fixture.add(fixture.job("service", SchedulerFixture.step(2 * WORKERS, 3000, LATENCY_CRITICAL)));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 2 * WORKERS);
        fixture.add(fixture.job("moved", SchedulerFixture.step(1, 1000, LATENCY_CRITICAL)));
        Order.Start moved = fixture.starts().getFirst();
        fixture.setDraining(moved.worker().value(), true);
        for (Order.Start start : starts) {
            if (!start.worker().equals(moved.worker())) {
                assertEquals(
                        examinedWorkersByReport(fixture, start),
                        0,
                        start.worker().value());
            }
        }
        long examined = examinedWorkersByReport(fixture, moved);
        assertTrue(examined > 0 && examined < 20, "examined " + examined);
        assertEquals(examinedWorkersByReport(fixture, moved), 0, "the task is being moved");
    }

    /** Guards against a draining worker on a full site whose every report searches all workers. */
    @Test
    public void taskWithoutRoomElsewhereIsSearchedForOnce() {
        SchedulerFixture fixture = fixture(WORKERS);
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 1000, LATENCY_CRITICAL)));
        Order.Start start = fixture.starts().getFirst();
        Step memory = new Step(
                WORKERS - 1,
                new Resources(0, 0, 1000, 15950, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        fixture.add(fixture.job("memory", memory));
        assertEquals(fixture.starts().size(), WORKERS - 1);
        fixture.setDraining(start.worker().value(), true);
        assertTrue(examinedWorkersByReport(fixture, start) > 0);
        assertEquals(examinedWorkersByReport(fixture, start), 0);
        assertTrue(fixture.stops().isEmpty());
    }

    /** Guards against plans that search all workers for each task of a lost zone as long as these tasks wait. */
    @Test
    public void tasksOfLostZoneAreSearchedForOnce() {
        int lost = 100;
        SchedulerFixture fixture = fixture(WORKERS);
        fixture.add(fixture.job("large", SchedulerFixture.step(WORKERS, 4100, LATENCY_CRITICAL)));
        fixture.add(fixture.job("small", SchedulerFixture.step(WORKERS, 1900, LATENCY_CRITICAL)));
        fixture.scheduler.plan();
        fixture.add(fixture.job("full", SchedulerFixture.step(WORKERS, 2000, Step.Behaviour.PLAIN)));
        List<Order.Start> full = fixture.starts();
        assertEquals(full.size(), WORKERS);
        List<WorkerRegistration> zone = List.copyOf(fixture.workers.subList(0, lost));
        fixture.workers.subList(0, lost).clear();
        fixture.scheduler.updateWorkers(fixture.workers);
        zone.forEach(worker -> fixture.scheduler.expireLeases(
                new TaskRecord.WorkerIncarnation(worker.id(), SchedulerFixture.INCARNATION)));
        int plans = 0;
        for (long examined = examinedWorkersByPlan(fixture); examined > 0; examined = examinedWorkersByPlan(fixture)) {
            assertTrue(examined < 20 * WORKERS, "plan " + plans + " examined " + examined);
            plans++;
        }
        assertTrue(plans < lost, plans + " plans");
        assertEquals(fixture.scheduler.claims().size(), lost, "claims of the small tasks");
        WorkerId claimed = fixture.scheduler.claims().values().iterator().next();
        Order.Start ended = full.stream()
                .filter(start -> start.worker().equals(claimed))
                .findFirst()
                .orElseThrow();
        fixture.report(
                claimed.value(), List.of(), List.of(SchedulerFixture.ended(1, ended, WorkerReport.EndKind.DONE)));
        long before = fixture.scheduler.examinedWorkers();
        assertEquals(fixture.starts().size(), 1, "the task with the claim");
        assertTrue(fixture.scheduler.examinedWorkers() - before < 20);
    }

    /** Guards against plans that search all workers for each task beyond the bound on claims. */
    @Test
    public void tasksBeyondBoundOnClaimsAreNotSearchedFor() {
        int lost = 40;
        SchedulerFixture fixture = fixture(WORKERS);
        for (int i = 0; i < 14; i++) {
            Step step = SchedulerFixture.step(WORKERS, 500, LATENCY_CRITICAL);
            Step.Constraints spread = new Step.Constraints(Optional.empty(), Optional.empty(), 2);
            fixture.add(fixture.job(
                    "service" + i,
                    new Step(WORKERS, step.demand(), step.estimate(), List.of(), spread, LATENCY_CRITICAL)));
        }
        assertTrue(fixture.starts().size() > 13 * WORKERS);
        fixture.add(fixture.job("full", SchedulerFixture.step(10 * WORKERS, 100, Step.Behaviour.PLAIN)));
        Order.Start ended = fixture.starts().getLast();
        List<WorkerRegistration> zone = fixture.workers.stream()
                .filter(worker -> !worker.id().equals(ended.worker()))
                .limit(lost)
                .toList();
        fixture.workers.removeAll(zone);
        fixture.scheduler.updateWorkers(fixture.workers);
        zone.forEach(worker -> fixture.scheduler.expireLeases(
                new TaskRecord.WorkerIncarnation(worker.id(), SchedulerFixture.INCARNATION)));
        int plans = 0;
        for (long examined = examinedWorkersByPlan(fixture); examined > 0; examined = examinedWorkersByPlan(fixture)) {
            assertTrue(examined < 20 * WORKERS, "plan " + plans + " examined " + examined);
            plans++;
        }
        assertTrue(plans < lost, plans + " plans");
        int claims = fixture.scheduler.claims().size();
        int bound = (WORKERS - lost) * 8000 / 16 / 500;
        assertTrue(claims <= bound && claims > bound - 10, claims + " claims on a sixteenth of the workers");
        fixture.report(
                ended.worker().value(),
                List.of(),
                List.of(SchedulerFixture.ended(1, ended, WorkerReport.EndKind.DONE)));
        long examined = examinedWorkersByPlan(fixture);
        assertTrue(examined < 100, "examined " + examined);
    }

    private static long examinedWorkersByReport(SchedulerFixture fixture, Order.Start running) {
        long before = fixture.scheduler.examinedWorkers();
        fixture.report(running.worker().value(), List.of(SchedulerFixture.running(running, 100, 10)), List.of());
        return fixture.scheduler.examinedWorkers() - before;
    }

    /** Guards against decisions whose cost grows linearly with the number of workers. */
    @Test
    public void decisionExaminesFewWorkers() {
        for (Step.Behaviour behaviour : List.of(Step.Behaviour.PLAIN, LATENCY_CRITICAL, BEST_EFFORT)) {
            long forFewWorkers = examinedWorkersPerStart(45, behaviour);
            long forManyWorkers = examinedWorkersPerStart(WORKERS, behaviour);
            assertTrue(
                    forManyWorkers <= 2 * forFewWorkers && forManyWorkers < 20,
                    behaviour + ": " + forFewWorkers + " and " + forManyWorkers);
        }
    }

    private static long examinedWorkersPerStart(int workers, Step.Behaviour behaviour) {
        SchedulerFixture fixture = fixture(workers);
        fixture.add(fixture.job("latency-critical", SchedulerFixture.step(workers, 3000, LATENCY_CRITICAL)));
        fixture.scheduler.plan();
        for (int i = 0; i < workers / TASKS_PER_SMALL_JOB; i++) {
            fixture.add(fixture.job("next" + i, SchedulerFixture.step(TASKS_PER_SMALL_JOB, 1000, behaviour)));
        }
        long before = fixture.scheduler.examinedWorkers();
        List<Order.Start> starts = new ArrayList<>(fixture.starts());
        assertEquals(starts.size(), workers / TASKS_PER_SMALL_JOB * TASKS_PER_SMALL_JOB, behaviour.toString());
        return (fixture.scheduler.examinedWorkers() - before) / starts.size();
    }

    /** Guards against waiting tasks that are not retried when a worker becomes available again. */
    @Test
    public void retriesWaitingTasksOnWorkersThatBecomeAvailable() {
        SchedulerFixture fixture = fixture(1);
        fixture.time.advance(Duration.ofSeconds(5));
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        assertTrue(fixture.starts().isEmpty(), "the worker is unresponsive");
        fixture.report("w0", List.of(), List.of());
        assertEquals(fixture.starts().size(), 1);
    }

    /** Guards against best-effort tasks that keep waiting after the tail latencies on a worker have fallen. */
    @Test
    public void retriesBestEffortTasksWhenReportShowsHeadroom() {
        SchedulerFixture fixture = fixture(1);
        fixture.add(fixture.job("latency-critical", SchedulerFixture.step(1, 1500, LATENCY_CRITICAL)));
        Order.Start latencyCritical = fixture.starts().getFirst();
        reportTail(fixture, latencyCritical, 60);
        fixture.add(fixture.job("best-effort", SchedulerFixture.step(1, 1000, BEST_EFFORT)));
        assertTrue(fixture.starts().isEmpty(), "no headroom");
        reportTail(fixture, latencyCritical, 10);
        assertEquals(fixture.starts().size(), 1);
    }

    private static void reportTail(SchedulerFixture fixture, Order.Start latencyCritical, int tailMs) {
        for (int i = 0; i < 20; i++) {
            fixture.time.advance(Duration.ofMillis(500));
            fixture.report("w0", List.of(SchedulerFixture.running(latencyCritical, 100, tailMs)), List.of());
        }
    }

    /** Guards against a task that keeps waiting although a change has freed capacity for it. */
    @Test
    public void noChangeThatFreesCapacityIsMissed() {
        for (int seed = 0; seed < 20; seed++) {
            new RandomSimulation(seed).run();
        }
    }

    /**
     * Applies random events. After each plan all workers are made available anew, which must not lead to further
     * starts.
     */
    private static final class RandomSimulation {
        private static final int WORKER_COUNT = 6;

        private final Random random;
        private final SchedulerFixture fixture = new SchedulerFixture();
        private final Map<String, List<Order.Start>> running = new HashMap<>();
        private final Map<String, Long> endSequences = new HashMap<>();
        private final Set<AvailabilityZone> allZones = new HashSet<>();
        private Set<AvailabilityZone> evacuatedZones = Set.of();
        private final String context;
        private int jobCount;

        RandomSimulation(int seed) {
            random = new Random(seed);
            context = "seed " + seed;
            for (int i = 0; i < WORKER_COUNT; i++) {
                fixture.workers.add(fixture.worker("w" + i, SchedulerFixture.INCARNATION));
                allZones.add(fixture.workers.get(i).zone());
            }
            fixture.scheduler.updateWorkers(fixture.workers);
        }

        void run() {
            for (int step = 0; step < 300; step++) {
                fixture.time.advance(Duration.ofMillis(random.nextInt(400)));
                applyRandomEvent();
                for (Plan plan = fixture.scheduler.plan(); !plan.isEmpty(); plan = fixture.scheduler.plan()) {
                    apply(plan);
                }
                fixture.scheduler.setEvacuatedZones(allZones);
                fixture.scheduler.setEvacuatedZones(evacuatedZones);
                List<Order.Start> missedStarts = fixture.starts();
                assertTrue(missedStarts.isEmpty(), context + ", step " + step + ": " + missedStarts);
            }
        }

        private void apply(Plan plan) {
            for (Order order : plan.orders()) {
                List<Order.Start> workerRuns =
                        running.computeIfAbsent(order.worker().value(), _ -> new ArrayList<>());
                switch (order) {
                    case Order.Start start -> workerRuns.add(start);
                    case Order.Stop stop -> {
                        if (workerRuns.removeIf(
                                start -> start.task().equals(stop.task()) && start.run() == stop.run())) {
                            report(order.worker().value(), List.of(endOf(stop, WorkerReport.EndKind.INTERRUPTED)));
                        }
                    }
                    case Order.SetCpuLimit _ -> {}
                }
            }
        }

        private WorkerReport.Ended endOf(Order order, WorkerReport.EndKind kind) {
            return SchedulerFixture.ended(endSequences.merge(order.worker().value(), 1L, Long::sum), order, kind);
        }

        private void report(String id, List<WorkerReport.Ended> ended) {
            List<WorkerReport.Running> runs = new ArrayList<>();
            running.getOrDefault(id, List.of()).forEach(start -> runs.add(SchedulerFixture.running(start, 100, 0)));
            fixture.report(id, runs, ended);
        }

        private void applyRandomEvent() {
            String id = "w" + random.nextInt(WORKER_COUNT);
            switch (random.nextInt(12)) {
                case 0, 1 -> fixture.add(fixture.job("j" + jobCount++, randomStep(), randomStep()));
                case 2 -> {
                    evacuatedZones = random.nextBoolean() ? Set.of() : Set.of(new AvailabilityZone("zone-" + id));
                    fixture.scheduler.setEvacuatedZones(evacuatedZones);
                }
                case 3 -> fixture.setDraining(id, random.nextBoolean());
                case 4 -> {
                    fixture.scheduler.updateWorkers(fixture.workers.stream()
                            .filter(worker -> !worker.id().value().equals(id))
                            .toList());
                }
                case 5 -> fixture.scheduler.updateWorkers(fixture.workers);
                case 6 -> fixture.scheduler.cancelJob(new JobId("j" + random.nextInt(jobCount + 1)));
                default -> endRandomRun(id);
            }
        }

        private void endRandomRun(String id) {
            List<Order.Start> workerRuns = running.getOrDefault(id, new ArrayList<>());
            if (workerRuns.isEmpty()) {
                report(id, List.of());
                return;
            }
            Order.Start start = workerRuns.remove(random.nextInt(workerRuns.size()));
            WorkerReport.EndKind[] kinds = WorkerReport.EndKind.values();
            report(id, List.of(endOf(start, kinds[random.nextInt(kinds.length)])));
        }

        private Step randomStep() {
            Step.Behaviour behaviour = switch (random.nextInt(3)) {
                case 0 -> Step.Behaviour.PLAIN;
                case 1 -> new Step.Behaviour("l", false, true, false, 0, 0);
                default -> BEST_EFFORT;
            };
            Step.Constraints constraints = new Step.Constraints(
                    random.nextInt(4) == 0 ? Optional.of("rack-w1") : Optional.empty(),
                    random.nextBoolean() ? Optional.of("rack-w2") : Optional.empty(),
                    random.nextInt(3));
            return new Step(
                    1 + random.nextInt(4),
                    new Resources(0, 0, 500 * (1 + random.nextInt(9)), 100, 0),
                    Duration.ofSeconds(1),
                    List.of(),
                    constraints,
                    behaviour);
        }
    }
}
