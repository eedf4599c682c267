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
    private static List<Order.Start> fillWorkersAndAddBacklog(SchedulerFixture f) {
        f.add(f.job("full", SchedulerFixture.step(WORKERS, 8000, Step.Behaviour.PLAIN)));
        List<Order.Start> starts = f.starts();
        assertEquals(starts.size(), WORKERS);
        for (int i = 0; i < JOBS; i++) {
            Step.Behaviour behaviour = i % 2 == 0 ? Step.Behaviour.PLAIN : BEST_EFFORT;
            f.add(f.job("waiting" + i, SchedulerFixture.step(TASKS_PER_JOB, 4000, behaviour)));
        }
        assertTrue(f.starts().isEmpty());
        return starts;
    }

    private static long examinedWorkersByPlan(SchedulerFixture f) {
        long before = f.scheduler.examinedWorkers();
        f.scheduler.plan();
        return f.scheduler.examinedWorkers() - before;
    }

    /**
     * Guards against plans whose cost is the product of waiting jobs and workers, which delayed the processing of
     * reports.
     */
    @Test
    public void doesNotRetryBacklogOnUnchangedWorkers() {
        SchedulerFixture f = fixture(WORKERS);
        fillWorkersAndAddBacklog(f);
        assertEquals(examinedWorkersByPlan(f), 0);
    }

    /** Guards against a single end or report that makes a plan retry the whole backlog on all workers. */
    @Test
    public void endOfRunRetriesBacklogOnItsWorkerOnly() {
        SchedulerFixture f = fixture(WORKERS);
        Order.Start first = fillWorkersAndAddBacklog(f).getFirst();
        f.report(
                first.worker().value(),
                List.of(),
                List.of(SchedulerFixture.ended(1, first, WorkerReport.EndKind.DONE)));
        assertTrue(examinedWorkersByPlan(f) < 20, "one worker per equivalence class, and the starts on it");
        f.time.advance(Duration.ofMillis(500));
        f.report(first.worker().value(), List.of(), List.of());
        assertTrue(examinedWorkersByPlan(f) < 20);
    }

    /** Guards against decisions whose cost grows linearly with the number of workers. */
    @Test
    public void decisionExaminesFewWorkers() {
        for (Step.Behaviour behaviour : List.of(Step.Behaviour.PLAIN, LATENCY_CRITICAL, BEST_EFFORT)) {
            long few = examinedWorkersPerStart(45, behaviour);
            long many = examinedWorkersPerStart(WORKERS, behaviour);
            assertTrue(many <= 2 * few && many < 20, behaviour + ": " + few + " and " + many);
        }
    }

    private static long examinedWorkersPerStart(int workers, Step.Behaviour behaviour) {
        SchedulerFixture f = fixture(workers);
        f.add(f.job("serving", SchedulerFixture.step(workers, 3000, LATENCY_CRITICAL)));
        f.scheduler.plan();
        for (int i = 0; i < workers / TASKS_PER_SMALL_JOB; i++) {
            f.add(f.job("next" + i, SchedulerFixture.step(TASKS_PER_SMALL_JOB, 1000, behaviour)));
        }
        long before = f.scheduler.examinedWorkers();
        List<Order.Start> starts = new ArrayList<>(f.starts());
        assertEquals(starts.size(), workers / TASKS_PER_SMALL_JOB * TASKS_PER_SMALL_JOB, behaviour.toString());
        return (f.scheduler.examinedWorkers() - before) / starts.size();
    }

    /** Guards against waiting tasks that are not retried when a worker becomes available again. */
    @Test
    public void retriesWaitingTasksOnWorkersThatBecomeAvailable() {
        SchedulerFixture f = fixture(1);
        f.time.advance(Duration.ofSeconds(5));
        f.add(f.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        assertTrue(f.starts().isEmpty(), "the worker is unresponsive");
        f.report("w0", List.of(), List.of());
        assertEquals(f.starts().size(), 1);
    }

    /** Guards against best-effort tasks that keep waiting after the tail latencies on a worker have fallen. */
    @Test
    public void retriesBestEffortTasksWhenReportShowsHeadroom() {
        SchedulerFixture f = fixture(1);
        f.add(f.job("serving", SchedulerFixture.step(1, 1500, LATENCY_CRITICAL)));
        Order.Start latencyCritical = f.starts().getFirst();
        reportTail(f, latencyCritical, 60);
        f.add(f.job("filling", SchedulerFixture.step(1, 1000, BEST_EFFORT)));
        assertTrue(f.starts().isEmpty(), "no headroom");
        reportTail(f, latencyCritical, 10);
        assertEquals(f.starts().size(), 1);
    }

    private static void reportTail(SchedulerFixture f, Order.Start latencyCritical, int tailMs) {
        for (int i = 0; i < 20; i++) {
            f.time.advance(Duration.ofMillis(500));
            f.report("w0", List.of(SchedulerFixture.running(latencyCritical, 100, tailMs)), List.of());
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
        private final SchedulerFixture f = new SchedulerFixture();
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
                f.workers.add(f.worker("w" + i, SchedulerFixture.INCARNATION));
                allZones.add(f.workers.get(i).zone());
            }
            f.scheduler.updateWorkers(f.workers);
        }

        void run() {
            for (int step = 0; step < 300; step++) {
                f.time.advance(Duration.ofMillis(random.nextInt(400)));
                applyRandomEvent();
                for (Plan plan = f.scheduler.plan(); !plan.isEmpty(); plan = f.scheduler.plan()) {
                    apply(plan);
                }
                f.scheduler.setEvacuatedZones(allZones);
                f.scheduler.setEvacuatedZones(evacuatedZones);
                List<Order.Start> missedStarts = f.starts();
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
            f.report(id, runs, ended);
        }

        private void applyRandomEvent() {
            String id = "w" + random.nextInt(WORKER_COUNT);
            switch (random.nextInt(12)) {
                case 0, 1 -> f.add(f.job("j" + jobCount++, randomStep(), randomStep()));
                case 2 -> {
                    evacuatedZones = random.nextBoolean() ? Set.of() : Set.of(new AvailabilityZone("zone-" + id));
                    f.scheduler.setEvacuatedZones(evacuatedZones);
                }
                case 3 -> {
                    boolean draining = random.nextBoolean();
                    f.workers.replaceAll(
                            worker -> worker.id().value().equals(id) ? withDraining(worker, draining) : worker);
                    f.scheduler.updateWorkers(f.workers);
                }
                case 4 -> {
                    f.scheduler.updateWorkers(f.workers.stream()
                            .filter(worker -> !worker.id().value().equals(id))
                            .toList());
                }
                case 5 -> f.scheduler.updateWorkers(f.workers);
                case 6 -> f.scheduler.cancelJob(new JobId("j" + random.nextInt(jobCount + 1)));
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

        private static WorkerEntry withDraining(WorkerEntry worker, boolean draining) {
            return new WorkerEntry(
                    worker.id(),
                    worker.incarnation(),
                    worker.address(),
                    worker.service(),
                    worker.zone(),
                    worker.labels(),
                    worker.capacity(),
                    draining);
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
