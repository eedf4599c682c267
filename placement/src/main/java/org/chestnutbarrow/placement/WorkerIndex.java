package org.chestnutbarrow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.PlacementEvent.WorkerFreeCapacity;

/**
 * Index of the held workers by free capacity. Safe for use by several threads; guarded by its own lock, which is
 * acquired last.
 *
 * <p>Invariant: a worker is a candidate only while its lease is held, it is not leaving, not blocked by a quarantine,
 * and in a zone in which starts are allowed. A selection visits a bounded number of tree nodes, so its cost grows with
 * the logarithm of the number of workers.
 */
final class WorkerIndex {
    private static final int MAX_CANDIDATES = 16;
    private static final int MAX_NODE_VISITS = 400;

    private final ReentrantLock lock = new ReentrantLock();
    private final ToDoubleFunction<WorkerId> penalty;
    private final Map<WorkerId, WorkerEntry> entriesById = new HashMap<>();
    private final List<WorkerEntry> byLeaf = new ArrayList<>();
    private final Set<WorkerEntry> blockedWorkers = new HashSet<>();
    private final Map<AvailabilityZone, Long> zoneReturnedAt = new HashMap<>();
    private final LeaseExpiryRule leaseExpiry = new LeaseExpiryRule();
    private Set<Resources> capacities = Set.of();
    private CapacityTree tree = new CapacityTree(1);
    private int leafCount = 1;
    private Configuration configuration = Configuration.INITIAL;
    private int nextSearchStart;

    /** Creates an empty index; see {@link JobShards#JobShards} for the penalty. */
    WorkerIndex(ToDoubleFunction<WorkerId> penalty) {
        this.penalty = penalty;
    }

    /** The selected worker and the reason for the selection. */
    record SelectedWorker(Worker worker, String reason) {}

    /** Runs an operation under the index's lock. */
    private <T> T locked(Function<Map<WorkerId, WorkerEntry>, T> operation) {
        lock.lock();
        try {
            return operation.apply(entriesById);
        } finally {
            lock.unlock();
        }
    }

    private void modify(WorkerId worker, long now, java.util.function.Consumer<WorkerEntry> modification) {
        locked(entries -> {
            WorkerEntry entry = entries.get(worker);
            if (entry != null) {
                modification.accept(entry);
                refresh(entry, now);
            }
            return entry;
        });
    }

    /** Replaces the list of held workers; returns whether the set of distinct worker capacities has changed. */
    boolean update(List<WorkerFreeCapacity> reported, Connectivity connectivity, long now) {
        return locked(entries -> {
            leaseExpiry.sample(connectivity, now);
            Set<WorkerId> reportedIds = new HashSet<>();
            Set<Resources> newCapacities = new HashSet<>();
            List<WorkerFreeCapacity> ordered = new ArrayList<>(reported);
            // Adjacent leaves are considered together; the order by hash separates workers of the same rack.
            ordered.sort(java.util.Comparator.comparingLong(
                    report -> Hashing.hash(report.worker().id().value())));
            for (WorkerFreeCapacity report : ordered) {
                reportedIds.add(report.worker().id());
                if (!report.worker().leaving()) {
                    newCapacities.add(report.worker().capacity());
                }
                WorkerEntry entry = entries.computeIfAbsent(report.worker().id(), id -> create(report.worker()));
                entry.report(report.worker(), report.free());
                refresh(entry, now);
            }
            for (WorkerEntry entry : byLeaf) {
                if (entry.held && !reportedIds.contains(entry.worker.id())) {
                    entry.held = false;
                    entry.unheldSince = now;
                    refresh(entry, now);
                }
            }
            boolean changed = !newCapacities.equals(capacities);
            capacities = newCapacities;
            return changed;
        });
    }

    void configure(Configuration newConfiguration, long now) {
        locked(entries -> {
            for (AvailabilityZone zone : newConfiguration.declarations().zones()) {
                boolean returned = configuration.declarations().zones().contains(zone)
                        && !configuration.startsAllowed(zone)
                        && newConfiguration.startsAllowed(zone);
                if (returned) {
                    zoneReturnedAt.put(zone, now);
                }
            }
            configuration = newConfiguration;
            byLeaf.forEach(entry -> refresh(entry, now));
            return null;
        });
    }

    /**
     * Makes workers available whose quarantine or zone ramp-up has ended; returns the workers whose task leases have
     * expired since the last call.
     */
    List<WorkerId> tick(long now) {
        return locked(entries -> {
            new ArrayList<>(blockedWorkers).forEach(entry -> refresh(entry, now));
            if (zoneReturnedAt.values().removeIf(returnedAt -> now - returnedAt >= Timing.ZONE_RAMP_UP_NANOS)
                    || !zoneReturnedAt.isEmpty()) {
                byLeaf.forEach(entry -> refresh(entry, now));
            }
            List<WorkerId> expired = new ArrayList<>();
            for (WorkerEntry entry : byLeaf) {
                if (!entry.held && !entry.leasesExpired && leaseExpiry.expired(entry.unheldSince, now)) {
                    entry.leasesExpired = true;
                    expired.add(entry.worker.id());
                }
            }
            return expired;
        });
    }

    /** Whether the demand fits the total capacity of any held worker. */
    boolean fitsAnyWorker(Resources demand) {
        return locked(entries -> capacities.stream().anyMatch(demand::fitsIn));
    }

