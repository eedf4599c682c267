package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.CommandResult;
import org.chestnutbarrow.peer.PeerMessage.StartTask;
import org.chestnutbarrow.ports.WorkerControl;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against starts that bypass the checks or the ledger, and releases of capacity that may still be in use. */
public class WorkerTasksTest {
    private static final Address ADDRESS = Address.parse("127.0.0.1:1");
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final Resources DEMAND = new Resources(0, 0, 600, 600, 0);
    private static final Worker WORKER =
            new Worker(new WorkerId("w"), ZONE, "r", ADDRESS, ADDRESS, false, new Resources(8, 64, 1_000, 1_000, 0));

    private final ManualTime time = new ManualTime();
    private CapacityLedger ledger;
    private FakeControl control;
    private WorkerTasks tasks;
    private Freshness freshness;
    private List<TaskStatus> reportedStatuses;

    /** Answers starts with queued results; every other command fails with an unknown attempt. */
    private static final class FakeControl implements WorkerControl {
        private final ArrayDeque<Optional<TaskState>> startResults = new ArrayDeque<>();
        private int startCalls;

        @Override
        public Grant lease(Address worker, DaemonId holder, long epoch, Duration ttl) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void release(Address worker, DaemonId holder, long epoch) {
            throw new UnsupportedOperationException();
        }

        @Override
        public TaskStatus start(Address worker, StartCommand command) throws OutcomeUnknownException {
            startCalls++;
            TaskState state = startResults
                    .remove()
                    .orElseThrow(() -> new OutcomeUnknownException("no answer", "repeat the command"));
            return status(command.task(), command.attempt(), state);
        }

        @Override
        public TaskStatus apply(Address worker, long epoch, TaskId task, Attempt attempt, TaskCommand command)
                throws RefusedException {
            throw new RefusedException("unknown attempt", "nothing to do");
        }

        @Override
        public List<TaskStatus> fence(Address worker, long epoch, int shard, long shardEpoch) {
            return List.of();
        }

        @Override
        public Usage usage(Address worker) {
            throw new UnsupportedOperationException();
        }
    }

    @BeforeMethod
    void setUp() {
        ledger = new CapacityLedger(time);
        ledger.open(WORKER, 1, time.nanos() + Duration.ofHours(1).toNanos(), List.of(), 0, Duration.ZERO);
        control = new FakeControl();
        freshness = new Freshness.Current(Duration.ZERO, true);
        reportedStatuses = new ArrayList<>();
        TreeSet<AvailabilityZone> zones = new TreeSet<>(List.of(ZONE));
        Configuration configuration =
                new Configuration(0, "c", new Declarations(new TreeMap<>(), new TreeMap<>(), zones), new TreeMap<>());
        tasks = new WorkerTasks(
                time,
                control,
                ledger,
                () -> freshness,
                () -> configuration,
                shard -> 1,
                (worker, states) -> reportedStatuses.addAll(states));
    }

    private static TaskStatus status(TaskId task, Attempt attempt, TaskState state) {
        return new TaskStatus(task, "c", 0, attempt, state, Optional.empty(), DEMAND, Duration.ZERO);
    }

    private static StartTask start(int index, long epoch) {
        TaskId task = new TaskId(new JobId("j"), index);
        Attempt attempt = new Attempt(epoch, index + 1L);
        return new StartTask(WORKER.id(), 1, task, "c", 0, attempt, DEMAND, Duration.ZERO, Optional.empty());
    }

    /** Guards against a start that was in transit while the lease changed and the owner gave the attempt up. */
    @Test
    public void doesNotStartUnderAnotherLeaseThanTheOwnerNamed() {
        ledger.open(WORKER, 2, time.nanos() + Duration.ofHours(1).toNanos(), List.of(), 0, Duration.ZERO);
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.REFUSED);
        assertEquals(control.startCalls, 0);
    }

    @Test
    public void sendsNothingWhenTheConfigurationIsStale() {
        freshness = new Freshness.Stale(Duration.ofSeconds(3));
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.REFUSED);
        assertEquals(control.startCalls, 0);
        freshness = new Freshness.Current(Duration.ZERO, true);
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.REFUSED, "a refused attempt was started");
        assertEquals(control.startCalls, 0);
    }

    @Test
    public void keepsTheChargeOfAnUnknownStartUntilTheWorkerReports() {
        control.startResults.add(Optional.empty());
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.UNKNOWN);
        assertEquals(tasks.start(start(1, 1)).result(), CommandResult.REFUSED, "the unknown start was not charged");
        control.startResults.add(Optional.of(TaskState.FINISHED));
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.DONE);
        control.startResults.add(Optional.of(TaskState.RUNNING));
        assertEquals(tasks.start(start(2, 1)).result(), CommandResult.DONE, "the ended attempt stayed charged");
    }

    @Test
    public void stopsAnUnknownStartWhenTheConfigurationIsStale() {
        control.startResults.add(Optional.empty());
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.UNKNOWN);
        freshness = new Freshness.Stale(Duration.ofSeconds(3));
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.REFUSED);
        assertEquals(control.startCalls, 1, "the start was repeated under a stale configuration");
    }

    @Test
    public void reportsAttemptsThatARestartedWorkerLost() {
        control.startResults.add(Optional.of(TaskState.RUNNING));
        StartTask start = start(0, 1);
        tasks.start(start);
        long beforeStart = time.nanos();
        time.advance(Duration.ofSeconds(1));
        tasks.onReport(WORKER.id(), List.of(), beforeStart);
        assertTrue(reportedStatuses.isEmpty(), "a list requested before the start ended the attempt");
        tasks.onReport(WORKER.id(), List.of(), time.nanos());
        assertEquals(reportedStatuses, List.of(status(start.task(), start.attempt(), TaskState.LAPSED)));
        assertEquals(ledger.availableOn(WORKER.id()).orElseThrow().free(), WORKER.capacity());
    }

    @Test
    public void refusesAttemptsOfASupersededShardOwner() {
        tasks = new WorkerTasks(
                time, control, ledger, () -> freshness, () -> Configuration.INITIAL, shard -> 2, (w, s) -> {});
        assertEquals(tasks.start(start(0, 1)).result(), CommandResult.REFUSED);
        assertEquals(control.startCalls, 0);
    }
}
