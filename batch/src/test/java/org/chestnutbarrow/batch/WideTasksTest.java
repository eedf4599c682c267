package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.testng.annotations.Test;

/**
 * Tests that a wide task gets room on workers which a stream of small tasks keeps full. Workers have 8 cores, so that a
 * task is wide above 2.67 cores.
 */
public class WideTasksTest {
    private static final JobId WIDE = new JobId("wide");
    private static final Duration ROUND = Duration.ofMillis(100);
    /** Small tasks take 8 rounds, and a worker is free of them after that. */
    private static final int MAX_ROUNDS = 24;

    private final Map<String, Deque<Order.Start>> running = new TreeMap<>();
    private long ends;
    private int smallJobs;

    private SchedulerFixture fullService(String... workers) {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers(workers);
        running.clear();
        ends = 0;
        for (String worker : workers) {
            running.put(worker, new ArrayDeque<>());
        }
        addSmallJobs(fixture, 8 * workers.length);
        start(fixture);
        return fixture;
    }

    private void addSmallJobs(SchedulerFixture fixture, int count) {
        for (int i = 0; i < count; i++) {
            fixture.add(fixture.job("small" + smallJobs++, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        }
    }

    private List<Order.Start> start(SchedulerFixture fixture) {
        List<Order.Start> starts = fixture.starts();
        starts.forEach(start -> running.get(start.worker().value()).addLast(start));
        return starts;
    }

    /** Ends the eldest task of each worker, one core, while as many small jobs arrive, and plans. */
    private List<Order.Start> nextRound(SchedulerFixture fixture) {
        fixture.time.advance(ROUND);
        addSmallJobs(fixture, running.size());
        List<Order.Start> starts = new ArrayList<>();
        running.forEach((worker, tasks) -> {
            List<WorkerReport.Ended> ended = tasks.isEmpty()
                    ? List.of()
                    : List.of(SchedulerFixture.ended(++ends, tasks.removeFirst(), EndKind.DONE));
            List<WorkerReport.Running> runs = tasks.stream()
                    .map(task -> SchedulerFixture.running(task, 50, 0))
                    .toList();
            fixture.report(worker, runs, ended);
            starts.addAll(start(fixture));
        });
        return starts;
    }

    /** Returns after how many rounds a task of the wide job starts. */
    private int roundsUntilStart(SchedulerFixture fixture, int milliCores) {
        fixture.add(fixture.job(WIDE.value(), SchedulerFixture.step(1, milliCores, Step.Behaviour.PLAIN)));
        for (int round = 1; round <= MAX_ROUNDS; round++) {
            if (nextRound(fixture).stream().anyMatch(start -> start.task().job().equals(WIDE))) {
                return round;
            }
        }
        return MAX_ROUNDS + 1;
    }

    /** Guards against a wide task that waits for as long as small ones take each core that gets free. */
    @Test
    public void wideTaskStartsOnFullService() {
        int rounds = roundsUntilStart(fullService("w1", "w2", "w3"), 4000);
        assertTrue(rounds <= MAX_ROUNDS / 2, rounds + " rounds");
    }

    /** The baseline: without a claim a task of several cores does not start. A task below the bound has none. */
    @Test
    public void narrowerTaskHasNoClaim() {
        SchedulerFixture fixture = fullService("w1", "w2", "w3");
        assertTrue(roundsUntilStart(fixture, 2600) > MAX_ROUNDS);
        assertEquals(fixture.scheduler.claims(), Map.of());
    }

    /** Guards against claims that keep so much room that small tasks wait on a service that is full of them. */
    @Test
    public void smallTasksGoOnBesideClaims() {
        SchedulerFixture fixture = fullService("w1", "w2", "w3");
        fixture.add(fixture.job(WIDE.value(), SchedulerFixture.step(6, 4000, Step.Behaviour.PLAIN)));
        for (int round = 0; round < 4; round++) {
            nextRound(fixture);
        }
        assertEquals(fixture.scheduler.claims().size(), 1);
        int small = 0;
        for (int round = 0; round < 4; round++) {
            small += (int) nextRound(fixture).stream()
                    .filter(start -> !start.task().job().equals(WIDE))
                    .count();
        }
        assertTrue(small >= 4, small + " small tasks in 4 rounds on three workers");
    }

    /** Guards against a claim that outlives its job. */
    @Test
    public void claimEndsWithItsJob() {
        SchedulerFixture fixture = fullService("w1", "w2", "w3");
        fixture.add(fixture.job(WIDE.value(), SchedulerFixture.step(1, 8000, Step.Behaviour.PLAIN)));
        for (int round = 0; round < 4; round++) {
            nextRound(fixture);
        }
        assertEquals(fixture.scheduler.claims().size(), 1);
        fixture.scheduler.cancelJob(WIDE);
        nextRound(fixture);
        assertEquals(fixture.scheduler.claims(), Map.of());
    }
}
