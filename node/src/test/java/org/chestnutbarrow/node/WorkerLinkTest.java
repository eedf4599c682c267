package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the leases of a worker that falls silent, and what is sent to a worker when orders wait or have no answer. */
public class WorkerLinkTest {
    private static final Duration LONGEST_LEASE = Duration.ofSeconds(6);
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));

    private final ManualTime time = new ManualTime();

    /** Lists one run at the first hold and answers nothing after that. */
    private static final class FallsSilent implements WorkerPort {
        final AtomicInteger holds = new AtomicInteger();
        final WorkerReport.Running running;

        FallsSilent(WorkerReport.Running running) {
            this.running = running;
        }

        @Override
        public Answer send(WorkerEntry to, Order order, long token, long leaseUntilMs, Duration timeout)
                throws NotRunException {
            throw new NotRunException("silent", "try again");
        }

        @Override
        public Answer hold(
                WorkerEntry to, long token, long leaseUntilMs, long acknowledged, Duration wait, Duration timeout)
                throws NotRunException {
            if (holds.incrementAndGet() == 1) {
                return new Listed(new WorkerReport(to.id(), to.incarnation(), List.of(running), List.of()), 1000);
            }
            throw new NotRunException("silent", "try again");
        }
    }

    /** An owner without the store: at first it extends nothing itself, but an earlier one may have done so a moment ago. */
    private static final class WithoutStore implements Owner {
        volatile boolean active = true;
        volatile boolean extending;
        volatile Duration late = Duration.ZERO;

        @Override
        public long token() {
            return 2;
        }

        @Override
        public boolean extending(TaskRecord.WorkerIncarnation life) {
            return extending;
        }

        @Override
        public void ended(WorkerReport.EndKind how) {}

        @Override
        public void orderWaited(Duration time) {}

        @Override
        public void holdLate(Duration time) {}

        @Override
        public Duration lateness() {
            return late;
        }

        @Override
        public void heard(TaskRecord.WorkerIncarnation life) {}

        @Override
        public boolean active() {
            return active;
        }

        @Override
        public void fenced(String by) {}

        @Override
        public void wake() {}
    }

    /** Notes the orders and leaves those of chosen tasks without an answer. Safe for use by several threads. */
    private static final class Recording implements WorkerPort {
        final List<Order> sent = new CopyOnWriteArrayList<>();
        final Set<TaskName> unanswered = ConcurrentHashMap.newKeySet();
        final AtomicInteger tried = new AtomicInteger();
        volatile List<WorkerReport.Running> running = List.of();
        volatile boolean unreachable;
        volatile boolean full;
        volatile Duration longest = Duration.ZERO;

        @Override
        public Answer send(WorkerEntry to, Order order, long token, long leaseUntilMs, Duration timeout)
                throws NotRunException, OutcomeUnknownException {
            tried.incrementAndGet();
            if (unreachable) {
                throw new NotRunException("unreachable", "try again");
            }
            sent.add(order);
            if (unanswered.contains(order.task())) {
                throw new OutcomeUnknownException("no answer", "repeat it");
            }
            return full ? new Refused(Refusal.REJECTED) : new Done(1000);
        }

        @Override
        public Answer hold(
                WorkerEntry to, long token, long leaseUntilMs, long acknowledged, Duration wait, Duration timeout)
                throws NotRunException {
            if (unreachable) {
                throw new NotRunException("unreachable", "try again");
            }
            longest = timeout.minus(wait);
            Pauses.sleep(wait);
            return new Listed(new WorkerReport(to.id(), to.incarnation(), running, List.of()), 1000);
        }

        long stops(Order of) {
            return sent.stream()
                    .filter(o -> o instanceof Order.Stop && o.task().equals(of.task()))
                    .count();
        }

        long starts(Order of) {
            return sent.stream()
                    .filter(o -> o instanceof Order.Start && o.task().equals(of.task()))
                    .count();
        }
    }

    private static WorkerEntry worker(String id) {
        return new WorkerEntry(
                new WorkerId(id),
                1,
                new Address("127.0.0.1", 1),
                "service",
                new AvailabilityZone("zone"),
                Set.of(),
                new Resources(0, 0, 8000, 16000, 0),
                false);
    }

    /** Guards against a second run while a lease that an earlier owner extended may last. */
    @Test
    public void leasesOfAnEarlierOwnerAreWaitedFor() throws InterruptedException {
        Step step = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        JobSpec job = new JobSpec(new JobId("a"), QUEUE, time.now(), "payload", List.of(step));
        TaskRecord placed =
                new TaskRecord(false, 1, 0, "", Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), 1)));
        time.advance(Duration.ofMinutes(1));
        BatchScheduler cell = new BatchScheduler(time);
        cell.configure(Map.of(QUEUE.key(), QUEUE));
        cell.updateWorkers(List.of(worker("w1"), worker("w2")));
        cell.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed)))));
        WithoutStore owner = new WithoutStore();
        FallsSilent port = new FallsSilent(new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 50, 0));
        WorkerLink link = new WorkerLink(worker("w1"), port, cell, owner, time, LONGEST_LEASE);
        Thread holding = Thread.ofVirtual().start(link::hold);
        awaitHolds(port, 4);
        report(cell, "w2");
        assertTrue(cell.plan().orders().isEmpty(), "the run may go on for the time of a lease");
        time.advance(Duration.ofSeconds(5));
        awaitHolds(port, port.holds.get() + 2);
        report(cell, "w2");
        Order restarted = cell.plan().orders().getFirst();
        assertEquals(restarted.worker(), new WorkerId("w2"));
        assertEquals(restarted.run(), 2);
        owner.active = false;
        holding.join();
    }

    private BatchScheduler cell;
    private Recording port;
    private WithoutStore owner;
    private WorkerLink link;
    private final List<Thread> lanes = new ArrayList<>();

    @BeforeMethod
    public void begin() {
        cell = new BatchScheduler(time);
        cell.configure(Map.of(QUEUE.key(), QUEUE));
        cell.updateWorkers(List.of(worker("w1")));
        report(cell, "w1");
        port = new Recording();
        owner = new WithoutStore();
        link = new WorkerLink(worker("w1"), port, cell, owner, time, LONGEST_LEASE);
    }

    @AfterMethod
    public void end() throws InterruptedException {
        link.close();
        for (Thread lane : lanes) {
            lane.join();
        }
        lanes.clear();
    }

    private void startLanes() {
        lanes.add(Thread.ofVirtual().start(link::sendOrders));
        lanes.add(Thread.ofVirtual().start(link::repeatOrders));
    }

    /** Adds a job of one task and gives the order for its start to the link. */
    private Order.Start queueStart(String job) {
        Step step = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        cell.addJob(new JobSpec(new JobId(job), QUEUE, time.now(), "payload", List.of(step)), Optional.empty());
        Order.Start start = (Order.Start) cell.plan().orders().getFirst();
        link.send(start);
        return start;
    }

    private void cancel(Order.Start start) {
        cell.cancelJob(start.task().job());
        cell.plan().orders().forEach(link::send);
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(5);
        }
    }

    /** Guards against a run that begins after its job was cancelled, because its start waited in the node. */
    @Test
    public void aQueuedStartOfACancelledJobIsNotSent() throws InterruptedException {
        Order.Start start = queueStart("a");
        cancel(start);
        Order.Start last = queueStart("b");
        startLanes();
        await("the other job is started", () -> port.starts(last) == 1);
        assertEquals(port.starts(start), 0);
    }

    /** Guards against two runs of a task, the second placed while the start of the first still waited. */
    @Test
    public void aQueuedStartOfARunThatWasGivenUpIsNotSent() throws InterruptedException {
        Order.Start start = queueStart("a");
        cell.expireLeases(new TaskRecord.WorkerIncarnation(start.worker(), start.incarnation()));
        Order.Start again = (Order.Start) cell.plan().orders().getFirst();
        link.send(again);
        startLanes();
        await("the next run is started", () -> port.sent.contains(again));
        assertEquals(port.sent, List.of(again));
    }

    /** Guards against a start in a zone that was taken out of service while the start waited. */
    @Test
    public void aQueuedStartInAnEvacuatedZoneIsNotSent() throws InterruptedException {
        Order.Start start = queueStart("a");
        cell.setEvacuatedZones(Set.of(new AvailabilityZone("zone")));
        startLanes();
        await("the start is withdrawn", () -> !cell.plan().changes().isEmpty());
        assertEquals(port.starts(start), 0);
    }

    /** Guards against a start that leaves a node which stood still seconds after it was decided. */
    @Test
    public void aStartThatWaitedTooLongIsPlacedAnew() throws InterruptedException {
        Order.Start start = queueStart("a");
        time.advance(Duration.ofMillis(1100));
        startLanes();
        AtomicReference<Order> next = new AtomicReference<>();
        await("the task is placed anew", () -> {
            cell.plan().orders().forEach(next::set);
            return next.get() != null;
        });
        assertEquals(next.get().run(), start.run() + 1);
        assertEquals(port.sent, List.of());
    }

    /** Guards against a task that waits for seconds because its worker cannot be reached. */
    @Test
    public void aStartThatCannotBeSentIsPlacedAnew() throws InterruptedException {
        port.unreachable = true;
        queueStart("a");
        startLanes();
        await("the start is tried", () -> port.tried.get() > 0);
        time.advance(Duration.ofMillis(1100));
        AtomicReference<Order> next = new AtomicReference<>();
        await("the task is placed anew", () -> {
            cell.plan().orders().forEach(next::set);
            return next.get() != null;
        });
        assertEquals(next.get().run(), 2);
    }

    /** Guards against stops and starts that wait for the answer to another task's order. */
    @Test
    public void anUnansweredOrderDoesNotDelayOtherTasks() throws InterruptedException {
        Order.Start running = queueStart("a");
        startLanes();
        await("a is started", () -> port.starts(running) == 1);
        port.unanswered.add(new TaskName(new JobId("b"), 0, 0));
        Order.Start silent = queueStart("b");
        await("the start of b is repeated", () -> port.starts(silent) >= 2);
        cancel(running);
        await("a is stopped", () -> port.stops(running) == 1);
        long before = port.starts(silent);
        await("the start of b is still repeated", () -> port.starts(silent) > before);
    }

    /** Guards against a run of a cancelled job whose stop waits until the lease of its unanswered start is over. */
    @Test
    public void aStopFollowsAnUnansweredStartAtOnce() throws InterruptedException {
        Order.Start silent = queueStart("a");
        port.unanswered.add(silent.task());
        startLanes();
        await("the start is repeated", () -> port.starts(silent) >= 2);
        cancel(silent);
        await("the stop is sent", () -> port.stops(silent) >= 1);
        long starts = port.starts(silent);
        await("the stop is repeated", () -> port.stops(silent) >= 3);
        assertEquals(port.starts(silent), starts, "a start was sent after the stop");
    }

    /** Guards against a run of a cancelled job that goes on for good because its stop had no answer for a lease. */
    @Test
    public void aStopIsRepeatedWhileItsRunMayGoOn() throws InterruptedException {
        Order.Start start = queueStart("a");
        startLanes();
        await("a is started", () -> port.starts(start) == 1);
        port.running = List.of(new WorkerReport.Running(start.task(), start.run(), 50, 0));
        lanes.add(Thread.ofVirtual().start(link::hold));
        port.unanswered.add(start.task());
        cancel(start);
        await("the stop is sent", () -> port.stops(start) >= 1);
        time.advance(Duration.ofSeconds(10));
        long before = port.stops(start);
        await("the stop is repeated", () -> port.stops(start) >= before + 3);
    }

    /** Guards against two runs of a task: a call without an answer may start the first after a repeat found no room. */
    @Test
    public void aRepeatWithoutRoomDoesNotSettleAnUnansweredStart() throws InterruptedException {
        port.unanswered.add(new TaskName(new JobId("a"), 0, 0));
        Order.Start start = queueStart("a");
        startLanes();
        await("the start is repeated", () -> port.starts(start) >= 2);
        port.full = true;
        port.unanswered.clear();
        long before = port.starts(start);
        await("the start is repeated without room", () -> port.starts(start) > before + 2 || !cell.isAssigned(start));
        assertTrue(cell.isAssigned(start), "the task could be placed anew");
    }

    /** Guards against workers that count as silent while their answers lie unread in a node that runs late. */
    @Test
    public void aLateNodeWaitsLongerForAnswers() throws InterruptedException {
        owner.late = Duration.ofMillis(400);
        lanes.add(Thread.ofVirtual().start(link::hold));
        await("the worker is held", link::heard);
        assertEquals(port.longest, Duration.ofMillis(650));
    }

    /** Guards against runs that are never given up because stops for their silent worker are repeated. */
    @Test
    public void repeatedStopsDoNotExtendLeases() throws InterruptedException {
        owner.extending = true;
        Order.Start start = queueStart("a");
        startLanes();
        lanes.add(Thread.ofVirtual().start(link::hold));
        await("a is started", () -> port.starts(start) == 1 && link.heard());
        port.unreachable = true;
        cancel(start);
        int before = port.tried.get();
        await("the stop is repeated", () -> port.tried.get() > before + 1);
        await("the runs are given up", () -> {
            time.advance(Duration.ofMillis(50));
            return !cell.isAssigned(start);
        });
    }

    /** Guards against a task that is charged for good because its unanswered start was given up with a pace behind it. */
    @Test
    public void anUnansweredStartWithAPaceBehindItIsSettled() throws InterruptedException {
        port.unanswered.add(new TaskName(new JobId("a"), 0, 0));
        Order.Start start = queueStart("a");
        link.send(new Order.SetCpuLimit(start.task(), start.run(), start.worker(), start.incarnation(), 50));
        startLanes();
        await("the start is repeated", () -> port.starts(start) >= 2);
        time.advance(Duration.ofSeconds(5));
        await("the task is settled", () -> {
            time.advance(Duration.ofMillis(100));
            report(cell, "w1");
            return !cell.isAssigned(start);
        });
    }

    private void report(BatchScheduler cell, String worker) {
        cell.report(new WorkerReport(new WorkerId(worker), 1, List.of(), List.of()), time.nanos());
    }

    private static void awaitHolds(FallsSilent port, int count) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (port.holds.get() < count) {
            assertTrue(System.nanoTime() < end, "the worker is not held any more");
            Thread.sleep(5);
        }
    }
}
