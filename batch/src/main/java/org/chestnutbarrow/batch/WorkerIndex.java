package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SequencedSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * Indexes the workers that accept new tasks by free capacity, and records the order in which their capacity changed.
 * Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: a worker that could not take a task can do so only after a change that was recorded here: capacity was
 * freed, the worker became available or, for best-effort tasks, a report was processed.
 */
final class WorkerIndex {
    private static final Pool EMPTY_POOL = new Pool();
    private static final Duration DEFAULT_REPORT_INTERVAL = Duration.ofMillis(500);
    /** Share of the CPU capacity of a service that quarantined workers may have; a single worker may have more. */
    private static final double MAX_QUARANTINED_SHARE = 0.1;

    /** Which tasks a worker gets, in ascending order. */
    private enum Availability {
        NONE,
        TRIAL_RUNS,
        FULL
    }

    /** Free or spare CPU of a worker as a fraction of its capacity; the worker ID breaks ties. */
    private record SortKey(double fraction, String workerId) {
        private static final Comparator<SortKey> ORDER =
                Comparator.comparingDouble(SortKey::fraction).thenComparing(SortKey::workerId);
    }

    /** The indexed state of a worker. */
    private record IndexedState(
            SortKey freeKey,
            SortKey spareKey,
            long freeMilliCores,
            long lastingMilliCores,
            long capacityMilliCores,
            boolean schedulable,
            Availability availability) {}

    /** The usable workers of one service, whether they are reachable or not. */
    record ServiceSize(int workers, Resources capacity) {
        static final ServiceSize NONE = new ServiceSize(0, Resources.NONE);

        ServiceSize plus(WorkerNode node) {
            return new ServiceSize(workers + 1, capacity.plus(node.registration.capacity()));
        }
    }

    /** The schedulable workers of one service. */
    static final class Pool {
        private final NavigableMap<SortKey, WorkerNode> byFree = new TreeMap<>(SortKey.ORDER);
        private final NavigableMap<SortKey, WorkerNode> bySpare = new TreeMap<>(SortKey.ORDER);
        private final Map<String, Set<WorkerNode>> byLabel = new HashMap<>();
        private final Set<WorkerNode> onProbation = new LinkedHashSet<>();
        /** Largest worker capacity seen so far; scales absolute demands to fractions. */
        private int maxCapacityMilliCores = 1;

        private long lastingMilliCores;
        private long freeMilliCores;
        private long capacityMilliCores;

        /** Returns the CPU of these workers that is neither reserved nor kept for claimants. */
        long freeMilliCores() {
            return freeMilliCores;
        }

        /** Returns the CPU of these workers that long-running tasks hold and that is kept for claimants. */
        long lastingMilliCores() {
            return lastingMilliCores;
        }

        /** Returns the CPU capacity of these workers. */
        long capacityMilliCores() {
            return capacityMilliCores;
        }

        /** Returns all workers with at least this much free CPU, and possibly some with less, in ascending order. */
        Collection<WorkerNode> byFree(double milliCores) {
            return byFree.tailMap(lowerBound(milliCores), true).values();
        }

        /** Returns all workers with at least this much spare CPU, and possibly some with less, in descending order. */
        Collection<WorkerNode> bySpare(double milliCores) {
            return bySpare.tailMap(lowerBound(milliCores), true).descendingMap().values();
        }

        Collection<WorkerNode> all() {
            return byFree.values();
        }

        Collection<WorkerNode> withLabel(String label) {
            return byLabel.getOrDefault(label, Set.of());
        }

        /** Returns the workers that are on probation. */
        Collection<WorkerNode> onProbation() {
            return onProbation;
        }

        private void updateProbation(WorkerNode node, IndexedState state) {
            if (state.availability() == Availability.TRIAL_RUNS) {
                onProbation.add(node);
            } else {
                onProbation.remove(node);
            }
        }

        private SortKey lowerBound(double milliCores) {
            return new SortKey(milliCores / maxCapacityMilliCores, "");
        }

        private void put(WorkerNode node, IndexedState state) {
            maxCapacityMilliCores =
                    Math.max(maxCapacityMilliCores, node.registration.capacity().milliCores());
            lastingMilliCores += state.lastingMilliCores();
            freeMilliCores += state.freeMilliCores();
            capacityMilliCores += state.capacityMilliCores();
            byFree.put(state.freeKey(), node);
            bySpare.put(state.spareKey(), node);
            updateProbation(node, state);
            node.registration
                    .labels()
                    .forEach(label -> byLabel.computeIfAbsent(label, _ -> new LinkedHashSet<>())
                            .add(node));
        }

