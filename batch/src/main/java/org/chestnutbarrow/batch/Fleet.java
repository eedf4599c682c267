package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * The lives of workers that may run something. Guarded by the lock of its {@link Cell}. Methods that free runs return
 * the jobs whose state changed.
 */
final class Fleet {
    private final WorkerIndex index = new WorkerIndex();
    private final Map<WorkerId, WorkerNode> workers = new HashMap<>();
    /** Lives that stored progress names and that were not listed then. */
    private final List<WorkerNode> lost = new ArrayList<>();

    private Set<AvailabilityZone> out = Set.of();

    WorkerNode find(WorkerId id) {
        return workers.get(id);
    }

    WorkerIndex index() {
        return index;
    }

    /** Replaces the zones that are out of service. */
    void zonesOut(Set<AvailabilityZone> zones) {
        out = Set.copyOf(zones);
        workers.values().forEach(node -> node.out(out.contains(node.entry.zone())));
    }

    /** The node of a life; one that gets nothing new if the life is not listed. */
    WorkerNode nodeOf(TaskRecord.Location at) {
        WorkerNode listed = workers.get(at.worker());
        if (listed != null && listed.born() == at.born()) {
            return listed;
        }
        for (WorkerNode node : lost) {
            if (node.id().equals(at.worker()) && node.born() == at.born()) {
                return node;
            }
        }
        WorkerNode node = new WorkerNode(
                new WorkerEntry(
                        at.worker(),
                        at.born(),
                        new Address("0.0.0.0", 0),
                        "",
                        new AvailabilityZone("unknown"),
                        Set.of(),
                        Resources.NONE,
                        true),
                index);
        node.listed(false);
        lost.add(node);
        return node;
    }

    Set<JobEntry> update(Collection<WorkerEntry> entries, long now) {
        Set<JobEntry> touched = new HashSet<>();
        Set<WorkerId> present = new HashSet<>();
        for (WorkerEntry entry : entries) {
            present.add(entry.id());
            WorkerNode known = workers.get(entry.id());
            if (known != null && known.born() == entry.born()) {
                known.leaving(entry.leaving());
                continue;
            }
            if (known != null) {
                // A new life of a worker shows that the runs of the one before are over.
                free(known, touched);
                known.listed(false);
            }
            WorkerNode node = new WorkerNode(entry, index);
            node.neverHeard(now);
            node.out(out.contains(entry.zone()));
            workers.put(entry.id(), node);
            adopt(node, touched);
        }
        workers.values().forEach(node -> node.listed(present.contains(node.id())));
        return touched;
    }

    /** Takes over the runs of this life and frees those of earlier ones. */
    private void adopt(WorkerNode node, Set<JobEntry> touched) {
        for (WorkerNode old : List.copyOf(lost)) {
            if (!old.id().equals(node.id()) || old.born() > node.born()) {
                continue;
            }
            lost.remove(old);
            if (old.born() < node.born()) {
                free(old, touched);
                continue;
            }
            for (TaskEntry task : List.copyOf(old.tasks)) {
                old.remove(task);
                node.add(task);
            }
        }
    }

    Set<JobEntry> expired(TaskRecord.Location life) {
        Set<JobEntry> touched = new HashSet<>();
        for (WorkerNode node : List.copyOf(lost)) {
            if (node.id().equals(life.worker()) && node.born() == life.born()) {
                free(node, touched);
                lost.remove(node);
            }
        }
        WorkerNode node = workers.get(life.worker());
        if (node != null && node.born() == life.born()) {
            free(node, touched);
            if (!node.listed()) {
                workers.remove(life.worker());
            }
        }
        return touched;
    }

    Set<TaskRecord.Location> inherited() {
        return Stream.concat(workers.values().stream(), lost.stream())
                .filter(node -> node.tasks.stream().anyMatch(task -> task.inherited))
                .map(node -> new TaskRecord.Location(node.id(), node.born()))
                .collect(Collectors.toSet());
    }

    private static void free(WorkerNode node, Set<JobEntry> touched) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            task.release();
            touched.add(task.job);
        }
    }
}
