package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.WaitReason.Exclusion;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that a plan tells why the job that has waited longest has nothing running. */
public class WaitDiagnosisTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
    private static final Step WHOLE_WORKER = SchedulerFixture.step(1, 8000, Step.Behaviour.PLAIN);
    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);
    private static final Step.Behaviour BEST_EFFORT = new Step.Behaviour("image", false, false, true, 0, 0);
    private static final Duration OVER_BOUND = Duration.ofMillis(1100);

    private static Step constrained(Step.Constraints constraints) {
        return new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                constraints,
                Step.Behaviour.PLAIN);
    }

    /** Returns what the next plan tells after more time than a job may wait; the workers report before it. */
    private static Plan.WaitingJob waitingAfterBound(SchedulerFixture fixture, String... reporting) {
        fixture.scheduler.plan();
        fixture.time.advance(OVER_BOUND);
        for (String id : reporting) {
            fixture.report(id, List.of(), List.of());
        }
        return fixture.scheduler.plan().waiting().orElseThrow();
    }

    private static WaitReason reason(SchedulerFixture fixture, String... reporting) {
        return waitingAfterBound(fixture, reporting).reason();
    }

    private static WaitReason excluded(Exclusion cause, int workers) {
        return new WaitReason.Excluded(Map.of(cause, workers));
    }

    /** Guards against a waiting job of which only the wait is known. */
    @Test
    public void tellsTaskWaitAndNumberOfJobs() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("running", WHOLE_WORKER));
        assertEquals(fixture.starts().size(), 1);
        fixture.add(fixture.job("older", PLAIN, SchedulerFixture.step(1, 500, Step.Behaviour.PLAIN, 0)));
        fixture.time.advance(Duration.ofMillis(10));
        fixture.add(fixture.job("newer", PLAIN));
        Plan.WaitingJob waiting = waitingAfterBound(fixture);
        assertEquals(
                waiting,
                new Plan.WaitingJob(
                        new TaskName(new JobId("older"), 0, 0),
                        1000,
                        OVER_BOUND.plusMillis(10),
                        2,
                        new WaitReason.NoRoom(1)));
    }

    /** Guards against a line in each plan, and a search of all workers for it. */
    @Test
    public void diagnosesAtMostOncePerSecond() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.add(fixture.job("a", PLAIN));
        long diagnoses = 0;
        for (int plan = 0; plan < 500; plan++) {
            diagnoses += fixture.scheduler.plan().waiting().stream().count();
            fixture.time.advance(Duration.ofMillis(20));
        }
        assertTrue(diagnoses >= 8 && diagnoses <= 10, diagnoses + " diagnoses in 10 s");
    }

    /** Guards against lines for jobs that run, have ended, have waited for less than the bound or are not ready. */
    @Test
    public void tellsNothingWhileAllJobsRun() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("partly", SchedulerFixture.step(9, 1000, Step.Behaviour.PLAIN)));
        Order.Start start = fixture.starts().getFirst();
        fixture.add(fixture.job("cancelled", PLAIN));
        fixture.scheduler.cancelJob(new JobId("cancelled"));
        fixture.time.advance(OVER_BOUND);
        fixture.add(fixture.job("new", PLAIN));
        assertEquals(start.task().job(), new JobId("partly"));
        assertEquals(fixture.scheduler.plan().waiting(), Optional.empty());
    }

    @Test
    public void tellsUnknownRuns() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", PLAIN, SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN, 0));
        Map<String, Optional<TaskRecord.WorkerIncarnation>> noWorkers = new HashMap<>();
        TaskRecord done = new TaskRecord(true, 1, 0, "", Optional.empty());
        TaskRecord unreadable = new TaskRecord(false, 1, 0, "", noWorkers.get("missing"));
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(),
                        JobState.QUEUED,
                        Instant.EPOCH,
                        List.of(List.of(done), List.of(unreadable, unreadable)))));
        assertEquals(reason(fixture), new WaitReason.UnknownRuns());
    }

    @Test
    public void tellsJobsThatAreSetAside() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Map<String, Optional<String>> noLabels = new HashMap<>();
        fixture.add(fixture.job("a", constrained(new Step.Constraints(noLabels.get("missing"), Optional.empty(), 0))));
        assertEquals(reason(fixture), new WaitReason.SetAside());
    }

    /** Guards against an owner whose term ends because the job that it diagnoses causes an unexpected error. */
    @Test
    public void errorInDiagnosisSetsOnlyItsJobAside() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Map<String, Optional<String>> noLabels = new HashMap<>();
        Step broken = constrained(new Step.Constraints(noLabels.get("missing"), Optional.empty(), 0));
        fixture.add(fixture.job("a", PLAIN, broken));
        Order.Start start = SchedulerFixture.starts(fixture.scheduler.plan(1)).getFirst();
        fixture.time.advance(Duration.ofSeconds(4));
        fixture.scheduler.rejectStart(start.task(), start.run(), false);
        fixture.report("w1", List.of(), List.of());
        fixture.add(fixture.job("b", PLAIN));
        // The placement uses up its starts before it examines the second step of the overdue job.
        Plan plan = fixture.scheduler.plan(1);
        assertEquals(SchedulerFixture.starts(plan).getFirst().task().job(), new JobId("b"));
        assertEquals(plan.setAside().getFirst().job(), new JobId("a"));
    }

    @Test
    public void tellsPlansWithoutStarts() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        fixture.time.advance(OVER_BOUND);
        assertEquals(fixture.scheduler.plan(0).waiting().orElseThrow().reason(), new WaitReason.StartWindow());
    }

    @Test
    public void tellsUsedUpStarts() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        fixture.add(fixture.job("b", PLAIN));
        fixture.time.advance(OVER_BOUND);
        fixture.report("w1", List.of(), List.of());
        assertEquals(fixture.scheduler.plan(1).waiting().orElseThrow().reason(), new WaitReason.StartWindow());
    }

    @Test
    public void tellsMissingWorkersAndLabels() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.add(fixture.job("a", constrained(new Step.Constraints(Optional.of("fast"), Optional.empty(), 0))));
        assertEquals(reason(fixture), new WaitReason.NoWorkers("service"));
        fixture.withWorkers("w1");
        assertEquals(reason(fixture, "w1"), new WaitReason.NoLabel("fast"));
    }

    /** Guards against a job that counts as waiting for a rack, which is only preferred. */
    @Test
    public void missingRackIsNoReason() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", constrained(new Step.Constraints(Optional.empty(), Optional.of("rack-9"), 0))));
        assertEquals(fixture.starts().size(), 1);
    }

    @Test
    public void tellsUnconfirmedWorkers() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.workers.add(fixture.worker("w1", SchedulerFixture.INCARNATION));
        fixture.workers.add(fixture.worker("w2", SchedulerFixture.INCARNATION));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.add(fixture.job("a", PLAIN));
        assertEquals(reason(fixture), excluded(Exclusion.UNCONFIRMED, 2));
    }

    @Test
    public void tellsDrainingEvacuatedAndUnresponsiveWorkers() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4");
        fixture.setDraining("w1", true);
        fixture.scheduler.setEvacuatedZones(Set.of(new AvailabilityZone("zone-w2")));
        fixture.time.advance(Duration.ofSeconds(5));
        fixture.add(fixture.job("a", PLAIN));
        WaitReason.Excluded reason = (WaitReason.Excluded) reason(fixture, "w1", "w2");
        assertEquals(
                reason.workers(), Map.of(Exclusion.DRAINING, 1, Exclusion.EVACUATED, 1, Exclusion.UNRESPONSIVE, 2));
        assertEquals(reason.mostFrequent(), Exclusion.UNRESPONSIVE);
    }

    /** Guards against a line that blames full workers although sound room is quarantined. */
    @Test
    public void tellsQuarantinedWorkersWithRoom() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        fixture.add(fixture.job("a", WHOLE_WORKER));
        WorkerId full = fixture.starts().getFirst().worker();
        IntStream.range(0, 8).forEach(i -> fixture.add(fixture.job("failing" + i, PLAIN)));
        List<Order.Start> failing = fixture.starts();
        List<WorkerReport.Ended> ends = IntStream.range(0, failing.size())
                .mapToObj(i -> SchedulerFixture.ended(i + 1L, failing.get(i), EndKind.FAILED))
                .toList();
        fixture.report(failing.getFirst().worker().value(), List.of(), ends);
        assertTrue(!failing.getFirst().worker().equals(full));
        assertEquals(reason(fixture, "w1", "w2"), excluded(Exclusion.QUARANTINED, 1));
    }

    @Test
    public void tellsRoomThatIsClaimed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING)));
        Order.Start run = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(run.task(), run.run());
        fixture.withWorkers("w2").setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        assertEquals(fixture.stops().size(), 1);
        fixture.workers.removeIf(worker -> worker.id().equals(run.worker()));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.add(fixture.job("wide", SchedulerFixture.step(1, 3000, Step.Behaviour.PLAIN)));
        assertEquals(reason(fixture, "w2"), excluded(Exclusion.CLAIMED, 1));
    }

    @Test
    public void tellsLimitPerWorker() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        // Without a run of the step, only a limit below zero excludes a worker.
        fixture.add(fixture.job("a", constrained(new Step.Constraints(Optional.empty(), Optional.empty(), -1))));
        assertEquals(reason(fixture, "w1", "w2"), excluded(Exclusion.SPREAD, 2));
    }

    @Test
    public void tellsReserveOfShortTasks() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 3800, LONG_RUNNING)));
        assertEquals(fixture.starts().size(), 1);
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 3800, LONG_RUNNING)));
        assertEquals(reason(fixture, "w1"), excluded(Exclusion.RESERVE, 1));
    }

    /** Guards against a full worker that looks as if the interference model refused it. */
    @Test
    public void tellsBestEffortTasksThatWouldBeSlow() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", WHOLE_WORKER));
        assertEquals(fixture.starts().size(), 1);
        fixture.add(fixture.job("b", SchedulerFixture.step(1, 1000, BEST_EFFORT)));
        Plan.WaitingJob waiting = waitingAfterBound(fixture, "w1");
        assertEquals(waiting.reason(), excluded(Exclusion.NO_SPARE_CPU, 1));
        Plan.BestEffortRefusal refusal = waiting.refusal().orElseThrow();
        assertEquals(refusal.workers(), 1);
        assertEquals(refusal.withoutLatencyCritical(), 1);
        assertEquals(refusal.freeShare(), 0.0);
        assertEquals(refusal.bestSpare(), 0.0);
        assertEquals(refusal.bestShare(), 1.0);
    }

    /** Guards against a refusal of the interference model that does not tell what the model has learnt. */
    @Test
    public void tellsStateOfModelThatRefusesBestEffortTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.scheduler.restore(
                new Estimates(List.of(new Sensitivity("batch", "image", 40, 0.01)), List.of(), List.of()));
        fixture.add(fixture.job("service", SchedulerFixture.step(1, 2000, LONG_RUNNING)));
        Order.Start serving = fixture.starts().getFirst();
        fixture.time.advance(Duration.ofMillis(500));
        fixture.report("w1", List.of(SchedulerFixture.running(serving, 100, 25)), List.of());
        fixture.add(fixture.job(
                "a", SchedulerFixture.step(1, 1000, new Step.Behaviour("batch", false, false, true, 0, 0))));
        Plan.WaitingJob waiting = waitingAfterBound(fixture, "w1");
        assertEquals(waiting.reason(), excluded(Exclusion.INTERFERENCE, 1));
        Plan.BestEffortRefusal refusal = waiting.refusal().orElseThrow();
        assertEquals(refusal.withoutLatencyCritical(), 0);
        assertEquals(refusal.freeShare(), 0.75);
        assertEquals(refusal.bestSpare(), 7.0);
        assertTrue(refusal.bestShare() < 0.5, refusal.toString());
        assertEquals(refusal.maxWeight(), 40.0);
        assertEquals(refusal.reports(), 2);
        assertEquals(refusal.reportsBesideBestEffort(), 0);
    }
}
