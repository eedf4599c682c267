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
import org.chestnutbarrow.placement.PlacementEvent.WorkerRoom;

/**
 * All held workers by free capacity. Safe for use by several threads; guarded by its own lock, which is taken last.
 *
 * <p>Invariant: a worker is offered only while it is held, not leaving, not barred by quarantine, and in a zone in which
 * starts are allowed. A choice looks at a bounded number of tree nodes, so its cost grows with the logarithm of the
 * number of workers.
 */
final class WorkerIndex {
    private static final int CANDIDATES = 16;
    private static final int VISITS = 400;

    private final ReentrantLock lock = new ReentrantLock();
    private final ToDoubleFunction<WorkerId> penalty;
    private final Map<WorkerId, WorkerNode> nodes = new HashMap<>();
    private final List<WorkerNode> byLeaf = new ArrayList<>();
    private final Set<WorkerNode> barred = new HashSet<>();
    private final Map<AvailabilityZone, Long> returned = new HashMap<>();
    private final LapseRule lapse = new LapseRule();
    private Set<Resources> capacities = Set.of();
    private FitTree tree = new FitTree(1);
    private int leaves = 1;
    private Configuration configuration = Configuration.INITIAL;
    private int start;

    /** {@code penalty} is 0 for a worker without interactive load, 1 for a loaded one, infinite for one to avoid. */
    WorkerIndex(ToDoubleFunction<WorkerId> penalty) {
        this.penalty = penalty;
    }

    /** The chosen worker and why it was chosen. */
    record Choice(Worker worker, String why) {}

    /** Runs an action under the index's lock. */
    private <T> T locked(Function<Map<WorkerId, WorkerNode>, T> action) {
        lock.lock();
        try {
            return action.apply(nodes);
        } finally {
            lock.unlock();
        }
    }

    private void change(WorkerId worker, long now, java.util.function.Consumer<WorkerNode> change) {
        locked(all -> {
            WorkerNode node = all.get(worker);
            if (node != null) {
                change.accept(node);
                refresh(node, now);
            }
            return node;
        });
    }

    /** Takes the complete list of held workers; returns whether a kind of worker has come or gone. */
    boolean update(List<WorkerRoom> rooms, Contact contact, long now) {
        return locked(all -> {
            lapse.sample(contact, now);
            Set<WorkerId> seen = new HashSet<>();
            Set<Resources> kinds = new HashSet<>();
            List<WorkerRoom> order = new ArrayList<>(rooms);
            // Neighbours in the tree are candidates together; the order by hash keeps racks apart.
            order.sort(java.util.Comparator.comparingLong(
                    room -> Hashing.hash(room.worker().id().value())));
            for (WorkerRoom room : order) {
                seen.add(room.worker().id());
                if (!room.worker().leaving()) {
                    kinds.add(room.worker().capacity());
                }
                WorkerNode node = all.computeIfAbsent(room.worker().id(), id -> create(room.worker()));
                node.report(room.worker(), room.free());
                refresh(node, now);
            }
            for (WorkerNode node : byLeaf) {
                if (node.held && !seen.contains(node.worker.id())) {
                    node.held = false;
                    node.unheldSince = now;
                    refresh(node, now);
                }
            }
            boolean changed = !kinds.equals(capacities);
            capacities = kinds;
            return changed;
        });
    }

    void configure(Configuration newer, long now) {
        locked(all -> {
            for (AvailabilityZone zone : newer.declarations().zones()) {
                boolean back = configuration.declarations().zones().contains(zone)
                        && !configuration.startsAllowed(zone)
                        && newer.startsAllowed(zone);
                if (back) {
                    returned.put(zone, now);
                }
            }
            configuration = newer;
            byLeaf.forEach(node -> refresh(node, now));
            return null;
        });
    }

    /** Reopens workers whose quarantine or ramp has passed; returns workers whose tasks have lapsed since. */
    List<WorkerId> tick(long now) {
        return locked(all -> {
            new ArrayList<>(barred).forEach(node -> refresh(node, now));
            if (returned.values().removeIf(since -> now - since >= Timing.ZONE_RAMP) || !returned.isEmpty()) {
                byLeaf.forEach(node -> refresh(node, now));
            }
            List<WorkerId> lapsed = new ArrayList<>();
            for (WorkerNode node : byLeaf) {
                if (!node.held && !node.lapsed && lapse.lapsed(node.unheldSince, now)) {
                    node.lapsed = true;
                    lapsed.add(node.worker.id());
                }
            }
            return lapsed;
        });
    }

    /** Whether a task of that size fits a worker that has nothing else. */
    boolean possible(Resources demand) {
        return locked(all -> capacities.stream().anyMatch(demand::fitsIn));
    }

