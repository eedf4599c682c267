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
 * The orders to one life of a worker that are not settled. Safe for use by several threads; all state is guarded by its
 * lock, which is not held while an order is sent.
 *
 * <p>Invariants: the orders of one task are sent in their order, each after the one before is settled; a repeat never
 * delays the first attempt of another task's order; tasks that are to be stopped come first.
 */
final class OrderQueue {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<TaskName, Deque<Delivery>> byTask = new LinkedHashMap<>();
    private final Set<TaskName> taken = new HashSet<>();
    private boolean closed;

    /** Adds an order behind those of its task. Repeated stops of a run and paces that a newer one replaces are left out. */
    void add(Order order, long now) {
        lock.lock();
        try {
            Deque<Delivery> waiting = byTask.computeIfAbsent(order.task(), _ -> new ArrayDeque<>());
            if (order instanceof Order.Stop && waiting.stream().anyMatch(known -> stops(known, order.run()))) {
                return;
            }
            boolean lastIsFree = waiting.size() > (taken.contains(order.task()) ? 1 : 0);
            if (lastIsFree
                    && order instanceof Order.SetCpuLimit
                    && waiting.getLast().order() instanceof Order.SetCpuLimit) {
                waiting.removeLast();
            }
            waiting.addLast(Delivery.first(order, now));
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private static boolean stops(Delivery known, int run) {
        return known.order() instanceof Order.Stop stop && stop.run() == run;
    }

    /**
     * Waits for an order whose turn has come and takes it; empty once the queue is closed.
     *
     * @param repeated whether to take only orders that were tried before, or only others
     */
    Optional<Delivery> take(boolean repeated) throws InterruptedException {
        lock.lock();
        try {
            Optional<Delivery> next = next(repeated);
            while (!closed && next.isEmpty()) {
                changed.await();
                next = next(repeated);
            }
            if (closed) {
                return Optional.empty();
            }
            next.ifPresent(delivery -> taken.add(delivery.order().task()));
            return next;
        } finally {
            lock.unlock();
        }
    }

    private Optional<Delivery> next(boolean repeated) {
        Optional<Delivery> oldest = Optional.empty();
        for (Map.Entry<TaskName, Deque<Delivery>> entry : byTask.entrySet()) {
            Delivery head = entry.getValue().getFirst();
            if (head.repeated() != repeated || taken.contains(entry.getKey())) {
                continue;
            }
            if (entry.getValue().getLast().order() instanceof Order.Stop) {
                return Optional.of(head);
            }
            oldest = oldest.isPresent() ? oldest : Optional.of(head);
        }
        return oldest;
    }

    /** Whether another order of the task waits behind a taken one. */
    boolean followed(Delivery delivery) {
        lock.lock();
        try {
            return byTask.get(delivery.order().task()).size() > 1;
        } finally {
            lock.unlock();
        }
    }

    /** Whether a stop of the same run waits behind a taken order. */
    boolean stopFollows(Delivery delivery) {
        lock.lock();
        try {
            return byTask.get(delivery.order().task()).stream()
                    .anyMatch(known -> stops(known, delivery.order().run()));
        } finally {
            lock.unlock();
        }
    }

    /** Puts a taken order back, behind those of other tasks. */
    void repeat(Delivery again) {
        lock.lock();
        try {
            TaskName task = again.order().task();
            Deque<Delivery> waiting = byTask.remove(task);
            waiting.removeFirst();
            waiting.addFirst(again);
            byTask.put(task, waiting);
            taken.remove(task);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Removes a taken order. */
    void settle(Delivery delivery) {
        lock.lock();
        try {
            TaskName task = delivery.order().task();
            Deque<Delivery> waiting = byTask.get(task);
            waiting.removeFirst();
            if (waiting.isEmpty()) {
                byTask.remove(task);
            }
            taken.remove(task);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Ends all waits; nothing is taken any more. */
    void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
