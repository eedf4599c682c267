package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Guards the promises on single runs, order of steps, attempts, capacity and takeovers. */
public class CellTest {
    private static final Step PLAIN = CellFixture.step(1, 1000, Step.Behaviour.PLAIN);

    /** Guards against a run that is ordered without its worker being stored first. */
    @Test
    public void startsAreStoredWithTheirWorkers() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", PLAIN));
        Plan plan = f.cell.plan();
        assertEquals(CellFixture.starts(plan).size(), 1);
        TaskRecord stored = plan.changes().getFirst().steps().getFirst().getFirst();
        assertEquals(stored.run(), 1);
        assertEquals(stored.at(), Optional.of(new TaskRecord.Location(new WorkerId("w1"), CellFixture.BORN)));
        assertTrue(f.starts().isEmpty());
    }

    private static JobState storedState(CellFixture f) {
        return f.cell.plan().changes().getFirst().state();
    }

    /** Guards against a job that counts as begun while its orders still wait, so that too few are given as pending. */
    @Test
    public void aJobIsQueuedUntilAWorkerHasConfirmedARun() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", PLAIN));
        Plan placed = f.cell.plan();
        assertEquals(placed.changes().getFirst().state(), JobState.QUEUED);
        Order.Start start = CellFixture.starts(placed).getFirst();
        f.cell.started(start.task(), start.run());
        assertEquals(storedState(f), JobState.RUNNING);
    }

    /** Guards against a begun job that stays queued because the answer to its order was lost. */
    @Test
    public void aListedRunOrEndShowsThatItsJobHasBegun() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", PLAIN));
        f.add(f.job("b", PLAIN));
        List<Order.Start> starts = f.starts();
        f.report("w1", List.of(CellFixture.running(starts.get(0), 1, 0)), List.of());
        assertEquals(storedState(f), JobState.RUNNING);
        f.report("w1", List.of(), List.of(CellFixture.ended(1, starts.get(1), EndKind.FAILED)));
        assertEquals(storedState(f), JobState.RUNNING);
    }

    /** Guards against a job that stays queued because its owner ended between an order and its confirmation. */
    @Test
    public void aTakenOverJobHasBegunOnceItsRunIsListed() {
        CellFixture f = new CellFixture();
        f.workers.add(f.worker("w1", CellFixture.BORN));
        f.cell.updateWorkers(f.workers);
        JobSpec job = f.job("a", PLAIN);
        TaskRecord.Location at = new TaskRecord.Location(new WorkerId("w1"), CellFixture.BORN);
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(at));
        f.cell.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.QUEUED, Instant.EPOCH, List.of(List.of(placed)))));
        assertTrue(f.cell.plan().changes().isEmpty());
        f.report("w1", List.of(new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 5, 0)), List.of());
        assertEquals(storedState(f), JobState.RUNNING);
    }

    /** Guards against a step that starts before the steps it follows are done, and against a completed job that runs on. */
    @Test
    public void stepsFollowEachOther() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", PLAIN, CellFixture.step(2, 1000, Step.Behaviour.PLAIN, 0)));
        List<Order.Start> first = f.starts();
        assertEquals(first.size(), 1);
        f.report("w1", List.of(), List.of(CellFixture.ended(1, first.getFirst(), EndKind.DONE)));
        List<Order.Start> second = f.starts();
        assertEquals(second.size(), 2);
        f.report(
                "w1",
                List.of(),
                List.of(
                        CellFixture.ended(2, second.get(0), EndKind.DONE),
                        CellFixture.ended(3, second.get(1), EndKind.DONE)));
        Plan last = f.cell.plan();
        assertEquals(last.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(last.acknowledge().get(new WorkerId("w1")), Long.valueOf(3));
        assertTrue(last.orders().isEmpty());
    }

    /** Guards against a worker that is given more than it holds, also while a stop is under way. */
    @Test
    public void capacityIsChargedUntilTheEndIsListed() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", CellFixture.step(1, 8000, Step.Behaviour.PLAIN)));
        Order.Start start = f.starts().getFirst();
        f.add(f.job("b", PLAIN));
        f.cell.cancelJob(start.task().job());
        Plan plan = f.cell.plan();
        assertTrue(
                plan.orders().stream().allMatch(Order.Stop.class::isInstance),
                plan.orders().toString());
        f.report("w1", List.of(), List.of(CellFixture.ended(1, start, EndKind.INTERRUPTED)));
        assertEquals(f.starts().size(), 1);
    }

    /** Guards against more runs than the queue allows, and against a failed job whose other tasks run on. */
    @Test
    public void aJobFailsWithItsAttempts() {
        CellFixture f = new CellFixture().with("w1", "w2", "w3");
        f.add(f.job("a", CellFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        for (int run = 1; run <= CellFixture.QUEUE.maxAttempts(); run++) {
            Order.Start start = f.starts().getFirst();
            assertEquals(start.run(), run);
            f.report(start.worker().value(), List.of(), List.of(CellFixture.ended(run, start, EndKind.FAILED)));
        }
        Plan plan = f.cell.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.FAILED);
        assertTrue(plan.orders().isEmpty());
    }

    /** Guards against a second start while the run that an earlier owner placed on a silent worker may still go on. */
    @Test
    public void aTakenOverRunWaitsForItsWorkerOrItsLease() {
        CellFixture f = new CellFixture();
        f.workers.add(f.worker("w1", CellFixture.BORN));
        f.workers.add(f.worker("w2", CellFixture.BORN));
        f.cell.updateWorkers(f.workers);
        TaskRecord.Location at = new TaskRecord.Location(new WorkerId("w1"), CellFixture.BORN);
        JobSpec job = f.job("a", PLAIN);
        JobProgress stored = new JobProgress(
                job.id(),
                JobState.RUNNING,
                Instant.EPOCH,
                List.of(List.of(new TaskRecord(false, 3, 0, "", Optional.of(at)))));
        f.cell.addJob(job, Optional.of(stored));
        f.report("w2", List.of(), List.of());
        assertTrue(f.starts().isEmpty());
        f.cell.expired(at);
        assertEquals(f.starts().getFirst().run(), 4);
    }

    /** Guards against a run that is lost or doubled when its worker answers the new owner. */
    @Test
    public void aTakenOverRunIsAdopted() {
        CellFixture f = new CellFixture();
        f.workers.add(f.worker("w1", CellFixture.BORN));
        f.cell.updateWorkers(f.workers);
        JobSpec job = f.job("a", PLAIN, CellFixture.step(1, 1000, Step.Behaviour.PLAIN));
        TaskRecord.Location at = new TaskRecord.Location(new WorkerId("w1"), CellFixture.BORN);
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(at));
        f.cell.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed), List.of(placed)))));
        WorkerReport.Running running = new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 50, 0);
        f.report("w1", List.of(running), List.of());
        List<Order.Start> starts = f.starts();
        assertEquals(starts.size(), 1, "only the run that the worker does not list is started anew");
        assertEquals(starts.getFirst().task().step(), 1);
        assertEquals(starts.getFirst().run(), 2);
    }

    /** Guards against tasks in a zone that was taken out, on a worker that leaves, and on one that does not answer. */
    @Test
    public void unusableWorkersGetNothing() {
        CellFixture f = new CellFixture().with("w1", "w2");
        f.cell.zonesOut(Set.of(new AvailabilityZone("zone-w1")));
        f.add(f.job("a", PLAIN));
        assertEquals(f.starts().getFirst().worker(), new WorkerId("w2"));
        f.time.advance(Duration.ofSeconds(5));
        f.cell.zonesOut(Set.of());
        f.add(f.job("b", PLAIN));
        assertTrue(f.starts().isEmpty());
    }

    /** Guards against a hung task that keeps its job waiting. */
    @Test
    public void aTaskThatStandsStillIsStopped() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", PLAIN));
        Order.Start start = f.starts().getFirst();
        f.cell.started(start.task(), start.run());
        f.report("w1", List.of(CellFixture.running(start, 10, 0)), List.of());
        f.time.advance(Duration.ofSeconds(2));
        f.report("w1", List.of(CellFixture.running(start, 10, 0)), List.of());
        assertTrue(f.cell.plan().orders().getFirst() instanceof Order.Stop);
    }

    /** Guards against a run that is charged for good although the worker never started it. */
    @Test
    public void aRunThatIsNeverListedIsFreed() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("a", PLAIN));
        Order.Start start = f.starts().getFirst();
        f.cell.abandoned(start.task(), start.run());
        f.report("w1", List.of(), List.of());
        assertTrue(f.starts().isEmpty(), "the list may be older than the order");
        f.time.advance(Duration.ofSeconds(2));
        f.report("w1", List.of(), List.of());
        assertEquals(f.starts().getFirst().run(), 2);
    }

    /** Guards against a lasting task that stays away after its worker has started anew. */
    @Test
    public void lastingTasksAreRestartedAfterANewLife() {
        CellFixture f = new CellFixture().with("w1");
        Step.Behaviour lasting = new Step.Behaviour("image", false, true, false, 50, 0);
        f.add(f.job("a", CellFixture.step(1, 1000, lasting)));
        f.workers.clear();
        f.workers.add(f.worker("w2", CellFixture.BORN));
        f.workers.add(f.worker("w3", CellFixture.BORN));
        Order.Start start = startOnAnyWorker(f);
        f.workers.replaceAll(w -> w.id().equals(start.worker()) ? f.worker(w.id().value(), 2) : w);
        f.cell.updateWorkers(f.workers);
        f.report("w2", List.of(), List.of());
        f.report("w3", List.of(), List.of());
        assertEquals(f.starts().getFirst().run(), start.run() + 1);
    }

    /** Guards against a failed lasting task that waits while a worker has room that is kept for short tasks. */
    @Test
    public void failedLastingTasksUseAnyRoom() {
        CellFixture f = new CellFixture().with("w1");
        Step.Behaviour lasting = new Step.Behaviour("image", false, true, false, 50, 0);
        f.add(f.job("a", CellFixture.step(1, 3800, lasting)));
        Order.Start first = f.starts().getFirst();
        f.add(f.job("b", CellFixture.step(1, 3800, lasting)));
        assertTrue(f.starts().isEmpty(), "a first run leaves room to short tasks");
        f.report("w1", List.of(), List.of(CellFixture.ended(1, first, EndKind.FAILED)));
        f.add(f.job("c", CellFixture.step(1, 3000, Step.Behaviour.PLAIN)));
        List<Order.Start> next = f.starts();
        assertTrue(next.stream().anyMatch(start -> start.run() == 2), next.toString());
    }

    /** Guards against a lasting task that waits although a worker could take it twice. */
    @Test
    public void firstRunsOfLastingTasksUseAmpleRoom() {
        CellFixture f = new CellFixture().with("w1");
        Step.Behaviour lasting = new Step.Behaviour("image", false, true, false, 50, 0);
        f.add(f.job("a", CellFixture.step(1, 4000, lasting)));
        assertEquals(f.starts().size(), 1);
    }

    private static Order.Start startOnAnyWorker(CellFixture f) {
        f.cell.updateWorkers(f.workers);
        f.report("w2", List.of(), List.of());
        f.report("w3", List.of(), List.of());
        return f.starts().getFirst();
    }

    /** Guards against filling tasks that hold a serving task above its target: slowed or moved. */
    @Test
    public void disturbingTasksAreMoved() {
        CellFixture f = new CellFixture().with("w1");
        Step.Behaviour serving = new Step.Behaviour("s", false, true, false, 50, 0);
        Step.Behaviour filling = new Step.Behaviour("f", true, false, true, 0, 0);
        f.add(f.job("a", CellFixture.step(1, 2000, serving)));
        Order.Start server = f.starts().getFirst();
        f.add(f.job("b", CellFixture.step(1, 1000, filling)));
        Order.Start filler = f.starts().getFirst();
        f.with("w2");
        boolean stopped = false;
        for (int i = 0; i < 5 && !stopped; i++) {
            f.time.advance(Duration.ofMillis(700));
            f.report("w2", List.of(), List.of());
            f.report(
                    "w1",
                    List.of(CellFixture.running(server, 100, 200), CellFixture.running(filler, 10 + i, 900)),
                    List.of());
            stopped = f.cell.plan().orders().stream()
                    .anyMatch(o -> o instanceof Order.Stop && o.task().equals(filler.task()));
        }
        assertTrue(stopped);
    }
}
