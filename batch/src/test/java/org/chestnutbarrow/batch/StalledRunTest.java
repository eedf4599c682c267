package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests the time without progress of a run whose owner changes. */
public class StalledRunTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
    private static final Step LONG_RUNNING =
            SchedulerFixture.step(1, 1000, new Step.Behaviour("image", false, true, false, 50, 0));
    private static final Step BEST_EFFORT =
            SchedulerFixture.step(1, 1000, new Step.Behaviour("image", false, false, true, 0, 0));
    /** A third of the time after which a run without progress is stopped, and a bit more. */
    private static final Duration TERM = Duration.ofMillis(610);

    /** One job with one run, and what its owners hand on. */
    private static final class Run {
        final JobSpec job;
        final Order.Start start;
        JobProgress progress;
        Estimates estimates = Estimates.NONE;

        Run(Step step) {
            SchedulerFixture first = new SchedulerFixture().withWorkers("w1");
            job = first.job("a", step);
            first.add(job);
            Plan plan = first.scheduler.plan();
            start = SchedulerFixture.starts(plan).getFirst();
            progress = plan.changes().getFirst();
        }

        /** Returns the next owner, which has not received a report. */
        SchedulerFixture nextOwner() {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.scheduler.restore(estimates);
            fixture.scheduler.addJob(job, Optional.of(progress));
            fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
            fixture.scheduler.updateWorkers(fixture.workers);
            return fixture;
        }

        /** Reports the run and returns whether it is stopped. */
        boolean isStopped(SchedulerFixture owner, int progressPercent) {
            owner.report("w1", List.of(SchedulerFixture.running(start, progressPercent, 0)), List.of());
            return !owner.stops().isEmpty();
        }

        /** Returns whether the run is stopped in a term in which it is reported twice. */
        boolean isStoppedInTerm(int progressPercent) {
            SchedulerFixture owner = nextOwner();
            boolean stopped = isStopped(owner, progressPercent);
            owner.time.advance(TERM);
            stopped |= isStopped(owner, progressPercent);
            estimates = owner.scheduler.estimates();
            return stopped;
        }
    }

    /** Guards against a stuck run that blocks its job as long as each term is shorter than the timeout. */
    @Test
    public void stuckRunIsStoppedInSeriesOfShortTerms() {
        Run run = new Run(PLAIN);
        assertFalse(run.isStoppedInTerm(10));
        assertFalse(run.isStoppedInTerm(10));
        assertTrue(run.isStoppedInTerm(10));
    }

    /** Guards against a long-running task that never becomes ready and is kept by a series of owners. */
    @Test
    public void longRunningTaskThatDoesNotBecomeReadyIsStopped() {
        Run run = new Run(LONG_RUNNING);
        for (int term = 0; term < 6; term++) {
            assertFalse(run.isStoppedInTerm(0), "term " + term);
        }
        assertTrue(run.isStoppedInTerm(0));
    }

    /** Guards against a run that is stopped because its worker was silent or because owners came and went. */
    @Test
    public void silenceOfTheWorkerDoesNotCount() {
        Run run = new Run(PLAIN);
        assertFalse(run.isStoppedInTerm(10));
        for (int term = 0; term < 5; term++) {
            SchedulerFixture owner = run.nextOwner();
            owner.time.advance(Duration.ofSeconds(3));
            assertTrue(owner.stops().isEmpty());
            run.estimates = owner.scheduler.estimates();
        }
        SchedulerFixture last = run.nextOwner();
        last.time.advance(Duration.ofSeconds(3));
        assertFalse(run.isStopped(last, 10), "the first report after the silence");
        last.time.advance(TERM);
        assertFalse(run.isStopped(last, 10));
        last.time.advance(TERM);
        assertTrue(run.isStopped(last, 10));
    }

    /** Guards against a run that is stopped although it has made progress since. */
    @Test
    public void progressOverChangeOfTheOwnerCounts() {
        Run run = new Run(PLAIN);
        assertFalse(run.isStoppedInTerm(10));
        assertFalse(run.isStoppedInTerm(10));
        assertFalse(run.isStoppedInTerm(11));
        assertFalse(run.isStoppedInTerm(11));
        assertTrue(run.isStoppedInTerm(11));
    }

    /** Guards against the runs of a worker that was paused for some seconds, which are stopped at its next report. */
    @Test
    public void pauseOfTheWorkerDoesNotCount() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        fixture.add(fixture.job("b", PLAIN));
        List<Order.Start> starts = fixture.starts();
        starts.forEach(start -> fixture.scheduler.confirmStarted(start.task(), start.run()));
        List<WorkerReport.Running> runs = starts.stream()
                .map(start -> SchedulerFixture.running(start, 0, 0))
                .toList();
        for (int pause = 0; pause < 2; pause++) {
            // The first pause is before the first report.
            fixture.time.advance(Duration.ofSeconds(5));
            fixture.report("w1", runs, List.of());
            assertEquals(fixture.stops(), List.of(), "pause " + pause);
            runs = starts.stream()
                    .map(start -> SchedulerFixture.running(start, 10, 0))
                    .toList();
            fixture.time.advance(TERM);
            fixture.report("w1", runs, List.of());
        }
        fixture.add(fixture.job("c", PLAIN));
        assertEquals(fixture.starts().size(), 1, "the worker is not quarantined");
        fixture.time.advance(TERM);
        fixture.report("w1", runs, List.of());
        fixture.time.advance(TERM);
        fixture.report("w1", runs, List.of());
        assertEquals(fixture.stops().size(), 2, "the runs are stuck");
    }

    /** Guards against a run to which the time of an earlier run or of an earlier process of its worker is added. */
    @Test
    public void timeOfOtherRunsDoesNotCount() {
        Run run = new Run(PLAIN);
        TaskName task = run.start.task();
        Duration longTime = Duration.ofSeconds(10);
        for (StalledRun other : List.of(
                new StalledRun(task, run.start.run() - 1, SchedulerFixture.INCARNATION, 10, longTime),
                new StalledRun(task, run.start.run(), SchedulerFixture.INCARNATION - 1, 10, longTime))) {
            run.estimates = new Estimates(List.of(), List.of(), List.of(other));
            assertFalse(run.isStopped(run.nextOwner(), 10), other.toString());
        }
    }

    /** Guards against a best-effort run that is stopped although an earlier owner has paused it by its CPU limit. */
    @Test
    public void bestEffortRunsAreNotHandedOn() {
        Run run = new Run(BEST_EFFORT);
        run.isStoppedInTerm(10);
        assertEquals(run.estimates.stalledRuns(), List.of());
    }

    /** Guards against a damaged record that makes each report of its worker fail. */
    @Test
    public void longestTimeIsBounded() {
        Run run = new Run(PLAIN);
        run.estimates = new Estimates(
                List.of(),
                List.of(),
                List.of(new StalledRun(
                        run.start.task(),
                        run.start.run(),
                        SchedulerFixture.INCARNATION,
                        10,
                        Duration.ofMillis(Long.MAX_VALUE))));
        assertTrue(run.isStopped(run.nextOwner(), 10));
    }
}
