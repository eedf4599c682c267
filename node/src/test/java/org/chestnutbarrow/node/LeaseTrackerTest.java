package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests the wait for leases of silent workers to expire, and the extension of leases, across changes of the owner. */
public class LeaseTrackerTest {
    private static final int MAX_RECORD_BYTES = StateStore.Limits.DEFAULT.recordBytes();

    private static final Duration MAX_SILENCE = Duration.ofSeconds(7);
    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final Duration MAX_LEASE = Duration.ofSeconds(10);
    private static final Duration TICK = Duration.ofMillis(1);
    private static final WorkerIncarnation INCARNATION = new WorkerIncarnation(new WorkerId("w"), 1);

    private final ManualTime time = new ManualTime();

    private long in(Duration duration) {
        return time.nanos() + duration.toNanos();
    }

    private LeaseTracker successor(Map<WorkerIncarnation, Duration> stored) {
        return successor(stored, Map.of());
    }

    private LeaseTracker successor(
            Map<WorkerIncarnation, Duration> stored, Map<WorkerIncarnation, Duration> remainingLeases) {
        LeaseTracker leases = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, MAX_RECORD_BYTES);
        leases.start(stored, remainingLeases, List.of(INCARNATION));
        return leases;
    }

    /** Returns the tracker of an owner that has extended the leases of the incarnation until {@link #LEASE} from now. */
    private LeaseTracker extendingOwner() {
        LeaseTracker leases = successor(Map.of());
        leases.answered(INCARNATION, time.nanos());
        assertTrue(leases.extend(INCARNATION, in(LEASE)));
        return leases;
    }

    /** Simulates a term of a given duration; returns the record that it leaves in the store. */
    private Map<WorkerIncarnation, Duration> runOwner(Map<WorkerIncarnation, Duration> inherited, Duration duration) {
        LeaseTracker leases = successor(inherited);
        leases.startCounting();
        Map<WorkerIncarnation, Duration> stored = inherited;
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; elapsed = elapsed.plusMillis(100)) {
            time.advance(Duration.ofMillis(100));
            if (leases.dueRecord().isPresent()) {
                stored = leases.dueRecord().get();
                leases.recordStored(stored);
            }
        }
        return stored;
    }

    /** Guards against tasks that are not restarted while owners change, because each owner restarts the wait. */
    @Test
    public void nextOwnerContinuesTheWait() {
        Map<WorkerIncarnation, Duration> stored = Map.of();
        for (int owner = 0; owner < 3; owner++) {
            stored = runOwner(stored, Duration.ofSeconds(2));
        }
        assertEquals(successor(stored).takeExpired(), List.of());
        time.advance(Duration.ofSeconds(2));
        LeaseTracker last = successor(stored);
        time.advance(Duration.ofMillis(900));
        assertEquals(last.takeExpired(), List.of(), "time without an owner does not count");
        time.advance(Duration.ofMillis(2100));
        assertEquals(last.takeExpired(), List.of(INCARNATION));
    }

    /** Guards against a wait that ends while an earlier owner may still extend leases. */
    @Test
    public void silenceIsCountedOnlyOnceEarlierOwnersCannotExtend() {
        LeaseTracker leases = successor(Map.of());
        time.advance(Duration.ofSeconds(20));
        assertEquals(leases.takeExpired(), List.of());
        assertTrue(leases.dueRecord().isEmpty());
        assertEquals(leases.close(), Map.of(), "no bound is known");
        leases.startCounting();
        time.advance(MAX_SILENCE);
        assertEquals(leases.takeExpired(), List.of());
        time.advance(TICK);
        assertEquals(leases.takeExpired(), List.of(INCARNATION));
    }

    /**
     * Guards against an owner that extends leases while the stored record lets the next owner treat them as expiring.
     */
    @Test
    public void answeringWorkerIsExtendedOnlyAfterItsRecordIsWithdrawn() {
        LeaseTracker leases = successor(Map.of(INCARNATION, Duration.ofSeconds(3)));
        assertFalse(leases.extend(INCARNATION, in(LEASE)));
        leases.answered(INCARNATION, in(LEASE));
        assertFalse(leases.extend(INCARNATION, in(LEASE)));
        Map<WorkerIncarnation, Duration> record = leases.dueRecord().orElseThrow();
        assertEquals(record, Map.of());
        assertFalse(leases.extend(INCARNATION, in(LEASE)), "the withdrawal may not be stored");
        leases.recordStored(record);
        assertTrue(leases.extend(INCARNATION, in(LEASE)));
        time.advance(Duration.ofSeconds(20));
        assertEquals(leases.takeExpired(), List.of());
    }

    /**
     * Guards against the same while the write that records a silence is on its way: the incarnation answers before the
     * write is confirmed, and the write takes effect nevertheless.
     */
    @Test
    public void workerThatAnswersDuringTheWriteOfItsSilenceIsNotExtended() {
        LeaseTracker leases = successor(Map.of());
        leases.startCounting();
        time.advance(Duration.ofSeconds(2));
        Map<WorkerIncarnation, Duration> record = leases.dueRecord().orElseThrow();
        assertEquals(record, Map.of(INCARNATION, Duration.ofSeconds(2)));
        leases.answered(INCARNATION, in(LEASE));
        assertFalse(leases.extend(INCARNATION, in(LEASE)), "the write may still take effect");
        leases.recordStored(record);
        assertFalse(leases.extend(INCARNATION, in(LEASE)), "the silence is recorded");
        Map<WorkerIncarnation, Duration> withdrawal = leases.dueRecord().orElseThrow();
        assertEquals(withdrawal, Map.of());
        leases.recordStored(withdrawal);
        assertTrue(leases.extend(INCARNATION, in(LEASE)));
    }

    /** Guards against leases that lapse during an outage of the store, because all workers seemed silent before it. */
    @Test
    public void workerThatAnswersAgainSoonIsExtendedWithoutTheStore() {
        LeaseTracker leases = extendingOwner();
        leases.unreachable(INCARNATION);
        time.advance(LeaseTracker.SILENT_RECORD_DELAY.minus(TICK));
        assertEquals(leases.dueRecord(), Optional.empty());
        leases.answered(INCARNATION, in(LEASE));
        assertTrue(leases.extend(INCARNATION, in(LEASE)));
    }

    /** The same for a worker that had answered the owner before. */
    @Test
    public void workerThatFellSilentIsExtendedOnlyAfterItsRecordIsWithdrawn() {
        LeaseTracker leases = extendingOwner();
        leases.unreachable(INCARNATION);
        time.advance(Duration.ofSeconds(1));
        Map<WorkerIncarnation, Duration> record = leases.dueRecord().orElseThrow();
        assertEquals(record, Map.of(INCARNATION, MAX_SILENCE.minus(LEASE).plusSeconds(1)));
        leases.answered(INCARNATION, in(LEASE));
        assertFalse(leases.extend(INCARNATION, in(LEASE)), "the write may still take effect");
        leases.recordStored(record);
        leases.recordStored(leases.dueRecord().orElseThrow());
        assertTrue(leases.extend(INCARNATION, in(LEASE)));
    }

    /** Guards against a bound that is handed over or recorded and then exceeded by one more extension. */
    @Test
    public void leasesAreNotExtendedAfterTheirBoundWasRead() {
        LeaseTracker leases = extendingOwner();
        leases.unreachable(INCARNATION);
        assertFalse(leases.extend(INCARNATION, in(LEASE.multipliedBy(2))));
        leases.answered(INCARNATION, in(LEASE));
        assertTrue(leases.extend(INCARNATION, in(LEASE)), "nothing was recorded");
        time.advance(Duration.ofSeconds(1));
        assertEquals(leases.close(), Map.of(INCARNATION, LEASE.minusSeconds(1)));
        assertFalse(leases.extend(INCARNATION, in(LEASE)));
        leases.answered(INCARNATION, in(LEASE));
        assertFalse(leases.extend(INCARNATION, in(LEASE)), "an answer reopened a closed term");
    }

    /** Guards against a task that starts again while the worker that fell silent may still execute it. */
    @Test
    public void silentWorkerExpiresOnceItsLeasesAreOver() {
        LeaseTracker leases = extendingOwner();
        time.advance(LEASE.multipliedBy(2));
        assertEquals(leases.takeExpired(), List.of(), "only incarnations that fell silent expire");
        assertTrue(leases.extend(INCARNATION, in(LEASE)));
        leases.unreachable(INCARNATION);
        time.advance(LEASE);
        assertEquals(leases.takeExpired(), List.of());
        time.advance(TICK);
        assertEquals(leases.takeExpired(), List.of(INCARNATION));
        assertEquals(leases.takeExpired(), List.of());
        leases.answered(INCARNATION, in(LEASE));
        assertTrue(leases.extend(INCARNATION, in(LEASE)), "a worker that answers again is not used");
    }

    /** Guards against a wait that restarts because its owner was told in vain that the worker is unreachable. */
    @Test
    public void boundOfASilentWorkerStaysWhileItIsReportedAgain() {
        LeaseTracker leases = extendingOwner();
        leases.unreachable(INCARNATION);
        time.advance(Duration.ofSeconds(3));
        leases.answered(INCARNATION, in(LEASE));
        leases.unreachable(INCARNATION);
        leases.unreachable(INCARNATION);
        time.advance(Duration.ofSeconds(1).plus(TICK));
        assertEquals(leases.takeExpired(), List.of(INCARNATION));
    }

    /**
     * Guards against a wait that restarts with each owner although every term was closed, and against time that counts
     * twice: only the time in which a term lasts counts.
     */
    @Test
    public void closedTermsHandOverWhatIsLeftOfTheLeases() {
        Map<WorkerIncarnation, Duration> remaining = extendingOwner().close();
        for (int owner = 0; owner < 4; owner++) {
            time.advance(Duration.ofSeconds(10));
            LeaseTracker leases = successor(Map.of(), remaining);
            time.advance(Duration.ofMillis(900));
            assertEquals(leases.takeExpired(), List.of());
            assertEquals(leases.dueRecord(), Optional.empty(), "it had no time to answer");
            remaining = leases.close();
        }
        assertEquals(remaining, Map.of(INCARNATION, Duration.ofMillis(400)));
        LeaseTracker last = successor(Map.of(), remaining);
        time.advance(Duration.ofMillis(400));
        assertEquals(last.takeExpired(), List.of());
        time.advance(TICK);
        assertEquals(last.takeExpired(), List.of(INCARNATION));
    }

    /** Guards against time that counts both as silence in the record and as elapsed lease time. */
    @Test
    public void longerOfRecordedSilenceAndElapsedLeaseCounts() {
        Map<WorkerIncarnation, Duration> silence = Map.of(INCARNATION, Duration.ofSeconds(5));
        assertEquals(
                successor(silence, Map.of(INCARNATION, Duration.ofSeconds(4))).close(),
                Map.of(INCARNATION, Duration.ofSeconds(2)));
        assertEquals(
                successor(silence, Map.of(INCARNATION, Duration.ofSeconds(1))).close(),
                Map.of(INCARNATION, Duration.ofSeconds(1)));
    }

    /**
     * Guards against a takeover that records all workers before they had time to answer, and so cannot extend their
     * leases until the withdrawal is stored.
     */
    @Test
    public void workersAreRecordedOnlyAfterTheyHadTimeToAnswer() {
        LeaseTracker leases = successor(Map.of(), Map.of(INCARNATION, Duration.ofSeconds(3)));
        time.advance(Duration.ofMillis(999));
        assertEquals(leases.dueRecord(), Optional.empty());
        time.advance(TICK);
        assertEquals(leases.dueRecord(), Optional.of(Map.of(INCARNATION, Duration.ofSeconds(5))));

        LeaseTracker counting = successor(Map.of());
        time.advance(Duration.ofSeconds(5));
        counting.startCounting();
        time.advance(Duration.ofMillis(999));
        assertEquals(counting.dueRecord(), Optional.empty());
        counting.answered(INCARNATION, in(LEASE));
        assertTrue(counting.extend(INCARNATION, in(LEASE)));
    }

    /** Guards against a recorded silence that is withdrawn by the next owner because it has just taken over. */
    @Test
    public void inheritedRecordStaysWhileTheWorkerIsSilent() {
        LeaseTracker leases = successor(Map.of(INCARNATION, Duration.ofSeconds(3)));
        assertEquals(leases.dueRecord(), Optional.of(Map.of(INCARNATION, Duration.ofSeconds(3))));
    }

    /** Guards against a silence that the store does not hold because records are written only now and then. */
    @Test
    public void newSilenceIsRecordedBeforeTheNextRefresh() {
        WorkerIncarnation other = new WorkerIncarnation(new WorkerId("v"), 1);
        LeaseTracker leases = extendingOwner();
        leases.answered(other, in(LEASE));
        leases.unreachable(INCARNATION);
        time.advance(LeaseTracker.SILENT_RECORD_DELAY);
        leases.recordStored(leases.dueRecord().orElseThrow());
        assertEquals(leases.dueRecord(), Optional.empty());
        leases.unreachable(other);
        time.advance(LeaseTracker.SILENT_RECORD_DELAY);
        assertEquals(leases.dueRecord().orElseThrow().keySet(), Set.of(INCARNATION, other));
    }

    /**
     * Guards against a task that starts again while a worker that restarted under its id may execute it with a lease that
     * is longer than that of the earlier incarnation.
     */
    @Test
    public void longerLeaseOfALaterIncarnationIsAwaited() {
        LeaseTracker leases = extendingOwner();
        leases.unreachable(INCARNATION);
        time.advance(LeaseTracker.SILENT_RECORD_DELAY);
        leases.recordStored(leases.dueRecord().orElseThrow());
        leases.raise(INCARNATION, in(LEASE.plusSeconds(2)));
        assertEquals(
                leases.dueRecord(),
                Optional.of(Map.of(INCARNATION, MAX_SILENCE.minus(LEASE).minusSeconds(2))),
                "the record in the store lets the next owner wait too briefly");
        time.advance(LEASE.plusSeconds(2));
        assertEquals(leases.takeExpired(), List.of());

        LeaseTracker next = successor(Map.of(), Map.of(INCARNATION, Duration.ofSeconds(1)));
        next.raise(INCARNATION, in(LEASE));
        time.advance(LEASE);
        assertEquals(next.takeExpired(), List.of());
        time.advance(TICK);
        assertEquals(next.takeExpired(), List.of(INCARNATION));
    }

    /** Guards against tasks that wait forever because their worker has restarted and then never answers. */
    @Test
    public void laterIncarnationThatNeverAnswersExpires() {
        WorkerIncarnation later = new WorkerIncarnation(new WorkerId("w"), 2);
        LeaseTracker leases = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, MAX_RECORD_BYTES);
        leases.start(Map.of(), Map.of(), List.of());
        leases.add(later);
        time.advance(Duration.ofSeconds(20));
        assertEquals(leases.takeExpired(), List.of(), "an earlier owner may still extend its leases");
        leases.startCounting();
        time.advance(MAX_SILENCE.plus(TICK));
        assertEquals(leases.takeExpired(), List.of(later));
        leases.add(INCARNATION);
        time.advance(MAX_SILENCE.plus(TICK));
        assertEquals(leases.takeExpired(), List.of(INCARNATION));
    }

    /** Guards against a second run while an incarnation that has never answered holds leases of misdirected calls. */
    @Test
    public void leasesOfMisdirectedCallsAreAwaitedOnUnansweredWorker() {
        WorkerIncarnation later = new WorkerIncarnation(new WorkerId("w"), 2);
        LeaseTracker leases = extendingOwner();
        leases.startCounting();
        leases.replace(INCARNATION, later, time.nanos());
        leases.add(later);
        time.advance(MAX_LEASE);
        assertEquals(leases.takeExpired(), List.of());
        time.advance(LeaseTimes.MAX_TRANSMISSION
                .plus(LeaseTimes.upperBound(MAX_LEASE))
                .minus(MAX_LEASE)
                .plus(TICK));
        assertEquals(leases.takeExpired(), List.of(later));
    }

    /** Guards against a second run under a new owner, which doesn't know that a worker has restarted lately. */
    @Test
    public void nextOwnerAwaitsLeasesOfCallsMeantForEarlierIncarnation() {
        WorkerIncarnation young =
                new WorkerIncarnation(new WorkerId("w"), time.now().toEpochMilli());
        WorkerIncarnation answering =
                new WorkerIncarnation(new WorkerId("v"), time.now().toEpochMilli());
        time.advance(Duration.ofSeconds(2));
        LeaseTracker leases = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, MAX_RECORD_BYTES);
        leases.start(Map.of(), Map.of(), List.of(young, answering));
        leases.startCounting();
        leases.answered(answering, in(LEASE));
        leases.unreachable(answering);
        time.advance(MAX_LEASE);
        assertEquals(leases.takeExpired(), List.of());
        time.advance(LeaseTimes.afterRestart(MAX_LEASE)
                .minus(MAX_LEASE)
                .minusSeconds(2)
                .plus(TICK));
        assertEquals(Set.copyOf(leases.takeExpired()), Set.of(young, answering));
    }

    /** Guards against a wait for a restarted worker that begins anew with each owner. */
    @Test
    public void nextOwnerContinuesTheWaitForRestartedWorker() {
        WorkerIncarnation young =
                new WorkerIncarnation(new WorkerId("w"), time.now().toEpochMilli());
        LeaseTracker first = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, MAX_RECORD_BYTES);
        first.start(Map.of(), Map.of(), List.of(young));
        first.startCounting();
        Duration bound = LeaseTimes.afterRestart(MAX_LEASE);
        time.advance(bound.minusSeconds(1));
        Map<WorkerIncarnation, Duration> record = first.dueRecord().orElseThrow();
        LeaseTracker next = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, MAX_RECORD_BYTES);
        next.start(record, Map.of(), List.of(young));
        time.advance(Duration.ofMillis(999));
        assertEquals(next.takeExpired(), List.of());
        time.advance(TICK.multipliedBy(2));
        assertEquals(next.takeExpired(), List.of(young));
    }

    /** Guards against an owner that ends because an entry names a start time that no clock can show. */
    @Test
    public void startTimesOutOfRangeAreAccepted() {
        for (long startedAt : new long[] {Long.MIN_VALUE, -1, 0, Long.MAX_VALUE}) {
            WorkerIncarnation odd = new WorkerIncarnation(new WorkerId("w"), startedAt);
            LeaseTracker leases = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, MAX_RECORD_BYTES);
            leases.start(Map.of(), Map.of(), List.of(odd));
            leases.startCounting();
            time.advance(MAX_SILENCE.plus(LeaseTimes.afterRestart(MAX_LEASE)));
            assertEquals(leases.takeExpired(), List.of(odd));
        }
    }

    /**
     * Guards against a record of silent incarnations that the store refuses because of their number: the ones that are
     * silent for longest are recorded, and the others can be extended once they answer.
     */
    @Test
    public void recordOfManySilentIncarnationsIsBounded() {
        int maxBytes = 10_000;
        LeaseTracker leases = new LeaseTracker(time, MAX_SILENCE, MAX_LEASE, maxBytes);
        List<WorkerIncarnation> incarnations = IntStream.range(0, 2000)
                .mapToObj(i -> new WorkerIncarnation(new WorkerId("worker-" + i), 1))
                .toList();
        leases.start(Map.of(), Map.of(), incarnations);
        leases.startCounting();
        time.advance(Duration.ofSeconds(2));
        Map<WorkerIncarnation, Duration> record = leases.dueRecord().orElseThrow();
        assertTrue(StateCodec.encode(record).length <= maxBytes, record.size() + " incarnations");
        assertTrue(record.size() > maxBytes / 40, record.size() + " incarnations");
        leases.recordStored(record);
        assertTrue(leases.dueRecord().isEmpty(), "the record is stored again at once");
        for (WorkerIncarnation incarnation : incarnations) {
            leases.answered(incarnation, time.nanos());
            assertEquals(leases.extend(incarnation, in(LEASE)), !record.containsKey(incarnation));
        }
    }

    /** Guards against a last record of an owner that the store refuses because of the number of its leases. */
    @Test
    public void lastRecordOfManyLeasesIsBounded() {
        Map<WorkerIncarnation, Duration> remaining = new HashMap<>();
        for (int i = 0; i < 2000; i++) {
            remaining.put(new WorkerIncarnation(new WorkerId("worker-" + i), 1), Duration.ofMillis(i));
        }
        OwnerRecord record = new OwnerRecord("member", 7, "key", remaining);
        OwnerRecord bounded = record.fitting(10_000);
        assertTrue(StateCodec.encode(bounded).length <= 10_000);
        assertTrue(
                bounded.remainingLeases().size() > 250,
                bounded.remainingLeases().size() + " leases");
        bounded.remainingLeases()
                .forEach((_, lease) ->
                        assertTrue(lease.toMillis() < bounded.remainingLeases().size(), "a lease of " + lease));
        assertEquals(record.fitting(1_000_000), record);
    }
}
