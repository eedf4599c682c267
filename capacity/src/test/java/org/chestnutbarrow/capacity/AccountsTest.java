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

/** Guards against giving a worker more than it holds, and against charging without a lease. */
public class AccountsTest {
    private static final Address ADDRESS = Address.parse("127.0.0.1:1");
    private static final WorkerId ID = new WorkerId("w1");
    private static final Duration REQUEST_TIME = Duration.ofSeconds(10);
    private static final long LEASE_NANOS = Duration.ofSeconds(2).toNanos();
    private static final TaskId TASK = new TaskId(new JobId("job"), 0);

    private ManualTime time;
    private Accounts accounts;

    @BeforeMethod
    public void startWithoutWorkers() {
        time = new ManualTime();
        accounts = new Accounts(time);
    }

    @Test
    public void refusesMoreRequestsThanSlots() {
        open(2, List.of(), 0);
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isPresent());
        Optional<Hold> second = accounts.hold(ID, Resources.ONE_REQUEST);
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isEmpty());
        accounts.release(second.orElseThrow());
        accounts.release(second.orElseThrow());
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isPresent());
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isEmpty(), "a hold was given back twice");
    }

    @Test
    public void refusesAfterTheLeaseHasLapsed() {
        open(2, List.of(), 0);
        time.advance(Duration.ofSeconds(2));
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isEmpty());
        assertFalse(accounts.holds(ID, 1));
        accounts.renew(ID, 1, time.nanos() + LEASE_NANOS);
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isPresent());
    }

    @Test
    public void chargesWhatThePreviousHolderLeftUntilItMustHaveEnded() {
        TaskStatus running = new TaskStatus(
                TASK,
                "reconcile",
                0,
                new Attempt(1, 1),
                TaskState.RUNNING,
                Optional.empty(),
                new Resources(0, 0, 600, 0, 0),
                Duration.ofSeconds(1));
        open(2, List.of(running), 1);
        Room room = accounts.room(ID).orElseThrow();
        assertEquals(room.free().slots(), 1);
        assertEquals(room.free().milliCores(), 400);
        time.advance(REQUEST_TIME);
        accounts.renew(ID, 1, time.nanos() + LEASE_NANOS);
        assertEquals(accounts.room(ID).orElseThrow().free().slots(), 2);
    }

    @Test
    public void chargesAnAttemptOnceAndNeverTwoAttemptsOfATask() {
        open(2, List.of(), 0);
        Resources demand = new Resources(0, 0, 400, 0, 0);
        assertTrue(accounts.holdTask(ID, TASK, new Attempt(1, 1), demand).isPresent());
        assertTrue(accounts.holdTask(ID, TASK, new Attempt(1, 1), demand).isPresent());
        assertEquals(accounts.room(ID).orElseThrow().free().milliCores(), 600);
        assertTrue(accounts.holdTask(ID, TASK, new Attempt(1, 2), demand).isEmpty());
        accounts.releaseTask(ID, TASK, new Attempt(1, 1));
        assertEquals(accounts.room(ID).orElseThrow().free().milliCores(), 1000);
    }

    @Test
    public void ignoresGivingBackUnderAnOlderLease() {
        open(1, List.of(), 0);
        Hold old = accounts.hold(ID, Resources.ONE_REQUEST).orElseThrow();
        accounts.open(worker(1), 2, time.nanos() + LEASE_NANOS, List.of(), 0, REQUEST_TIME);
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isPresent());
        accounts.release(old);
        assertTrue(accounts.hold(ID, Resources.ONE_REQUEST).isEmpty());
    }

    private void open(int slots, List<TaskStatus> tasks, int requests) {
        accounts.open(worker(slots), 1, time.nanos() + LEASE_NANOS, tasks, requests, REQUEST_TIME);
    }

    private static Worker worker(int slots) {
        Resources capacity = new Resources(slots, 64, 1000, 1000, 0);
        return new Worker(ID, new AvailabilityZone("a"), "rack-1", ADDRESS, ADDRESS, false, capacity);
    }
}
