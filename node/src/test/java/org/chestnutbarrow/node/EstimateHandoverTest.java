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
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what an owner knows of faulty workers and stuck runs while the owner changes again and again. */
public class EstimateHandoverTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int TERMS = 6;
    /** Failures in a row that make a worker suspected while no run has ended elsewhere. */
    private static final int SUSPICIOUS_FAILURES = 4;

    private static final WorkerRegistration FAULTY = TestWorkers.worker("w");
    /** The only worker of a service is not quarantined; this one has no room for the runs. */
    private static final WorkerRegistration OTHER = withoutCapacity(TestWorkers.worker("x"));

    private final OffsetClock clock = new OffsetClock();

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {{true}, {false}};
    }

    private static WorkerRegistration withoutCapacity(WorkerRegistration worker) {
        return new WorkerRegistration(
                worker.id(),
                worker.incarnation(),
                worker.address(),
                worker.service(),
                worker.zone(),
                worker.labels(),
                Resources.NONE,
                worker.draining());
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, description);
            Thread.sleep(10);
        }
    }

    /** Takes the ownership over with the jobs. */
    private OwnershipTerm takeOver(
            long token, StateStore store, WorkerPort port, JobReplica replica, WorkerRegistration... workers)
            throws Exception {
        TopicFollower progress = new TopicFollower(
                store,
                StateStore.Topic.PROGRESS,
                replica.progressListener(),
                () -> new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(300)),
                new PermissionTime(clock));
        progress.catchUp();
        OwnershipTerm term = new OwnershipTerm(
                token,
                store,
                port,
                replica,
                new PermissionTime(clock),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        term.storage().fenceEarlierOwners("node-1500m-" + token, progress);
        term.start(new ControlState(1, Map.of(), Set.of()), List.of(workers));
        return term;
    }

    private static JobSpec job(String id) {
        // One failed run ends the job.
        Queue queue = new Queue("host", "/q/", "service", 0, 1, 2, Duration.ofSeconds(1));
        Step step = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        return new JobSpec(new JobId(id), queue, Instant.now(), "payload", List.of(step));
    }

    /**
     * Guards against a faulty worker that is used under each of a series of owners, because each of them sees one failed
     * job; {@code closed} is unset if the owners end without a last write.
     */
    @Test(dataProvider = "ends")
    public void faultyWorkerIsQuarantinedOverChangesOfTheOwner(boolean closed) throws Exception {
        FakeStore store = new FakeStore();
        FailingWorker worker = new FailingWorker();
        for (int i = 1; i <= TERMS; i++) {
            JobReplica replica = new JobReplica(clock);
            JobSpec job = job("job" + i);
            replica.applyJob(job);
            OwnershipTerm term = takeOver(i, store, worker, replica, FAULTY, OTHER);
            if (i <= SUSPICIOUS_FAILURES) {
                await(
                        "the job fails",
                        () -> replica.find(job.id()).orElseThrow().state() == JobState.FAILED);
            } else {
                Thread.sleep(600);
            }
            if (closed) {
                term.close(TIMEOUT);
            } else {
                term.end();
            }
        }
        assertEquals(worker.started(), List.of("job1", "job2", "job3", "job4"));
    }

    /** Guards against a stuck run that blocks its job as long as the owner changes again and again. */
    @Test
    public void stuckRunIsStoppedOverChangesOfTheOwner() throws Exception {
        FakeStore store = new FakeStore();
        StuckWorker worker = new StuckWorker();
        JobSpec job = job("job");
        for (int i = 1; i <= 6 && !worker.stopped(); i++) {
            JobReplica replica = new JobReplica(clock);
            replica.applyJob(job);
            OwnershipTerm term = takeOver(i, store, worker, replica, FAULTY);
            Thread.sleep(700);
            term.close(TIMEOUT);
        }
        assertTrue(worker.stopped());
    }

    /** A worker on which the first run makes no progress. Thread-safe. */
    private static final class StuckWorker implements WorkerPort {
        private Optional<Order> start = Optional.empty();
        private boolean stopped;

        synchronized boolean stopped() {
            return stopped;
        }

        @Override
        public synchronized Answer send(
                WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
            switch (order) {
                case Order.Start _ -> start = Optional.of(order);
                case Order.Stop _ -> stopped = true;
                case Order.SetCpuLimit _ -> {}
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
            Threads.sleep(Duration.ofMillis(20));
            synchronized (this) {
                List<WorkerReport.Running> runs = start.stream()
                        .map(order -> new WorkerReport.Running(order.task(), order.run(), 10, 0))
                        .toList();
                return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), runs, List.of()), 1000);
            }
        }
    }

    /** Workers of which {@link #FAULTY} fails each run at once and the others get none. Thread-safe. */
    private static final class FailingWorker implements WorkerPort {
        private final List<String> started = new ArrayList<>();
        private final List<WorkerReport.Ended> ended = new ArrayList<>();
        private long lastEnd;

        synchronized List<String> started() {
            return List.copyOf(started);
        }

        @Override
        public synchronized Answer send(
                WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
            if (order instanceof Order.Start) {
                started.add(order.task().job().value());
                lastEnd++;
                ended.add(new WorkerReport.Ended(lastEnd, order.task(), order.run(), WorkerReport.EndKind.FAILED, ""));
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
            Threads.sleep(Duration.ofMillis(20));
            synchronized (this) {
                if (!worker.id().equals(FAULTY.id())) {
                    return new StatusReport(
                            new WorkerReport(worker.id(), worker.incarnation(), List.of(), List.of()), 1000);
                }
                ended.removeIf(end -> end.sequence() <= acknowledged);
                return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), List.of(), ended), 1000);
            }
        }
    }
}