    /** Selects a worker with enough free capacity and reserves the demand on it. */
    Optional<SelectedWorker> selectAndReserve(Resources demand, TopologySpread spread, long now) {
        return locked(entries -> {
            BestCandidate best = new BestCandidate();
            nextSearchStart = (nextSearchStart + 7919) % leafCount;
            tree.search(
                    demand,
                    nextSearchStart,
                    MAX_CANDIDATES,
                    MAX_NODE_VISITS,
                    leaf -> best.offer(byLeaf.get(leaf), demand, spread));
            if (best.entry == null) {
                return Optional.empty();
            }
            best.entry.reserve(demand);
            best.entry.startProbe(now);
            refresh(best.entry, now);
            String reason = String.format(
                    "best of %d candidates, score %.2f%s",
                    best.candidateCount, best.bestScore, best.entry.quarantined() ? ", probe" : "");
            return Optional.of(new SelectedWorker(best.entry.worker, reason));
        });
    }

    /** Ends the reservation of a start that is confirmed or is known not to have taken effect. */
    void settleReservation(WorkerId worker, Resources demand, boolean confirmed, long now) {
        modify(worker, now, entry -> entry.settleReservation(demand, confirmed));
    }

    void markFull(WorkerId worker, long now) {
        modify(worker, now, WorkerEntry::markFull);
    }

    /** Counts a task failure; returns whether the worker is quarantined, in which case the job is not blamed for it. */
    boolean recordFailure(WorkerId worker, JobId job, long now) {
        modify(worker, now, entry -> entry.recordFailure(job, now));
        return quarantined(worker);
    }

    void recordSuccess(WorkerId worker, long now) {
        modify(worker, now, WorkerEntry::recordSuccess);
    }

    /** Clears the failures that workers counted for a job which fails on many workers. */
    void clearFailures(Collection<WorkerId> workers, JobId job, long now) {
        workers.forEach(worker -> modify(worker, now, entry -> entry.clearFailure(job)));
    }

    boolean quarantined(WorkerId worker) {
        return locked(
                entries -> entries.containsKey(worker) && entries.get(worker).quarantined());
    }

    boolean held(WorkerId worker) {
        return locked(entries -> entries.containsKey(worker) && entries.get(worker).held);
    }

    Optional<Worker> worker(WorkerId worker) {
        return locked(entries -> Optional.ofNullable(entries.get(worker)).map(entry -> entry.worker));
    }

    /** Whether the worker's zone was taken out of service. */
    boolean zoneOut(WorkerId worker) {
        return locked(entries -> entries.containsKey(worker)
                && !configuration.startsAllowed(entries.get(worker).worker.zone()));
    }

    private WorkerEntry create(Worker worker) {
        WorkerEntry entry = new WorkerEntry(worker, byLeaf.size());
        byLeaf.add(entry);
        if (byLeaf.size() > leafCount) {
            leafCount *= 2;
            tree = new CapacityTree(leafCount);
            byLeaf.stream().filter(other -> other.held && other != entry).forEach(other -> refresh(other, 0));
        }
        return entry;
    }

    private void refresh(WorkerEntry entry, long now) {
        boolean blocked = entry.blocked(now);
        if (blocked) {
            blockedWorkers.add(entry);
        } else {
            blockedWorkers.remove(entry);
        }
        boolean available = entry.held && !blocked && !entry.worker.leaving() && zoneAcceptsStarts(entry.worker, now);
        if (available) {
            tree.set(entry.leaf, entry.free());
        } else {
            tree.clear(entry.leaf);
        }
    }

    /** Whether starts are allowed in the zone and, during its ramp-up, already at this worker. */
    private boolean zoneAcceptsStarts(Worker worker, long now) {
        if (!configuration.startsAllowed(worker.zone())) {
            return false;
        }
        Long returnedAt = zoneReturnedAt.get(worker.zone());
        long rampUpDelay = Math.floorMod(Hashing.hash(worker.id().value()), Timing.ZONE_RAMP_UP_NANOS);
        return returnedAt == null || now - returnedAt >= rampUpDelay;
    }

    /** The candidate with the lowest score so far. */
    private final class BestCandidate {
        private WorkerEntry entry;
        private double bestScore = Double.POSITIVE_INFINITY;
        private int candidateCount;

        void offer(WorkerEntry candidate, Resources demand, TopologySpread spread) {
            candidateCount++;
            double score = score(candidate, demand) + spread.penalty(candidate.worker);
            if (score < bestScore) {
                bestScore = score;
                entry = candidate;
            }
        }

        /** Prefers a balanced remainder of cores and memory, and workers without accelerators if none are needed. */
        private double score(WorkerEntry candidate, Resources demand) {
            Resources capacity = candidate.worker.capacity();
            Resources remaining = candidate.free().minus(demand);
            double freeCores = (double) remaining.milliCores() / Math.max(1, capacity.milliCores());
            double freeMemory = (double) remaining.memoryMiB() / Math.max(1, capacity.memoryMiB());
            double wastedAccelerators = demand.accelerators() == 0 && capacity.accelerators() > 0 ? 1 : 0;
            double fit = Math.abs(freeCores - freeMemory) + 0.25 * (freeCores + freeMemory);
            return fit + wastedAccelerators + penalty.applyAsDouble(candidate.worker.id());
        }
    }
}
