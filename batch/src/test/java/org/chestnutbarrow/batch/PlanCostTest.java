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

/** Guards the cost of decisions, counted as the workers that they look at. */
public class PlanCostTest {
    private static final int WORKERS = 343;
    private static final int JOBS = 300;
    private static final int TASKS = 20;
    private static final int SMALL = 14;
    private static final Step.Behaviour SERVING = new Step.Behaviour("s", false, true, false, 50, 0);
    private static final Step.Behaviour FILLING = new Step.Behaviour("f", true, false, true, 0, 0);

    private static CellFixture fixture(int workers) {
        return new CellFixture()
                .with(IntStream.range(0, workers).mapToObj(i -> "w" + i).toArray(String[]::new));
    }

    /** Workers that are full, with short and filling jobs that wait; returns the starts of what fills them. */
    private static List<Order.Start> fill(CellFixture f) {
        f.add(f.job("full", CellFixture.step(WORKERS, 8000, Step.Behaviour.PLAIN)));
        List<Order.Start> starts = f.starts();
        assertEquals(starts.size(), WORKERS);
        for (int i = 0; i < JOBS; i++) {
            Step.Behaviour behaviour = i % 2 == 0 ? Step.Behaviour.PLAIN : FILLING;
            f.add(f.job("waits" + i, CellFixture.step(TASKS, 4000, behaviour)));
        }
        assertTrue(f.starts().isEmpty());
        return starts;
    }

    private static long examinedByPlan(CellFixture f) {
        long before = f.cell.examined();
        f.cell.plan();
        return f.cell.examined() - before;
    }

    /** Guards against plans whose cost is the product of waiting jobs and workers, which kept reports waiting. */
    @Test
    public void aBacklogIsNotTriedAgainOnWorkersThatHaveNotChanged() {
        CellFixture f = fixture(WORKERS);
        fill(f);
        assertEquals(examinedByPlan(f), 0);
    }

    /** Guards against one end, or one report, that makes the whole backlog be tried on all workers. */
    @Test
    public void anEndLetsTheBacklogBeTriedOnItsWorkerOnly() {
        CellFixture f = fixture(WORKERS);
        Order.Start first = fill(f).getFirst();
        f.report(first.worker().value(), List.of(), List.of(CellFixture.ended(1, first, WorkerReport.EndKind.DONE)));
        assertTrue(examinedByPlan(f) < 20, "one worker for each kind of task, and what it can take");
        f.time.advance(Duration.ofMillis(500));
        f.report(first.worker().value(), List.of(), List.of());
        assertTrue(examinedByPlan(f) < 20);
    }

    /** Guards against decisions whose cost grows as the number of workers. */
    @Test
    public void aDecisionLooksAtFewWorkers() {
        for (Step.Behaviour behaviour : List.of(Step.Behaviour.PLAIN, SERVING, FILLING)) {
            long few = examinedByStart(45, behaviour);
            long many = examinedByStart(WORKERS, behaviour);
            assertTrue(many <= 2 * few && many < 20, behaviour + ": " + few + " and " + many);
        }
    }

    private static long examinedByStart(int workers, Step.Behaviour behaviour) {
        CellFixture f = fixture(workers);
        f.add(f.job("serving", CellFixture.step(workers, 3000, SERVING)));
        f.cell.plan();
        for (int i = 0; i < workers / SMALL; i++) {
            f.add(f.job("next" + i, CellFixture.step(SMALL, 1000, behaviour)));
        }
        long before = f.cell.examined();
        List<Order.Start> starts = new ArrayList<>(f.starts());
        assertEquals(starts.size(), workers / SMALL * SMALL, behaviour.toString());
        return (f.cell.examined() - before) / starts.size();
    }

