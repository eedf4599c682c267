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
import org.chestnutbarrow.batch.Cell;
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
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Guards the leases of a worker that answers a new owner once and then falls silent. */
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
                return new Listed(new WorkerReport(to.id(), to.born(), List.of(running), List.of()), 1000);
            }
            throw new NotRunException("silent", "try again");
        }
    }

    /** An owner without the store: it extends nothing itself, but an earlier one may have done so a moment ago. */
    private static final class WithoutStore implements Owner {
        volatile boolean active = true;

        @Override
        public long token() {
            return 2;
        }

        @Override
        public boolean extending(TaskRecord.Location life) {
            return false;
        }

        @Override
        public void ended(WorkerReport.EndKind how) {}

        @Override
        public void heard(TaskRecord.Location life) {}

        @Override
        public boolean active() {
            return active;
        }

        @Override
        public void fenced(String by) {}

        @Override
        public void wake() {}
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
                new TaskRecord(false, 1, 0, "", Optional.of(new TaskRecord.Location(new WorkerId("w1"), 1)));
        time.advance(Duration.ofMinutes(1));
        Cell cell = new Cell(time);
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

    private void report(Cell cell, String worker) {
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
