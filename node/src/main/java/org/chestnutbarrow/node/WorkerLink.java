package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Semaphore;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Connection to one incarnation of a worker: delivers orders and repeats a hold call, a long poll that extends the
 * leases of the worker's runs and returns the runs that ended. Thread-safe.
 *
 * <p>At most three calls are in flight: a hold, the first attempt of an order, and a retry. Each attempt is preceded
 * by a check against the {@link BatchScheduler} that the order is still wanted.
 */
final class WorkerLink {
    /** Time for an answer; a healthy worker answers within a few milliseconds. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(250);
    /** Time for the answer to the first call, for which a connection is opened and which often is one of many. */
    private static final Duration FIRST_ANSWER_TIMEOUT = Duration.ofSeconds(1);
    /** Delay after a failed hold and before the retry of an order. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    /** Delay after an answer of a later incarnation, which the worker list shows within about 0.6 s. */
    private static final Duration REPLACED_POLL_INTERVAL = Duration.ofMillis(500);
    /**
     * Silence, beyond the wait of a hold, after which a worker counts as unreachable. Its leases are then not extended,
     * so that its tasks can be moved.
     */
    private static final Duration MAX_SILENCE = Duration.ofMillis(800);
    /** Orders to one worker that are sent at once through relays; a worker takes few tasks within such a call. */
    private static final int MAX_CONCURRENT_ORDERS = 8;

    private final WorkerRegistration worker;
    private final TaskRecord.WorkerIncarnation incarnation;
    private final WorkerPort port;
    private final BatchScheduler scheduler;
    private final Owner owner;
    private final TimeSource time;
    private final Duration lease;
    private final Duration maxLease;
    private final OrderQueue orders = new OrderQueue();
    /** Limits the first attempts that are made at once through relays. */
    private final Semaphore concurrentOrders = new Semaphore(MAX_CONCURRENT_ORDERS);

    private volatile boolean closed;
    private final Acknowledgement acknowledgement;
    private final EndLog endLog = new EndLog();
    /** Expiry time of leases in the last hold that extended them, by the clock of the worker; negative if none did. */
    private long heldUntilMs = -1;

    private final WorkerClock workerClock = new WorkerClock();
    /** When leases that a later incarnation may have granted are over, ns; the time of creation if there are none. */
    private volatile long laterLeasesUntil;

    private volatile long lastAnswerAt;
    private volatile boolean answered;
    private final IncarnationCheck incarnationCheck;
    private boolean loggedUnreachable;
    /** Whether the owner knows that the worker is unreachable; accessed only by the thread of the holds. */
    private boolean reportedUnreachable;

    /** Creates a link; {@code maxLease} is the longest lease that the worker grants. */
    WorkerLink(
            WorkerRegistration worker,
            WorkerPort port,
            BatchScheduler scheduler,
            Owner owner,
            TimeSource time,
            Duration maxLease) {
        this.worker = worker;
        this.incarnation = new TaskRecord.WorkerIncarnation(worker.id(), worker.incarnation());
        this.port = port;
        this.scheduler = scheduler;
        this.owner = owner;
        this.time = time;
        this.lease = LeaseTimes.requested(maxLease);
        this.maxLease = maxLease;
        this.lastAnswerAt = time.nanos();
        this.laterLeasesUntil = lastAnswerAt;
        this.acknowledgement = new Acknowledgement(time);
        this.incarnationCheck = new IncarnationCheck(time);
    }

    /** Returns whether the worker has answered a hold with the token of this owner within the given period. */
    boolean hasAnsweredWithin(Duration period) {
        return answered && time.nanos() - lastAnswerAt < period.toNanos();
    }

    /** Returns whether the worker has answered a hold with the token of this owner. */
    boolean hasAnswered() {
        return answered;
    }

    WorkerRegistration worker() {
        return worker;
    }

    TaskRecord.WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** Returns until when calls that remained unanswered may still be carried out, ns. */
    long lateCallsUntil() {
        return incarnationCheck.lateCallsUntil();
    }

    /** Returns until when a later incarnation may carry out a hold that acknowledges ends of this one, ns. */
    long lateAcknowledgementsUntil() {
        return acknowledgement.lateUntil();
    }

    /** Ends all loops after the calls in flight. */
    void close() {
        closed = true;
        orders.close();
    }

    /** Returns the number of starts for which no attempt has begun. */
    int waitingStarts() {
        return orders.waitingStarts();
    }

    /** Queues an order behind the other orders of its task. */
    void enqueue(Order order) {
        orders.add(order, time.nanos());
    }

    /** Acknowledges, with the next hold, the ends up to a sequence number, which the worker may then discard. */
    void acknowledge(long sequence) {
        acknowledgement.raise(sequence);
    }

