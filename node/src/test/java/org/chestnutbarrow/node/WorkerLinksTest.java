package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests what becomes of the runs on a worker that restarts under its id. */
public class WorkerLinksTest {
    private static final Duration MAX_LEASE = Duration.ofSeconds(10);
    private static final Duration REQUESTED_LEASE = Duration.ofMillis(4380);
    private static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final Step STEP = new Step(
            1,
            new Resources(0, 0, 1000, 100, 0),
            Duration.ofSeconds(20),
            List.of(),
            Step.Constraints.NONE,
            Step.Behaviour.PLAIN);

    /** Longer than the margins of lease times. */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    /** A worker that answers holds or does not. Thread-safe. */
    private static final class SwitchedWorker implements WorkerPort {
        volatile boolean answering = true;
        private final AtomicInteger holds = new AtomicInteger();

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
            Threads.sleep(wait);
            holds.incrementAndGet();
            if (!answering) {
                throw new OutcomeUnknownException("no answer", "repeat it");
            }
            return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), List.of(), List.of()), 1000);
        }

        /** Waits for a number of further holds. */
        void awaitHolds(int count) throws InterruptedException {
            int expected = holds.get() + count;
            long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            while (holds.get() < expected) {
                assertTrue(System.nanoTime() < deadline, "the worker no longer receives holds");
                Thread.sleep(5);
            }
        }
    }

    private final ManualTime time = new ManualTime();
    private final SwitchedWorker port = new SwitchedWorker();
    private final List<WorkerLink> opened = new ArrayList<>();
    private final BatchScheduler scheduler = new BatchScheduler(time);
    private final DisconnectedOwner owner = new DisconnectedOwner(time, MAX_LEASE);
    private final WorkerLinks links = new WorkerLinks(scheduler, owner.leases, this::open, time, MAX_LEASE);

    private final WorkerRegistration first = TestWorkers.worker("w1");
    private final WorkerRegistration second = TestWorkers.worker("w1", 2);
    private final WorkerIncarnation later = new WorkerIncarnation(second.id(), second.incarnation());

    private WorkerLink open(WorkerRegistration worker) {
        opened.add(new WorkerLink(worker, port, scheduler, owner, time, MAX_LEASE));
        return opened.getLast();
    }

    /** Starts a task on the worker just before the list shows that it has restarted, and lets it fall silent then. */
    private void runTaskOnRestartedWorkerThatFallsSilent() {
        scheduler.report(new WorkerReport(first.id(), first.incarnation(), List.of(), List.of()), time.nanos());
        scheduler.addJob(new JobSpec(new JobId("a"), QUEUE, time.now(), "payload", List.of(STEP)), Optional.empty());
        Order start = scheduler.plan().orders().getFirst();
        // The answer came from the next incarnation, which has granted the longest lease.
        scheduler.confirmStarted(start.task(), start.run());
        links.update(List.of(second));
        owner.workerAnswered(later, time.nanos() + REQUESTED_LEASE.toNanos());
        WorkerReport.Running run = new WorkerReport.Running(start.task(), start.run(), 10, 0);
        scheduler.report(new WorkerReport(second.id(), second.incarnation(), List.of(run), List.of()), time.nanos());
        owner.workerUnreachable(later);
    }

    /** Guards against a second run elsewhere while a call meant for the earlier incarnation keeps the first one alive. */
    @Test
    public void runOnRestartedWorkerThatFallsSilentKeepsItsLongerLease() {
        links.update(List.of(first));
        runTaskOnRestartedWorkerThatFallsSilent();
        time.advance(MAX_LEASE);
        assertEquals(owner.leases.takeExpired(), List.of());
        time.advance(LeaseTimes.MAX_TRANSMISSION.plus(MARGIN));
        assertEquals(owner.leases.takeExpired(), List.of(later));
    }

    /** Guards against the same if that call remained unanswered and is carried out seconds later. */
    @Test
    public void lateCallToEarlierIncarnationIsAwaited() throws InterruptedException {
        port.answering = false;
        links.update(List.of(first));
        WorkerLink link = opened.getFirst();
        Thread holds = Thread.ofVirtual().start(link::runHolds);
        port.awaitHolds(2);
        port.answering = true;
        port.awaitHolds(2);
        link.close();
        holds.join();
        runTaskOnRestartedWorkerThatFallsSilent();
        time.advance(MAX_LEASE.plus(LeaseTimes.MAX_TRANSMISSION).plus(MARGIN));
        assertEquals(owner.leases.takeExpired(), List.of());
        time.advance(LeaseTimes.MAX_CALL_DELAY);
        assertEquals(owner.leases.takeExpired(), List.of(later));
    }
}
