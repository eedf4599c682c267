package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;

/** Fake workers that end each run immediately and reject outdated fencing tokens. Thread-safe. */
final class FakeWorkers implements WorkerPort {
    private final WorkerReport.EndKind endKind;
    private final List<WorkerReport.Ended> ended = new ArrayList<>();
    private final Set<String> started = new HashSet<>();
    private final List<String> startedTwice = new ArrayList<>();
    private long token;
    private long lastEndNumber;
    private long acknowledgedNumber;
    private int starts;

    FakeWorkers() {
        this(WorkerReport.EndKind.DONE);
    }

    /** Creates workers on which each run ends in the given way. */
    FakeWorkers(WorkerReport.EndKind endKind) {
        this.endKind = endKind;
    }

    /** Returns the number of starts, including repeated ones. */
    synchronized int starts() {
        return starts;
    }

    /** Returns the tasks that were started more than once. */
    synchronized List<String> startedTwice() {
        return List.copyOf(startedTwice);
    }

    /** Returns whether all ends of runs have been acknowledged. */
    synchronized boolean allEndsAcknowledged() {
        return ended.stream().allMatch(end -> end.sequence() <= acknowledgedNumber);
    }

    /** Returns the newest fencing token received. */
    synchronized long token() {
        return token;
    }

    /** Returns the number of different tasks started. */
    synchronized int startedTaskCount() {
        return started.size();
    }

    @Override
    public synchronized Answer send(
            WorkerRegistration worker, Order order, long orderToken, long leaseUntilMs, Duration timeout) {
        if (orderToken < token) {
            return new Refused(Refusal.FENCED);
        }
        token = orderToken;
        if (order instanceof Order.Start) {
            String task = order.task().toString();
            if (!started.add(task)) {
                startedTwice.add(task);
            }
            starts++;
            lastEndNumber++;
            ended.add(new WorkerReport.Ended(lastEndNumber, order.task(), order.run(), endKind, ""));
        }
        return new Done(1);
    }

    @Override
    public synchronized Answer hold(
            WorkerRegistration worker,
            long orderToken,
            long leaseUntilMs,
            long acknowledgedUpTo,
            Duration wait,
            Duration timeout) {
        if (orderToken < token) {
            return new Refused(Refusal.FENCED);
        }
        token = orderToken;
        acknowledgedNumber = Math.max(acknowledgedNumber, acknowledgedUpTo);
        ended.removeIf(end -> end.sequence() <= acknowledgedNumber);
        return new StatusReport(new WorkerReport(worker.id(), worker.incarnation(), List.of(), ended), 1);
    }
}
