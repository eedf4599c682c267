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
 * Reserves a slot for a request on the worker that the {@link LoadBalancingPolicy} prefers. Safe for use by several
 * threads.
 *
 * <p>Invariant: a returned reservation is recorded in {@link CapacityLedger}.
 */
final class LoadBalancer {
    private final TimeSource time;
    private final CapacityLedger ledger;
    private final RandomGenerator random;
    private final LoadBalancingPolicy policy;

    LoadBalancer(TimeSource time, CapacityLedger ledger, RandomGenerator random, LoadBalancingPolicy policy) {
        this.time = time;
        this.ledger = ledger;
        this.random = random;
        this.policy = policy;
    }

    /** Reserves a slot on one of the workers, preferably on an untried one; empty if none has capacity. */
    Optional<Reservation> reserve(ClassRoutingState state, List<Worker> workers, Set<WorkerId> triedWorkers) {
        if (workers.isEmpty()) {
            return Optional.empty();
        }
        return switch (policy) {
            case LoadBalancingPolicy.LowestCostOfSample sampled ->
                reserveLowestCost(state, workers, triedWorkers, sampled.sampleSize());
            case LoadBalancingPolicy.RoundRobin roundRobin ->
                reserveFirstUntried(workers, triedWorkers, roundRobin.nextIndex(workers.size()));
            case LoadBalancingPolicy.RandomWorker _ ->
                reserveFirstUntried(workers, triedWorkers, random.nextInt(workers.size()));
            case LoadBalancingPolicy.LeastConnections _ -> reserveLeastConnections(workers, triedWorkers);
        };
    }

    private Optional<Reservation> reserveLowestCost(
            ClassRoutingState state, List<Worker> workers, Set<WorkerId> triedWorkers, int sampleSize) {
        long now = time.nanos();
        Worker best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        boolean compareAll = workers.size() <= sampleSize;
        int start = random.nextInt(workers.size());
        for (int i = 0; i < Math.min(sampleSize, workers.size()); i++) {
            int index = compareAll ? (start + i) % workers.size() : random.nextInt(workers.size());
            Worker worker = workers.get(index);
            double cost = triedWorkers.contains(worker.id()) ? Double.POSITIVE_INFINITY : cost(state, worker, now);
            if (cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        Optional<Reservation> reservation =
                best == null ? Optional.empty() : ledger.reserve(best.id(), Resources.ONE_REQUEST);
        return reservation
                .or(() -> reserveFirst(
                        workers,
                        random.nextInt(workers.size()),
                        worker -> !triedWorkers.contains(worker.id())
                                && cost(state, worker, now) < Double.POSITIVE_INFINITY))
                // A free slot on an ejected or already tried worker is better than waiting: if no request is in
                // flight, nothing would end the wait.
                .or(() -> reserveFirst(workers, random.nextInt(workers.size()), worker -> admits(state, worker, now)));
    }

    private Optional<Reservation> reserveLeastConnections(List<Worker> workers, Set<WorkerId> triedWorkers) {
        int start = random.nextInt(workers.size());
        int bestIndex = start;
        int fewest = Integer.MAX_VALUE;
        for (int i = 0; i < workers.size(); i++) {
            int index = (start + i) % workers.size();
            Worker worker = workers.get(index);
            Optional<AvailableCapacity> available = ledger.availableOn(worker.id());
            boolean hasCapacity = available.isPresent()
                    && !triedWorkers.contains(worker.id())
                    && Resources.ONE_REQUEST.fitsIn(available.get().free());
            if (hasCapacity && available.get().requests() < fewest) {
                bestIndex = index;
                fewest = available.get().requests();
            }
        }
        return reserveFirstUntried(workers, triedWorkers, bestIndex);
    }

    /** Reserves on the first worker with capacity from an index on, on tried workers only if no other has any. */
    private Optional<Reservation> reserveFirstUntried(List<Worker> workers, Set<WorkerId> triedWorkers, int start) {
        return reserveFirst(workers, start, worker -> !triedWorkers.contains(worker.id()))
                .or(() -> reserveFirst(workers, start, _ -> true));
    }

    private Optional<Reservation> reserveFirst(List<Worker> workers, int start, Predicate<Worker> accepted) {
        for (int i = 0; i < workers.size(); i++) {
            Worker worker = workers.get((start + i) % workers.size());
            if (accepted.test(worker)) {
                Optional<Reservation> reservation = ledger.reserve(worker.id(), Resources.ONE_REQUEST);
                if (reservation.isPresent()) {
                    return reservation;
                }
            }
        }
        return Optional.empty();
    }

    private boolean admits(ClassRoutingState state, Worker worker, long now) {
        Optional<AvailableCapacity> available = ledger.availableOn(worker.id());
        return available.isPresent()
                && state.scores()
                        .withScore(
                                worker,
                                now,
                                score -> score.admits(available.get().requests()));
    }

    /** Returns the cost of one more request on the worker; infinite if it has no capacity or is ejected. */
    private double cost(ClassRoutingState state, Worker worker, long now) {
        Optional<AvailableCapacity> available = ledger.availableOn(worker.id());
        if (available.isEmpty() || !Resources.ONE_REQUEST.fitsIn(available.get().free())) {
            return Double.POSITIVE_INFINITY;
        }
        int inFlight = available.get().requests();
        return state.scores()
                .withScore(
                        worker,
                        now,
                        score -> score.ejected(now) || !score.admits(inFlight)
                                ? Double.POSITIVE_INFINITY
                                : score.cost(inFlight, state.typicalLatencyNanos(), now));
    }
}
