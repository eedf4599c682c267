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
 * The worker incarnations that may run tasks. Methods that release runs return the jobs whose state changed. Guarded by
 * the lock of its {@link BatchScheduler}.
 */
final class WorkerRegistry {
    private final WorkerIndex index = new WorkerIndex();
    private final Map<WorkerId, WorkerNode> workers = new HashMap<>();
    /** Incarnations that stored progress refers to and that were not listed when it was restored. */
    private final List<WorkerNode> unlisted = new ArrayList<>();

    private Set<AvailabilityZone> evacuatedZones = Set.of();

    WorkerNode find(WorkerId id) {
        return workers.get(id);
    }

    WorkerIndex index() {
        return index;
    }

    /** Replaces the set of evacuated availability zones. */
    void setEvacuatedZones(Set<AvailabilityZone> zones) {
        evacuatedZones = Set.copyOf(zones);
        workers.values().forEach(node -> node.setZoneEvacuated(evacuatedZones.contains(node.registration.zone())));
    }

    /** Returns the node of an incarnation. If the incarnation is not listed, the node accepts no new tasks. */
    WorkerNode nodeFor(TaskRecord.WorkerIncarnation incarnation) {
        WorkerNode listed = workers.get(incarnation.worker());
        if (listed != null && listed.incarnation() == incarnation.incarnation()) {
            return listed;
        }
        for (WorkerNode node : unlisted) {
            if (node.id().equals(incarnation.worker()) && node.incarnation() == incarnation.incarnation()) {
                return node;
            }
        }
        WorkerNode node = new WorkerNode(
                new WorkerRegistration(
                        incarnation.worker(),
                        incarnation.incarnation(),
                        new Address("0.0.0.0", 0),
                        "",
                        new AvailabilityZone("unknown"),
                        Set.of(),
                        Resources.NONE,
                        true),
                index);
        node.setListed(false);
        unlisted.add(node);
        return node;
    }

    Set<JobEntry> update(Collection<WorkerRegistration> registrations, long now) {
        Set<JobEntry> changedJobs = new HashSet<>();
        Set<WorkerId> listedIds = new HashSet<>();
        for (WorkerRegistration registration : registrations) {
            listedIds.add(registration.id());
            WorkerNode current = workers.get(registration.id());
            if (current != null && current.incarnation() == registration.incarnation()) {
                current.setDraining(registration.draining());
                continue;
            }
            if (current != null) {
                // A worker that has restarted no longer runs the tasks of its earlier incarnation.
                releaseAll(current, changedJobs);
                current.setListed(false);
            }
            WorkerNode node = new WorkerNode(registration, index);
            node.markNeverResponded(now);
            node.setZoneEvacuated(evacuatedZones.contains(registration.zone()));
            workers.put(registration.id(), node);
            adopt(node, changedJobs);
        }
        workers.values().forEach(node -> node.setListed(listedIds.contains(node.id())));
        return changedJobs;
    }

    /** Moves the runs of this incarnation to its node and releases those of earlier incarnations. */
    private void adopt(WorkerNode node, Set<JobEntry> changedJobs) {
        for (WorkerNode earlier : List.copyOf(unlisted)) {
            if (!earlier.id().equals(node.id()) || earlier.incarnation() > node.incarnation()) {
                continue;
            }
            unlisted.remove(earlier);
            if (earlier.incarnation() < node.incarnation()) {
                releaseAll(earlier, changedJobs);
                continue;
            }
            for (TaskEntry task : List.copyOf(earlier.tasks)) {
                earlier.remove(task);
                node.add(task);
            }
        }
    }

    Set<JobEntry> expireLeases(TaskRecord.WorkerIncarnation incarnation) {
        Set<JobEntry> changedJobs = new HashSet<>();
        for (WorkerNode node : List.copyOf(unlisted)) {
            if (node.id().equals(incarnation.worker()) && node.incarnation() == incarnation.incarnation()) {
                releaseAll(node, changedJobs);
                unlisted.remove(node);
            }
        }
        WorkerNode node = workers.get(incarnation.worker());
        if (node != null && node.incarnation() == incarnation.incarnation()) {
            releaseAll(node, changedJobs);
            if (!node.listed()) {
                workers.remove(incarnation.worker());
            }
        }
        return changedJobs;
    }

    Set<TaskRecord.WorkerIncarnation> inheritedIncarnations() {
        return Stream.concat(workers.values().stream(), unlisted.stream())
                .filter(node -> node.tasks.stream().anyMatch(task -> task.inherited))
                .map(node -> new TaskRecord.WorkerIncarnation(node.id(), node.incarnation()))
                .collect(Collectors.toSet());
    }

    private static void releaseAll(WorkerNode node, Set<JobEntry> changedJobs) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            task.release();
            changedJobs.add(task.job);
        }
    }
}
