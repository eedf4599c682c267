package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that starts and jobs which nothing acts on any more are counted. */
public class StateAuditTest {
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final WorkerId WORKER = new WorkerId("w");

    private ManualTime time;
    private BatchScheduler scheduler;
    private JobReplica replica;
    private FakeStore store;
    private NodeMetrics metrics;
    private boolean delivered;
    private StateAudit audit;

    @BeforeMethod
    public void setUp() {
        time = new ManualTime();
        scheduler = new BatchScheduler(time);
        replica = new JobReplica(time);
        store = new FakeStore();
        metrics = new NodeMetrics(() -> true, () -> Duration.ZERO);
        delivered = false;
        audit = new StateAudit(scheduler, replica, (_, _) -> delivered, metrics, time);
    }

    private JobSpec job(String id) {
        Step step = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        return new JobSpec(new JobId(id), QUEUE, time.now(), "payload", List.of(step));
    }

    private void store(JobSpec job, JobState state) throws NotRunException {
        store.put(StateStore.Topic.JOBS, JobReplica.jobEntry(job));
        store.put(
                StateStore.Topic.PROGRESS,
                JobReplica.progressEntry(new JobProgress(job.id(), state, Instant.EPOCH, List.of())));
        follow(StateStore.Topic.JOBS, replica.jobsListener());
        follow(StateStore.Topic.PROGRESS, replica.progressListener());
    }

    private void follow(StateStore.Topic topic, TopicFollower.Listener listener) throws NotRunException {
        TopicFollower.PollPolicy policy = new TopicFollower.PollPolicy(Duration.ZERO, Duration.ZERO, Duration.ZERO);
        new TopicFollower(store, topic, listener, () -> policy, time).catchUp();
    }

    private void assertCounts(int ordersUnheld, int jobsMissing) {
        audit.audit();
        String text = metrics.toText();
        assertTrue(text.contains("chestnutbarrow_node_orders_unheld " + ordersUnheld + ".0"), text);
        assertTrue(text.contains("chestnutbarrow_node_jobs_missing " + jobsMissing + ".0"), text);
    }

    /** Guards against a job that the owner has lost without any sign of it. */
    @Test
    public void countsJobsThatSchedulerLacks() throws NotRunException {
        JobSpec lost = job("lost");
        store(lost, JobState.RUNNING);
        store(job("ended"), JobState.COMPLETED);
        assertCounts(0, 0);
        time.advance(StateAudit.MIN_AGE.minusMillis(1));
        assertCounts(0, 0);
        time.advance(Duration.ofMillis(1));
        assertCounts(0, 1);
        scheduler.addJob(lost, Optional.empty());
        assertCounts(0, 0);
    }

    /** Guards against a task that stays assigned to a worker because no delivery of its start goes on. */
    @Test
    public void countsStartsThatAreNotDelivered() {
        scheduler.updateWorkers(List.of(new WorkerRegistration(
                WORKER,
                1,
                new Address("127.0.0.1", 1),
                "service",
                new AvailabilityZone("z"),
                Set.of(),
                new Resources(0, 0, 8000, 16000, 0),
                false)));
        scheduler.report(new WorkerReport(WORKER, 1, List.of(), List.of()), time.nanos());
        scheduler.addJob(job("a"), Optional.empty());
        List<Order> orders = scheduler.plan().orders();
        assertEquals(orders.size(), 1);
        assertCounts(0, 0);
        time.advance(StateAudit.MIN_AGE);
        delivered = true;
        assertCounts(0, 0);
        delivered = false;
        assertCounts(1, 0);
        scheduler.confirmStarted(orders.getFirst().task(), orders.getFirst().run());
        assertCounts(0, 0);
    }
}