        private void remove(WorkerNode node, IndexedState state) {
            lastingMilliCores -= state.lastingMilliCores();
            freeMilliCores -= state.freeMilliCores();
            capacityMilliCores -= state.capacityMilliCores();
            byFree.remove(state.freeKey());
            bySpare.remove(state.spareKey());
            onProbation.remove(node);
            for (String label : node.registration.labels()) {
                byLabel.computeIfPresent(label, (_, nodes) -> nodes.remove(node) && nodes.isEmpty() ? null : nodes);
            }
        }

        private void update(WorkerNode node, IndexedState before, IndexedState after) {
            lastingMilliCores += after.lastingMilliCores() - before.lastingMilliCores();
            freeMilliCores += after.freeMilliCores() - before.freeMilliCores();
            byFree.remove(before.freeKey());
            byFree.put(after.freeKey(), node);
            bySpare.remove(before.spareKey());
            bySpare.put(after.spareKey(), node);
            updateProbation(node, after);
        }
    }

    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<WorkerNode, IndexedState> indexedStates = new HashMap<>();
    /** Schedulable workers in the order of their last capacity increase, latest last. */
    private final SequencedSet<WorkerNode> recentlyFreed = new LinkedHashSet<>();
    /** The same for best-effort tasks, whose room may also grow with a report. */
    private final SequencedSet<WorkerNode> recentBestEffortChanges = new LinkedHashSet<>();
    /** Workers that are quarantined after failures. */
    private final Set<WorkerNode> quarantinedWorkers = new LinkedHashSet<>();
    /** Quarantines that have begun since they were last taken. */
    private final List<WorkerId> newQuarantines = new ArrayList<>();

    private Map<String, ServiceSize> serviceSizes = Map.of();
    private final FailureRates failureRates = new FailureRates();
    private Duration reportInterval = DEFAULT_REPORT_INTERVAL;
    private long latestChange;
    private long freeMilliCores;
    private long capacityMilliCores;

    Pool pool(String service) {
        return pools.getOrDefault(service, EMPTY_POOL);
    }

    /** Returns the longest time between two reports of a worker that responds. */
    Duration reportInterval() {
        return reportInterval;
    }

    /** Sets the interval; workers that are no longer unresponsive by a longer one become available again. */
    void setReportInterval(Duration interval, long now) {
        List<WorkerNode> unresponsive = indexedStates.keySet().stream()
                .filter(node -> node.isUnresponsive(now))
                .toList();
        reportInterval = interval;
        for (WorkerNode node : unresponsive) {
            if (!node.isUnresponsive(now)) {
                capacityFreed(node);
            }
        }
    }

    /** Returns the number of the latest change. */
    long latestChange() {
        return latestChange;
    }

    /** Returns the capacity of all usable workers, whether they are reachable or not. */
    Resources capacity() {
        return serviceSizes.values().stream().map(ServiceSize::capacity).reduce(Resources.NONE, Resources::plus);
    }

    FailureRates failureRates() {
        return failureRates;
    }

    /** Returns the CPU of all fully used workers that is neither reserved nor kept for claimants. */
    long freeMilliCores() {
        return freeMilliCores;
    }

    /** Returns the CPU capacity of all fully used workers. */
    long capacityMilliCores() {
        return capacityMilliCores;
    }

    /** Updates the index to the current state of a worker. */
    void refresh(WorkerNode node) {
        IndexedState before = indexedStates.get(node);
        IndexedState after = node.isReachable() ? stateOf(node) : null;
        if (before == null && after == null) {
            return;
        }
        addToTotals(before, -1);
        addToTotals(after, 1);
        boolean wasSchedulable = before != null && before.schedulable();
        boolean isSchedulable = after != null && after.schedulable();
        Pool pool = pools.computeIfAbsent(node.registration.service(), _ -> new Pool());
        if (wasSchedulable && isSchedulable) {
            pool.update(node, before, after);
        } else if (wasSchedulable) {
            pool.remove(node, before);
            recentlyFreed.remove(node);
            recentBestEffortChanges.remove(node);
        } else if (isSchedulable) {
            pool.put(node, after);
        }
        if (after == null) {
            indexedStates.remove(node);
        } else {
            indexedStates.put(node, after);
        }
        if (isSchedulable && (!wasSchedulable || after.availability().compareTo(before.availability()) > 0)) {
            capacityFreed(node);
        }
    }

