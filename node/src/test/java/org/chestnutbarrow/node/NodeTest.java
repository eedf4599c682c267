package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests nodes against an in-memory store and in-memory workers. */
public class NodeTest {
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int STRONG = 1500;
    private static final int WEAK = 360;
    static final RecordCodec CODEC = new RecordCodec() {
        @Override
        public ControlState decodeControl(Map<String, byte[]> records, ControlState before) {
            return new ControlState(records.size(), Map.of(QUEUE.key(), QUEUE), Set.of());
        }

        @Override
        public Optional<WorkerRegistration> decodeWorker(String key, byte[] value) {
            return Optional.of(new WorkerRegistration(
                    new WorkerId(key),
                    1,
                    new Address("127.0.0.1", 1),
                    "service",
                    new AvailabilityZone("zone"),
                    Set.of(),
                    new Resources(0, 0, 8000, 16000, 0),
                    false));
        }
    };

    private OffsetClock clock;
    private FakeStore store;
    private FakeWorkers workers;

    @BeforeMethod
    public void setUp() {
        clock = new OffsetClock();
        store = new FakeStore();
        workers = new FakeWorkers();
    }

    static JobSpec job(String id) {
        Step step = new Step(
                2,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        return new JobSpec(new JobId(id), QUEUE, Instant.now(), "payload", List.of(step));
    }

    private Node start(String name) {
        return start(name, STRONG);
    }

    private Node start(String name, int milliCores) {
        return Node.start(
                new NodeSettings(
                        name,
                        new NodeCapacity(milliCores, 0),
                        Optional.empty(),
                        Duration.ofMillis(300),
                        Duration.ofSeconds(6)),
                store,
                workers,
                CODEC,
                clock);
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, description);
            Thread.sleep(10);
        }
    }

    private static boolean owns(Node node) {
        return node.metrics().contains("chestnutbarrow_node_owner 1.0");
    }

    private static JobState state(Node node, JobId id) {
        try {
            return node.state(id, TIMEOUT).orElseThrow();
        } catch (NotRunException e) {
            throw new AssertionError("the in-memory store did not answer", e);
        }
    }

    /** Guards against a change of the owner whenever a node joins, since each one briefly interrupts placement. */
    @Test
    public void ownerStaysWhenPartitionsAreReassigned() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node first = start("first");
        await("first node is ready", first::ready);
        assertEquals(first.submit(job("a"), TIMEOUT), JobService.Receipt.STORED);
        await("a is completed", () -> state(first, new JobId("a")) == JobState.COMPLETED);
        long token = workers.token();
        Node second = start("second");
        await("second node is ready", second::ready);
        store.rebalance();
        assertEquals(first.submit(job("b"), TIMEOUT), JobService.Receipt.STORED);
        await("b is completed", () -> state(first, new JobId("b")) == JobState.COMPLETED);
        Thread.sleep(Duration.ofMillis(400));
        assertEquals(workers.token(), token, "the owner has changed");
        first.close();
        second.close();
    }

    /** Guards against an owner that is replaced by the next member because its own takeover takes long. */
    @Test
    public void membershipIsRenewedDuringATakeover() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        store.readLatency(Duration.ofSeconds(1));
        Node node = start("first");
        await("the node is the owner", () -> owns(node));
        // The membership lasts for 450 ms.
        assertTrue(store.longestJoinGap().toMillis() < 450, "gap of " + store.longestJoinGap());
        node.close();
    }

    /** Guards against a job that is lost or run twice when the owner leaves and another node takes over. */
    @Test
    public void jobsContinueUnderTheNextOwner() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node first = start("first");
        await("first node is ready", first::ready);
        assertEquals(first.submit(job("a"), TIMEOUT), JobService.Receipt.STORED);
        await("a is completed", () -> state(first, new JobId("a")) == JobState.COMPLETED);
        Node second = start("second");
        await("second node is ready", second::ready);
        // The next owner also counts the ends reported to it, which are those not yet acknowledged.
        await("the ends are acknowledged", workers::allEndsAcknowledged);
        first.close();
        assertEquals(second.submit(job("b"), TIMEOUT), JobService.Receipt.STORED);
        assertEquals(second.submit(job("a"), TIMEOUT), JobService.Receipt.STORED);
        await("b is completed", () -> state(second, new JobId("b")) == JobState.COMPLETED);
        assertEquals(state(second, new JobId("a")), JobState.COMPLETED);
        String metrics = second.metrics();
        assertTrue(metrics.contains("chestnutbarrow_node_submissions_total{receipt=\"STORED\"} 1.0"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_owner 1.0"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_task_ends_total{how=\"DONE\"} 2.0"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_order_wait_seconds_count 2"), metrics);
        assertTrue(metrics.contains("chestnutbarrow_node_hold_late_seconds_bucket"), metrics);
        assertEquals(workers.startedTwice(), List.of());
        assertEquals(workers.startedTaskCount(), 4);
        second.close();
    }

    /**
     * Guards against a count of pending jobs without those accepted by other nodes while the store refused this one.
     */
    @Test
    public void pendingIsNotAnsweredFromAStaleCopy() throws InterruptedException, NotRunException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        Node node = start("node");
        await("node is ready", node::ready);
        assertEquals(node.pendingJobs(QUEUE.key(), TIMEOUT), 0);
        store.refuseReads(Set.of(StateStore.Topic.JOBS));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("a")));
        clock.advance(Duration.ofSeconds(2));
        assertThrows(NotRunException.class, () -> node.pendingJobs(QUEUE.key(), TIMEOUT));
        store.refuseReads(Set.of(StateStore.Topic.PROGRESS));
        clock.advance(Duration.ofSeconds(2));
        assertThrows(NotRunException.class, () -> node.pendingJobs(QUEUE.key(), TIMEOUT));
        store.refuseReads(Set.of());
        await("the store is read again", () -> pending(node) == 1);
        node.close();
    }

    private static boolean hasState(Node node, JobId id, JobState state) {
        try {
            return node.state(id, TIMEOUT).equals(Optional.of(state));
        } catch (NotRunException e) {
            return false;
        }
    }

    private static int pending(Node node) {
        try {
            return node.pendingJobs(QUEUE.key(), TIMEOUT);
        } catch (NotRunException e) {
            return -1;
        }
    }

    private static StateStore.Entry completed(String id) {
        return JobReplica.progressEntry(new JobProgress(new JobId(id), JobState.COMPLETED, Instant.EPOCH, List.of()));
    }

    /** Guards against a completed job that a node reports as queued because it has not read any progress. */
    @Test
    public void statesAreNotAnsweredBeforeProgressIsRead() throws InterruptedException, NotRunException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("a")));
        store.put(StateStore.Topic.PROGRESS, completed("a"));
        store.refuseReads(Set.of(StateStore.Topic.PROGRESS));
        Node node = start("node");
        Duration shortTimeout = Duration.ofMillis(300);
        assertThrows(NotRunException.class, () -> node.state(new JobId("a"), shortTimeout));
        store.refuseReads(Set.of());
        assertEquals(node.state(new JobId("a"), TIMEOUT), Optional.of(JobState.COMPLETED));
        node.close();
    }

    /** Guards against a completed job that is reported as cancelled because its end has not been read. */
    @Test
    public void cancelledIsNotAnsweredFromStaleProgress() throws InterruptedException, NotRunException {
        // A node without a partition cannot become the owner, which would store the cancelled state itself.
        store = new FakeStore(0);
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("a")));
        Node node = start("node");
        await("node is ready", node::ready);
        store.refuseReads(Set.of(StateStore.Topic.PROGRESS));
        store.put(StateStore.Topic.PROGRESS, completed("a"));
        assertEquals(node.cancel(new JobId("a"), TIMEOUT), JobService.Receipt.STORED);
        clock.advance(Duration.ofSeconds(2));
        assertThrows(NotRunException.class, () -> node.state(new JobId("a"), TIMEOUT));
        store.refuseReads(Set.of());
        await("the end is read", () -> hasState(node, new JobId("a"), JobState.COMPLETED));
        node.close();
    }

    /** Guards against queries of a state that fail while the store refuses this node. */
    @Test
    public void stateReadEarlierIsAnsweredWithoutTheStore() throws InterruptedException, NotRunException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("a")));
        Node node = start("node");
        await("node is ready", node::ready);
        store.refuseReads(Set.of(StateStore.Topic.JOBS, StateStore.Topic.PROGRESS));
        clock.advance(Duration.ofSeconds(2));
        assertEquals(node.state(new JobId("a"), TIMEOUT), Optional.of(JobState.QUEUED));
        assertThrows(NotRunException.class, () -> node.state(new JobId("b"), TIMEOUT));
        node.close();
    }

    /** Guards against a write for each repeated cancellation of a job that has ended. */
    @Test
    public void cancellingAnEndedJobStoresNothing() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("a")));
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("b")));
        store.put(StateStore.Topic.PROGRESS, completed("a"));
        Node node = start("node");
        await("node is ready", node::ready);
        assertEquals(node.cancel(new JobId("a"), TIMEOUT), JobService.Receipt.STORED);
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 2);
        assertEquals(state(node, new JobId("a")), JobState.COMPLETED);
        assertEquals(node.cancel(new JobId("b"), TIMEOUT), JobService.Receipt.STORED);
        assertEquals(node.cancel(new JobId("b"), TIMEOUT), JobService.Receipt.STORED);
        assertEquals(store.records(StateStore.Topic.JOBS).size(), 3);
        node.close();
    }

    /** Guards against a takeover by a weak machine while a stronger one is a member. */
    @Test
    public void weakMemberDoesNotTakeOverWhileAStrongOneIsAlive() throws InterruptedException {
        Node owner = start("a", STRONG);
        await("the first node is the owner", () -> owns(owner));
        Node weak = start("b", WEAK);
        await("the weak node is a member", () -> store.members().size() == 2);
        Node strong = start("c", STRONG);
        await("the strong node is a member", () -> store.members().size() == 3);
        owner.close();
        await("a node is the owner", () -> owns(weak) || owns(strong));
        assertTrue(owns(strong), "the weak node has taken over");
        weak.close();
        strong.close();
    }

    /** Guards against a missing owner because an owner that has left is still a member of the group. */
    @Test
    public void joinInFlightDoesNotOutliveTheNode() throws InterruptedException {
        Node owner = start("a", STRONG);
        await("the first node is the owner", () -> owns(owner));
        store.duringNextJoin(owner::close);
        await("the node has left", () -> !owns(owner));
        await("the node is no longer a member", () -> store.members().isEmpty());
        Thread.sleep(Duration.ofMillis(200));
        assertEquals(store.members(), Set.of());
    }

    /** Guards against a weak machine that remains the owner because it started first. */
    @Test
    public void weakOwnerIsReplacedByAMemberOfTwiceItsCapacity() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node weak = start("a", WEAK);
        await("the weak node is the owner", () -> owns(weak));
        assertEquals(weak.submit(job("a"), TIMEOUT), JobService.Receipt.STORED);
        Node strong = start("b", STRONG);
        await("the strong node is the owner", () -> owns(strong));
        await("the weak node is no longer the owner", () -> !owns(weak));
        assertEquals(weak.submit(job("b"), TIMEOUT), JobService.Receipt.STORED);
        await("a is completed", () -> state(weak, new JobId("a")) == JobState.COMPLETED);
        await("b is completed", () -> state(weak, new JobId("b")) == JobState.COMPLETED);
        assertTrue(owns(strong), "the weak node has taken the ownership back");
        assertEquals(workers.startedTwice(), List.of());
        weak.close();
        strong.close();
    }

    /** Guards against starts by an owner that cannot see cancellations, evacuated zones and draining workers. */
    @Test
    public void nothingIsStartedFromStaleCopies() throws InterruptedException {
        checkNothingIsStartedAfter(() -> clock.advance(Duration.ofSeconds(4)));
    }

    /** The same for an owner whose machine was suspended, which its monotonic clock does not show. */
    @Test
    public void nothingIsStartedFromCopiesReadBeforeASuspension() throws InterruptedException {
        checkNothingIsStartedAfter(() -> clock.suspend(Duration.ofSeconds(4)));
    }

    private void checkNothingIsStartedAfter(Runnable pause) throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node node = start("node");
        assertEquals(node.submit(job("a"), TIMEOUT), JobService.Receipt.STORED);
        await("both tasks are started", () -> workers.startedTaskCount() == 2);
        for (StateStore.Topic topic :
                List.of(StateStore.Topic.CONTROL, StateStore.Topic.WORKERS, StateStore.Topic.JOBS)) {
            int before = workers.startedTaskCount();
            store.refuseReads(Set.of(topic));
            pause.run();
            // By now the other copies are recent again and the worker has answered.
            Thread.sleep(Duration.ofMillis(1500));
            assertEquals(node.submit(job("b" + topic), TIMEOUT), JobService.Receipt.STORED);
            Thread.sleep(Duration.ofMillis(800));
            assertEquals(workers.startedTaskCount(), before, topic.toString());
            store.refuseReads(Set.of());
            await(topic + " is read again", () -> workers.startedTaskCount() == before + 2);
        }
        node.close();
    }

    /** Guards against twice the network traffic for each write, because the owner reads back what it stored. */
    @Test
    public void ownerDoesNotReadBackItsProgress() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node node = start("node");
        await("node is ready", node::ready);
        for (String id : List.of("a", "b", "c")) {
            assertEquals(node.submit(job(id), TIMEOUT), JobService.Receipt.STORED);
            await(id + " is completed", () -> state(node, new JobId(id)) == JobState.COMPLETED);
        }
        int reads = store.reads(StateStore.Topic.PROGRESS);
        await("progress is read twice more", () -> store.reads(StateStore.Topic.PROGRESS) >= reads + 2);
        int written = store.records(StateStore.Topic.PROGRESS).size();
        assertTrue(2 * store.delivered(StateStore.Topic.PROGRESS) < written, "all writes were read back");
        node.close();
    }

    /** Guards against a job that blocks all later ones, because the store refuses its record each time it is repeated. */
    @Test
    public void jobThatIsTooLargeIsRefused() throws InterruptedException {
        Node node = start("node");
        await("the copies are loaded", () -> node.submit(job("a"), TIMEOUT) == JobService.Receipt.STORED);
        JobSpec small = job("b");
        JobSpec large =
                new JobSpec(small.id(), QUEUE, small.submitted(), "x".repeat(JobWriter.MAX_ENTRY_BYTES), small.steps());
        assertEquals(node.submit(large, TIMEOUT), JobService.Receipt.TOO_LARGE);
        assertEquals(node.submit(small, TIMEOUT), JobService.Receipt.STORED);
        node.close();
    }

    /** Guards against jobs that the store refuses because its limit is smaller than usual. */
    @Test
    public void jobLargerThanTheLimitOfTheStoreIsRefused() throws InterruptedException {
        store.limits(new StateStore.Limits(2000, 10_000));
        Node node = start("node");
        await("the copies are loaded", () -> node.submit(job("a"), TIMEOUT) == JobService.Receipt.STORED);
        JobSpec small = job("b");
        JobSpec large = new JobSpec(small.id(), QUEUE, small.submitted(), "x".repeat(2000), small.steps());
        assertEquals(node.submit(large, TIMEOUT), JobService.Receipt.TOO_LARGE);
        assertEquals(store.unstorableAppends(), 0);
        assertEquals(node.submit(small, TIMEOUT), JobService.Receipt.STORED);
        node.close();
    }

    /**
     * Guards against a job that runs although its cancellation was answered: the append of the job is repeated after the
     * caller has been told that there is no such job.
     */
    @Test
    public void jobStoredAfterItsCancellationDoesNotRun() throws InterruptedException {
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        Node node = start("node");
        assertEquals(node.submit(job("a"), TIMEOUT), JobService.Receipt.STORED);
        await("both tasks are started", () -> workers.startedTaskCount() == 2);
        assertEquals(node.cancel(new JobId("b"), TIMEOUT), JobService.Receipt.NO_JOB);
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job("b")));
        await("b is known", () -> state(node, new JobId("b")) == JobState.CANCELLED);
        assertEquals(node.submit(job("c"), TIMEOUT), JobService.Receipt.STORED);
        await("c is completed", () -> state(node, new JobId("c")) == JobState.COMPLETED);
        assertEquals(workers.startedTaskCount(), 4);
        node.close();
    }
}
