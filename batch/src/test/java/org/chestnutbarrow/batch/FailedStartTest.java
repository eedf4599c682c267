package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests long-running tasks that fail before they are ready. */
public class FailedStartTest {
    private static final Duration TIME = Duration.ofSeconds(30);

    @DataProvider
    public Object[][] sites() {
        return new Object[][] {
            {8, 2, 1},
            {8, 10, 1},
            {40, 2, 1},
            {40, 2, 8},
            {40, 10, 1},
            {40, 10, 8},
            {100, 2, 24},
            {100, 10, 1},
            {100, 10, 24}
        };
    }

    private static FailingRuns play(int workers, int jobs, int tasks) {
        FailingRuns site = new FailingRuns(workers, 1, _ -> 0);
        for (int job = 0; job < jobs; job++) {
            site.addBrokenJob(tasks, 1000);
        }
        for (int i = 0; site.elapsed().compareTo(TIME) < 0; i++) {
            if (i % 10 == 5) {
                site.addPlainJob(1);
            }
            site.step();
        }
        return site;
    }

    /** Guards against a task that waits although its last run was ready, was stopped or was lost with its worker. */
    @Test
    public void onlyRepeatedFailedStartsAreFollowedByBackOff() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 1000, longRunning)));
        long sequence = 0;
        Order.Start run = fixture.starts().getFirst();
        for (EndKind kind : List.of(EndKind.FAILED, EndKind.INTERRUPTED, EndKind.INTERRUPTED)) {
            run = endAndStartAgain(fixture, run, ++sequence, kind);
        }
        fail(fixture, run, ++sequence);
        assertEquals(fixture.starts(), List.of());
        fixture.time.advance(Duration.ofMillis(249));
        assertEquals(fixture.starts(), List.of());
        fixture.time.advance(Duration.ofMillis(1));
        run = fixture.starts().getFirst();
        for (int i = 0; i < 3; i++) {
            fixture.report(run.worker().value(), List.of(SchedulerFixture.running(run, 100, 10)), List.of());
            run = endAndStartAgain(fixture, run, ++sequence, EndKind.FAILED);
        }
        run = endAndStartAgain(fixture, run, ++sequence, EndKind.FAILED);
        fail(fixture, run, ++sequence);
        assertEquals(fixture.starts(), List.of(), "the second failed start since the last run that was ready");
    }

    private static Order.Start endAndStartAgain(
            SchedulerFixture fixture, Order.Start run, long sequence, EndKind kind) {
        fixture.report(run.worker().value(), List.of(), List.of(SchedulerFixture.ended(sequence, run, kind)));
        return fixture.starts().getFirst();
    }

    private static void fail(SchedulerFixture fixture, Order.Start run, long sequence) {
        fixture.report(run.worker().value(), List.of(), List.of(SchedulerFixture.ended(sequence, run, EndKind.FAILED)));
    }

    /** Guards against a task in back-off that keeps the other tasks of its step from being placed. */
    @Test
    public void taskInBackOffDoesNotHideOthersOfItsStep() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("service", SchedulerFixture.step(2, 3000, longRunning)));
        List<Order.Start> runs = fixture.starts();
        assertEquals(runs.size(), 2);
        Order.Start first = endAndStartAgain(fixture, runs.getFirst(), 1, EndKind.FAILED);
        fail(fixture, first, 2);
        long examined = fixture.scheduler.examinedWorkers();
        assertEquals(fixture.starts(), List.of());
        assertEquals(fixture.scheduler.examinedWorkers(), examined, "a task in back-off is not searched for");
        Order.Start second = endAndStartAgain(fixture, runs.getLast(), 3, EndKind.INTERRUPTED);
        assertEquals(second.task(), runs.getLast().task());
    }

    /** Guards against other jobs that wait because the workers are quarantined for the failures of a few jobs. */
    @Test(dataProvider = "sites")
    public void otherJobsDoNotWait(int workers, int jobs, int tasks) {
        FailingRuns site = play(workers, jobs, tasks);
        assertTrue(site.longestWait.compareTo(Duration.ofSeconds(1)) <= 0, "waited " + site.longestWait);
    }

    /** Guards against a task that is started again in each plan, and against one that waits for too long. */
    @Test(dataProvider = "sites")
    public void failingTaskIsStartedRarely(int workers, int jobs, int tasks) {
        FailingRuns site = play(workers, jobs, tasks);
        assertTrue(site.brokenStarts.size() == jobs * tasks, site.brokenStarts.size() + " tasks");
        for (List<Duration> starts : site.brokenStarts.values()) {
            long first = starts.stream()
                    .filter(start -> start.compareTo(Duration.ofSeconds(4)) < 0)
                    .count();
            assertTrue(first <= 5, first + " starts in 4 s");
            assertTrue(starts.size() <= 12, starts.size() + " starts in 30 s");
            for (int i = 1; i < starts.size(); i++) {
                Duration gap = starts.get(i).minus(starts.get(i - 1));
                assertTrue(gap.compareTo(Duration.ofMillis(4500)) <= 0, "started again after " + gap);
            }
        }
    }
}
