package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/** Tests an owner that can send orders only slowly. */
public class SlowOwnerTest {
    private static final int JOBS = 30;
    private static final int TASKS_PER_JOB = 100;
    private static final int TASKS = JOBS * TASKS_PER_JOB;
    private static final int MAX_WITHDRAWN = TASKS / 20;

    /** Sends a limited number of orders a second to a worker on which each run ends at once. Thread-safe. */
    private static final class LimitedPort implements WorkerPort {
        /** Time for one order, so that 800 are sent in a second. */
        private static final Duration SEND_TIME = Duration.ofNanos(1_250_000);
        /** Covers timers that fire late; sending then catches up. */
        private static final Duration MAX_CATCH_UP = Duration.ofMillis(100);

        final FakeWorkers workers = new FakeWorkers();
        /** Starts that were ordered and withdrawn, as shown by the run numbers that arrive. */
        final AtomicInteger withdrawn = new AtomicInteger();

        final AtomicInteger highestRun = new AtomicInteger();
        private final AtomicLong sentUntil = new AtomicLong(System.nanoTime());

        @Override
        public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
            long now = System.nanoTime();
            long sentAt =
                    sentUntil.updateAndGet(last -> Math.max(last, now - MAX_CATCH_UP.toNanos()) + SEND_TIME.toNanos());
            if (sentAt > now) {
                Threads.sleep(Duration.ofNanos(sentAt - now));
            }
            if (order instanceof Order.Start) {
                withdrawn.addAndGet(order.run() - 1);
                highestRun.accumulateAndGet(order.run(), Math::max);
            }
            return workers.send(worker, order, token, leaseUntilMs, timeout);
        }

        @Override
        public Answer hold(
                WorkerRegistration worker,
                long token,
                long leaseUntilMs,
                long acknowledgedUpTo,
                Duration wait,
                Duration timeout) {
            Threads.sleep(Duration.ofMillis(20));
            return workers.hold(worker, token, leaseUntilMs, acknowledgedUpTo, wait, timeout);
        }
    }

    private static void addJobs(JobReplica replica) {
        Queue queue = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
        Step step = new Step(
                TASKS_PER_JOB,
                new Resources(0, 0, 2, 2, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        for (int i = 0; i < JOBS; i++) {
            replica.applyJob(new JobSpec(new JobId("j" + i), queue, Instant.now(), "payload", List.of(step)));
        }
    }

    /** Guards against starts that are ordered faster than they are sent, withdrawn for their age and ordered again. */
    @Test
    public void startsAreNotOrderedFasterThanTheyAreSent() throws InterruptedException {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        addJobs(replica);
        LimitedPort port = new LimitedPort();
        OwnershipTerm term = new OwnershipTerm(
                7,
                new FakeStore(),
                port,
                replica,
                new PermissionTime(new OffsetClock()),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        term.start(new ControlState(1, Map.of(), Set.of()), List.of(TestWorkers.worker("w")));
        long deadline = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (port.workers.startedTaskCount() < TASKS && System.nanoTime() < deadline) {
            Thread.sleep(20);
        }
        term.end();
        assertEquals(port.workers.startedTaskCount(), TASKS, "tasks started");
        assertTrue(
                port.withdrawn.get() <= MAX_WITHDRAWN,
                port.withdrawn + " starts withdrawn, highest run " + port.highestRun);
    }
}
