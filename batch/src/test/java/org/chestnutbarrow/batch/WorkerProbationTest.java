package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what workers that are or were on probation get, and that their faults are not blamed on jobs. */
public class WorkerProbationTest {
    private static final Duration MAX_QUARANTINE = Duration.ofSeconds(16);
    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);

    private static Step onWorker1(int milliCores, Step.Behaviour behaviour) {
        return new Step(
                1,
                new Resources(0, 0, milliCores, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                new Step.Constraints(Optional.of("rack-w1"), Optional.empty(), 0),
                behaviour);
    }

    private static List<Order.Start> startsOf(SchedulerFixture fixture, String job) {
        return fixture.starts().stream()
                .filter(start -> start.task().job().equals(new JobId(job)))
                .toList();
    }

    /** Makes runs of distinct jobs fail on w1 until it gets no more. */
    private static long suspect(SchedulerFixture fixture, List<WorkerReport.Running> running, long sequence) {
        for (int i = 0; i < 20; i++) {
            String job = "failing" + sequence;
            fixture.add(fixture.job(job, onWorker1(1000, Step.Behaviour.PLAIN)));
            List<Order.Start> starts = startsOf(fixture, job);
            if (starts.isEmpty()) {
                fixture.scheduler.cancelJob(new JobId(job));
                return sequence;
            }
            fixture.report("w1", running, List.of(SchedulerFixture.ended(sequence, starts.getFirst(), EndKind.FAILED)));
            sequence++;
            fixture.scheduler.cancelJob(new JobId(job));
        }
        throw new AssertionError("w1 is not suspected");
    }

    /** Guards against a worker that gets no task any more because it once got a long-running one on probation. */
    @Test
    public void workerWithLongRunningTrialGetsTasksAfterNextQuarantine() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        long sequence = suspect(fixture, List.of(), 1);
        fixture.time.advance(MAX_QUARANTINE);
        fixture.report("w1", List.of(), List.of());
        fixture.add(fixture.job("service", onWorker1(1000, LONG_RUNNING)));
        Order.Start service = startsOf(fixture, "service").getFirst();
        fixture.scheduler.confirmStarted(service.task(), service.run());
        List<WorkerReport.Running> running = List.of(SchedulerFixture.running(service, 100, 10));
        fixture.report("w1", running, List.of());
        suspect(fixture, running, sequence);
        for (int i = 0; i < 60; i++) {
            fixture.time.advance(Duration.ofSeconds(1));
            fixture.report("w1", running, List.of());
        }
        fixture.add(fixture.job("later", onWorker1(1000, Step.Behaviour.PLAIN)));
        assertFalse(startsOf(fixture, "later").isEmpty(), "w1 has room and gets no task a minute after its quarantine");
    }

    /** Guards against a service that stays nearly empty after an outage in which runs failed on all of its workers. */
    @Test
    public void outageOfAllWorkersDoesNotLeaveServiceNearlyEmpty() {
        int workers = 20;
        SchedulerFixture fixture = new SchedulerFixture()
                .withWorkers(IntStream.range(0, workers).mapToObj(i -> "w" + i).toArray(String[]::new));
        long sequence = 1;
        for (int round = 0; round < 8; round++) {
            for (int i = 0; i < workers * 8; i++) {
                fixture.add(
                        fixture.job("failing" + round + "-" + i, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
            }
            List<Order.Start> starts = fixture.starts();
            for (Order.Start start : starts) {
                fixture.report(
                        start.worker().value(),
                        List.of(),
                        List.of(SchedulerFixture.ended(sequence++, start, EndKind.FAILED)));
            }
            for (int i = 0; i < workers * 8; i++) {
                fixture.scheduler.cancelJob(new JobId("failing" + round + "-" + i));
            }
            fixture.starts();
            fixture.time.advance(Duration.ofMillis(300));
        }
        fixture.time.advance(MAX_QUARANTINE);
        fixture.workers.forEach(worker -> fixture.report(worker.id().value(), List.of(), List.of()));
        for (int i = 0; i < workers * 8; i++) {
            fixture.add(fixture.job("long" + i, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        }
        List<Order.Start> runs = new ArrayList<>();
        for (int second = 0; second < 10; second++) {
            runs.addAll(fixture.starts());
            fixture.time.advance(Duration.ofSeconds(1));
            int percent = 2 * second;
            fixture.workers.forEach(worker -> fixture.report(
                    worker.id().value(),
                    runs.stream()
                            .filter(run -> run.worker().equals(worker.id()))
                            .map(run -> SchedulerFixture.running(run, percent, 10))
                            .toList(),
                    List.of()));
        }
        assertTrue(runs.size() >= workers * 4, runs.size() + " of " + workers * 8 + " runs after 10 s");
    }

    /** Guards against a faulty worker that is not quarantined because it fails several runs of each job. */
    @Test
    public void workerThatFailsAllTasksOfTwoJobsIsQuarantined() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        // w2 is full, so that w1 gets all tasks of both jobs.
        fixture.add(fixture.job(
                "fill",
                new Step(
                        8,
                        new Resources(0, 0, 1000, 100, 0),
                        Duration.ofSeconds(1),
                        List.of(),
                        new Step.Constraints(Optional.of("rack-w2"), Optional.empty(), 0),
                        Step.Behaviour.PLAIN)));
        fixture.starts();
        int failures = 0;
        long sequence = 1;
        for (int job = 0; job < 6; job++) {
            fixture.add(fixture.job("job" + job, SchedulerFixture.step(4, 1000, Step.Behaviour.PLAIN)));
        }
        for (int round = 0; round < 12; round++) {
            Plan plan = fixture.scheduler.plan();
            if (!plan.quarantined().isEmpty()) {
                break;
            }
            for (Order.Start start : SchedulerFixture.starts(plan)) {
                assertEquals(start.worker(), new WorkerId("w1"));
                fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(sequence++, start, EndKind.FAILED)));
                failures++;
            }
        }
        assertTrue(failures <= 8, failures + " failures before the quarantine");
    }

    /** Guards against long-running tasks that are started on a faulty worker again and again while others have room. */
    @Test(dataProvider = "jobs")
    public void tasksThatFailAtStartOnFaultyWorkerRunElsewhere(int jobs) {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3");
        // By best fit, w1 is preferred.
        fixture.add(fixture.job("filler", onWorker1(3000, LONG_RUNNING)));
        Order.Start filler = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(filler.task(), filler.run());
        WorkerReport.Running running = SchedulerFixture.running(filler, 100, 10);
        fixture.report("w1", List.of(running), List.of());
        for (int i = 0; i < jobs; i++) {
            fixture.add(fixture.job("service" + i, SchedulerFixture.step(1, 1000, LONG_RUNNING)));
        }
        long sequence = 1;
        int onOthers = 0;
        int failures = 0;
        for (int i = 0; i < 300 && onOthers < jobs; i++) {
            List<WorkerReport.Ended> ended = new ArrayList<>();
            for (Order.Start start : fixture.starts()) {
                fixture.scheduler.confirmStarted(start.task(), start.run());
                if (start.worker().equals(new WorkerId("w1"))) {
                    ended.add(SchedulerFixture.ended(sequence++, start, EndKind.FAILED));
                    failures++;
                } else {
                    onOthers++;
                }
            }
            fixture.time.advance(Duration.ofMillis(100));
            fixture.report("w1", List.of(running), ended);
            fixture.report("w2", List.of(), List.of());
            fixture.report("w3", List.of(), List.of());
        }
        assertEquals(onOthers, jobs, "tasks that run on sound workers after 30 s and " + failures + " failed starts");
    }

    @DataProvider
    public Object[][] jobs() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    /** Guards against a running task that is stopped for room on a worker on probation that another one gets. */
    @Test
    public void tasksAreNotMovedTogetherToWorkerOnProbation() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        suspect(fixture, List.of(), 1);
        List<Order.Start> services = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            fixture.add(fixture.job("service" + i, SchedulerFixture.step(1, 1000, LONG_RUNNING)));
            services.addAll(fixture.starts());
        }
        assertEquals(services.size(), 2);
        List<WorkerReport.Running> running = services.stream()
                .map(service -> SchedulerFixture.running(service, 100, 10))
                .toList();
        services.forEach(service -> fixture.scheduler.confirmStarted(service.task(), service.run()));
        fixture.time.advance(MAX_QUARANTINE);
        fixture.report("w1", List.of(), List.of());
        fixture.report("w2", running, List.of());
        fixture.starts();
        fixture.setDraining("w2", true);
        fixture.report("w2", running, List.of());
        List<Order.Stop> stops = fixture.stops();
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (Order.Stop stop : stops) {
            ended.add(SchedulerFixture.ended(ended.size() + 1, stop, EndKind.INTERRUPTED));
        }
        List<WorkerReport.Running> left = running.stream()
                .filter(run -> stops.stream().noneMatch(stop -> stop.task().equals(run.task())))
                .toList();
        fixture.report("w2", left, ended);
        assertEquals(fixture.starts().size(), stops.size(), "tasks that run again of those that were stopped");
    }

    /** Guards against a second run on a worker on probation whose first one goes on. */
    @Test
    public void nextOwnerLetsOneRunInOnProbation() {
        SchedulerFixture first = new SchedulerFixture().withWorkers("w1", "w2");
        suspect(first, List.of(), 1);
        first.time.advance(MAX_QUARANTINE);
        first.report("w1", List.of(), List.of());
        JobSpec trial = first.job("trial", onWorker1(1000, Step.Behaviour.PLAIN));
        first.add(trial);
        Plan plan = first.scheduler.plan();
        Order.Start start = SchedulerFixture.starts(plan).getFirst();
        SchedulerFixture next = new SchedulerFixture();
        next.time.advance(MAX_QUARANTINE);
        next.scheduler.restore(first.scheduler.estimates());
        next.scheduler.addJob(
                trial,
                plan.changes().stream()
                        .filter(change -> change.id().equals(trial.id()))
                        .findFirst());
        next.withWorkers("w1", "w2");
        next.report("w1", List.of(SchedulerFixture.running(start, 10, 10)), List.of());
        next.add(next.job("second", onWorker1(1000, Step.Behaviour.PLAIN)));
        assertEquals(startsOf(next, "second"), List.of());
    }

    /** Guards against a job that counts as faulty for ever since each of its tasks has failed once in its time. */
    @Test
    public void restoredFailuresOfEarlierRunsDoNotMakeJobFaulty() {
        JobOutcomes outcomes = new JobOutcomes();
        for (int i = 0; i < 24; i++) {
            outcomes.restore(new TaskRecord(
                    false,
                    40,
                    1,
                    "",
                    Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), 1)),
                    Optional.empty()));
        }
        double rate = outcomes.expectedFailureRate(FailureRates.PRIOR_RATE);
        assertTrue(
                rate <= FailureRates.MAX_RATE,
                "one of 40 runs of each task has failed, and the expected rate is " + rate);
    }
}
