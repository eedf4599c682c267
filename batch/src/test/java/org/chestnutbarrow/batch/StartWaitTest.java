package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.testng.annotations.Test;

/** Tests the size and the wait of a task that its start carries for the log. */
public class StartWaitTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);

    /** Guards against starts whose log lines do not show for how long tasks of which size wait. */
    @Test
    public void startCarriesSizeAndWait() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 6000, Step.Behaviour.PLAIN)));
        Order.Start first = fixture.starts().getFirst();
        assertEquals(first.milliCores(), 6000);
        assertEquals(first.waited(), Duration.ZERO);
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 7000, Step.Behaviour.PLAIN)));
        assertTrue(fixture.starts().isEmpty());
        fixture.time.advance(Duration.ofMillis(700));
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.DONE)));
        Order.Start second = fixture.starts().getFirst();
        assertEquals(second.milliCores(), 7000);
        assertEquals(second.waited(), Duration.ofMillis(700));
    }

    /** Guards against waits that include the time of an earlier run or of an earlier step. */
    @Test
    public void waitBeginsWhenTaskMayRun() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step step = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
        fixture.add(fixture.job("a", step, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN, 0)));
        Order.Start first = fixture.starts().getFirst();
        fixture.time.advance(Duration.ofMillis(300));
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.FAILED)));
        Order.Start second = fixture.starts().getFirst();
        assertEquals(second.run(), 2);
        assertEquals(second.waited(), Duration.ZERO);
        fixture.time.advance(Duration.ofMillis(300));
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(2, second, EndKind.DONE)));
        Order.Start next = fixture.starts().getFirst();
        assertEquals(next.task().step(), 1);
        assertEquals(next.waited(), Duration.ZERO);
    }

    /** Guards against waits that leave out the time for which the owner held all starts back. */
    @Test
    public void waitIncludesTimeWithoutStarts() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step step = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
        fixture.add(fixture.job("a", step, step));
        fixture.scheduler.plan(0);
        fixture.time.advance(Duration.ofMillis(400));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 2);
        starts.forEach(start -> assertEquals(start.waited(), Duration.ofMillis(400)));
    }

    /** Returns a scheduler of a later owner whose clocks are {@code elapsed} after those of the first owner. */
    private static SchedulerFixture owner(Duration elapsed, String worker) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.time.advance(elapsed);
        return fixture.withWorkers(worker);
    }

    /** Returns the progress of a job that has just failed for the first time, 1 s after its submission. */
    private static JobProgress progressAfterFailure(SchedulerFixture fixture, JobSpec job) {
        fixture.add(job);
        Order.Start first = fixture.starts().getFirst();
        fixture.time.advance(Duration.ofSeconds(1));
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.FAILED)));
        return fixture.scheduler.plan(0).changes().getFirst();
    }

    private static JobProgress withWaitingSince(JobProgress progress, Optional<Instant> since) {
        List<List<TaskRecord>> steps = progress.steps().stream()
                .map(tasks ->
                        tasks.stream().map(task -> task.withWaitingSince(since)).toList())
                .toList();
        return new JobProgress(progress.id(), progress.state(), progress.changedAt(), steps);
    }

    /** Guards against waits that begin anew with each owner, so that a task waits for long while none of them knows. */
    @Test
    public void waitGoesOnOverChangesOfTheOwner() {
        SchedulerFixture fixture = owner(Duration.ZERO, "w1");
        Step onlyOnW1 = new Step(
                1,
                PLAIN.demand(),
                PLAIN.estimate(),
                List.of(),
                new Step.Constraints(Optional.of("rack-w1"), Optional.empty(), 0),
                Step.Behaviour.PLAIN);
        JobSpec job = fixture.job("a", onlyOnW1, PLAIN);
        fixture.add(job);
        List<Order.Start> first = fixture.starts();
        fixture.time.advance(Duration.ofSeconds(1));
        fixture.report(
                "w1",
                List.of(),
                List.of(
                        SchedulerFixture.ended(1, first.get(0), EndKind.FAILED),
                        SchedulerFixture.ended(2, first.get(1), EndKind.INTERRUPTED)));
        JobProgress progress = fixture.scheduler.plan(0).changes().getFirst();
        Duration elapsed = Duration.ofSeconds(1);
        for (int term = 0; term < 5; term++) {
            elapsed = elapsed.plusSeconds(2);
            SchedulerFixture later = owner(elapsed, "w2");
            later.scheduler.addJob(job, Optional.of(progress));
            // The end of a run of another task makes each owner store the progress of the job again.
            Order.Start other = later.starts().getFirst();
            later.report("w2", List.of(), List.of(SchedulerFixture.ended(1, other, EndKind.INTERRUPTED)));
            progress = later.scheduler.plan(0).changes().getFirst();
        }
        SchedulerFixture last = owner(elapsed.plusSeconds(2), "w1");
        last.scheduler.addJob(job, Optional.of(progress));
        assertEquals(
                last.starts().stream().map(Order.Start::waited).toList(),
                List.of(Duration.ofSeconds(12), Duration.ofSeconds(2)));
    }

    /** Guards against waits that begin anew with each owner for tasks that have not run yet. */
    @Test
    public void waitOfFirstRunGoesOnOverChangesOfTheOwner() {
        SchedulerFixture earlier = owner(Duration.ZERO, "w1");
        JobSpec job = earlier.job("a", PLAIN, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN, 0));
        earlier.add(job);
        Order.Start first = earlier.starts().getFirst();
        earlier.time.advance(Duration.ofMillis(300));
        earlier.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.DONE)));
        JobProgress progress = earlier.scheduler.plan(0).changes().getFirst();

        SchedulerFixture later = owner(Duration.ofMillis(1500), "w1");
        later.scheduler.addJob(job, Optional.of(progress));
        Order.Start next = later.starts().getFirst();
        assertEquals(next.task().step(), 1);
        assertEquals(next.waited(), Duration.ofMillis(1200));

        SchedulerFixture unstarted = owner(Duration.ofMillis(1500), "w1");
        unstarted.scheduler.addJob(job, Optional.empty());
        assertEquals(unstarted.starts().getFirst().waited(), Duration.ofMillis(1500));
    }

    /** Guards against waits that are stored with a run in progress and then count for the next one. */
    @Test
    public void assignedTaskDoesNotWait() {
        SchedulerFixture fixture = owner(Duration.ZERO, "w1");
        JobSpec job = fixture.job("a", SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN));
        JobProgress waiting = progressAfterFailure(fixture, job);
        assertEquals(
                waiting.steps().getFirst().stream()
                        .map(TaskRecord::waitingSince)
                        .toList(),
                List.of(Optional.of(fixture.time.now()), Optional.empty()));
        JobProgress placed = fixture.scheduler.plan().changes().getFirst();
        assertEquals(placed.steps().getFirst().getFirst().run(), 2);
        assertEquals(placed.steps().getFirst().getFirst().waitingSince(), Optional.empty());
    }

    /** Guards against waits of restored tasks that count from the start of the clock. */
    @Test
    public void unknownWaitOfRestoredTaskBeginsWithTerm() {
        SchedulerFixture earlier = owner(Duration.ZERO, "w1");
        JobSpec job = earlier.job("a", PLAIN, SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN, 0));
        earlier.add(job);
        Order.Start first = earlier.starts().getFirst();
        earlier.report("w1", List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.DONE)));
        JobProgress progress =
                withWaitingSince(earlier.scheduler.plan(0).changes().getFirst(), Optional.empty());
        SchedulerFixture later = owner(Duration.ofSeconds(1), "w1");
        later.scheduler.addJob(job, Optional.of(progress));
        later.time.advance(Duration.ofMillis(200));
        Order.Start next = later.starts().getFirst();
        assertEquals(next.task().step(), 1);
        assertEquals(next.waited(), Duration.ofMillis(200));
    }

    /** Guards against a clock that was wrong when a wait was stored, which must neither stop the job nor start it late. */
    @Test
    public void impossibleTimesDoNotAffectStarts() {
        SchedulerFixture fixture = owner(Duration.ZERO, "w1");
        JobSpec job = fixture.job("a", PLAIN);
        JobProgress progress = progressAfterFailure(fixture, job);
        Map<Instant, Duration> waits = Map.of(
                fixture.time.now().plusSeconds(3600), Duration.ofMillis(200),
                Instant.ofEpochMilli(Long.MAX_VALUE), Duration.ofMillis(200),
                Instant.ofEpochMilli(Long.MIN_VALUE), Duration.ofDays(1).plusMillis(200));
        waits.forEach((since, wait) -> {
            SchedulerFixture later = owner(Duration.ofSeconds(2), "w1");
            later.scheduler.addJob(job, Optional.of(withWaitingSince(progress, Optional.of(since))));
            later.time.advance(Duration.ofMillis(200));
            assertEquals(later.starts().getFirst().waited(), wait, "waiting since " + since);
        });
    }
}
