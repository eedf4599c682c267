package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Orders to one life of a worker and the repeated hold that extends its leases and brings its ends. Safe for use by
 * several threads.
 *
 * <p>At most three calls are under way: a hold, the first attempt of an order, and a repeat. An order is checked against
 * the {@link BatchScheduler} right before each attempt.
 */
final class WorkerLink {
    /** Lease of what runs on a worker: longer than a change of the owner takes, about 2.5 s. */
    private static final Duration LEASE = Duration.ofSeconds(4);
    /** A hold waits this long for an end, so that tails and progress are seen at least twice a second. */
    private static final Duration HOLD_WAIT = Duration.ofMillis(500);
    /** A healthy worker answers within a few ms. */
    private static final Duration ANSWER = Duration.ofMillis(250);
    /** Pause after a hold that failed. */
    private static final Duration RETRY = Duration.ofMillis(100);
    /** After this time without an answer the leases are no longer extended, so that the tasks can run elsewhere. */
    private static final Duration SILENCE = Duration.ofMillis(800);
    /**
     * A start that could not be sent for this time is placed anew, so that a node that stood still sends no old ones. It is
     * below the bounds for draining workers and evacuated zones, which begin at about 2 s.
     */
    private static final Duration START_AGE = Duration.ofSeconds(1);
    /** A worker's clock may be 2% slow. */
    private static final double CLOCK_RATE = 1.02;
    /** Added to each computed expiry for transit and timers. */
    private static final Duration MARGIN = Duration.ofMillis(300);

    private final WorkerEntry worker;
    private final TaskRecord.WorkerIncarnation life;
    private final WorkerPort port;
    private final BatchScheduler cell;
    private final Owner owner;
    private final TimeSource time;
    private final Duration lease;
    private final OrderQueue orders = new OrderQueue();
    private volatile boolean closed;
    private final Object acknowledging = new Object();
    private volatile long acknowledge;
    private long lastEnd;
    private volatile long clockMs = -1;
    private volatile long clockAt;
    private volatile long extendedUntil;
    private volatile long heardAt;
    private volatile boolean heard;
    private boolean unreachable;
    private boolean expired;

    /** Creates a link; {@code longestLease} is the longest lease that a worker grants. */
    WorkerLink(
            WorkerEntry worker,
            WorkerPort port,
            BatchScheduler cell,
            Owner owner,
            TimeSource time,
            Duration longestLease) {
        this.worker = worker;
        this.life = new TaskRecord.WorkerIncarnation(worker.id(), worker.incarnation());
        this.port = port;
        this.cell = cell;
        this.owner = owner;
        this.time = time;
        this.lease = lease(longestLease);
        this.heardAt = time.nanos();
    }

    /** The lease that owners give. */
    static Duration lease(Duration longest) {
        return LEASE.compareTo(longest) < 0 ? LEASE : longest;
    }

    /** The longest time that a lease which begins now can last, by any clock. */
    static Duration longest(Duration lease) {
        return Duration.ofNanos((long) (lease.toNanos() * CLOCK_RATE)).plus(MARGIN);
    }

    /** Whether the worker has answered under this owner's token within a time. */
    boolean heardWithin(Duration span) {
        return heard && time.nanos() - heardAt < span.toNanos();
    }

    /** Whether the worker has answered under this owner's token. */
    boolean heard() {
        return heard;
    }

    WorkerEntry worker() {
        return worker;
    }

    /** Ends all loops; a call under way is finished. */
    void close() {
        closed = true;
        orders.close();
    }

    /** Sends an order after the others of its task. */
    void send(Order order) {
        orders.add(order, time.nanos());
    }

    /** Lets the worker forget its ends up to a number with the next hold. */
    void acknowledge(long number) {
        synchronized (acknowledging) {
            acknowledge = Math.max(acknowledge, number);
            acknowledging.notifyAll();
        }
    }