    private boolean isOpen() {
        return !closed && owner.active();
    }

    /** Makes the first attempts of orders until the link is closed. */
    void runFirstAttempts() {
        runDeliveries(false);
    }

    /** Retries orders until the link is closed. */
    void runRetries() {
        runDeliveries(true);
    }

    private void runDeliveries(boolean retry) {
        try {
            Optional<Delivery> next = orders.take(retry);
            while (next.isPresent() && isOpen()) {
                if (retry) {
                    Threads.sleep(RETRY_DELAY);
                }
                Delivery delivery = next.get();
                if (retry || !owner.callsRelayed()) {
                    finish(delivery);
                } else {
                    // A relay takes much longer than the worker, so the next order does not wait for it.
                    concurrentOrders.acquire();
                    Thread.ofVirtual().name("order").start(() -> {
                        finish(delivery);
                        concurrentOrders.release();
                    });
                }
                next = orders.take(retry);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void finish(Delivery delivery) {
        attempt(delivery).ifPresentOrElse(orders::requeue, () -> orders.complete(delivery));
    }

    /** An order whose delivery fails unexpectedly is retried, since no other order of its task is sent before it. */
    private Optional<Delivery> attempt(Delivery delivery) {
        try {
            return deliver(delivery);
        } catch (RuntimeException e) {
            Events.warn("order-failed", "task", taskName(delivery.order()), "worker", worker.id(), "cause", e);
            return Optional.of(delivery.nextAttempt());
        }
    }

    /** Sends an order if it is still wanted. Returns the delivery to retry; empty if the order is complete. */
    private Optional<Delivery> deliver(Delivery delivery) {
        return switch (delivery.order()) {
            case Order.Start start when delivery.unanswered().isEmpty() -> deliverStart(start, delivery);
            case Order.Start start ->
                retryUnansweredStart(start, delivery, delivery.unanswered().get());
            case Order.Stop stop -> deliverStop(stop, delivery);
            case Order.SetCpuLimit setCpuLimit -> {
                boolean replaced = delivery.retry() && orders.hasSuccessor(delivery);
                yield scheduler.isWanted(setCpuLimit) && !replaced ? send(delivery) : Optional.empty();
            }
        };
    }

    private Optional<Delivery> deliverStart(Order.Start start, Delivery delivery) {
        Duration wait = Duration.ofNanos(time.nanos() - delivery.queuedAtNanos());
        if (!delivery.retry()) {
            owner.recordStartWait(wait);
        }
        boolean recent = wait.compareTo(StartWindow.MAX_START_AGE) < 0;
        if (recent && !incarnationCheck.isReplaced() && owner.mayStart() && scheduler.isWanted(start)) {
            return send(delivery);
        }
        Events.info("start-withdrawn", "task", taskName(start), "run", start.run(), "worker", worker.id());
        scheduler.rejectStart(start.task(), start.run(), false);
        owner.wake();
        return Optional.empty();
    }

    /** Retries a start that may have reached the worker; workers ignore repeated starts of the same run. */
    private Optional<Delivery> retryUnansweredStart(Order.Start start, Delivery delivery, Delivery.Attempt attempt) {
        if (!incarnationCheck.isReplaced()
                && owner.mayStart()
                && scheduler.isWanted(start)
                && time.nanos() - attempt.expiresAtNanos() < 0) {
            return send(delivery);
        }
        // A worker that is told to stop a run rejects a later start of that run.
        if (!scheduler.isAssigned(start) || orders.hasPendingStop(delivery)) {
            return Optional.empty();
        }
        if (time.nanos() - attempt.expiresAtNanos() < 0) {
            return Optional.of(delivery);
        }
        scheduler.abandonStart(start.task(), start.run());
        owner.wake();
        return Optional.empty();
    }

    /** Sends a stop. It is retried while the run is assigned, because holds extend the lease of the run. */
    private Optional<Delivery> deliverStop(Order.Stop stop, Delivery delivery) {
        if (time.nanos() - delivery.queuedAtNanos() >= lease.toNanos()) {
            // The lease of an earlier unanswered start has expired by now as well.
            scheduler.abandonStart(stop.task(), stop.run());
            if (!scheduler.isAssigned(stop)) {
                return Optional.empty();
            }
            if (!isReachable()) {
                return Optional.of(delivery);
            }
        }
        return send(delivery);
    }

    private Optional<Delivery> send(Delivery delivery) {
        Order order = delivery.order();
        if (!delivery.retry()) {
            owner.recordOrderWait(Duration.ofNanos(time.nanos() - delivery.queuedAtNanos()));
        }
        Delivery.Attempt attempt = delivery.unanswered().orElseGet(() -> newAttempt(order));
        try {
            WorkerPort.Answer answer = port.send(worker, order, owner.token(), attempt.leaseUntilMs(), answerTimeout());
            boolean complete = handleAnswer(order, answer, delivery.unanswered().isPresent());
            return complete ? Optional.empty() : Optional.of(delivery.nextAttempt());
        } catch (OutcomeUnknownException e) {
            incarnationCheck.callFailed(e);
            if (delivery.unanswered().isEmpty()) {
                Events.warn("order-unanswered", "task", taskName(order), "run", order.run(), "worker", worker.id());
            }
            return Optional.of(delivery.nextAttempt(attempt));
        } catch (NotRunException e) {
            incarnationCheck.callFailed(e);
            if (!delivery.retry()) {
                Events.warn("order-unsent", "task", taskName(order), "run", order.run(), "worker", worker.id());
            }
            return Optional.of(delivery.nextAttempt());
        }
    }

    private Duration answerTimeout() {
        return ANSWER_TIMEOUT.plus(owner.threadDelay());
    }

    private Delivery.Attempt newAttempt(Order order) {
        // Only starts extend leases, so that the leases of an unreachable worker expire while stops are retried.
        long leaseUntil = order instanceof Order.Start ? extendLeases() : -1;
        return new Delivery.Attempt(leaseUntil, time.nanos() + lease.toNanos());
    }

    private boolean handleAnswer(Order order, WorkerPort.Answer answer, boolean hasUnansweredAttempt) {
        return switch (answer) {
            case WorkerPort.Done done -> handleDone(order, done);
            case WorkerPort.Refused refused -> handleRefusal(order, refused.reason(), hasUnansweredAttempt);
            case WorkerPort.StatusReport _ -> true;
        };
    }

    private boolean handleDone(Order order, WorkerPort.Done done) {
        updateWorkerClock(done.clockMs());
        if (order instanceof Order.Start) {
            scheduler.confirmStarted(order.task(), order.run());
        } else if (order instanceof Order.Stop) {
            scheduler.abandonStart(order.task(), order.run());
        }
        return true;
    }

    private boolean handleRefusal(Order order, WorkerPort.Refusal reason, boolean hasUnansweredAttempt) {
        Events.info("order-refused", "task", taskName(order), "run", order.run(), "worker", worker.id(), "why", reason);
        boolean start = order instanceof Order.Start;
        if (reason == WorkerPort.Refusal.UNHEALTHY && (hasUnansweredAttempt || !start)) {
            return false;
        }
        if (reason == WorkerPort.Refusal.REJECTED && start && hasUnansweredAttempt) {
            // The earlier unanswered call may still take effect once the worker has capacity.
            return false;
        }
        if (reason == WorkerPort.Refusal.FENCED) {
            owner.fenced("worker " + worker.id().value());
        } else if (start && reason != WorkerPort.Refusal.OLD_RUN && !mayHaveStarted(reason, hasUnansweredAttempt)) {
            scheduler.rejectStart(order.task(), order.run(), reason == WorkerPort.Refusal.UNHEALTHY);
        } else {
            scheduler.abandonStart(order.task(), order.run());
        }
        owner.wake();
        return true;
    }

    /** A worker refuses a start whose lease is over without looking whether an earlier attempt has started the run. */
    private static boolean mayHaveStarted(WorkerPort.Refusal reason, boolean hasUnansweredAttempt) {
        return reason == WorkerPort.Refusal.LATE && hasUnansweredAttempt;
    }

    /** Repeats hold calls until the link is closed. */
    void runHolds() {
        boolean held = makeFirstContact();
        while (isOpen()) {
            if (!held) {
                reportIfUnreachable();
                Threads.sleep(incarnationCheck.isReplaced() ? REPLACED_POLL_INTERVAL : RETRY_DELAY);
            }
            Duration wait = incarnationCheck.isConfirmed() ? owner.holdWait() : Duration.ZERO;
            // While a worker does not answer its leases stay as they are, or its runs could be moved only that much
            // later.
            held = holdOnce(wait, answerTimeout(), held);
        }
    }

    /** Makes the first hold. All links of a new owner do so at once, which delays the answers on a small machine. */
    private boolean makeFirstContact() {
        try {
            owner.firstContacts().acquire();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        try {
            return isOpen() && holdOnce(Duration.ZERO, FIRST_ANSWER_TIMEOUT, false);
        } finally {
            owner.firstContacts().release();
        }
    }

    private boolean holdOnce(Duration wait, Duration answerTimeout, boolean extend) {
        long sentAt = time.nanos();
        long failedBefore = incarnationCheck.failedCalls();
        boolean extendable = isReachable() && !incarnationCheck.isReplaced();
        if (extend && extendable) {
            heldUntilMs = extendLeases();
        }
        // A hold after an unanswered one repeats its expiry time, since the worker may not have received it.
        long leaseUntil = extendable ? heldUntilMs : -1;
        // Sequence numbers start anew in each incarnation, so a later one would discard ends that were never reported.
        long acknowledged = incarnationCheck.isConfirmed() ? acknowledgement.pending() : 0;
        try {
            WorkerPort.Answer answer =
                    port.hold(worker, owner.token(), leaseUntil, acknowledged, wait, wait.plus(answerTimeout));
            recordHoldDelay(sentAt, wait);
            return handleHoldAnswer(answer, acknowledged, sentAt, failedBefore);
        } catch (OutcomeUnknownException | NotRunException e) {
            incarnationCheck.callFailed(e);
            acknowledgement.failed(acknowledged, e);
            recordHoldDelay(sentAt, wait);
            if (!loggedUnreachable && !isReachable()) {
                loggedUnreachable = true;
                Events.warn("worker-lost", "worker", worker.id(), "cause", e.getMessage());
            }
            return false;
        }
    }

    /** Notes that a later incarnation answers, which may have carried out starts that were sent to this one. */
    private void markReplaced() {
        if (!incarnationCheck.markReplaced()) {
            return;
        }
        Events.info("worker-replaced", "worker", worker.id(), "born", worker.incarnation());
        // Expiry times by the clock of this incarnation are far ahead for the later one, which grants the maximum.
        laterLeasesUntil = time.nanos() + LeaseTimes.upperBound(maxLease).toNanos();
        owner.workerReplaced(incarnation, laterLeasesUntil);
    }

    private void recordHoldDelay(long sentAt, Duration wait) {
        owner.recordHoldDelay(Duration.ofNanos(Math.max(0, time.nanos() - sentAt - wait.toNanos())));
    }

    private boolean handleHoldAnswer(WorkerPort.Answer answer, long acknowledged, long sentAt, long failedBefore) {
        if (answer instanceof WorkerPort.Refused refused && refused.reason() == WorkerPort.Refusal.FENCED) {
            owner.fenced("worker " + worker.id().value());
        }
        if (!(answer instanceof WorkerPort.StatusReport status)) {
            return false;
        }
        if (status.report().incarnation() != worker.incarnation()) {
            markReplaced();
            return false;
        }
        if (!isOpen()) {
            return false;
        }
        incarnationCheck.confirm(failedBefore);
        acknowledgement.answered(
                acknowledged, status.report().ended().stream().mapToLong(WorkerReport.Ended::sequence));
        lastAnswerAt = time.nanos();
        // An earlier owner may have extended leases until the first answer.
        long earlierLeasesUntil = lastAnswerAt + LeaseTimes.upperBound(lease).toNanos();
        owner.workerAnswered(
                incarnation, earlierLeasesUntil - laterLeasesUntil > 0 ? earlierLeasesUntil : laterLeasesUntil);
        answered = true;
        reportedUnreachable = false;
        updateWorkerClock(status.clockMs());
        if (loggedUnreachable) {
            loggedUnreachable = false;
            Events.info("worker-regained", "worker", worker.id());
        }
        scheduler.report(status.report(), sentAt);
        owner.wake();
        for (WorkerReport.Ended ended : endLog.takeNew(status.report().ended())) {
            owner.runEnded(ended.kind());
            OrderEvents.logEnd(ended, worker.id());
        }
        // An earlier hold would return immediately with the same ends.
        acknowledgement.await(endLog.highest(), owner.holdWait(), this::isOpen);
        return true;
    }

    private void reportIfUnreachable() {
        if (!reportedUnreachable && !isReachable()) {
            reportedUnreachable = true;
            owner.workerUnreachable(incarnation);
        }
    }

    private boolean isReachable() {
        return time.nanos() - lastAnswerAt < MAX_SILENCE.plus(owner.holdWait()).toNanos();
    }

    private void updateWorkerClock(long clockMs) {
        if (!workerClock.update(clockMs, time.nanos())) {
            markReplaced();
        }
    }

    /**
     * Extends the leases from now and returns their expiry by the clock of the worker. Returns a negative value if
     * that clock is unknown or leases must not be extended.
     */
    private long extendLeases() {
        long now = time.nanos();
        OptionalLong clockMs = workerClock.at(now);
        if (clockMs.isEmpty()
                || !owner.extendLeases(
                        incarnation, now + LeaseTimes.upperBound(lease).toNanos())) {
            return -1;
        }
        return clockMs.getAsLong() + lease.toMillis();
    }

    private static String taskName(Order order) {
        return order.task().job().value() + "/" + order.task().step() + "/"
                + order.task().index();
    }
}
