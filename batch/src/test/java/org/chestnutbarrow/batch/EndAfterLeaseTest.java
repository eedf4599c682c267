package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests results that are listed after the lease of their worker has expired. */
public class EndAfterLeaseTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
    private static final WorkerIncarnation W1 = new WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION);

    private static SchedulerFixture withRun() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", PLAIN));
        return fixture;
    }

    private static WorkerReport.Ended done(Order.Start start) {
        return SchedulerFixture.ended(1, start, EndKind.DONE);
    }

    private static void assertNeverStarted(SchedulerFixture fixture, Order.Start start) {
        fixture.report(start.worker().value(), List.of(), List.of(done(start)));
        Plan plan = fixture.scheduler.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(SchedulerFixture.starts(plan), List.of());
        assertEquals(plan.acknowledgements(), Map.of(W1, 1L));
        assertEquals(fixture.starts(), List.of());
    }

    /** Guards against a task that is started although the report after the lease has expired lists its result. */
    @Test
    public void resultIsTakenBeforeTaskIsStartedAgain() {
        SchedulerFixture fixture = withRun();
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.expireLeases(W1);
        assertNeverStarted(fixture, start);
    }

    /** Guards against a run that goes on, or is followed by another, after the result of the run before is known. */
    @Test
    public void laterRunIsStoppedOnceResultIsListed() {
        SchedulerFixture fixture = withRun();
        Order.Start first = fixture.starts().getFirst();
        fixture.scheduler.expireLeases(W1);
        fixture.withWorkers("w2").setDraining("w1", true);
        Order.Start second = fixture.starts().getFirst();
        fixture.scheduler.confirmStarted(second.task(), second.run());
        fixture.report("w1", List.of(), List.of(done(first)));
        Plan plan = fixture.scheduler.plan();
        assertTrue(SchedulerFixture.stops(plan, second.task()));
        assertTrue(plan.changes().getFirst().steps().getFirst().getFirst().done());
        fixture.time.advance(Duration.ofMillis(1300));
        fixture.report("w2", List.of(), List.of(SchedulerFixture.ended(1, second, EndKind.INTERRUPTED)));
        plan = fixture.scheduler.plan();
        assertEquals(plan.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(SchedulerFixture.starts(plan), List.of());
    }

    /** Guards against a result that is lost because its worker was not listed for a while. */
    @Test
    public void resultOfWorkerThatIsListedAgainIsTaken() {
        SchedulerFixture fixture = withRun();
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.updateWorkers(List.of());
        fixture.scheduler.expireLeases(W1);
        fixture.scheduler.updateWorkers(fixture.workers);
        assertNeverStarted(fixture, start);
    }

    /** Guards against a task that the next owner starts although the result is listed to it. */
    @Test
    public void nextOwnerTakesResultAfterLeaseHasExpired() {
        SchedulerFixture fixture = withRun();
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.expireLeases(W1);
        fixture.setDraining("w1", true);
        JobProgress released = fixture.scheduler.plan().changes().getFirst();
        SchedulerFixture next = fixture.nextOwner(Map.of(released.id(), released));
        assertEquals(next.starts(), List.of(), "the worker has not reported");
        assertNeverStarted(
                next,
                new Order.Start(
                        start.task(), start.run(), new WorkerId("w1"), SchedulerFixture.INCARNATION, "payload", ""));
    }

    /** Guards against a result that counts again because its worker lists it after its lease has expired. */
    @Test
    public void resultThatIsStoredIsNotProcessedAgain() {
        SchedulerFixture fixture = withRun();
        Order.Start start = fixture.starts().getFirst();
        assertNeverStarted(fixture, start);
        fixture.scheduler.expireLeases(W1);
        fixture.report("w1", List.of(), List.of(done(start)));
        Plan plan = fixture.scheduler.plan();
        assertTrue(plan.isEmpty(), plan.toString());
    }
}
