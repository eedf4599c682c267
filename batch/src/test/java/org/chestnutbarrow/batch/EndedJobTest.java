package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a job that is added again with older progress, while its end is being stored, stays ended. */
public class EndedJobTest {
    private static final int PLAYS = 200;

    private SchedulerFixture fixture;
    private long lastEnd;

    @BeforeMethod
    public void setUp() {
        fixture = new SchedulerFixture().withWorkers("w1");
        lastEnd = 0;
    }

    /** The ends of the task of a job, and with which progress it comes again: none, or that of a plan. */
    @DataProvider
    public Object[][] ends() {
        List<Object[]> ends = new ArrayList<>();
        for (EndKind kind : List.of(EndKind.DONE, EndKind.FAILED)) {
            for (int version = 0; version < 3; version++) {
                ends.add(new Object[] {kind, version});
            }
        }
        return ends.toArray(Object[][]::new);
    }

    /** Runs a job to its end; returns its progress before the end, oldest first, which begins with none. */
    private List<Optional<JobProgress>> runToEnd(JobSpec job, EndKind kind) {
        List<Optional<JobProgress>> versions = new ArrayList<>(List.of(Optional.empty()));
        fixture.add(job);
        Plan plan = fixture.scheduler.plan();
        while (!plan.changes().getFirst().state().isFinal()) {
            versions.add(Optional.of(plan.changes().getFirst()));
            Order.Start start = SchedulerFixture.starts(plan).getFirst();
            fixture.scheduler.confirmStarted(start.task(), start.run());
            fixture.scheduler.plan().changes().forEach(change -> versions.add(Optional.of(change)));
            fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(++lastEnd, start, kind)));
            plan = fixture.scheduler.plan();
        }
        return versions;
    }

    private JobSpec job() {
        return fixture.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN));
    }

    private List<Order.Start> startsWithinSeconds() {
        List<Order.Start> starts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            fixture.time.advance(Duration.ofMillis(600));
            fixture.report("w1", List.of(), List.of());
            starts.addAll(fixture.starts());
        }
        return starts;
    }

    /** Guards against a second run of a task whose end was taken note of. */
    @Test(dataProvider = "ends")
    public void taskOfEndedJobIsNotStartedAgain(EndKind kind, int version) {
        JobSpec job = job();
        fixture.scheduler.addJob(job, runToEnd(job, kind).get(version));
        assertEquals(startsWithinSeconds(), List.of());
    }

    /** Guards against a completed or failed job that becomes cancelled. */
    @Test(dataProvider = "ends")
    public void endedJobIsNotCancelled(EndKind kind, int version) {
        JobSpec job = job();
        fixture.scheduler.addJob(job, runToEnd(job, kind).get(version), true);
        assertEquals(fixture.scheduler.plan().changes(), List.of());
    }

    /** Guards against a cancelled job that runs because it is added again by a caller that does not know of it. */
    @Test
    public void cancelledJobDoesNotRun() {
        JobSpec job = job();
        fixture.add(job);
        fixture.scheduler.cancelJob(job.id());
        fixture.scheduler.plan();
        fixture.scheduler.addJob(job, Optional.empty());
        assertEquals(startsWithinSeconds(), List.of());
    }

    /** Guards against memory that grows with each job that has ever ended. */
    @Test
    public void endsAreForgottenWithTheirProgress() {
        JobSpec completed = job();
        runToEnd(completed, EndKind.DONE);
        JobSpec settled = fixture.job("b", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN));
        JobProgress end = new JobProgress(settled.id(), JobState.FAILED, Instant.EPOCH, List.of());
        assertEquals(fixture.scheduler.addJob(settled, Optional.of(end)), JobAddition.ENDED);
        assertEquals(fixture.scheduler.addJob(settled, Optional.empty()), JobAddition.ENDED);
        assertEquals(fixture.scheduler.endedJobs(), 2);
        fixture.scheduler.forgetEnded(List.of(completed.id(), settled.id()));
        assertEquals(fixture.scheduler.endedJobs(), 0);
    }

    /** Guards against the same faults in other orders of the events between the end of a job and its storage. */
    @Test
    public void endedJobsStayEndedInAnyOrderOfEvents() {
        int additions = 0;
        for (int seed = 0; seed < PLAYS; seed++) {
            EndedJobSimulation simulation = new EndedJobSimulation(seed);
            simulation.play();
            assertEquals(simulation.violations(), List.of(), "seed " + seed);
            additions += simulation.additionsBeforeEndIsStored();
        }
        assertTrue(additions > PLAYS / 4, additions + " additions while an end was being stored");
    }
}