    private void addToTotals(IndexedState state, int sign) {
        if (state != null && state.availability() == Availability.FULL) {
            freeMilliCores += sign * state.freeMilliCores();
            capacityMilliCores += sign * state.capacityMilliCores();
        }
    }

    private static IndexedState stateOf(WorkerNode node) {
        String id = node.id().value();
        return new IndexedState(
                new SortKey(node.fractionOfCapacity(node.freeMilliCores()), id),
                new SortKey(node.fractionOfCapacity(node.spareMilliCores()), id),
                node.freeMilliCores(),
                node.lastingMilliCores(),
                node.registration.capacity().milliCores(),
                node.isSchedulable(),
                availability(node));
    }

    private static Availability availability(WorkerNode node) {
        if (!node.isSchedulable()) {
            return Availability.NONE;
        }
        return switch (node.health.state()) {
            case WorkerHealth.Sound _ -> Availability.FULL;
            case WorkerHealth.Quarantined _ -> Availability.NONE;
            case WorkerHealth.OnProbation _ -> Availability.TRIAL_RUNS;
        };
    }

    private boolean isSchedulable(WorkerNode node) {
        IndexedState state = indexedStates.get(node);
        return state != null && state.schedulable();
    }

    /** Records that a worker may be able to take more tasks. */
    void capacityFreed(WorkerNode node) {
        if (isSchedulable(node)) {
            node.lastFreedChange = ++latestChange;
            recentlyFreed.addLast(node);
            bestEffortRoomChanged(node);
        }
    }

    /** Records that a worker may be able to take more best-effort tasks. */
    void bestEffortRoomChanged(WorkerNode node) {
        if (isSchedulable(node)) {
            node.lastBestEffortChange = ++latestChange;
            recentBestEffortChanges.addLast(node);
        }
    }

    /** Sets the sizes of the services, on which the bound on quarantines depends. */
    void setServiceSizes(Map<String, ServiceSize> sizes) {
        serviceSizes = Map.copyOf(sizes);
    }

    /** Records that the state of the health of a worker is of another kind, or that it was restored. */
    void healthChanged(WorkerNode node) {
        if (node.health.state() instanceof WorkerHealth.Quarantined && quarantinedWorkers.add(node)) {
            newQuarantines.add(node.id());
        }
        refresh(node);
    }

    /**
     * Returns whether a worker may be quarantined beside those that are: a single one if its service has others, and
     * more as long as they have a bounded share of the capacity.
     */
    boolean mayQuarantine(WorkerNode node) {
        ServiceSize size = serviceSizes.getOrDefault(node.registration.service(), ServiceSize.NONE);
        long quarantined = 0;
        for (WorkerNode other : quarantinedWorkers) {
            if (other != node
                    && other.isUsable()
                    && other.registration.service().equals(node.registration.service())) {
                quarantined += other.registration.capacity().milliCores();
            }
        }
        return quarantined == 0
                ? size.workers() > 1
                : quarantined + node.registration.capacity().milliCores()
                        <= MAX_QUARANTINED_SHARE * size.capacity().milliCores();
    }

    /** Returns and clears the workers whose quarantine has begun since the last call. */
    List<WorkerId> takeNewQuarantines() {
        List<WorkerId> result = List.copyOf(newQuarantines);
        newQuarantines.clear();
        return result;
    }

    /**
     * Makes workers available again whose quarantine has ended or, because other workers have left or quarantines were
     * restored, exceeds the bound on quarantines.
     */
    void endQuarantines(long now) {
        for (WorkerNode node : List.copyOf(quarantinedWorkers).reversed()) {
            boolean ended = node.health.endQuarantine(now)
                    || (node.isUsable() && !mayQuarantine(node) && node.health.cutQuarantineShort());
            if (ended) {
                quarantinedWorkers.remove(node);
                refresh(node);
            }
        }
    }

    /** Returns whether a worker whose capacity increased after {@code change} satisfies the predicate. */
    boolean anyFreedSince(long change, Predicate<WorkerNode> feasible) {
        for (WorkerNode node : recentlyFreed.reversed()) {
            if (node.lastFreedChange <= change) {
                return false;
            }
            if (feasible.test(node)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a worker whose room for best-effort tasks may have grown after {@code change} satisfies the
     * predicate.
     */
    boolean anyBestEffortChangeSince(long change, Predicate<WorkerNode> feasible) {
        for (WorkerNode node : recentBestEffortChanges.reversed()) {
            if (node.lastBestEffortChange <= change) {
                return false;
            }
            if (feasible.test(node)) {
                return true;
            }
        }
        return false;
    }
}