    /** Waits until the listed ends may be acknowledged, because a hold before that would list them again at once. */
    private void awaitAcknowledge() {
        long until = time.nanos() + HOLD_WAIT.toNanos();
        synchronized (acknowledging) {
            long left = HOLD_WAIT.toMillis();
            while (open() && acknowledge < lastEnd && left > 0) {
                try {
                    acknowledging.wait(left);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                left = Duration.ofNanos(until - time.nanos()).toMillis();
            }
        }
    }

    private boolean open() {
        return !closed && owner.active();
    }

    /** Sends orders for the first time, until the link is closed. */
    void sendOrders() {
        deliverAll(false);
    }

    /** Repeats orders, until the link is closed. */
    void repeatOrders() {
        deliverAll(true);
    }

    private void deliverAll(boolean repeated) {
        try {
            Optional<Delivery> taken = orders.take(repeated);
            while (taken.isPresent() && open()) {
                if (repeated) {
                    Pauses.sleep(RETRY);
                }
                Delivery delivery = taken.get();
                deliver(delivery).ifPresentOrElse(orders::repeat, () -> orders.settle(delivery));
                taken = orders.take(repeated);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends an order if it is still wanted; returns what to repeat, nothing if the order is settled. */
    private Optional<Delivery> deliver(Delivery delivery) {
        return switch (delivery.order()) {
            case Order.Start start when delivery.unanswered().isEmpty() -> begin(start, delivery);
            case Order.Start start ->
                goOn(start, delivery, delivery.unanswered().get());
            case Order.Stop stop -> stop(stop, delivery);
            case Order.SetCpuLimit pace -> {
                boolean replaced = delivery.repeated() && orders.followed(delivery);
                yield cell.isWanted(pace) && !replaced ? call(delivery) : Optional.empty();
            }
        };
    }

    private Optional<Delivery> begin(Order.Start start, Delivery delivery) {
        if (cell.isWanted(start) && time.nanos() - delivery.queuedAt() < START_AGE.toNanos()) {
            return call(delivery);
        }
        Events.info("start-withdrawn", "task", name(start), "run", start.run(), "worker", worker.id());
        cell.rejectStart(start.task(), start.run(), false);
        owner.wake();
        return Optional.empty();
    }

    /** A start that may have reached the worker is repeated, because a repeat has no second effect. */
    private Optional<Delivery> goOn(Order.Start start, Delivery delivery, Delivery.Sent sent) {
        if (cell.isWanted(start) && time.nanos() - sent.until() < 0) {
            return call(delivery);
        }
        // A worker that is told to stop a run before it starts rejects it later.
        if (!cell.isAssigned(start) || orders.stopFollows(delivery)) {
            return Optional.empty();
        }
        if (time.nanos() - sent.until() < 0) {
            return Optional.of(delivery);
        }
        cell.abandonStart(start.task(), start.run());
        owner.wake();
        return Optional.empty();
    }

    /** A stop is repeated while its run is charged, because holds extend the lease of the run. */
    private Optional<Delivery> stop(Order.Stop stop, Delivery delivery) {
        if (time.nanos() - delivery.queuedAt() >= lease.toNanos()) {
            // An unanswered start before it has reached the end of its lease too.
            cell.abandonStart(stop.task(), stop.run());
            if (!cell.isAssigned(stop)) {
                return Optional.empty();
            }
            if (!reachable()) {
                return Optional.of(delivery);
            }
        }
        return call(delivery);
    }

    private Optional<Delivery> call(Delivery delivery) {
        Order order = delivery.order();
        if (!delivery.repeated()) {
            owner.orderWaited(Duration.ofNanos(time.nanos() - delivery.queuedAt()));
        }
        Delivery.Sent sent = delivery.unanswered().orElseGet(() -> sending(order));
        try {
            WorkerPort.Answer answer = port.send(worker, order, owner.token(), sent.leaseUntilMs(), answerTime());
            boolean settled = settle(order, answer, delivery.unanswered().isPresent());
            return settled ? Optional.empty() : Optional.of(delivery.again());
        } catch (OutcomeUnknownException e) {
            if (delivery.unanswered().isEmpty()) {
                Events.warn("order-unanswered", "task", name(order), "run", order.run(), "worker", worker.id());
            }
            return Optional.of(delivery.again(sent));
        } catch (NotRunException e) {
            if (!delivery.repeated()) {
                Events.warn("order-unsent", "task", name(order), "run", order.run(), "worker", worker.id());
            }
            return Optional.of(delivery.again());
        }
    }

    private Duration answerTime() {
        return ANSWER.plus(owner.lateness());
    }

    private Delivery.Sent sending(Order order) {
        // Only starts extend leases; those of a worker that is silent must run out while stops for it are repeated.
        long leaseUntil = order instanceof Order.Start ? extend() : -1;
        return new Delivery.Sent(leaseUntil, time.nanos() + lease.toNanos());
    }

    private boolean settle(Order order, WorkerPort.Answer answer, boolean unknown) {
        return switch (answer) {
            case WorkerPort.Done done -> confirmed(order, done);
            case WorkerPort.Refused refused -> refused(order, refused.why(), unknown);
            case WorkerPort.Listed _ -> true;
        };
    }

    private boolean confirmed(Order order, WorkerPort.Done done) {
        clock(done.clockMs());
        if (order instanceof Order.Start) {
            cell.confirmStarted(order.task(), order.run());
        } else if (order instanceof Order.Stop) {
            cell.abandonStart(order.task(), order.run());
        }
        return true;
    }

    private boolean refused(Order order, WorkerPort.Refusal why, boolean unknown) {
        Events.info("order-refused", "task", name(order), "run", order.run(), "worker", worker.id(), "why", why);
        boolean start = order instanceof Order.Start;
        if (why == WorkerPort.Refusal.UNHEALTHY && (unknown || !start)) {
            return false;
        }
        if (why == WorkerPort.Refusal.REJECTED && start && unknown) {
            // The worker may carry out the call without an answer once there is room.
            return false;
        }
        if (why == WorkerPort.Refusal.FENCED) {
            owner.fenced("worker " + worker.id().value());
        } else if (start && why != WorkerPort.Refusal.OLD_RUN) {
            cell.rejectStart(order.task(), order.run(), why == WorkerPort.Refusal.UNHEALTHY);
        } else {
            cell.abandonStart(order.task(), order.run());
        }
        owner.wake();
        return true;
    }

    /** Holds the worker until the link is closed. */
    void hold() {
        boolean first = true;
        while (open()) {
            if (first ? holdOnce(Duration.ZERO) : holdOnce(HOLD_WAIT)) {
                first = false;
            } else if (open()) {
                afterFailure();
                Pauses.sleep(RETRY);
            }
        }
    }

    private boolean holdOnce(Duration wait) {
        long sent = time.nanos();
        long leaseUntil = reachable() ? extend() : -1;
        try {
            WorkerPort.Answer answer =
                    port.hold(worker, owner.token(), leaseUntil, acknowledge, wait, wait.plus(answerTime()));
            countLate(sent, wait);
            return held(answer, sent);
        } catch (OutcomeUnknownException | NotRunException e) {
            countLate(sent, wait);
            if (!unreachable && !reachable()) {
                unreachable = true;
                Events.warn("worker-lost", "worker", worker.id(), "cause", e.getMessage());
            }
            return false;
        }
    }

    private void countLate(long sent, Duration wait) {
        owner.holdLate(Duration.ofNanos(Math.max(0, time.nanos() - sent - wait.toNanos())));
    }

    private boolean held(WorkerPort.Answer answer, long sent) {
        if (answer instanceof WorkerPort.Refused refused && refused.why() == WorkerPort.Refusal.FENCED) {
            owner.fenced("worker " + worker.id().value());
        }
        if (!(answer instanceof WorkerPort.Listed listed)) {
            return false;
        }
        heardAt = time.nanos();
        if (!heard) {
            // An earlier owner may have extended leases until this answer.
            extendedUntil = Math.max(extendedUntil, heardAt + longest(lease).toNanos());
            heard = true;
            owner.heard(life);
        }
        clock(listed.clockMs());
        if (unreachable) {
            unreachable = false;
            Events.info("worker-regained", "worker", worker.id());
        }
        expired = false;
        cell.report(listed.report(), sent);
        owner.wake();
        for (WorkerReport.Ended end : listed.report().ended()) {
            if (end.sequence() > lastEnd) {
                lastEnd = end.sequence();
                owner.ended(end.kind());
                Events.info(
                        "task-ended",
                        "job",
                        end.task().job(),
                        "task",
                        end.task().step() + "/" + end.task().index(),
                        "run",
                        end.run(),
                        "worker",
                        worker.id(),
                        "how",
                        end.kind(),
                        "number",
                        end.sequence());
            }
        }
        awaitAcknowledge();
        return true;
    }

    private void afterFailure() {
        if (heard && !expired && time.nanos() - extendedUntil > 0) {
            expired = true;
            Events.warn("leases-expired", "worker", worker.id(), "born", worker.incarnation());
            cell.expireLeases(life);
            owner.wake();
        }
    }

    private boolean reachable() {
        return time.nanos() - heardAt < SILENCE.plus(HOLD_WAIT).toNanos();
    }

    private void clock(long ms) {
        if (ms >= 0) {
            clockMs = ms;
            clockAt = time.nanos();
        }
    }

    /** The end of a lease that begins now, on the worker's clock; negative while that clock is not known. */
    private long extend() {
        long clock = clockMs;
        if (clock < 0 || !owner.extending(life)) {
            return -1;
        }
        long now = time.nanos();
        long until = now + longest(lease).toNanos();
        extendedUntil = Math.max(extendedUntil, until);
        return clock + Duration.ofNanos(now - clockAt).toMillis() + lease.toMillis();
    }

    private static String name(Order order) {
        return order.task().job().value() + "/" + order.task().step() + "/"
                + order.task().index();
    }
}
