package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests ends of runs whose jobs are unknown or restored in part when the ends are listed. */
public class EarlyEndTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
    private static final WorkerIncarnation W1 = new WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);

    private static WorkerReport.Ended ended(long number, JobSpec job, EndKind kind) {
        return new WorkerReport.Ended(number, new TaskName(job.id(), 0, 0), 1, kind, "");
    }

    private static JobProgress placed(JobSpec job) {
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(W1));
        return new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed)));
    }

    private static Plan report(SchedulerFixture fixture, WorkerReport.Ended... ends) {
        fixture.report("w1", List.of(), List.of(ends));
        return fixture.scheduler.plan();
    }

    private static void assertCompleted(Plan plan) {
        assertEquals(plan.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(SchedulerFixture.starts(plan), List.of());
    }

    /** Guards against a task that runs again because its end was acknowledged before its job was known. */
    @Test
    public void endIsNotAcknowledgedBeforeItsJobIsAdded() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", PLAIN);
        WorkerReport.Ended end = ended(1, job, EndKind.DONE);
        assertEquals(report(fixture, end).acknowledgements(), Map.of());
        fixture.scheduler.addJob(job, Optional.of(placed(job)));
        Plan plan = fixture.scheduler.plan();
        assertCompleted(plan);
        assertEquals(plan.acknowledgements(), Map.of(), "the report may predate the storage");
        assertEquals(report(fixture, end).acknowledgements(), Map.of(W1, 1L));
    }

    /** Guards against a task that is started before the next report of the worker that has finished it. */
    @Test
    public void taskOfLateJobWithOlderProgressIsNotStarted() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", PLAIN);
        report(fixture, ended(1, job, EndKind.DONE));
        fixture.scheduler.addJob(job, Optional.empty());
        assertCompleted(fixture.scheduler.plan());
    }

    /** Guards against a job whose failed run does not count because its end was listed before the job was known. */
    @Test
    public void failureOfLateJobIsCounted() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", PLAIN);
        report(fixture, ended(1, job, EndKind.FAILED));
        fixture.scheduler.addJob(job, Optional.of(placed(job)));
        TaskRecord stored =
                fixture.scheduler.plan().changes().getFirst().steps().getFirst().getFirst();
        assertEquals(stored.failures(), 1);
    }

    /** Guards against a worker whose ends all stay with it because of one whose job no longer exists. */
    @Test
    public void endOfJobThatDoesNotExistIsAcknowledgedAtLast() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", PLAIN);
        WorkerReport.Ended end = ended(1, job, EndKind.DONE);
        fixture.add(fixture.job("b", PLAIN));
        WorkerReport.Ended other = SchedulerFixture.ended(2, fixture.starts().getFirst(), EndKind.DONE);
        Plan plan = report(fixture, end, other);
        assertCompleted(plan);
        assertEquals(plan.acknowledgements(), Map.of());
        fixture.time.advance(EndNumbers.MAX_WITHHOLDING);
        plan = report(fixture, end, other);
        assertEquals(plan.acknowledgements(), Map.of(W1, 2L));
        assertEquals(
                plan.ineffectiveEnd(),
                Optional.of(new IneffectiveEnd(
                        new WorkerId("w1"), 1, 1, Optional.of(end), IneffectiveEnd.Reason.UNKNOWN_JOB, 1)));
        fixture.scheduler.addJob(job, Optional.empty());
        assertCompleted(fixture.scheduler.plan());
    }

    /** Guards against workers that keep their ends after each change of owner because the jobs have ended. */
    @Test
    public void endOfJobThatHasEndedIsAcknowledged() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", PLAIN);
        fixture.scheduler.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.COMPLETED, Instant.EPOCH, List.of())));
        fixture.add(fixture.job("b", PLAIN));
        WorkerReport.Ended end = SchedulerFixture.ended(2, fixture.starts().getFirst(), EndKind.DONE);
        assertEquals(report(fixture, ended(1, job, EndKind.DONE), end).acknowledgements(), Map.of(W1, 2L));
        WorkerReport.Ended repeated = new WorkerReport.Ended(3, end.task(), 1, EndKind.INTERRUPTED, "");
        assertEquals(report(fixture, repeated).acknowledgements(), Map.of(W1, 3L));
    }

    private static JobSpec addPartlyRestored(SchedulerFixture fixture) {
        JobSpec job = fixture.job("a", SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN));
        addPartlyRestored(fixture, job);
        return job;
    }

    private static void addPartlyRestored(SchedulerFixture fixture, JobSpec job) {
        Map<String, Optional<WorkerIncarnation>> noWorkers = new HashMap<>();
        TaskRecord unreadable = new TaskRecord(false, 1, 0, "", noWorkers.get("missing"));
        TaskRecord readable = new TaskRecord(false, 1, 0, "", Optional.of(W1));
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(readable, unreadable)))));
    }

    /** Guards against a task that a later owner runs again because the progress of its job is not stored by this one. */
    @Test
    public void endOfPartlyRestoredJobIsNotAcknowledged() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = addPartlyRestored(fixture);
        WorkerReport.Ended end = ended(1, job, EndKind.DONE);
        assertEquals(report(fixture, end).acknowledgements(), Map.of());
        fixture.time.advance(EndNumbers.MAX_WITHHOLDING);
        assertEquals(report(fixture, end).acknowledgements(), Map.of());
        fixture.scheduler.cancelJob(job.id());
        Plan plan = report(fixture, end);
        assertEquals(plan.changes().getFirst().state(), JobState.CANCELLED);
        assertEquals(plan.acknowledgements(), Map.of(W1, 1L));
    }

    private static List<WorkerReport.Ended> fullList(JobSpec job, long first) {
        List<WorkerReport.Ended> full = new ArrayList<>();
        for (long number = first; number < first + 500; number++) {
            full.add(ended(number, job, EndKind.DONE));
        }
        return full;
    }

    /** Guards against a worker that lists no further ends because its list is full of ends of one job. */
    @Test
    public void lowestEndOfFullListOfPartlyRestoredJobIsGivenUp() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = addPartlyRestored(fixture);
        for (long number = 1; number <= 3; number++) {
            fixture.time.advance(Duration.ofSeconds(1));
            fixture.report("w1", List.of(), fullList(job, number));
            Plan plan = fixture.scheduler.plan();
            assertEquals(plan.acknowledgements(), Map.of(W1, number));
            assertEquals(
                    plan.ineffectiveEnd(),
                    Optional.of(new IneffectiveEnd(
                            new WorkerId("w1"),
                            number,
                            number,
                            Optional.of(ended(number, job, EndKind.DONE)),
                            IneffectiveEnd.Reason.PARTLY_RESTORED,
                            1)));
        }
    }

    /** Guards against an end that is given up, so that its task runs again, although other ends make room in the list. */
    @Test
    public void endsOfPartlyRestoredJobStayWithheldWhileLowerEndsMakeRoom() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = addPartlyRestored(fixture);
        fixture.add(fixture.job("b", PLAIN));
        List<WorkerReport.Ended> full = fullList(job, 1);
        full.set(0, SchedulerFixture.ended(1, fixture.starts().getFirst(), EndKind.DONE));
        for (int i = 0; i < 3; i++) {
            fixture.report("w1", List.of(), full);
            Plan plan = fixture.scheduler.plan();
            assertEquals(plan.acknowledgements(), i == 0 ? Map.of(W1, 1L) : Map.of());
            assertEquals(plan.ineffectiveEnd(), Optional.empty());
            fixture.time.advance(EndNumbers.MAX_WITHHOLDING);
        }
    }

    /** Guards against a worker whose full list stays so after a change of owner because the job of its ends is set aside. */
    @Test
    public void numbersBelowFullListOfPartlyRestoredJobArePassed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = addPartlyRestored(fixture);
        fixture.report("w1", List.of(), fullList(job, 7));
        assertEquals(fixture.scheduler.plan().acknowledgements(), Map.of());
        fixture.time.advance(ListingDelay.MAX_DELAY);
        fixture.report("w1", List.of(), fullList(job, 7));
        assertEquals(fixture.scheduler.plan().acknowledgements(), Map.of(W1, 7L));
    }

    /** Guards against acknowledgements that stop, or include a withheld end, once a job is added after it was given up. */
    @Test
    public void endThatWasGivenUpIsWithheldOnceItsJobIsAddedPartlyRestored() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec first = addPartlyRestored(fixture);
        JobSpec late = fixture.job("b", SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN));
        fixture.add(fixture.job("c", PLAIN));
        WorkerReport.Ended other = SchedulerFixture.ended(3, fixture.starts().getFirst(), EndKind.DONE);
        WorkerReport.Ended[] ends = {ended(1, first, EndKind.DONE), ended(2, late, EndKind.DONE), other};
        assertEquals(report(fixture, ends).acknowledgements(), Map.of());
        fixture.time.advance(EndNumbers.MAX_WITHHOLDING);
        assertEquals(report(fixture, ends).acknowledgements(), Map.of());
        addPartlyRestored(fixture, late);
        fixture.scheduler.cancelJob(first.id());
        assertEquals(report(fixture, ends).acknowledgements(), Map.of(W1, 1L));
        fixture.scheduler.cancelJob(late.id());
        assertEquals(report(fixture, ends).acknowledgements(), Map.of(W1, 3L));
    }

    /** Guards against an end of a task that a known job does not have, which leaves no trace in the log. */
    @Test
    public void endOfUnknownTaskIsHandedOut() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        WorkerReport.Ended end = new WorkerReport.Ended(1, new TaskName(new JobId("a"), 0, 5), 1, EndKind.DONE, "");
        Plan plan = report(fixture, end);
        assertEquals(plan.acknowledgements(), Map.of(W1, 1L));
        assertTrue(plan.ineffectiveEnd()
                .filter(ineffective -> ineffective.reason() == IneffectiveEnd.Reason.UNKNOWN_TASK)
                .isPresent());
    }
}
