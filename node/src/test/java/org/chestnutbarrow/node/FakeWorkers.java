package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.batch.WorkerReport;

/** Workers that finish each run at once and refuse older tokens. Safe for use by several threads. */
final class FakeWorkers implements WorkerPort {
    private final List<WorkerReport.Ended> ended = new ArrayList<>();
    private final Set<String> started = new HashSet<>();
    private final List<String> doubled = new ArrayList<>();
    private long token;
    private long number;
    private long acknowledged;

    synchronized List<String> doubled() {
        return List.copyOf(doubled);
    }

    /** Whether all ends have been acknowledged. */
    synchronized boolean settled() {
        return ended.stream().allMatch(end -> end.sequence() <= acknowledged);
    }

    synchronized long token() {
        return token;
    }

    synchronized int starts() {
        return started.size();
    }

    @Override
    public synchronized Answer send(WorkerEntry to, Order order, long from, long leaseUntilMs, Duration timeout) {
        if (from < token) {
            return new Refused(Refusal.FENCED);
        }
        token = from;
        if (order instanceof Order.Start) {
            String task = order.task().toString();
            if (!started.add(task)) {
                doubled.add(task);
            }
            number++;
            ended.add(new WorkerReport.Ended(number, order.task(), order.run(), WorkerReport.EndKind.DONE, ""));
        }
        return new Done(1);
    }

    @Override
    public synchronized Answer hold(
            WorkerEntry to, long from, long leaseUntilMs, long acknowledge, Duration wait, Duration timeout) {
        if (from < token) {
            return new Refused(Refusal.FENCED);
        }
        token = from;
        acknowledged = Math.max(acknowledged, acknowledge);
        ended.removeIf(end -> end.sequence() <= acknowledged);
        return new Listed(new WorkerReport(to.id(), to.incarnation(), List.of(), ended), 1);
    }
}
