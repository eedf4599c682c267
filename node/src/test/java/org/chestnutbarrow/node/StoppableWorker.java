package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;

/** A worker that lists one run until it is told to stop it, and then its end until that is acknowledged. Thread-safe. */
final class StoppableWorker implements WorkerPort {
    private static final int RUN = 1;

    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CountDownLatch acknowledged = new CountDownLatch(1);
    private final TaskName task;

    StoppableWorker(TaskName task) {
        this.task = task;
    }

    boolean awaitStopped(Duration timeout) throws InterruptedException {
        return stopped.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    boolean awaitAcknowledged(Duration timeout) throws InterruptedException {
        return acknowledged.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
        if (order instanceof Order.Stop && order.task().equals(task)) {
            stopped.countDown();
        }
        return new Done(1000);
    }

    @Override
    public Answer hold(
            WorkerRegistration worker,
            long token,
            long leaseUntilMs,
            long acknowledgedNumber,
            Duration wait,
            Duration timeout) {
        Threads.sleep(Duration.ofMillis(20));
        boolean running = stopped.getCount() > 0;
        if (!running && acknowledgedNumber >= 1) {
            acknowledged.countDown();
        }
        List<WorkerReport.Running> runs = running ? List.of(new WorkerReport.Running(task, RUN, 50, 0)) : List.of();
        List<WorkerReport.Ended> ends = running || acknowledged.getCount() == 0
                ? List.of()
                : List.of(new WorkerReport.Ended(1, task, RUN, WorkerReport.EndKind.INTERRUPTED, ""));
        return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), runs, ends), 1000);
    }
}
