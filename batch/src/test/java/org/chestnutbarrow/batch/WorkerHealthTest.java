package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that a worker whose runs fail is quarantined, also if the owner changes in between. */
public class WorkerHealthTest {
    private static final Duration FIRST_QUARANTINE = Duration.ofSeconds(4);
    private static final TaskRecord.WorkerIncarnation INCARNATION =
            new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);

    /** Failures of distinct jobs in a row that make a worker suspected while no run has ended elsewhere. */
    private static final int SUSPICIOUS_FAILURES = 4;

    /** Only w1 can run such a task. */
    private static Step onWorker1(int count) {
        Step.Constraints label = new Step.Constraints(Optional.of("rack-w1"), Optional.empty(), 0);
        return new Step(
                count,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                label,
                Step.Behaviour.PLAIN);
    }

    /** Returns a scheduler of a later owner whose clocks are {@code elapsed} after those of the first owner. */
    private static SchedulerFixture owner(Duration elapsed, Estimates estimates) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.time.advance(elapsed);
        fixture.scheduler.restore(estimates);
        return fixture.withWorkers("w1", "w2");
    }

    private static Estimates health(HealthRecord... records) {
        return new Estimates(List.of(), List.of(records), List.of());
    }

    private static void endOnce(SchedulerFixture fixture, long sequence, String job, EndKind kind) {
        fixture.add(fixture.job(job, onWorker1(1)));
        Order.Start start = startsOf(fixture, job).getFirst();
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(sequence, start, kind)));
    }

    private static void failOnce(SchedulerFixture fixture, long sequence, String job) {
        endOnce(fixture, sequence, job, EndKind.FAILED);
    }

    /** Makes runs of distinct jobs fail, with the sequence numbers {@code from} to {@code to}. */
    private static void fail(SchedulerFixture fixture, int from, int to) {
        for (int i = from; i <= to; i++) {
            failOnce(fixture, i, "failing" + i);
        }
    }

    private static boolean startsTasks(SchedulerFixture fixture, String job) {
        fixture.add(fixture.job(job, onWorker1(1)));
        return !startsOf(fixture, job).isEmpty();
    }

    private static List<Order.Start> startsOf(SchedulerFixture fixture, String job) {
        return fixture.starts().stream()
                .filter(start -> start.task().job().value().equals(job))
                .toList();
    }

    /** Guards against a faulty worker that is never quarantined because each owner sees few failed jobs. */
    @Test
    public void failuresUnderSeveralOwnersQuarantine() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        fail(first, 1, SUSPICIOUS_FAILURES - 1);
        assertTrue(first.scheduler.takeHealthChange());
        assertEquals(first.scheduler.plan().quarantined(), List.of());
        SchedulerFixture second = owner(Duration.ofSeconds(2), first.scheduler.estimates());
        // The owner in between sees no failure and hands on what it knows.
        SchedulerFixture third = owner(Duration.ofSeconds(4), second.scheduler.estimates());
        fail(third, SUSPICIOUS_FAILURES, SUSPICIOUS_FAILURES);
        assertEquals(third.scheduler.plan().quarantined(), List.of(new WorkerId("w1")));
        assertFalse(startsTasks(third, "c"));
    }

    /** Guards against a job that fails everywhere and puts its workers into quarantine. */
    @Test
    public void failuresOfOneJobDoNotQuarantine() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        JobSpec job = first.job("a", onWorker1(8));
        first.add(job);
        report(first, first.starts(), EndKind.FAILED);
        Plan plan = first.scheduler.plan(0);
        assertEquals(plan.quarantined(), List.of());
        SchedulerFixture second = owner(Duration.ofSeconds(1), first.scheduler.estimates());
        second.scheduler.addJob(job, Optional.of(plan.changes().getFirst()));
        List<Order.Start> starts = second.starts();
        assertEquals(starts.size(), 8);
        report(second, starts, EndKind.FAILED);
        assertTrue(startsTasks(second, "b"));
    }

    private static void report(SchedulerFixture fixture, List<Order.Start> starts, EndKind kind) {
        List<WorkerReport.Ended> ends = new ArrayList<>();
        for (Order.Start start : starts) {
            ends.add(SchedulerFixture.ended(ends.size() + 1, start, kind));
        }
        fixture.report("w1", List.of(), ends);
    }

    /** Guards against failures stored by earlier builds that are lost, and against old ones that count. */
    @Test
    public void recentFailuresStoredByEarlierBuildsCount() {
        Instant now = new SchedulerFixture().time.now();
        for (int age : new int[] {1, 6}) {
            List<HealthRecord.Failure> failures = Stream.of("x", "y")
                    .map(job -> new HealthRecord.Failure(now.minusSeconds(age), new JobId(job)))
                    .toList();
            HealthRecord stored = new HealthRecord(INCARNATION, failures, Optional.empty(), FIRST_QUARANTINE);
            SchedulerFixture later = owner(Duration.ZERO, health(stored));
            fail(later, 1, SUSPICIOUS_FAILURES - 2);
            assertEquals(startsTasks(later, "c"), age > 5, "age " + age);
        }
    }

    /** Guards against failures that the next owner counts although runs have finished since. */
    @Test
    public void successIsHandedOn() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        fail(first, 1, 1);
        assertTrue(first.scheduler.takeHealthChange());
        double evidence = first.scheduler.estimates().health().getFirst().evidence();
        endOnce(first, 2, "done2", EndKind.DONE);
        assertTrue(first.scheduler.takeHealthChange());
        assertTrue(first.scheduler.estimates().health().getFirst().evidence() < evidence);
        for (int sequence = 3; sequence <= 5; sequence++) {
            endOnce(first, sequence, "done" + sequence, EndKind.DONE);
        }
        assertTrue(first.scheduler.takeHealthChange());
        assertEquals(first.scheduler.estimates().health(), List.of());
        assertFalse(first.scheduler.takeHealthChange());
    }

    /** Guards against a quarantined worker that the next owner uses at once, and against one that stays quarantined. */
    @Test
    public void quarantineEndsWhenItWouldHaveEnded() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        fail(first, 1, SUSPICIOUS_FAILURES);
        Estimates estimates = first.scheduler.estimates();
        for (int term = 1; term <= 3; term++) {
            SchedulerFixture later = owner(Duration.ofSeconds(term), estimates);
            assertFalse(startsTasks(later, "c"), "term " + term);
            estimates = later.scheduler.estimates();
        }
        SchedulerFixture last = owner(FIRST_QUARANTINE.minusMillis(1), estimates);
        assertFalse(startsTasks(last, "c"));
        last.time.advance(Duration.ofMillis(1));
        assertFalse(startsOf(last, "c").isEmpty());
    }

    /** Guards against quarantines that are always short because the owner changes. */
    @Test
    public void nextQuarantineOfNextOwnerIsLonger() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        fail(first, 1, SUSPICIOUS_FAILURES);
        SchedulerFixture second = owner(FIRST_QUARANTINE, first.scheduler.estimates());
        failOnce(second, SUSPICIOUS_FAILURES + 1, "trial");
        second.time.advance(FIRST_QUARANTINE.multipliedBy(2).minusMillis(1));
        second.report("w1", List.of(), List.of());
        second.add(second.job("e", onWorker1(1)));
        assertEquals(second.starts(), List.of());
        second.time.advance(Duration.ofMillis(1));
        List<Order.Start> next = second.starts();
        assertEquals(next.size(), 1);
        // Its failed task has waited for longer than that of the other job.
        assertEquals(next.getFirst().task().job(), new JobId("trial"));
    }

    /** Guards against a suspected worker that gets many runs before one has ended well, also under the next owner. */
    @Test
    public void workerOnProbationGetsOneRunAtATime() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        fail(first, 1, SUSPICIOUS_FAILURES);
        first.time.advance(FIRST_QUARANTINE);
        first.report("w1", List.of(), List.of());
        first.starts();
        SchedulerFixture second = owner(FIRST_QUARANTINE, first.scheduler.estimates());
        second.add(second.job("waiting", onWorker1(4)));
        List<Order.Start> trial = second.starts();
        assertEquals(trial.size(), 1);
        assertEquals(second.starts(), List.of());
        report(second, trial, EndKind.DONE);
        assertEquals(second.starts().size(), 3, "fully used after a run has ended well");
    }

    /** Guards against a sound worker that is quarantined again because its trial run is of a job that fails elsewhere. */
    @Test
    public void trialRunOfFaultyJobDoesNotQuarantine() {
        SchedulerFixture fixture = owner(Duration.ZERO, Estimates.NONE);
        fail(fixture, 1, SUSPICIOUS_FAILURES);
        fixture.add(fixture.job("faulty", SchedulerFixture.step(9, 1000, Step.Behaviour.PLAIN)));
        List<WorkerReport.Ended> ends = new ArrayList<>();
        for (Order.Start start : fixture.starts()) {
            ends.add(SchedulerFixture.ended(ends.size() + 1, start, EndKind.FAILED));
        }
        assertEquals(ends.size(), 8, "all on w2");
        fixture.time.advance(FIRST_QUARANTINE);
        fixture.report("w2", List.of(), List.of());
        fixture.report("w1", List.of(), List.of());
        fixture.scheduler.plan(0);
        Order.Start trial = fixture.starts().getFirst();
        assertEquals(trial.worker(), new WorkerId("w1"));
        fixture.report("w2", List.of(), ends);
        fixture.report(
                "w1", List.of(), List.of(SchedulerFixture.ended(SUSPICIOUS_FAILURES + 1, trial, EndKind.FAILED)));
        assertEquals(fixture.scheduler.plan().quarantined(), List.of());
    }

    /** Guards against tasks that are tried on a suspected worker although another one has room. */
    @Test
    public void soundWorkerComesBeforeOneOnProbation() {
        SchedulerFixture fixture = owner(Duration.ZERO, Estimates.NONE);
        fail(fixture, 1, SUSPICIOUS_FAILURES);
        fixture.time.advance(FIRST_QUARANTINE);
        fixture.report("w1", List.of(), List.of());
        fixture.report("w2", List.of(), List.of());
        fixture.add(fixture.job("waiting", SchedulerFixture.step(9, 1000, Step.Behaviour.PLAIN)));
        List<String> workers =
                fixture.starts().stream().map(start -> start.worker().value()).toList();
        assertEquals(Collections.frequency(workers, "w2"), 8);
        assertEquals(Collections.frequency(workers, "w1"), 1);
    }

    /** Guards against a reserve for short tasks that consists of the room of a quarantined worker. */
    @Test
    public void quarantinedWorkerDoesNotCountInShortTaskReserve() {
        SchedulerFixture fixture = owner(Duration.ZERO, Estimates.NONE);
        fail(fixture, 1, SUSPICIOUS_FAILURES);
        Step.Behaviour longRunning = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 3800, longRunning)));
        assertEquals(startsOf(fixture, "a").getFirst().worker(), new WorkerId("w2"));
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 3800, longRunning)));
        assertEquals(fixture.starts(), List.of());
    }

    /** Guards against wrong values of an earlier owner, which must not keep a worker out of use under each later one. */
    @Test
    public void impossibleValuesAreIgnored() {
        Instant now = new SchedulerFixture().time.now();
        List<Instant> times = List.of(
                now.plusSeconds(60), Instant.ofEpochMilli(Long.MAX_VALUE), Instant.ofEpochMilli(Long.MIN_VALUE));
        double[] evidence = {
            Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, Double.MAX_VALUE, -Double.MAX_VALUE
        };
        for (Instant time : times) {
            for (double value : evidence) {
                HealthRecord.Failure failure = new HealthRecord.Failure(time, new JobId("x"));
                HealthRecord record = new HealthRecord(
                        INCARNATION, List.of(failure), Optional.of(time), Duration.ofSeconds(-1), value, false);
                SchedulerFixture later = owner(Duration.ZERO, health(record));
                failOnce(later, 1, "a");
                assertTrue(startsTasks(later, "b"), "time " + time + ", evidence " + value);
            }
        }
    }

    /** Guards against stored quarantines that together take a service out of use. */
    @Test
    public void restoredQuarantinesAreBounded() {
        SchedulerFixture fixture = new SchedulerFixture();
        Instant until = fixture.time.now().plusSeconds(16);
        String[] ids = IntStream.range(0, 30).mapToObj(i -> "w" + i).toArray(String[]::new);
        fixture.scheduler.restore(new Estimates(
                List.of(),
                Stream.of(ids)
                        .map(id -> new HealthRecord(
                                new TaskRecord.WorkerIncarnation(new WorkerId(id), SchedulerFixture.INCARNATION),
                                List.of(),
                                Optional.of(until),
                                Duration.ofSeconds(16)))
                        .toList(),
                List.of()));
        fixture.withWorkers(ids);
        fixture.add(fixture.job("wide", SchedulerFixture.step(300, 1000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 27, "one trial run on each worker beyond a tenth");
    }

    /** Guards against a restarted worker that inherits the quarantine of its earlier process. */
    @Test
    public void otherIncarnationsAreNotAffected() {
        TaskRecord.WorkerIncarnation earlier =
                new TaskRecord.WorkerIncarnation(INCARNATION.worker(), SchedulerFixture.INCARNATION - 1);
        Instant until = new SchedulerFixture().time.now().plusSeconds(4);
        HealthRecord stored = new HealthRecord(earlier, List.of(), Optional.of(until), Duration.ofSeconds(8));
        assertTrue(startsTasks(owner(Duration.ZERO, health(stored)), "a"));
    }

    /** Guards against a record that grows with the number of failed jobs or of workers. */
    @Test
    public void recordsAreBounded() {
        SchedulerFixture fixture = new SchedulerFixture();
        String[] ids = IntStream.range(0, 300).mapToObj(i -> "w" + i).toArray(String[]::new);
        fixture.withWorkers(ids);
        fail(fixture, 1, SUSPICIOUS_FAILURES);
        assertEquals(fixture.scheduler.plan().quarantined(), List.of(new WorkerId("w1")));
        fixture.add(fixture.job("wide", SchedulerFixture.step(300, 8000, Step.Behaviour.PLAIN)));
        for (Order.Start start : fixture.starts()) {
            fixture.report(
                    start.worker().value(), List.of(), List.of(SchedulerFixture.ended(1, start, EndKind.FAILED)));
        }
        assertEquals(fixture.scheduler.estimates().health().size(), 128);

        assertEquals(fixture.scheduler.estimates().health().getFirst().worker(), INCARNATION);

        SchedulerFixture one = owner(Duration.ZERO, Estimates.NONE);
        IntStream.range(0, 6).forEach(i -> one.add(one.job("job" + i, onWorker1(1))));
        report(one, one.starts(), EndKind.FAILED);
        assertEquals(one.scheduler.estimates().health().getFirst().failures(), List.of());
    }
}
