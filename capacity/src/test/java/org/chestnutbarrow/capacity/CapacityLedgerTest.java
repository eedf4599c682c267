package org.chestnutbarrow.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against charging a worker beyond its capacity, and against charging without a valid lease. */
public class CapacityLedgerTest {
    private static final Address ADDRESS = Address.parse("127.0.0.1:1");
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final Duration MAX_REQUEST_TIME = Duration.ofSeconds(10);
    private static final long LEASE_NANOS = Duration.ofSeconds(2).toNanos();
    private static final TaskId TASK = new TaskId(new JobId("job"), 0);

    private ManualTime time;
    private CapacityLedger ledger;

    @BeforeMethod
    public void createEmptyLedger() {
        time = new ManualTime();
        ledger = new CapacityLedger(time);
    }

    @Test
    public void refusesMoreRequestsThanSlots() {
        openWorker(2, List.of(), 0);
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isPresent());
        Optional<Reservation> second = ledger.reserve(WORKER, Resources.ONE_REQUEST);
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isEmpty());
        ledger.release(second.orElseThrow());
        ledger.release(second.orElseThrow());
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isPresent());
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isEmpty(), "a reservation was released twice");
    }

    /** Guards against peers that forward requests to a worker that accepts none while it is handed over. */
    @Test
    public void pausedWorkerOffersNoCapacity() {
        openWorker(2, List.of(), 0);
        ledger.setPaused(WORKER, true);
        assertEquals(ledger.availableOn(WORKER).orElseThrow().free(), Resources.NONE);
        ledger.setPaused(WORKER, false);
        assertEquals(ledger.availableOn(WORKER).orElseThrow().free().slots(), 2);
    }

    @Test
    public void refusesAfterTheLeaseHasExpired() {
        openWorker(2, List.of(), 0);
        time.advance(Duration.ofSeconds(2));
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isEmpty());
        assertFalse(ledger.holdsLease(WORKER, 1));
        ledger.renew(WORKER, 1, time.nanos() + LEASE_NANOS);
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isPresent());
    }

    @Test
    public void chargesWorkOfThePreviousHolderUntilItMustHaveEnded() {
        TaskStatus running = new TaskStatus(
                TASK,
                "reconcile",
                0,
                new Attempt(1, 1),
                TaskState.RUNNING,
                Optional.empty(),
                new Resources(0, 0, 600, 0, 0),
                Duration.ofSeconds(1));
        openWorker(2, List.of(running), 1);
        AvailableCapacity available = ledger.availableOn(WORKER).orElseThrow();
        assertEquals(available.free().slots(), 1);
        assertEquals(available.free().milliCores(), 400);
        time.advance(MAX_REQUEST_TIME);
        ledger.renew(WORKER, 1, time.nanos() + LEASE_NANOS);
        assertEquals(ledger.availableOn(WORKER).orElseThrow().free().slots(), 2);
    }

    @Test
    public void chargesAnAttemptOnceAndNeverTwoAttemptsOfATask() {
        openWorker(2, List.of(), 0);
        Resources demand = new Resources(0, 0, 400, 0, 0);
        assertTrue(ledger.chargeTask(WORKER, TASK, new Attempt(1, 1), demand).isPresent());
        assertTrue(ledger.chargeTask(WORKER, TASK, new Attempt(1, 1), demand).isPresent());
        assertEquals(ledger.availableOn(WORKER).orElseThrow().free().milliCores(), 600);
        assertTrue(ledger.chargeTask(WORKER, TASK, new Attempt(1, 2), demand).isEmpty());
        ledger.releaseTask(WORKER, TASK, new Attempt(1, 1));
        assertEquals(ledger.availableOn(WORKER).orElseThrow().free().milliCores(), 1000);
    }

    @Test
    public void ignoresAReleaseUnderAnOlderLease() {
        openWorker(1, List.of(), 0);
        Reservation previous = ledger.reserve(WORKER, Resources.ONE_REQUEST).orElseThrow();
        ledger.open(worker(1), 2, time.nanos() + LEASE_NANOS, List.of(), 0, MAX_REQUEST_TIME);
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isPresent());
        ledger.release(previous);
        assertTrue(ledger.reserve(WORKER, Resources.ONE_REQUEST).isEmpty());
    }

    private void openWorker(int slots, List<TaskStatus> tasks, int requests) {
        ledger.open(worker(slots), 1, time.nanos() + LEASE_NANOS, tasks, requests, MAX_REQUEST_TIME);
    }

    private static Worker worker(int slots) {
        Resources capacity = new Resources(slots, 64, 1000, 1000, 0);
        return new Worker(WORKER, new AvailabilityZone("a"), "rack-1", ADDRESS, ADDRESS, false, capacity);
    }
}
