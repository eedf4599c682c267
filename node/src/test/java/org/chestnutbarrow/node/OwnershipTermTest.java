package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests when an owner may extend leases, and that its orders reach workers that are listed late. */
public class OwnershipTermTest {
    private static final TaskRecord.WorkerIncarnation INCARNATION =
            new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1);

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final OffsetClock clock = new OffsetClock();

    private OwnershipTerm term(StateStore store) {
        return term(store, new FakeWorkers(), new JobReplica(clock));
    }

    private OwnershipTerm term(StateStore store, WorkerPort port, JobReplica replica) {
        return term(store, port, replica, () -> Duration.ZERO);
    }

    private OwnershipTerm term(StateStore store, WorkerPort port, JobReplica replica, Supplier<Duration> inputsAge) {
        OwnershipTerm term = unstartedTerm(store, port, replica, inputsAge);
        term.start(new ControlState(1, Map.of(), Set.of()), List.of());
        return term;
    }

    /** Returns a term that is recorded in the store. */
    private OwnershipTerm recordedTerm(StateStore store, WorkerPort port) throws Exception {
        JobReplica replica = new JobReplica(clock);
        OwnershipTerm term = unstartedTerm(store, port, replica, () -> Duration.ZERO);
        term.storage().fenceEarlierOwners("node-1500m-1", progressFollower(store, replica));
        term.start(new ControlState(1, Map.of(), Set.of()), List.of());
        return term;
    }

    private TopicFollower progressFollower(StateStore store, JobReplica replica) {
        TopicFollower.PollPolicy policy =
                new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(300));
        return new TopicFollower(
                store, StateStore.Topic.PROGRESS, replica.progressListener(), () -> policy, new PermissionTime(clock));
    }

    /** Takes the ownership over; returns the leases that the predecessor has left. */
    private Map<TaskRecord.WorkerIncarnation, Duration> takeOver(long token, StateStore store) throws Exception {
        JobReplica replica = new JobReplica(clock);
        TopicFollower progress = progressFollower(store, replica);
        progress.catchUp();
        TermStorage storage = new TermStorage(token, store, replica, new PermissionTime(clock));
        storage.fenceEarlierOwners("next-1500m-" + token, progress);
        return storage.inheritedLeases();
    }

    private OwnershipTerm unstartedTerm(
            StateStore store, WorkerPort port, JobReplica replica, Supplier<Duration> inputsAge) {
        return new OwnershipTerm(
                7,
                store,
                port,
                replica,
                new PermissionTime(clock),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                inputsAge);
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, description);
            Thread.sleep(10);
        }
    }

    /** Guards against a wait for leases that begins anew with each owner, although the one before has left in order. */
    @Test
    public void closedTermHandsOverItsLeasesToTheDirectSuccessor() throws Exception {
        FakeStore store = new FakeStore();
        OwnershipTerm term = recordedTerm(store, new FakeWorkers());
        term.updateWorkers(List.of(TestWorkers.worker("w")));
        Duration lease = Duration.ofMillis(4380);
        await("the leases are extended", () -> term.extendLeases(INCARNATION, clock.nanos() + lease.toNanos()));
        term.close(TIMEOUT);
        assertFalse(term.active());
        assertFalse(term.mayStart());
        assertFalse(term.extendLeases(INCARNATION, clock.nanos()));
        Duration remaining = takeOver(8, store).get(INCARNATION);
        assertTrue(remaining.compareTo(lease) <= 0, remaining.toString());
        assertTrue(remaining.compareTo(lease.minusSeconds(2)) > 0, remaining.toString());
        assertEquals(takeOver(9, store), Map.of(), "the owner before may have extended the leases");
    }

    /** Guards against a node that cannot leave because the store does not answer. */
    @Test
    public void hangingStoreDoesNotDelayTheCloseOfATerm() throws Exception {
        NodeStore store = new NodeStore(new FakeStore());
        OwnershipTerm term = recordedTerm(store, new FakeWorkers());
        CountDownLatch released = new CountDownLatch(1);
        store.hangProgress(released);
        long begin = System.nanoTime();
        term.close(Duration.ofMillis(500));
        long elapsedMs = Duration.ofNanos(System.nanoTime() - begin).toMillis();
        assertTrue(elapsedMs < 900, "the close took " + elapsedMs + " ms");
        assertFalse(term.active());
        released.countDown();
    }

    /** Guards against a record of a former owner that replaces the one of the current owner. */
    @Test
    public void fencedTermStoresNothingWhenItIsClosed() throws Exception {
        FakeStore store = new FakeStore();
        OwnershipTerm term = recordedTerm(store, new FakeWorkers());
        takeOver(8, store);
        int before = store.records(StateStore.Topic.PROGRESS).size();
        term.close(TIMEOUT);
        assertFalse(term.active());
        assertEquals(store.records(StateStore.Topic.PROGRESS).size(), before);
    }

    /**
     * Guards against workers that have left and are called for ever, and that count among those of which a majority must
     * answer.
     */
    @Test
    public void goneWorkersAreNeitherCalledNorCounted() throws Exception {
        FakeStore store = new FakeStore();
        SilencedWorkers port = new SilencedWorkers();
        OwnershipTerm term = term(store, port, new JobReplica(clock));
        WorkerRegistration gone = TestWorkers.worker("w");
        WorkerRegistration kept = TestWorkers.worker("v");
        term.updateWorkers(List.of(gone, kept));
        await("both are held", () -> port.holds(gone) > 1 && port.holds(kept) > 1);
        port.silent.add(gone.id());
        term.updateWorkers(List.of(kept));
        // A running worker that is not listed for a while is held on.
        int before = port.holds(gone);
        await("the worker is still called", () -> port.holds(gone) > before);
        clock.advance(Duration.ofSeconds(2));
        Thread.sleep(300);
        clock.advance(Duration.ofSeconds(6));
        Thread.sleep(1000);
        int last = port.holds(gone);
        Thread.sleep(500);
        assertEquals(port.holds(gone), last, "a worker that has left is called");

        TaskRecord.WorkerIncarnation incarnation = new TaskRecord.WorkerIncarnation(kept.id(), kept.incarnation());
        store.fault(FakeStore.Fault.REFUSES);
        clock.advance(Duration.ofSeconds(3));
        Thread.sleep(1000);
        assertFalse(
                term.extendLeases(incarnation, clock.nanos()),
                "the worker may be listed again and answer a newer owner");
        store.fault(FakeStore.Fault.NONE);
        // Longer than leases are extended without the store.
        clock.advance(Duration.ofSeconds(12));
        await("the store confirms the term", () -> term.extendLeases(incarnation, clock.nanos()));
        store.fault(FakeStore.Fault.REFUSES);
        // Longer than the time for which the last confirmation holds without the answers of a majority.
        clock.advance(Duration.ofSeconds(3));
        await("the leases are extended", () -> term.extendLeases(incarnation, clock.nanos()));
        store.fault(FakeStore.Fault.NONE);

        port.silent.clear();
        term.updateWorkers(List.of(gone, kept));
        await("the worker that is listed again is held", () -> port.holds(gone) > last + 1);
        term.end();
    }

    /** Guards against acknowledgements of ends that are not stored, because the changes of a failed plan are lost. */
    @Test
    public void termEndsAfterAnErrorInAPlan() throws InterruptedException {
        AtomicBoolean failing = new AtomicBoolean();
        OwnershipTerm term = term(new FakeStore(), new FakeWorkers(), new JobReplica(clock), () -> {
            if (failing.get()) {
                throw new StackOverflowError("test");
            }
            return Duration.ZERO;
        });
        assertTrue(term.active());
        failing.set(true);
        await("the term ends", () -> !term.active());
    }

    /** Guards against leases that expire because an owner with nothing to store cannot read the store either. */
    @Test
    public void idleOwnerStaysConfirmedByTheStore() throws InterruptedException {
        OwnershipTerm term = term(new FakeStore());
        term.workerAnswered(INCARNATION, clock.nanos());
        clock.advance(Duration.ofSeconds(20));
        for (int i = 0; i < 100 && !term.extendLeases(INCARNATION, clock.nanos()); i++) {
            Thread.sleep(100);
        }
        assertTrue(term.extendLeases(INCARNATION, clock.nanos()));
        term.end();
    }

    /** Guards against leases extended by two owners at once: one without the store cannot see a newer owner. */
    @Test
    public void ownerStopsExtendingLeasesWithoutTheStore() throws InterruptedException {
        FakeStore store = new FakeStore();
        OwnershipTerm term = term(store);
        term.workerAnswered(INCARNATION, clock.nanos());
        assertTrue(term.extendLeases(INCARNATION, clock.nanos()));
        store.fault(FakeStore.Fault.REFUSES);
        clock.advance(Duration.ofSeconds(20));
        Thread.sleep(1000);
        assertFalse(term.extendLeases(INCARNATION, clock.nanos()));
        term.end();
    }

    /** Guards against a job that runs on because it was cancelled while the store did not list its worker. */
    @Test
    public void cancelledRunIsStoppedOnceItsWorkerIsListed() throws InterruptedException {
        Step step = new Step(
                1, Resources.NONE, Duration.ofSeconds(1), List.of(), Step.Constraints.NONE, Step.Behaviour.PLAIN);
        Queue queue = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
        JobSpec job = new JobSpec(new JobId("a"), queue, Instant.EPOCH, "payload", List.of(step));
        TaskRecord placed = new TaskRecord(false, 1, 0, "", Optional.of(INCARNATION));
        JobReplica replica = new JobReplica(clock);
        replica.applyJob(job);
        replica.applyStored(
                List.of(JobReplica.progressEntry(
                        new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(placed))))),
                0);
        RunningWorker worker = new RunningWorker(new WorkerReport.Running(new TaskName(job.id(), 0, 0), 1, 50, 0));
        OwnershipTerm term = term(new FakeStore(), worker, replica);
        replica.applyCancellation(job.id());
        Thread.sleep(600);
        term.updateWorkers(List.of(TestWorkers.worker("w")));
        assertTrue(worker.stopped.await(5, TimeUnit.SECONDS));
        term.end();
    }

    /** A worker that lists one run until it is told to stop it. Thread-safe. */
    private static final class RunningWorker implements WorkerPort {
        final CountDownLatch stopped = new CountDownLatch(1);
        private final WorkerReport.Running running;

        RunningWorker(WorkerReport.Running running) {
            this.running = running;
        }

        @Override
        public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
            if (order instanceof Order.Stop && order.task().equals(running.task())) {
                stopped.countDown();
            }
            return new Done(1000);
        }

        @Override
        public Answer hold(
                WorkerRegistration worker,
                long token,
                long leaseUntilMs,
                long acknowledged,
                Duration wait,
                Duration timeout) {
            Threads.sleep(wait);
            List<WorkerReport.Running> runs = stopped.getCount() == 0 ? List.of() : List.of(running);
            return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), runs, List.of()), 1000);
        }
    }
}
