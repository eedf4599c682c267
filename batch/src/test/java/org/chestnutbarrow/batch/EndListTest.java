package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests the acknowledgement of ends of a worker that has more of them than its list holds, 500. */
public class EndListTest {
    private static final Map<WorkerIncarnation, Long> NONE = Map.of();

    private static Map<WorkerIncarnation, Long> upTo(long number) {
        return Map.of(new WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION), number);
    }

    private static SchedulerFixture withRunningJob() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 1);
        return fixture;
    }

    private static WorkerReport.Ended ended(long number, int run, EndKind kind) {
        return new WorkerReport.Ended(number, new TaskName(new JobId("a"), 0, 0), run, kind, "");
    }

    /** Returns ends without effect in random order. */
    private static List<WorkerReport.Ended> list(long first, long last, Long... omitted) {
        List<WorkerReport.Ended> ends = LongStream.rangeClosed(first, last)
                .filter(number -> !List.of(omitted).contains(number))
                .mapToObj(number -> ended(number, 0, EndKind.INTERRUPTED))
                .collect(Collectors.toList());
        Collections.shuffle(ends, new Random(1));
        return ends;
    }

    private static Plan report(SchedulerFixture fixture, List<WorkerReport.Ended> ends) {
        fixture.report("w1", List.of(), ends);
        return fixture.scheduler.plan();
    }

    private static Plan reportAfter(SchedulerFixture fixture, Duration delay, List<WorkerReport.Ended> ends) {
        fixture.time.advance(delay);
        return report(fixture, ends);
    }

    /** Guards against a done task that starts again because a full list left its end out while the store was silent. */
    @Test
    public void numberThatFullListLeavesOutIsNotPassedWhileAcknowledgementIsNotStored() {
        SchedulerFixture fixture = withRunningJob();
        assertEquals(report(fixture, list(1, 501, 3L)).acknowledgements(), upTo(2));
        for (int i = 0; i < 30; i++) {
            assertEquals(
                    reportAfter(fixture, Duration.ofSeconds(1), list(1, 501, 3L))
                            .acknowledgements(),
                    NONE);
        }
        List<WorkerReport.Ended> rest = list(3, 501, 3L);
        rest.add(ended(3, 1, EndKind.DONE));
        Plan plan = report(fixture, rest);
        assertEquals(plan.changes().getFirst().state(), JobState.COMPLETED);
        assertEquals(plan.acknowledgements(), upTo(501));
    }

    /** Guards against a number that is passed at once by the first list that is not full. */
    @Test
    public void listingDelayCountsFromFirstListThatIsNotFull() {
        SchedulerFixture fixture = withRunningJob();
        assertEquals(report(fixture, list(1, 501, 3L)).acknowledgements(), upTo(2));
        Duration delay = ListingDelay.MAX_DELAY;
        assertEquals(reportAfter(fixture, delay, list(3, 501, 3L)).acknowledgements(), NONE);
        assertEquals(
                reportAfter(fixture, delay.minusMillis(1), list(3, 501, 3L)).acknowledgements(), NONE);
        assertEquals(
                reportAfter(fixture, Duration.ofMillis(1), list(3, 501, 3L)).acknowledgements(), upTo(501));
    }

    /** Guards against a number that a full list leaves out and that is taken for one that an earlier owner acknowledged. */
    @Test
    public void numberAboveProcessedOnesIsNotPassedByConsecutiveFullList() {
        SchedulerFixture fixture = withRunningJob();
        assertEquals(report(fixture, list(1, 2)).acknowledgements(), upTo(2));
        assertEquals(report(fixture, list(4, 503)).acknowledgements(), NONE);
        assertEquals(reportAfter(fixture, ListingDelay.MAX_DELAY, list(4, 503)).acknowledgements(), NONE);
    }

    /** Guards against a new owner that passes numbers below a full list that leaves out others as well. */
    @Test
    public void numbersBelowFullListWithGapsAreNotPassedSoon() {
        SchedulerFixture fixture = withRunningJob();
        assertEquals(report(fixture, list(7, 507, 9L)).acknowledgements(), NONE);
        assertEquals(
                reportAfter(fixture, ListingDelay.MAX_DELAY, list(7, 507, 9L)).acknowledgements(), NONE);
    }

    /** Guards against a worker whose list stays full after a change of owner. */
    @Test
    public void consecutiveFullListAboveNumbersThatEarlierOwnerAcknowledgedIsAcknowledged() {
        SchedulerFixture fixture = withRunningJob();
        assertEquals(report(fixture, list(7, 506)).acknowledgements(), NONE);
        Plan plan = reportAfter(fixture, ListingDelay.MAX_DELAY, list(7, 506));
        assertEquals(plan.acknowledgements(), upTo(506));
        assertEquals(plan.ineffectiveEnd(), Optional.empty());
    }

    /** Guards against a worker whose full list never changes because nothing in it is acknowledged. */
    @Test
    public void fullListInWhichNothingCanBeAcknowledgedDoesNotBlockForever() {
        SchedulerFixture fixture = withRunningJob();
        assertEquals(report(fixture, list(1, 2)).acknowledgements(), upTo(2));
        assertEquals(report(fixture, list(4, 505, 6L, 8L)).acknowledgements(), NONE);
        Duration delay = ListingDelay.MAX_BLOCKING;
        assertEquals(
                reportAfter(fixture, delay.minusMillis(1), list(4, 505, 6L, 8L)).acknowledgements(), NONE);
        Plan plan = reportAfter(fixture, Duration.ofMillis(1), list(4, 505, 6L, 8L));
        assertEquals(plan.acknowledgements(), upTo(5), "only the lowest gap");
        assertEquals(
                plan.ineffectiveEnd().map(IneffectiveEnd::reason), Optional.of(IneffectiveEnd.Reason.NEVER_LISTED));
    }
}
