package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an owner that is confirmed and a member, but cannot do the rest of its work. */
public class HandoverTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    /** The role is offered after 5.5 s, and a takeover from an in-memory store takes less than 1 s. */
    private static final Duration HANDOVER_BOUND = Duration.ofSeconds(10);

    private FakeStore store;
    private FakeWorkers workers;
    private NodeStore ownerStore;
    private Node owner;
    private Node other;

    @BeforeMethod
    public void startNodes() throws InterruptedException {
        store = new FakeStore();
        workers = new FakeWorkers();
        store.put(StateStore.Topic.CONTROL, new StateStore.Entry("config", Optional.of(new byte[] {1})));
        store.put(StateStore.Topic.WORKERS, new StateStore.Entry("w1", Optional.of(new byte[] {1})));
        ownerStore = new NodeStore(store);
        owner = start("owner", ownerStore);
        await("a job is run", TIMEOUT, () -> submit(owner, "first") && completed(owner, "first"));
        other = start("other", new NodeStore(store));
        await(
                "the other node is a member",
                TIMEOUT,
                () -> other.ready() && store.members().size() == 2);
    }

    @AfterMethod
    public void closeNodes() {
        owner.close();
        other.close();
    }

    private Node start(String name, StateStore view) {
        NodeSettings settings = new NodeSettings(
                name, new NodeCapacity(1500, 0), Optional.empty(), Duration.ofMillis(300), Duration.ofSeconds(6));
        return Node.start(settings, view, workers, NodeTest.CODEC, TimeSource.SYSTEM);
    }

    private static void await(String description, Duration bound, BooleanSupplier condition)
            throws InterruptedException {
        long deadline = System.nanoTime() + bound.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, description);
            Thread.sleep(10);
        }
    }

    private static boolean submit(Node node, String id) {
        return node.submit(NodeTest.job(id), TIMEOUT) == JobService.Receipt.STORED;
    }

    private static boolean completed(Node node, String id) {
        try {
            return node.state(new JobId(id), TIMEOUT).equals(Optional.of(JobState.COMPLETED));
        } catch (NotRunException e) {
            return false;
        }
    }

    /** Guards against an installation that stands still because its owner cannot read jobs and keeps the role. */
    @Test
    public void jobsRunWhileTheOwnerCannotReadThem() throws InterruptedException {
        ownerStore.refuseReads(Set.of(StateStore.Topic.JOBS));
        assertTrue(submit(other, "second"));
        await("the second job is run", HANDOVER_BOUND, () -> completed(other, "second"));
        assertEquals(workers.startedTwice(), List.of());
    }

    /** The same for an owner that cannot read the list of workers. */
    @Test
    public void jobsRunWhileTheOwnerCannotReadTheWorkers() throws InterruptedException {
        ownerStore.refuseReads(Set.of(StateStore.Topic.WORKERS));
        Thread.sleep(HandoverPolicy.MAX_AGE.plusSeconds(1));
        assertTrue(submit(other, "second"));
        await("the second job is run", HANDOVER_BOUND, () -> completed(other, "second"));
        assertEquals(workers.startedTwice(), List.of());
    }

    /** Guards against an installation that stands still because its owner repeats a refused write and keeps the role. */
    @Test
    public void jobsRunWhileTheOwnerCannotWriteProgress() throws InterruptedException {
        ownerStore.refuseProgress(true);
        assertTrue(submit(other, "second"));
        await("the second job is run", HANDOVER_BOUND, () -> completed(other, "second"));
        assertEquals(workers.startedTwice(), List.of());
    }

    /** Guards against changes of the owner, each of which interrupts placement, while no node can read the jobs. */
    @Test
    public void ownerStaysWhileNoNodeCanReadJobs() throws InterruptedException {
        checkOwnerStaysWithout(StateStore.Topic.JOBS);
    }

    /** The same for the list of workers, which nodes other than the owner do not follow. */
    @Test
    public void ownerStaysWhileNoNodeCanReadWorkers() throws InterruptedException {
        checkOwnerStaysWithout(StateStore.Topic.WORKERS);
    }

    private void checkOwnerStaysWithout(StateStore.Topic topic) throws InterruptedException {
        long token = workers.token();
        store.refuseReads(Set.of(topic));
        Thread.sleep(HANDOVER_BOUND);
        assertEquals(workers.token(), token, "the owner has changed while no node could read " + topic);
        store.refuseReads(Set.of());
        assertTrue(submit(other, "second"));
        await("the second job is run", TIMEOUT, () -> completed(other, "second"));
        // A member whose copies were old waits for 1 s before it takes over.
        Thread.sleep(TakeoverPolicy.COPIES_RECOVERY.multipliedBy(2));
        assertEquals(workers.token(), token, "the owner has changed after the fault");
        assertEquals(workers.startedTwice(), List.of());
    }
}
