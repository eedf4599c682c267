package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.TimeSource;

/**
 * One term of ownership in {@link OwnerChangeSimulation}: a scheduler and the orders that wait for an answer. Orders are
 * retried as the links of a node do it. Not thread-safe.
 */
final class ChaosOwner {
    static final Duration LEASE = Duration.ofSeconds(3);
    private static final Duration MAX_START_AGE = Duration.ofSeconds(1);

    /** What becomes of a call to a worker. */
    enum Call {
        ANSWERED,
        CARRIED_OUT_ANSWER_LOST,
        NOT_CARRIED_OUT_ANSWER_LOST,
        NOT_SENT
    }

    /** The answer of a worker to an order. */
    enum Answer {
        DONE,
        REJECTED,
        OLD_RUN,
        LATE,
        FENCED
    }

    /** Carries out an order at a worker that calls reach. */
    interface Port {
        Answer send(ChaosWorker worker, Order order, long token, long leaseUntil);

        /** Records that a start addressed to an incarnation may be carried out with a lease. */
        void leaseSent(WorkerIncarnation incarnation, ChaosWorker receiver, long leaseUntil);
    }

    /** An order; {@code leaseUntil} is that of the first attempt without an answer, or 0 if there is none. */
    private record Delivery(Order order, long queuedAt, boolean retry, long leaseUntil) {}

    final long token;
    final BatchScheduler scheduler;
    final Map<WorkerIncarnation, Long> acknowledgements = new HashMap<>();
    /** Incarnations that are known to have a later one. */
    final Set<WorkerIncarnation> replaced = new HashSet<>();

    final Map<WorkerIncarnation, Long> lastAnswers = new HashMap<>();
    final Set<WorkerIncarnation> expired = new HashSet<>();
    /** Answers to holds that are processed with the next call of {@link OwnerChangeSimulation}. */
    final Map<WorkerIncarnation, WorkerReport> delayedReports = new HashMap<>();

    private final Map<WorkerIncarnation, Map<TaskName, Deque<Delivery>>> queues = new LinkedHashMap<>();
    private final TimeSource time;
    private final Random random;
    private final Port port;
    boolean fenced;

    ChaosOwner(long token, TimeSource time, Random random, Port port) {
        this.token = token;
        this.time = time;
        this.random = random;
        this.port = port;
        this.scheduler = new BatchScheduler(time);
    }

    /** Opens the links of workers and closes those of earlier incarnations. */
    void updateLinks(List<ChaosWorker> listed) {
        for (ChaosWorker worker : listed) {
            queues.keySet().removeIf(key -> key.worker().equals(worker.id) && key.incarnation() != worker.incarnation);
            queues.computeIfAbsent(worker.key(), _ -> new LinkedHashMap<>());
        }
    }

    void closeLink(WorkerIncarnation worker) {
        queues.remove(worker);
    }

    List<WorkerIncarnation> links() {
        return List.copyOf(queues.keySet());
    }

    boolean hasLink(WorkerIncarnation worker) {
        return queues.containsKey(worker);
    }

    void dispatch(Order order) {
        var queue = queues.get(new WorkerIncarnation(order.worker(), order.incarnation()));
        if (queue == null) {
            scheduler.orderDropped(order);
            return;
        }
        Deque<Delivery> deliveries = queue.computeIfAbsent(order.task(), _ -> new ArrayDeque<>());
        boolean repeated = order instanceof Order.Stop
                && deliveries.stream()
                        .anyMatch(d ->
                                d.order() instanceof Order.Stop && d.order().run() == order.run());
        if (!repeated) {
            deliveries.addLast(new Delivery(order, time.nanos(), false, 0));
        }
    }

    /** Attempts the first order of each task at the current incarnation of each worker. */
    void deliver(List<ChaosWorker> workers, double lossRate) {
        for (ChaosWorker worker : workers) {
            for (var entry : queues.entrySet()) {
                if (entry.getKey().worker().equals(worker.id)) {
                    entry.getValue().values().forEach(deliveries -> deliver(worker, deliveries, lossRate));
                    entry.getValue().values().removeIf(Deque::isEmpty);
                }
            }
        }
    }

