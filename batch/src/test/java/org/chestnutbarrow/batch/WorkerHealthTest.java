package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that a worker whose runs fail is quarantined, also if the owner changes in between. */
public class WorkerHealthTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
    private static final Duration FIRST_QUARANTINE = Duration.ofSeconds(4);
    private static final TaskRecord.WorkerIncarnation INCARNATION =
            new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);

    /** Returns a scheduler of a later owner whose clocks are {@code elapsed} after those of the first owner. */
    private static SchedulerFixture owner(Duration elapsed, Estimates estimates) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.time.advance(elapsed);
        fixture.scheduler.restore(estimates);
        return fixture.withWorkers("w1");
    }

    private static Estimates health(HealthRecord... records) {
        return new Estimates(List.of(), List.of(records), List.of());
    }

    private static void failOnce(SchedulerFixture fixture, long sequence, String job) {
        fixture.add(fixture.job(job, PLAIN));
        Order.Start start = startsOf(fixture, job).getFirst();
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(sequence, start, EndKind.FAILED)));
    }

    private static boolean startsTasks(SchedulerFixture fixture, String job) {
        fixture.add(fixture.job(job, PLAIN));
        return !startsOf(fixture, job).isEmpty();
    }

    private static List<Order.Start> startsOf(SchedulerFixture fixture, String job) {
        return fixture.starts().stream()
                .filter(start -> start.task().job().value().equals(job))
                .toList();
    }

    /** Guards against a faulty worker that is never quarantined because each owner sees one failed job. */
    @Test
    public void failuresUnderSeveralOwnersQuarantine() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        failOnce(first, 1, "a");
        assertTrue(first.scheduler.takeHealthChange());
        SchedulerFixture second = owner(Duration.ofSeconds(2), first.scheduler.estimates());
        // The owner in between sees no failure and hands on what it knows.
        SchedulerFixture third = owner(Duration.ofSeconds(4), second.scheduler.estimates());
        failOnce(third, 2, "b");
        assertEquals(third.scheduler.plan().quarantined(), List.of(new WorkerId("w1")));
        assertFalse(startsTasks(third, "c"));
    }

    /** Guards against a job that fails everywhere and puts its workers into quarantine. */
    @Test
    public void failuresOfOneJobDoNotQuarantine() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        failOnce(first, 1, "a");
        SchedulerFixture second = owner(Duration.ofSeconds(1), first.scheduler.estimates());
        failOnce(second, 2, "a");
        assertTrue(startsTasks(second, "b"));
    }

    /** Guards against failures that count for longer because the owner has changed. */
    @Test
    public void oldFailuresDoNotCountForNextOwner() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        failOnce(first, 1, "a");
        SchedulerFixture second = owner(Duration.ofMillis(5100), first.scheduler.estimates());
        failOnce(second, 2, "b");
        assertTrue(startsTasks(second, "c"));
    }

    /** Guards against failures that the next owner counts although a run has finished since. */
    @Test
    public void successIsHandedOn() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        failOnce(first, 1, "a");
        assertTrue(first.scheduler.takeHealthChange());
        first.add(first.job("b", PLAIN));
        Order.Start start = startsOf(first, "b").getFirst();
        first.report("w1", List.of(), List.of(SchedulerFixture.ended(2, start, EndKind.DONE)));
        assertTrue(first.scheduler.takeHealthChange());
        assertEquals(first.scheduler.estimates().health(), List.of());
        assertFalse(first.scheduler.takeHealthChange());
    }

    /** Guards against a quarantined worker that the next owner uses at once, and against one that stays quarantined. */
    @Test
    public void quarantineEndsWhenItWouldHaveEnded() {
        SchedulerFixture first = owner(Duration.ZERO, Estimates.NONE);
        failOnce(first, 1, "a");
        failOnce(first, 2, "b");
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
        failOnce(first, 1, "a");
        failOnce(first, 2, "b");
        SchedulerFixture second = owner(FIRST_QUARANTINE, first.scheduler.estimates());
        failOnce(second, 3, "c");
        failOnce(second, 4, "d");
        second.time.advance(FIRST_QUARANTINE.multipliedBy(2).minusMillis(1));
        second.report("w1", List.of(), List.of());
        assertFalse(startsTasks(second, "e"));
        second.time.advance(Duration.ofMillis(1));
        assertFalse(startsOf(second, "e").isEmpty());
    }

    /** Guards against a wrong clock of an earlier owner, which must not keep a worker out of use under each later one. */
    @Test
    public void impossibleTimesAreIgnored() {
        Instant now = new SchedulerFixture().time.now();
        List<Instant> times = List.of(
                now.plusSeconds(60), Instant.ofEpochMilli(Long.MAX_VALUE), Instant.ofEpochMilli(Long.MIN_VALUE));
        for (Instant time : times) {
            HealthRecord.Failure failure = new HealthRecord.Failure(time, new JobId("x"));
            Estimates estimates =
                    health(new HealthRecord(INCARNATION, List.of(failure), Optional.of(time), Duration.ofSeconds(-1)));
            SchedulerFixture later = owner(Duration.ZERO, estimates);
            failOnce(later, 1, "a");
            assertTrue(startsTasks(later, "b"), "time " + time);
        }
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
        fixture.add(fixture.job("wide", SchedulerFixture.step(300, 8000, Step.Behaviour.PLAIN)));
        for (Order.Start start : fixture.starts()) {
            fixture.report(
                    start.worker().value(), List.of(), List.of(SchedulerFixture.ended(1, start, EndKind.FAILED)));
        }
        assertEquals(fixture.scheduler.estimates().health().size(), 128);

        // The failures after the second one are counted during the quarantine.
        SchedulerFixture one = owner(Duration.ZERO, Estimates.NONE);
        IntStream.range(0, 6).forEach(i -> one.add(one.job("job" + i, PLAIN)));
        List<WorkerReport.Ended> ends = one.starts().stream()
                .map(start -> SchedulerFixture.ended(
                        1 + Long.parseLong(start.task().job().value().substring(3)), start, EndKind.FAILED))
                .toList();
        assertEquals(ends.size(), 6);
        one.report("w1", List.of(), ends);
        List<HealthRecord.Failure> failures =
                one.scheduler.estimates().health().getFirst().failures();
        assertEquals(
                failures.stream().map(HealthRecord.Failure::job).toList(),
                List.of(new JobId("job4"), new JobId("job5")));
    }
}
