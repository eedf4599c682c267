package org.chestnutbarrow.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Reserves a slot for a request on the worker that the {@link Choice} prefers. Safe for use by several threads.
 *
 * <p>Invariant: a returned hold is charged in {@link CapacityLedger}.
 */
final class Selection {
    private final TimeSource time;
    private final CapacityLedger accounts;
    private final RandomGenerator random;
    private final Choice choice;

    Selection(TimeSource time, CapacityLedger accounts, RandomGenerator random, Choice choice) {
        this.time = time;
        this.accounts = accounts;
        this.random = random;
        this.choice = choice;
    }

    /** Reserves a slot on one of the workers, preferably on none that was tried; empty if none has room. */
    Optional<Reservation> choose(ClassRoutes routes, List<Worker> workers, Set<WorkerId> tried) {
        if (workers.isEmpty()) {
            return Optional.empty();
        }
        return switch (choice) {
            case Choice.CheapestOfSampled sampled -> cheapest(routes, workers, tried, sampled.samples());
            case Choice.RoundRobin turns -> plain(workers, tried, turns.next(workers.size()));
            case Choice.RandomChoice _ -> plain(workers, tried, random.nextInt(workers.size()));
            case Choice.LeastConnections _ -> leastConnections(workers, tried);
        };
    }

    private Optional<Reservation> cheapest(ClassRoutes routes, List<Worker> workers, Set<WorkerId> tried, int samples) {
        long now = time.nanos();
        Worker best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        boolean all = workers.size() <= samples;
        int start = random.nextInt(workers.size());
        for (int i = 0; i < Math.min(samples, workers.size()); i++) {
            int index = all ? (start + i) % workers.size() : random.nextInt(workers.size());
            Worker worker = workers.get(index);
            double cost = tried.contains(worker.id()) ? Double.POSITIVE_INFINITY : cost(routes, worker, now);
            if (cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        Optional<Reservation> hold =
                best == null ? Optional.empty() : accounts.reserve(best.id(), Resources.ONE_REQUEST);
        return hold.or(() -> scan(
                        workers,
                        random.nextInt(workers.size()),
                        worker -> !tried.contains(worker.id()) && cost(routes, worker, now) < Double.POSITIVE_INFINITY))
                // A free slot on an ejected worker, or on one that was tried, is better than waiting: nothing would
                // end the wait if no request is in flight.
                .or(() -> scan(workers, random.nextInt(workers.size()), worker -> admits(routes, worker, now)));
    }

    private Optional<Reservation> leastConnections(List<Worker> workers, Set<WorkerId> tried) {
        int start = random.nextInt(workers.size());
        int best = start;
        int fewest = Integer.MAX_VALUE;
        for (int i = 0; i < workers.size(); i++) {
            int index = (start + i) % workers.size();
            Worker worker = workers.get(index);
            Optional<AvailableCapacity> room = accounts.availableOn(worker.id());
            boolean free = room.isPresent()
                    && !tried.contains(worker.id())
                    && Resources.ONE_REQUEST.fitsIn(room.get().free());
            if (free && room.get().requests() < fewest) {
                best = index;
                fewest = room.get().requests();
            }
        }
        return plain(workers, tried, best);
    }

    /** The first worker with room from an index on. */
    private Optional<Reservation> plain(List<Worker> workers, Set<WorkerId> tried, int start) {
        return scan(workers, start, worker -> !tried.contains(worker.id())).or(() -> scan(workers, start, _ -> true));
    }

    private Optional<Reservation> scan(List<Worker> workers, int start, Predicate<Worker> accepted) {
        for (int i = 0; i < workers.size(); i++) {
            Worker worker = workers.get((start + i) % workers.size());
            if (accepted.test(worker)) {
                Optional<Reservation> hold = accounts.reserve(worker.id(), Resources.ONE_REQUEST);
                if (hold.isPresent()) {
                    return hold;
                }
            }
        }
        return Optional.empty();
    }

    private boolean admits(ClassRoutes routes, Worker worker, long now) {
        Optional<AvailableCapacity> room = accounts.availableOn(worker.id());
        return room.isPresent()
                && routes.scores()
                        .with(worker, now, score -> score.admits(room.get().requests()));
    }

    /** Expected cost of one more request on the worker; infinite if it has no room or is ejected. */
    private double cost(ClassRoutes routes, Worker worker, long now) {
        Optional<AvailableCapacity> room = accounts.availableOn(worker.id());
        if (room.isEmpty() || !Resources.ONE_REQUEST.fitsIn(room.get().free())) {
            return Double.POSITIVE_INFINITY;
        }
        int requests = room.get().requests();
        return routes.scores()
                .with(
                        worker,
                        now,
                        score -> score.ejected(now) || !score.admits(requests)
                                ? Double.POSITIVE_INFINITY
                                : score.cost(requests, routes.usual(), now));
    }
}
