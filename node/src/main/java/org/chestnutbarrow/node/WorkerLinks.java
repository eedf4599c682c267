package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * The links of one term, one for each worker that is listed or may still hold leases. Thread-safe, under its own lock;
 * the locks of the scheduler and of the leases are taken within it.
 *
 * <p>Invariants: no order for an incarnation is queued before its link exists; a worker that is not listed any more keeps
 * its link until its leases are over, and is then neither called nor counted.
 */
final class WorkerLinks {
    private final BatchScheduler scheduler;
    private final LeaseTracker leases;
    private final Function<WorkerRegistration, WorkerLink> opener;
    private final Map<WorkerId, WorkerLink> links = new HashMap<>();
    private final TimeSource time;
    private final Duration closedRetention;
    /** When links of workers that are not listed any more were closed, ns; the earliest first. */
    private final Deque<Long> closedAt = new ArrayDeque<>();

    private Set<WorkerId> listed = Set.of();

    /**
     * Creates an empty set.
     *
     * @param opener creates a link and starts its threads
     * @param closedRetention time for which closed links count in {@link #majorityWithClosed}
     */
    WorkerLinks(
            BatchScheduler scheduler,
            LeaseTracker leases,
            Function<WorkerRegistration, WorkerLink> opener,
            TimeSource time,
            Duration closedRetention) {
        this.scheduler = scheduler;
        this.leases = leases;
        this.opener = opener;
        this.time = time;
        this.closedRetention = closedRetention;
    }

    /** Applies the current worker list; opens a new link for each worker that is new or has restarted. */
    synchronized void update(Collection<WorkerRegistration> entries) {
        scheduler.updateWorkers(entries);
        Set<WorkerIncarnation> unconfirmed = scheduler.unconfirmedIncarnations();
        Set<WorkerId> ids = new HashSet<>();
        for (WorkerRegistration entry : entries) {
            ids.add(entry.id());
            WorkerLink existing = links.get(entry.id());
            if (existing != null && existing.worker().incarnation() == entry.incarnation()) {
                continue;
            }
            WorkerIncarnation incarnation = new WorkerIncarnation(entry.id(), entry.incarnation());
            if (existing != null) {
                existing.close();
                leases.replace(existing.incarnation(), incarnation, existing.lateCallsUntil());
                scheduler.keepResultsAway(incarnation, existing.lateAcknowledgementsUntil());
            }
            if (unconfirmed.contains(incarnation)) {
                leases.add(incarnation);
            }
            links.put(entry.id(), opener.apply(entry));
        }
        listed = ids;
        closeUnlisted();
    }

    private void forgetClosed() {
        long now = time.nanos();
        while (!closedAt.isEmpty() && now - closedAt.getFirst() > closedRetention.toNanos()) {
            closedAt.removeFirst();
        }
    }

    /** Closes and removes the links of workers that are not listed any more and hold no leases. */
    synchronized void closeUnlisted() {
        forgetClosed();
        links.values().removeIf(link -> {
            boolean gone = !listed.contains(link.worker().id()) && !leases.tracks(link.incarnation());
            if (gone) {
                link.close();
                closedAt.addLast(time.nanos());
            }
            return gone;
        });
    }

    /** Returns whether a condition holds for more than half of the links. */
    synchronized boolean majority(Predicate<WorkerLink> condition) {
        long count = links.values().stream().filter(condition).count();
        return 2 * count > links.size();
    }

    /**
     * Returns whether a condition holds for more than half of the links and of those that were closed lately. The
     * workers of these may be listed again and answer a newer owner without this one being able to know.
     */
    synchronized boolean majorityWithClosed(Predicate<WorkerLink> condition) {
        forgetClosed();
        long count = links.values().stream().filter(condition).count();
        return 2 * count > links.size() + closedAt.size();
    }

    /** Returns whether an incarnation has answered this owner. */
    synchronized boolean hasAnswered(WorkerIncarnation incarnation) {
        WorkerLink link = links.get(incarnation.worker());
        return link != null && link.incarnation().equals(incarnation) && link.hasAnswered();
    }

    /** Returns the number of starts for which no attempt has begun. */
    synchronized int waitingStarts() {
        return links.values().stream().mapToInt(WorkerLink::waitingStarts).sum();
    }

    /** Acknowledges the ends up to a sequence number, which starts anew in each incarnation. */
    synchronized void acknowledge(Map<WorkerIncarnation, Long> sequences) {
        sequences.forEach((incarnation, sequence) -> {
            WorkerLink link = links.get(incarnation.worker());
            if (link != null && link.incarnation().equals(incarnation)) {
                link.acknowledge(sequence);
            }
        });
    }

    /**
     * Queues an order and calls {@code accepted} before it can be sent; returns false if there is no link to its
     * incarnation.
     */
    synchronized boolean enqueue(Order order, Consumer<Order> accepted) {
        WorkerLink link = links.get(order.worker());
        if (link == null || link.worker().incarnation() != order.incarnation()) {
            return false;
        }
        accepted.accept(order);
        link.enqueue(order);
        return true;
    }

    /** Closes all links. */
    synchronized void close() {
        links.values().forEach(WorkerLink::close);
    }
}
