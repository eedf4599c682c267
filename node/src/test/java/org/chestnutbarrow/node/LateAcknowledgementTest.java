package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a restarted worker gets tasks although it may carry out holds meant for its earlier incarnation. */
public class LateAcknowledgementTest {
    private static final Duration MAX_LEASE = Duration.ofSeconds(6);
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));

    /** A worker that does not answer the first hold with a number. Thread-safe. */
    private static final class ForgetfulWorker implements WorkerPort {
        final AtomicInteger answered = new AtomicInteger();
        private final AtomicBoolean lost = new AtomicBoolean();

        @Override
        public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
            return new Done(1000);
        }

        @Override
        public Answer hold(
                WorkerRegistration worker,
                long token,
                long leaseUntilMs,
                long acknowledgedUpTo,
                Duration wait,
                Duration timeout)
                throws OutcomeUnknownException {
            if (acknowledgedUpTo > 0 && !lost.getAndSet(true)) {
                throw new OutcomeUnknownException("no answer", "repeat it");
            }
            Threads.sleep(wait);
            answered.incrementAndGet();
            return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), List.of(), List.of()), 1000);
        }
    }

    private final ManualTime time = new ManualTime();
    private ForgetfulWorker port;
    private List<WorkerLink> opened;
    private BatchScheduler scheduler;
    private DisconnectedOwner owner;
    private WorkerLinks links;

    @BeforeMethod
    public void createLinks() {
        port = new ForgetfulWorker();
        opened = new ArrayList<>();
        scheduler = new BatchScheduler(time);
        owner = new DisconnectedOwner(time, MAX_LEASE);
        links = new WorkerLinks(scheduler, owner.leases, this::open, time, MAX_LEASE);
    }

    private WorkerLink open(WorkerRegistration worker) {
        opened.add(new WorkerLink(worker, port, scheduler, owner, time, MAX_LEASE));
        return opened.getLast();
    }

    private void holdUntilAnswered(int count) throws InterruptedException {
        Thread holds = Thread.ofVirtual().start(opened.getLast()::runHolds);
        long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (port.answered.get() < count) {
            assertTrue(System.nanoTime() < deadline, "the worker no longer receives holds");
            Thread.sleep(5);
        }
        opened.getLast().close();
        holds.join();
    }

    private List<Order> ordersAfterReport(long incarnation) {
        WorkerRegistration worker = TestWorkers.worker("w1", incarnation);
        scheduler.report(new WorkerReport(worker.id(), incarnation, List.of(), List.of()), time.nanos());
        return scheduler.plan().orders();
    }

    private void addJob() {
        Step step = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        scheduler.addJob(new JobSpec(new JobId("a"), QUEUE, time.now(), "payload", List.of(step)), Optional.empty());
    }

    /** Guards against a result that is discarded unreported by a hold which is carried out after the restart. */
    @Test
    public void taskWaitsWhileLateHoldMayDiscardItsResult() throws InterruptedException {
        links.update(List.of(TestWorkers.worker("w1")));
        opened.getFirst().acknowledge(7);
        holdUntilAnswered(3);
        links.update(List.of(TestWorkers.worker("w1", 2)));
        addJob();
        assertEquals(ordersAfterReport(2), List.of());
        links.update(List.of(TestWorkers.worker("w1", 3)));
        time.advance(LeaseTimes.MAX_CALL_DELAY.minusSeconds(1));
        assertEquals(ordersAfterReport(3), List.of(), "a further restart changes nothing");
        time.advance(Duration.ofSeconds(1));
        assertEquals(ordersAfterReport(3).size(), 1);
    }

    /** Guards against restarted workers that get no tasks although each hold of the earlier one was answered. */
    @Test
    public void taskDoesNotWaitIfAllHoldsWereAnswered() throws InterruptedException {
        links.update(List.of(TestWorkers.worker("w1")));
        holdUntilAnswered(2);
        links.update(List.of(TestWorkers.worker("w1", 2)));
        addJob();
        assertEquals(ordersAfterReport(2).size(), 1);
    }
}