    private void deliver(ChaosWorker worker, Deque<Delivery> deliveries, double lossRate) {
        while (!deliveries.isEmpty() && !fenced) {
            Delivery delivery = deliveries.getFirst();
            Delivery next = switch (delivery.order()) {
                case Order.Start start -> deliverStart(worker, start, delivery, deliveries, lossRate);
                case Order.Stop _ -> deliverStop(worker, delivery, lossRate);
                case Order.SetCpuLimit _ -> null;
            };
            deliveries.removeFirst();
            if (next != null) {
                deliveries.addFirst(next);
                return;
            }
        }
    }

    private Delivery deliverStart(
            ChaosWorker worker, Order.Start start, Delivery delivery, Deque<Delivery> queue, double lossRate) {
        long now = time.nanos();
        boolean current = !replaced.contains(new WorkerIncarnation(start.worker(), start.incarnation()));
        if (delivery.leaseUntil() == 0) {
            boolean recent = now - delivery.queuedAt() < MAX_START_AGE.toNanos();
            if (recent && current && scheduler.isWanted(start)) {
                return send(worker, delivery, lossRate);
            }
            scheduler.rejectStart(start.task(), start.run(), false);
            return null;
        }
        if (current && scheduler.isWanted(start) && now < delivery.leaseUntil()) {
            return send(worker, delivery, lossRate);
        }
        boolean stopPending = queue.stream()
                .anyMatch(d -> d.order() instanceof Order.Stop && d.order().run() == start.run());
        if (!scheduler.isAssigned(start) || stopPending) {
            return null;
        }
        if (now < delivery.leaseUntil()) {
            return delivery;
        }
        scheduler.abandonStart(start.task(), start.run());
        return null;
    }

    private Delivery deliverStop(ChaosWorker worker, Delivery delivery, double lossRate) {
        if (time.nanos() - delivery.queuedAt() >= LEASE.toNanos()) {
            scheduler.abandonStart(delivery.order().task(), delivery.order().run());
            if (!scheduler.isAssigned(delivery.order())) {
                return null;
            }
        }
        return send(worker, delivery, lossRate);
    }

    /** Makes one attempt and returns the delivery to retry, or null if the order is complete. */
    private Delivery send(ChaosWorker worker, Delivery delivery, double lossRate) {
        Order order = delivery.order();
        long leaseUntil = delivery.leaseUntil() != 0 ? delivery.leaseUntil() : time.nanos() + LEASE.toNanos();
        Call call = callOutcome(worker, lossRate);
        if (call == Call.NOT_SENT) {
            return new Delivery(order, delivery.queuedAt(), true, delivery.leaseUntil());
        }
        if (order instanceof Order.Start) {
            port.leaseSent(new WorkerIncarnation(order.worker(), order.incarnation()), worker, leaseUntil);
        }
        if (call == Call.NOT_CARRIED_OUT_ANSWER_LOST) {
            return new Delivery(order, delivery.queuedAt(), true, leaseUntil);
        }
        Answer answer = port.send(worker, order, token, leaseUntil);
        if (call == Call.CARRIED_OUT_ANSWER_LOST) {
            return new Delivery(order, delivery.queuedAt(), true, leaseUntil);
        }
        return handle(order, answer, delivery.leaseUntil() != 0)
                ? null
                : new Delivery(order, delivery.queuedAt(), true, delivery.leaseUntil());
    }

    private Call callOutcome(ChaosWorker worker, double lossRate) {
        if (!worker.answers(time.nanos())) {
            return Call.NOT_CARRIED_OUT_ANSWER_LOST;
        }
        if (random.nextDouble() >= lossRate) {
            return Call.ANSWERED;
        }
        return Call.values()[1 + random.nextInt(3)];
    }

    /** Handles an answer; returns false if the order has to be sent again. */
    private boolean handle(Order order, Answer answer, boolean hasUnansweredAttempt) {
        if (answer == Answer.FENCED) {
            fenced = true;
        } else if (answer == Answer.REJECTED && hasUnansweredAttempt) {
            return false;
        } else if (answer == Answer.DONE && order instanceof Order.Start) {
            scheduler.confirmStarted(order.task(), order.run());
        } else if (order instanceof Order.Start
                && answer != Answer.DONE
                && answer != Answer.OLD_RUN
                && !hasUnansweredAttempt) {
            scheduler.rejectStart(order.task(), order.run(), false);
        } else {
            scheduler.abandonStart(order.task(), order.run());
        }
        return true;
    }
}