    /** Chooses a worker with room and reserves the demand there. */
    Optional<Choice> choose(Resources demand, Spread spread, long now) {
        return locked(all -> {
            Best best = new Best();
            start = (start + 7919) % leaves;
            tree.search(demand, start, CANDIDATES, VISITS, leaf -> best.offer(byLeaf.get(leaf), demand, spread));
            if (best.node == null) {
                return Optional.empty();
            }
            best.node.reserve(demand);
            best.node.probe(now);
            refresh(best.node, now);
            String why = String.format(
                    "best of %d with room, score %.2f%s",
                    best.seen, best.score, best.node.quarantined() ? ", probe" : "");
            return Optional.of(new Choice(best.node.worker, why));
        });
    }

    /** Ends the reservation of a start that is confirmed, or is known not to have happened. */
    void settle(WorkerId worker, Resources demand, boolean confirmed, long now) {
        change(worker, now, node -> node.settle(demand, confirmed));
    }

    void full(WorkerId worker, long now) {
        change(worker, now, WorkerNode::full);
    }

    /** Counts a failure of a task; returns whether the worker is quarantined, so that the failure is not the job's. */
    boolean failed(WorkerId worker, JobId job, long now) {
        change(worker, now, node -> node.failed(job, now));
        return quarantined(worker);
    }

    void succeeded(WorkerId worker, long now) {
        change(worker, now, WorkerNode::succeeded);
    }

    /** Takes back the failures of a job that turned out to be bad. */
    void absolve(Collection<WorkerId> workers, JobId job, long now) {
        workers.forEach(worker -> change(worker, now, node -> node.absolve(job)));
    }

    boolean quarantined(WorkerId worker) {
        return locked(all -> all.containsKey(worker) && all.get(worker).quarantined());
    }

    boolean held(WorkerId worker) {
        return locked(all -> all.containsKey(worker) && all.get(worker).held);
    }

    Optional<Worker> worker(WorkerId worker) {
        return locked(all -> Optional.ofNullable(all.get(worker)).map(node -> node.worker));
    }

    /** Whether operators have taken the worker's zone out. */
    boolean zoneOut(WorkerId worker) {
        return locked(all -> all.containsKey(worker)
                && !configuration.startsAllowed(all.get(worker).worker.zone()));
    }

    private WorkerNode create(Worker worker) {
        WorkerNode node = new WorkerNode(worker, byLeaf.size());
        byLeaf.add(node);
        if (byLeaf.size() > leaves) {
            leaves *= 2;
            tree = new FitTree(leaves);
            byLeaf.stream().filter(other -> other.held && other != node).forEach(other -> refresh(other, 0));
        }
        return node;
    }

    private void refresh(WorkerNode node, long now) {
        boolean bar = node.barred(now);
        if (bar) {
            barred.add(node);
        } else {
            barred.remove(node);
        }
        boolean open = node.held && !bar && !node.worker.leaving() && zoneOpen(node.worker, now);
        if (open) {
            tree.set(node.leaf, node.free());
        } else {
            tree.close(node.leaf);
        }
    }

    /** Whether starts are allowed in the zone and, while it is ramped up, already at this worker. */
    private boolean zoneOpen(Worker worker, long now) {
        if (!configuration.startsAllowed(worker.zone())) {
            return false;
        }
        Long since = returned.get(worker.zone());
        long position = Math.floorMod(Hashing.hash(worker.id().value()), Timing.ZONE_RAMP);
        return since == null || now - since >= position;
    }

    /** The best candidate so far. */
    private final class Best {
        private WorkerNode node;
        private double score = Double.POSITIVE_INFINITY;
        private int seen;

        void offer(WorkerNode candidate, Resources demand, Spread spread) {
            seen++;
            double value = score(candidate, demand) + spread.penalty(candidate.worker);
            if (value < score) {
                score = value;
                node = candidate;
            }
        }

        /** Prefers workers that keep cores and memory in proportion, and leaves accelerators to those who need them. */
        private double score(WorkerNode candidate, Resources demand) {
            Resources capacity = candidate.worker.capacity();
            Resources left = candidate.free().minus(demand);
            double cores = (double) left.milliCores() / Math.max(1, capacity.milliCores());
            double memory = (double) left.memoryMiB() / Math.max(1, capacity.memoryMiB());
            double wasted = demand.accelerators() == 0 && capacity.accelerators() > 0 ? 1 : 0;
            double fit = Math.abs(cores - memory) + 0.25 * (cores + memory);
            return fit + wasted + penalty.applyAsDouble(candidate.worker.id());
        }
    }
}
