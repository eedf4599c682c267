package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that each end of a run is processed once before it is acknowledged, whatever the order of the lists. */
public class EndOrderTest {
    private static final Step PLAIN = SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN);
    private static final int FULL_LIST = 500;

    private static Map<WorkerIncarnation, Long> upTo(long number) {
        return Map.of(new WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION), number);
    }

    private static SchedulerFixture withRunningJobs(int count) {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        for (int i = 0; i < count; i++) {
            fixture.add(fixture.job("j" + i, PLAIN));
        }
        return fixture;
    }

    private static long completed(Plan plan) {
        return plan.changes().stream()
                .filter(change -> change.state() == JobState.COMPLETED)
                .count();
    }

    private static Plan reportDone(SchedulerFixture fixture, List<WorkerReport.Ended> ends) {
        fixture.report("w1", List.of(), ends);
        return fixture.scheduler.plan();
    }

    /** Guards against a result that is lost because it is listed after one with a higher number. */
    @Test
    public void lowerNumberAfterHigherOneIsProcessed() {
        SchedulerFixture fixture = withRunningJobs(2);
        List<Order.Start> starts = fixture.starts();
        Plan plan = reportDone(
                fixture,
                List.of(
                        SchedulerFixture.ended(2, starts.get(1), EndKind.DONE),
                        SchedulerFixture.ended(1, starts.get(0), EndKind.DONE)));
        assertEquals(completed(plan), 2);
        assertEquals(plan.acknowledgements(), upTo(2));
    }

    /** Guards against an end that its worker discards before it has listed it. */
    @Test
    public void numberIsNotAcknowledgedBeforeLowerOneIsListed() {
        SchedulerFixture fixture = withRunningJobs(2);
        List<Order.Start> starts = fixture.starts();
        WorkerReport.Ended first = SchedulerFixture.ended(1, starts.get(0), EndKind.DONE);
        WorkerReport.Ended second = SchedulerFixture.ended(2, starts.get(1), EndKind.DONE);
        Plan plan = reportDone(fixture, List.of(second));
        assertEquals(completed(plan), 1);
        assertEquals(plan.acknowledgements(), Map.of());
        plan = reportDone(fixture, List.of(second, first));
        assertEquals(completed(plan), 1);
        assertEquals(plan.acknowledgements(), upTo(2));
    }

    /** Guards against ends that a full list leaves out and its acknowledgement discards. */
    @Test
    public void fullListIsAcknowledgedUpToNumberThatItLeavesOut() {
        SchedulerFixture fixture = withRunningJobs(1);
        Order.Start start = fixture.starts().getFirst();
        List<WorkerReport.Ended> stopped = new ArrayList<>();
        for (long number = 1; number <= FULL_LIST + 1; number++) {
            if (number != 3) {
                stopped.add(SchedulerFixture.ended(
                        number,
                        new Order.Stop(start.task(), 0, start.worker(), start.incarnation(), "test"),
                        EndKind.INTERRUPTED));
            }
        }
        Collections.shuffle(stopped, new Random(1));
        assertEquals(reportDone(fixture, stopped).acknowledgements(), upTo(2));
        stopped.removeIf(end -> end.sequence() <= 2);
        stopped.add(SchedulerFixture.ended(3, start, EndKind.DONE));
        Plan plan = reportDone(fixture, stopped);
        assertEquals(completed(plan), 1);
        assertEquals(plan.acknowledgements(), upTo(FULL_LIST + 1));
    }

    /** Guards against ends that stay with their worker because an earlier owner has acknowledged those before them. */
    @Test
    public void numbersThatEarlierOwnerAcknowledgedAreNotAwaitedForever() {
        SchedulerFixture fixture = withRunningJobs(1);
        WorkerReport.Ended end = SchedulerFixture.ended(7, fixture.starts().getFirst(), EndKind.DONE);
        assertEquals(completed(reportDone(fixture, List.of(end))), 1);
        fixture.time.advance(ListingDelay.MAX_DELAY);
        Plan plan = reportDone(fixture, List.of(end));
        assertEquals(plan.acknowledgements(), upTo(7));
        assertEquals(plan.ineffectiveEnd(), Optional.empty());
    }

    /** Guards against a result that is lost because it is listed after its number was given up. */
    @Test
    public void numberThatIsListedAfterItWasGivenUpIsProcessed() {
        SchedulerFixture fixture = withRunningJobs(2);
        List<Order.Start> starts = fixture.starts();
        WorkerReport.Ended second = SchedulerFixture.ended(2, starts.get(1), EndKind.DONE);
        reportDone(fixture, List.of(second));
        fixture.time.advance(ListingDelay.MAX_DELAY);
        assertEquals(reportDone(fixture, List.of(second)).acknowledgements(), upTo(2));
        WorkerReport.Ended first = SchedulerFixture.ended(1, starts.get(0), EndKind.DONE);
        assertEquals(completed(reportDone(fixture, List.of(first))), 1);
    }

    /** Guards against a failure that counts several times because its end is listed several times. */
    @Test
    public void repeatedEndIsProcessedOnce() {
        SchedulerFixture fixture = withRunningJobs(1);
        WorkerReport.Ended failed = SchedulerFixture.ended(1, fixture.starts().getFirst(), EndKind.FAILED);
        Plan plan = reportDone(fixture, List.of(failed, failed));
        assertEquals(SchedulerFixture.starts(plan).size(), 1);
        plan = reportDone(fixture, List.of(failed));
        assertTrue(plan.changes().isEmpty(), plan.changes().toString());
    }

    /** Guards against lost ends of a restarted worker that leave no trace in the log. */
    @Test
    public void numbersThatRestartedWorkerNeverListsAreHandedOut() {
        SchedulerFixture fixture = withRunningJobs(1);
        Order.Start start = fixture.starts().getFirst();
        fixture.workers.replaceAll(worker -> fixture.worker(worker.id().value(), SchedulerFixture.INCARNATION + 1));
        fixture.scheduler.updateWorkers(fixture.workers);
        Optional<IneffectiveEnd> ineffective = Optional.empty();
        for (int i = 0; i < 2; i++) {
            fixture.scheduler.report(
                    new WorkerReport(
                            new WorkerId("w1"),
                            SchedulerFixture.INCARNATION + 1,
                            List.of(),
                            List.of(SchedulerFixture.ended(4, start, EndKind.INTERRUPTED))),
                    fixture.time.nanos());
            ineffective = fixture.scheduler.plan().ineffectiveEnd();
            fixture.time.advance(Duration.ofSeconds(1));
        }
        assertEquals(
                ineffective,
                Optional.of(new IneffectiveEnd(
                        new WorkerId("w1"), 1, 3, Optional.empty(), IneffectiveEnd.Reason.NEVER_LISTED, 1)));
    }
}
