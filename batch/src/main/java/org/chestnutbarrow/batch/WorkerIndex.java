package org.chestnutbarrow.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SequencedSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The workers that new tasks may be given to, ordered by their room, and the order in which they changed. Guarded by the
 * lock of its {@link Cell}.
 *
 * <p>Invariant: a worker that could not take a task can do so only after a change that is noted here: room was freed, it
 * became usable, or, for filling tasks, a report was taken.
 */
final class WorkerIndex {
    private static final Pool NONE = new Pool();

    /** Room of a worker as a part of its capacity. */
    private record Key(double part, String id) {
        private static final Comparator<Key> ORDER =
                Comparator.comparingDouble(Key::part).thenComparing(Key::id);
    }

    /** What is indexed of a worker. */
    private record Position(Key free, Key spare, long freeMilliCores, long allMilliCores, boolean offered) {}

    /** The workers of one service. */
    static final class Pool {
        private final NavigableMap<Key, WorkerNode> byFree = new TreeMap<>(Key.ORDER);
        private final NavigableMap<Key, WorkerNode> bySpare = new TreeMap<>(Key.ORDER);
        private final Map<String, Set<WorkerNode>> byLabel = new HashMap<>();
        /** Capacity of the largest worker so far. */
        private int mostMilliCores = 1;

        /** All workers with at least this declared room, and some with less; least room first. */
        Collection<WorkerNode> byFree(double milliCores) {
            return byFree.tailMap(least(milliCores), true).values();
        }

        /** All workers with at least this spare processor time, and some with less; most first. */
        Collection<WorkerNode> bySpare(double milliCores) {
            return bySpare.tailMap(least(milliCores), true).descendingMap().values();
        }

        Collection<WorkerNode> labelled(String label) {
            return byLabel.getOrDefault(label, Set.of());
        }

        private Key least(double milliCores) {
            return new Key(milliCores / mostMilliCores, "");
        }

        private void put(WorkerNode node, Position position) {
            mostMilliCores = Math.max(mostMilliCores, node.entry.capacity().milliCores());
            byFree.put(position.free(), node);
            bySpare.put(position.spare(), node);
            node.entry
                    .labels()
                    .forEach(label -> byLabel.computeIfAbsent(label, _ -> new LinkedHashSet<>())
                            .add(node));
        }

        private void remove(WorkerNode node, Position position) {
            byFree.remove(position.free());
            bySpare.remove(position.spare());
            for (String label : node.entry.labels()) {
                byLabel.computeIfPresent(label, (_, nodes) -> nodes.remove(node) && nodes.isEmpty() ? null : nodes);
            }
        }

        private void move(WorkerNode node, Position from, Position to) {
            byFree.remove(from.free());
            byFree.put(to.free(), node);
            bySpare.remove(from.spare());
            bySpare.put(to.spare(), node);
        }
    }

    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<WorkerNode, Position> positions = new HashMap<>();
    /** Offered workers by their last change that may let them take more, latest last. */
    private final SequencedSet<WorkerNode> freed = new LinkedHashSet<>();
    /** The same for filling tasks, to which a report may give way too. */
    private final SequencedSet<WorkerNode> observed = new LinkedHashSet<>();
    /** Workers that are avoided for a time. */
    private final Set<WorkerNode> avoided = new LinkedHashSet<>();

    private long changes;
    private long freeMilliCores;
    private long allMilliCores;

    Pool pool(String service) {
        return pools.getOrDefault(service, NONE);
    }

    /** Number of the latest change. */
    long changes() {
        return changes;
    }

    /** Declared processor time that ordinary tasks have not asked for, of all workers that are in touch. */
    long freeMilliCores() {
        return freeMilliCores;
    }

    /** Declared processor time of all workers that are in touch. */
    long allMilliCores() {
        return allMilliCores;
    }

    /** Takes the present state of a worker. */
    void refresh(WorkerNode node) {
        Position before = positions.get(node);
        Position now = node.inTouch() ? position(node) : null;
        if (before == null && now == null) {
            return;
        }
        count(before, -1);
        count(now, 1);
        boolean was = before != null && before.offered();
        boolean is = now != null && now.offered();
        Pool pool = pools.computeIfAbsent(node.entry.service(), _ -> new Pool());
        if (was && is) {
            pool.move(node, before, now);
        } else if (was) {
            pool.remove(node, before);
            freed.remove(node);
            observed.remove(node);
        } else if (is) {
            pool.put(node, now);
        }
        if (now == null) {
            positions.remove(node);
        } else {
            positions.put(node, now);
        }
        if (is && !was) {
            freed(node);
        }
    }

    private void count(Position position, int sign) {
        if (position != null) {
            freeMilliCores += sign * position.freeMilliCores();
            allMilliCores += sign * position.allMilliCores();
        }
    }

    private static Position position(WorkerNode node) {
        String id = node.id().value();
        return new Position(
                new Key(node.part(node.freeMilliCores()), id),
                new Key(node.part(node.spareMilliCores()), id),
                node.freeMilliCores(),
                node.entry.capacity().milliCores(),
                node.offered());
    }

    private boolean offered(WorkerNode node) {
        Position position = positions.get(node);
        return position != null && position.offered();
    }

    /** Notes that a worker may be able to take more. */
    void freed(WorkerNode node) {
        if (offered(node)) {
            node.freedAt = ++changes;
            freed.addLast(node);
            observed(node);
        }
    }

    /** Notes that a worker may be able to take more filling tasks. */
    void observed(WorkerNode node) {
        if (offered(node)) {
            node.observedChange = ++changes;
            observed.addLast(node);
        }
    }

    /** Notes that a worker gets nothing new until its health allows it. */
    void avoided(WorkerNode node) {
        avoided.add(node);
    }

    /** Notes the workers that are avoided no longer. */
    void endAvoidance(long now) {
        avoided.removeIf(node -> {
            boolean usable = node.health.usable(now);
            if (usable) {
                freed(node);
            }
            return usable;
        });
    }

    /** Whether one of the workers that were freed after a change suits. */
    boolean anyFreed(long since, Predicate<WorkerNode> suits) {
        for (WorkerNode node : freed.reversed()) {
            if (node.freedAt <= since) {
                return false;
            }
            if (suits.test(node)) {
                return true;
            }
        }
        return false;
    }

    /** Whether one of the workers that were freed or reported after a change suits. */
    boolean anyObserved(long since, Predicate<WorkerNode> suits) {
        for (WorkerNode node : observed.reversed()) {
            if (node.observedChange <= since) {
                return false;
            }
            if (suits.test(node)) {
                return true;
            }
        }
        return false;
    }
}
