package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests long-running tasks that lose or leave their worker while such tasks hold over 92 % of their service. */
public class LostTaskTest {
    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);
    private static final int CAPACITY = 8000;
    /** Jobs that wait at any time; few enough that none of them becomes overdue. */
    private static final int WAITING_JOBS = 20;
    /** The rule on long-running tasks asks for the next run within 6 s. */
    private static final int MAX_REPORTS_UNTIL_RESTART = 60;
    /** Share of the service that claims of waiting tasks may hold while long-running tasks hold over 92 %. */
    private static final double MAX_CLAIMED_SHARE = 0.0625;

    /**
     * A service of {@code workers} workers with long-running tasks, at most {@code tasksPerWorker} on each, the rest
     * full of short tasks.
     */
    private static final class FullService {
        private final int milliCores;
        private final int shortMilliCores;
        private SchedulerFixture fixture;
        private final SimulatedWorkers workers;
        private final JobId job = new JobId("service");

        FullService(int workerCount, int tasks, int milliCores, int tasksPerWorker, int shortMilliCores, int seed) {
            this.milliCores = milliCores;
            this.shortMilliCores = shortMilliCores;
            fixture = new SchedulerFixture()
                    .withWorkers(IntStream.range(0, workerCount)
                            .mapToObj(i -> "w" + i)
                            .toArray(String[]::new));
            workers = new SimulatedWorkers(fixture, new Random(seed), Duration.ofMillis(1200));
            Step spread =
                    SchedulerFixture.step(workerCount, CAPACITY - tasksPerWorker * milliCores, Step.Behaviour.PLAIN);
            fixture.add(fixture.job(
                    "spread",
                    new Step(
                            spread.count(),
                            spread.demand(),
                            spread.estimate(),
                            spread.dependencies(),
                            new Step.Constraints(Optional.empty(), Optional.empty(), 1),
                            spread.behaviour())));
            workers.apply(fixture.scheduler.plan());
            fixture.addWithEarlierRuns(
                    fixture.job(job.value(), SchedulerFixture.step(tasks, milliCores, LONG_RUNNING)));
            workers.apply(fixture.scheduler.plan());
            assertEquals(workers.runsOf(job), tasks);
            fixture.scheduler.cancelJob(new JobId("spread"));
            report(50);
            assertEquals(workers.runsOf(new JobId("spread")), 0);
            assertTrue(workers.shortRuns() > 0);
        }

        private List<Order.Start> report() {
            workers.topUpFreshJobs(WAITING_JOBS, shortMilliCores);
            return workers.reportAll();
        }

        private void report(int times) {
            for (int i = 0; i < times; i++) {
                report();
            }
        }

        private long runsOn(WorkerId worker) {
            return runsOn(worker, job);
        }

        private long runsOn(WorkerId worker, JobId ofJob) {
            return workers.runsOn(worker).stream()
                    .filter(run -> run.order().task().job().equals(ofJob))
                    .count();
        }

        private WorkerId workerOf(TaskName task) {
            return fixture.workers.stream()
                    .map(WorkerRegistration::id)
                    .filter(worker -> workers.runsOn(worker).stream()
                            .anyMatch(run -> run.order().task().equals(task)))
                    .findFirst()
                    .orElseThrow();
        }

        /** Loses the workers with the most long-running tasks. */
        private void lose(int count) {
            List<WorkerId> byRuns = new ArrayList<>(
                    fixture.workers.stream().map(WorkerRegistration::id).toList());
            byRuns.sort(
                    Comparator.comparing((WorkerId worker) -> runsOn(worker)).reversed());
            byRuns.subList(0, count).forEach(workers::lose);
        }

        private long waiting(int tasks) {
            return tasks - workers.runsOf(job);
        }

        private Map<TaskName, WorkerId> claims() {
            return fixture.scheduler.claims();
        }

        /** Asserts that short tasks hold all room beside the long-running tasks on workers without a claim. */
        private void checkShortTasks(String context) {
            Set<WorkerId> claimed = new HashSet<>(claims().values());
            for (WorkerRegistration worker : fixture.workers) {
                long left = CAPACITY - runsOn(worker.id()) * milliCores;
                long shortRuns = workers.runsOn(worker.id()).size() - runsOn(worker.id());
                if (!claimed.contains(worker.id())) {
                    assertEquals(shortRuns, left / shortMilliCores, context + ", " + worker.id());
                }
            }
        }
    }

    /** Guards against lost tasks that claim nothing because long-running tasks hold over 92 % of their service. */
    @Test
    public void lostTasksRunAgainWithinBoundOnServiceFullOfLongRunningTasks() {
        for (int seed = 0; seed < 5; seed++) {
            int tasks = 152;
            FullService service = new FullService(20, tasks, 800, 8, 400, seed);
            service.lose(4);
            assertEquals(service.waiting(tasks), 32);
            int reports = 0;
            while (service.waiting(tasks) > 0 && reports < MAX_REPORTS_UNTIL_RESTART) {
                service.report();
                reports++;
            }
            assertEquals(service.waiting(tasks), 0, "seed " + seed + ": tasks that wait for more than 6 s");
        }
    }

    /** Guards against lost tasks that claim so much at once that short tasks have no room while these wait. */
    @Test
    public void lostTasksClaimBoundedShareOfServiceFullOfLongRunningTasks() {
        for (int seed = 0; seed < 5; seed++) {
            int tasks = 152;
            FullService service = new FullService(20, tasks, 800, 8, 400, seed);
            service.lose(4);
            long capacity = 16 * CAPACITY;
            for (int i = 0; i < MAX_REPORTS_UNTIL_RESTART; i++) {
                service.report();
                String context = "seed " + seed + ", report " + i;
                long claimed = service.claims().size() * 800L;
                long lasting = service.workers.runsOf(service.job) * 800L + claimed;
                assertTrue(
                        lasting <= 0.92 * capacity || claimed <= MAX_CLAIMED_SHARE * capacity,
                        context + ": " + claimed + " claimed");
                service.checkShortTasks(context);
            }
        }
    }

    /** Guards against a large task that no second worker can take and that keeps smaller ones from claiming room. */
    @Test
    public void lostTaskWithoutSecondPlaceDoesNotKeepSmallerOnesWaiting() {
        for (int seed = 0; seed < 5; seed++) {
            SchedulerFixture fixture =
                    new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8");
            SimulatedWorkers workers = new SimulatedWorkers(fixture, new Random(seed), Duration.ofMillis(1200));
            fixture.addWithEarlierRuns(fixture.job("most", SchedulerFixture.step(7, 7800, LONG_RUNNING)));
            fixture.addWithEarlierRuns(fixture.job("other", SchedulerFixture.step(1, 4200, LONG_RUNNING)));
            workers.apply(fixture.scheduler.plan());
            for (int i = 0; i < 20; i++) {
                workers.topUpFreshJobs(WAITING_JOBS, 50);
                workers.reportAll();
            }
            fixture.addWithEarlierRuns(fixture.job("large", SchedulerFixture.step(1, 3600, LONG_RUNNING)));
            fixture.addWithEarlierRuns(fixture.job("small", SchedulerFixture.step(1, 150, LONG_RUNNING)));
            for (int i = 0; i < MAX_REPORTS_UNTIL_RESTART; i++) {
                workers.topUpFreshJobs(WAITING_JOBS, 50);
                workers.reportAll();
            }
            assertEquals(workers.runsOf(new JobId("small")), 1, "seed " + seed);
            assertEquals(workers.runsOf(new JobId("large")), 0, "seed " + seed + ": the last place of its size");
        }
    }

    /** Guards against a task that waits longer than others because the next owner restores it after them. */
    @Test
    public void nextOwnerPlacesLongestWaitingTaskFirst() {
        for (int seed = 0; seed < 5; seed++) {
            FullService service = new FullService(6, 6, 3700, 1, 1000, seed);
            TaskName first = new TaskName(service.job, 0, 5);
            TaskName second = new TaskName(service.job, 0, 0);
            for (TaskName task : List.of(first, second)) {
                service.workers.lose(service.workerOf(task));
                service.workers.apply(service.fixture.scheduler.plan(0));
                service.fixture.time.advance(Duration.ofMillis(500));
            }
            service.fixture = service.workers.changeOwner();
            List<TaskName> started = new ArrayList<>();
            for (int i = 0; i < MAX_REPORTS_UNTIL_RESTART; i++) {
                service.report().stream()
                        .map(Order.Start::task)
                        .filter(task -> task.job().equals(service.job))
                        .forEach(started::add);
            }
            assertEquals(started, List.of(first, second), "seed " + seed);
        }
    }

    /**
     * Loses the workers of tasks that need 6000 of 8000 millicores, while short tasks end on the one of two other workers
     * that no task claims.
     */
    private static SchedulerFixture withLostTasks(Step.Constraints constraints, String... lost) {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers(lost);
        Step plain = SchedulerFixture.step(lost.length, 6000, LONG_RUNNING);
        fixture.add(fixture.job(
                "service",
                new Step(
                        lost.length,
                        plain.demand(),
                        plain.estimate(),
                        plain.dependencies(),
                        constraints,
                        LONG_RUNNING)));
        assertEquals(fixture.starts().size(), lost.length);
        fixture.withWorkers("w2", "w3");
        fixture.add(fixture.job("fill", SchedulerFixture.step(16 + 2 * lost.length, 1000, Step.Behaviour.PLAIN)));
        List<Order.Start> fill = fixture.starts();
        assertEquals(fill.size(), 16 + 2 * lost.length);
        for (String id : lost) {
            fixture.workers.removeFirst();
            fixture.scheduler.updateWorkers(fixture.workers);
            fixture.scheduler.expireLeases(
                    new TaskRecord.WorkerIncarnation(new WorkerId(id), SchedulerFixture.INCARNATION));
        }
        assertEquals(jobsOfStarts(fixture, "service"), List.of());
        fixture.add(fixture.job("first", SchedulerFixture.step(1, 1000, LONG_RUNNING)));
        fixture.time.advance(Duration.ofMillis(300));
        long sequence = 0;
        String other = fixture.scheduler.claims().containsValue(new WorkerId("w2")) ? "w3" : "w2";
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (Order.Start start : fill) {
            if (start.worker().value().equals(other) && ended.size() < 4) {
                ended.add(SchedulerFixture.ended(++sequence, start, WorkerReport.EndKind.DONE));
            }
        }
        fixture.report(other, List.of(), ended);
        return fixture;
    }

    private static List<String> jobsOfStarts(SchedulerFixture fixture, String... jobs) {
        return fixture.starts().stream()
                .map(start -> start.task().job().value())
                .filter(List.of(jobs)::contains)
                .toList();
    }

    /** Guards against a job that has just been accepted and takes room while a task that ran before waits for its turn. */
    @Test
    public void noFirstRunOfLongRunningJobStartsWhileLostTaskAwaitsClaim() {
        SchedulerFixture fixture = withLostTasks(Step.Constraints.NONE, "w0", "w1");
        assertEquals(fixture.scheduler.claims().size(), 1, "a second claim would be beyond the bound");
        assertEquals(jobsOfStarts(fixture, "service", "first"), List.of());
        fixture.withWorkers("w4");
        assertEquals(jobsOfStarts(fixture, "service", "first"), List.of("service", "first"));
    }

    /** Guards against an accepted job that waits although there is room beside what is kept for a lost task. */
    @Test
    public void firstRunDoesNotWaitForLostTaskWithClaim() {
        SchedulerFixture fixture = withLostTasks(Step.Constraints.NONE, "w1");
        assertEquals(fixture.scheduler.claims().size(), 1);
        assertEquals(jobsOfStarts(fixture, "service", "first"), List.of("first"));
    }

    private static Step on(String rack, int milliCores, Duration estimate, Step.Behaviour behaviour) {
        return new Step(
                1,
                new Resources(0, 0, milliCores, 100, 0),
                estimate,
                List.of(),
                new Step.Constraints(Optional.of(rack), Optional.empty(), 0),
                behaviour);
    }

    /** Guards against an accepted job that waits on a nearly empty service, because a lost task needs a whole worker. */
    @Test
    public void lostTaskThatNeedsWholeWorkerDoesNotKeepFirstRunsWaiting() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4");
        fixture.add(fixture.job("service", on("rack-w1", 8000, Duration.ofSeconds(1), LONG_RUNNING)));
        fixture.scheduler.cancelJob(new JobId("service"));
        for (String rack : List.of("rack-w2", "rack-w3", "rack-w4")) {
            fixture.add(fixture.job("short-" + rack, on(rack, 1000, Duration.ofMinutes(5), Step.Behaviour.PLAIN)));
        }
        fixture.starts().forEach(run -> fixture.scheduler.confirmStarted(run.task(), run.run()));
        fixture.add(fixture.job("wide", SchedulerFixture.step(1, 8000, LONG_RUNNING)));
        Order.Start wide = fixture.starts().getFirst();
        assertEquals(wide.worker(), new WorkerId("w1"));
        fixture.scheduler.confirmStarted(wide.task(), wide.run());
        fixture.workers.removeIf(worker -> worker.id().equals(wide.worker()));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.scheduler.expireLeases(new TaskRecord.WorkerIncarnation(wide.worker(), SchedulerFixture.INCARNATION));
        fixture.add(fixture.job("accepted", SchedulerFixture.step(1, 1000, LONG_RUNNING)));
        assertEquals(fixture.starts().size(), 1, "the three other workers hold 1000 of 8000 each");
    }

    /** Guards against first runs that wait for a lost task which no worker can take. */
    @Test
    public void firstRunDoesNotWaitForLostTaskThatNoWorkerCanTake() {
        SchedulerFixture fixture =
                withLostTasks(new Step.Constraints(Optional.of("rack-w1"), Optional.empty(), 0), "w1");
        assertEquals(jobsOfStarts(fixture, "service", "first"), List.of("first"));
    }

    /** Guards against runs that stay on a draining worker because the owner changes during its notice. */
    @Test
    public void runsLeaveDrainingWorkerUnderNextOwnerOfServiceFullOfLongRunningTasks() {
        for (int seed = 0; seed < 5; seed++) {
            FullService service = new FullService(15, 285, 400, 19, 400, seed);
            WorkerId draining = new WorkerId("last");
            service.fixture.withWorkers(draining.value());
            JobId moved = new JobId("moved");
            service.fixture.addWithEarlierRuns(
                    service.fixture.job(moved.value(), SchedulerFixture.step(5, 400, LONG_RUNNING)));
            service.report(20);
            assertEquals(service.runsOn(draining, moved), 5);
            service.fixture.setDraining(draining.value(), true);
            service.fixture.time.advance(Duration.ofMillis(2300));
            service.fixture = service.workers.changeOwner();
            Set<TaskName> claimed = new HashSet<>();
            int reports = 0;
            while (service.runsOn(draining, moved) > 0 && reports < 36) {
                service.report();
                claimed.addAll(service.claims().keySet());
                reports++;
            }
            assertEquals(
                    service.runsOn(draining, moved), 0, "seed " + seed + ": runs that are still there after 5.9 s");
            assertFalse(claimed.isEmpty());
            service.report(3);
            assertEquals(service.workers.runsOf(moved), 5, "seed " + seed + ": runs elsewhere");
        }
    }
}