    /** Guards against waiting tasks that are forgotten when a worker that could not be used can be used again. */
    @Test
    public void waitingTasksAreTriedOnWorkersThatBecomeUsable() {
        CellFixture f = fixture(1);
        f.time.advance(Duration.ofSeconds(5));
        f.add(f.job("a", CellFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        assertTrue(f.starts().isEmpty(), "the worker is silent");
        f.report("w0", List.of(), List.of());
        assertEquals(f.starts().size(), 1);
    }

    /** Guards against filling tasks that wait on although the tails beside them have become short. */
    @Test
    public void waitingFillingTasksAreTriedWhenAReportShowsHeadroom() {
        CellFixture f = fixture(1);
        f.add(f.job("serving", CellFixture.step(1, 1500, SERVING)));
        Order.Start server = f.starts().getFirst();
        reportTail(f, server, 60);
        f.add(f.job("filling", CellFixture.step(1, 1000, FILLING)));
        assertTrue(f.starts().isEmpty(), "no headroom");
        reportTail(f, server, 10);
        assertEquals(f.starts().size(), 1);
    }

    private static void reportTail(CellFixture f, Order.Start server, int tailMs) {
        for (int i = 0; i < 20; i++) {
            f.time.advance(Duration.ofMillis(500));
            f.report("w0", List.of(CellFixture.running(server, 100, tailMs)), List.of());
        }
    }

    /** Guards against a waiting task that stays waiting although some change has made room for it. */
    @Test
    public void noChangeThatMakesRoomIsOverlooked() {
        for (int seed = 0; seed < 20; seed++) {
            new RandomPlay(seed).play();
        }
    }

    /** Random events; after each plan all workers are offered anew, which must not lead to any start. */
    private static final class RandomPlay {
        private static final int HOSTS = 6;

        private final Random random;
        private final CellFixture f = new CellFixture();
        private final Map<String, List<Order.Start>> running = new HashMap<>();
        private final Map<String, Long> ends = new HashMap<>();
        private final Set<AvailabilityZone> zones = new HashSet<>();
        private Set<AvailabilityZone> out = Set.of();
        private final String context;
        private int jobs;

        RandomPlay(int seed) {
            random = new Random(seed);
            context = "seed " + seed;
            for (int i = 0; i < HOSTS; i++) {
                f.workers.add(f.worker("w" + i, CellFixture.BORN));
                zones.add(f.workers.get(i).zone());
            }
            f.cell.updateWorkers(f.workers);
        }

        void play() {
            for (int turn = 0; turn < 300; turn++) {
                f.time.advance(Duration.ofMillis(random.nextInt(400)));
                event();
                for (Plan plan = f.cell.plan(); !plan.isEmpty(); plan = f.cell.plan()) {
                    take(plan);
                }
                f.cell.zonesOut(zones);
                f.cell.zonesOut(out);
                List<Order.Start> overlooked = f.starts();
                assertTrue(overlooked.isEmpty(), context + ", turn " + turn + ": " + overlooked);
            }
        }

        private void take(Plan plan) {
            for (Order order : plan.orders()) {
                List<Order.Start> there = running.computeIfAbsent(order.worker().value(), _ -> new ArrayList<>());
                switch (order) {
                    case Order.Start start -> there.add(start);
                    case Order.Stop stop -> {
                        if (there.removeIf(start -> start.task().equals(stop.task()) && start.run() == stop.run())) {
                            report(order.worker().value(), List.of(end(stop, WorkerReport.EndKind.INTERRUPTED)));
                        }
                    }
                    case Order.Pace _ -> {}
                }
            }
        }

        private WorkerReport.Ended end(Order order, WorkerReport.EndKind how) {
            return CellFixture.ended(ends.merge(order.worker().value(), 1L, Long::sum), order, how);
        }

        private void report(String id, List<WorkerReport.Ended> ended) {
            List<WorkerReport.Running> runs = new ArrayList<>();
            running.getOrDefault(id, List.of()).forEach(start -> runs.add(CellFixture.running(start, 100, 0)));
            f.report(id, runs, ended);
        }

        private void event() {
            String id = "w" + random.nextInt(HOSTS);
            switch (random.nextInt(12)) {
                case 0, 1 -> f.add(f.job("j" + jobs++, step(), step()));
                case 2 -> {
                    out = random.nextBoolean() ? Set.of() : Set.of(new AvailabilityZone("zone-" + id));
                    f.cell.zonesOut(out);
                }
                case 3 -> {
                    boolean leaving = random.nextBoolean();
                    f.workers.replaceAll(w -> w.id().value().equals(id) ? leaving(w, leaving) : w);
                    f.cell.updateWorkers(f.workers);
                }
                case 4 -> {
                    f.cell.updateWorkers(f.workers.stream()
                            .filter(w -> !w.id().value().equals(id))
                            .toList());
                }
                case 5 -> f.cell.updateWorkers(f.workers);
                case 6 -> f.cell.cancelJob(new JobId("j" + random.nextInt(jobs + 1)));
                default -> end(id);
            }
        }

        private void end(String id) {
            List<Order.Start> there = running.getOrDefault(id, new ArrayList<>());
            if (there.isEmpty()) {
                report(id, List.of());
                return;
            }
            Order.Start start = there.remove(random.nextInt(there.size()));
            WorkerReport.EndKind[] kinds = WorkerReport.EndKind.values();
            report(id, List.of(end(start, kinds[random.nextInt(kinds.length)])));
        }

        private static WorkerEntry leaving(WorkerEntry w, boolean leaving) {
            return new WorkerEntry(
                    w.id(), w.born(), w.address(), w.service(), w.zone(), w.labels(), w.capacity(), leaving);
        }

        private Step step() {
            Step.Behaviour behaviour = switch (random.nextInt(3)) {
                case 0 -> Step.Behaviour.PLAIN;
                case 1 -> new Step.Behaviour("l", false, true, false, 0, 0);
                default -> FILLING;
            };
            Step.Constraints where = new Step.Constraints(
                    random.nextInt(4) == 0 ? Optional.of("rack-w1") : Optional.empty(),
                    random.nextBoolean() ? Optional.of("rack-w2") : Optional.empty(),
                    random.nextInt(3));
            return new Step(
                    1 + random.nextInt(4),
                    new Resources(0, 0, 500 * (1 + random.nextInt(9)), 100, 0),
                    Duration.ofSeconds(1),
                    List.of(),
                    where,
                    behaviour);
        }
    }
}
