package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.JobId;
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

    private final ManualTime time = new ManualTime();
    private final BatchScheduler scheduler = new BatchScheduler(time);
    private final DisconnectedOwner owner = new DisconnectedOwner(time, MAX_LEASE);
    private final WorkerLinks links = new WorkerLinks(
            scheduler,
            owner.leases,
            worker -> new WorkerLink(worker, new FakeWorkers(), scheduler, owner, time, MAX_LEASE),
            time,
            MAX_LEASE);

    /** Guards against a second run elsewhere while a call meant for the earlier incarnation keeps the first one alive. */
    @Test
    public void runOnRestartedWorkerThatFallsSilentKeepsItsLongerLease() {
        WorkerRegistration first = TestWorkers.worker("w1");
        links.update(List.of(first));
        scheduler.report(new WorkerReport(first.id(), first.incarnation(), List.of(), List.of()), time.nanos());
        scheduler.addJob(new JobSpec(new JobId("a"), QUEUE, time.now(), "payload", List.of(STEP)), Optional.empty());
        Order start = scheduler.plan().orders().getFirst();
        // The answer came from the next incarnation, which has granted the longest lease.
        scheduler.confirmStarted(start.task(), start.run());
        WorkerRegistration second = TestWorkers.worker("w1", 2);
        links.update(List.of(second));
        WorkerIncarnation incarnation = new WorkerIncarnation(second.id(), second.incarnation());
        owner.workerAnswered(incarnation, time.nanos() + REQUESTED_LEASE.toNanos());
        WorkerReport.Running run = new WorkerReport.Running(start.task(), start.run(), 10, 0);
        scheduler.report(new WorkerReport(second.id(), second.incarnation(), List.of(run), List.of()), time.nanos());
        owner.workerUnreachable(incarnation);
        time.advance(MAX_LEASE);
        assertEquals(owner.leases.takeExpired(), List.of());
        time.advance(LeaseTimes.afterLastCall(MAX_LEASE));
        assertEquals(owner.leases.takeExpired(), List.of(incarnation));
    }
}
