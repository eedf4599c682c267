package org.chestnutbarrow.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;

/**
 * The outstanding orders for one incarnation of a worker. Thread-safe; all state is guarded by the lock, which is not
 * held while an order is sent.
 *
 * <p>Invariants: the orders of a task are sent in the order in which they were added, each only after the previous
 * one is complete; a retry never delays the first attempt of another task's order; tasks with a pending stop take
 * precedence.
 */
final class OrderQueue {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private final Map<TaskName, Deque<Delivery>> deliveriesByTask = new LinkedHashMap<>();
    private final Set<TaskName> inFlight = new HashSet<>();
    /** Number of queued starts that have not been taken for their first attempt. */
    private int waitingStarts;

    private boolean closed;

    /**
     * Appends an order to those of its task. Drops a repeated stop of the same run, and replaces an order for a CPU
     * limit at the tail by a newer one unless it is in flight.
     */
    void add(Order order, long nowNanos) {
        lock.lock();
        try {
            Deque<Delivery> deliveries = deliveriesByTask.computeIfAbsent(order.task(), _ -> new ArrayDeque<>());
            if (order instanceof Order.Stop && deliveries.stream().anyMatch(queued -> isStopOf(queued, order.run()))) {
                return;
            }
            boolean lastNotInFlight = deliveries.size() > (inFlight.contains(order.task()) ? 1 : 0);
            if (lastNotInFlight
                    && order instanceof Order.SetCpuLimit
                    && deliveries.getLast().order() instanceof Order.SetCpuLimit) {
                deliveries.removeLast();
            }
            deliveries.addLast(Delivery.first(order, nowNanos));
            if (order instanceof Order.Start) {
                waitingStarts++;
            }
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private static boolean isStopOf(Delivery delivery, int run) {
        return delivery.order() instanceof Order.Stop stop && stop.run() == run;
    }

    /**
     * Waits for an eligible order and marks it as in flight; returns empty once the queue is closed.
     *
     * @param retries true to take only orders that were attempted before, false to take only new ones
     */
    Optional<Delivery> take(boolean retries) throws InterruptedException {
        lock.lock();
        try {
            Optional<Delivery> candidate = nextEligible(retries);
            while (!closed && candidate.isEmpty()) {
                stateChanged.await();
                candidate = nextEligible(retries);
            }
            if (closed) {
                return Optional.empty();
            }
            candidate.ifPresent(this::markInFlight);
            return candidate;
        } finally {
            lock.unlock();
        }
    }

    private void markInFlight(Delivery delivery) {
        inFlight.add(delivery.order().task());
        if (delivery.order() instanceof Order.Start && !delivery.retry()) {
            waitingStarts--;
        }
    }

    /** Returns the number of starts for which no attempt has begun; zero once the queue is closed. */
    int waitingStarts() {
        lock.lock();
        try {
            return closed ? 0 : waitingStarts;
        } finally {
            lock.unlock();
        }
    }

    private Optional<Delivery> nextEligible(boolean retries) {
        Optional<Delivery> oldest = Optional.empty();
        for (Map.Entry<TaskName, Deque<Delivery>> entry : deliveriesByTask.entrySet()) {
            Delivery head = entry.getValue().getFirst();
            if (head.retry() != retries || inFlight.contains(entry.getKey())) {
                continue;
            }
            if (entry.getValue().getLast().order() instanceof Order.Stop) {
                return Optional.of(head);
            }
            oldest = oldest.isPresent() ? oldest : Optional.of(head);
        }
        return oldest;
    }

    /** Returns whether an order of a task is queued or in flight; false once the queue is closed. */
    boolean holds(TaskName task) {
        lock.lock();
        try {
            return !closed && deliveriesByTask.containsKey(task);
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether another order of the same task waits behind one that is in flight. */
    boolean hasSuccessor(Delivery delivery) {
        lock.lock();
        try {
            return deliveriesByTask.get(delivery.order().task()).size() > 1;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether a stop of the same run is queued for the task of an order in flight. */
    boolean hasPendingStop(Delivery delivery) {
        lock.lock();
        try {
            return deliveriesByTask.get(delivery.order().task()).stream()
                    .anyMatch(queued -> isStopOf(queued, delivery.order().run()));
        } finally {
            lock.unlock();
        }
    }

    /** Returns an order in flight to the queue for a retry, behind the orders of other tasks. */
    void requeue(Delivery retry) {
        lock.lock();
        try {
            TaskName task = retry.order().task();
            Deque<Delivery> deliveries = deliveriesByTask.remove(task);
            deliveries.removeFirst();
            deliveries.addFirst(retry);
            deliveriesByTask.put(task, deliveries);
            inFlight.remove(task);
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Removes an order in flight. */
    void complete(Delivery delivery) {
        lock.lock();
        try {
            TaskName task = delivery.order().task();
            Deque<Delivery> deliveries = deliveriesByTask.get(task);
            deliveries.removeFirst();
            if (deliveries.isEmpty()) {
                deliveriesByTask.remove(task);
            }
            inFlight.remove(task);
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Closes the queue and releases all threads that wait in {@link #take}. */
    void close() {
        lock.lock();
        try {
            closed = true;
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
