package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/** The worker incarnations that may run tasks. Guarded by the lock of its {@link BatchScheduler}. */
final class WorkerRegistry {
    /** Bounds the stored record to a few KB; suspected workers come first, then those with the most evidence. */
    private static final int MAX_HEALTH_RECORDS = 128;

    private final JobTable jobTable;
    private final WorkerIndex index = new WorkerIndex();
    private final Map<WorkerId, WorkerNode> workers = new HashMap<>();
    /** Incarnations that stored progress refers to and that were not listed when it was restored. */
    private final List<WorkerNode> unlisted = new ArrayList<>();

    /** Stored health of incarnations that are not listed yet. */
    private final Map<TaskRecord.WorkerIncarnation, HealthRecord> storedHealth = new HashMap<>();

    private final TimeSource time;

    private Set<AvailabilityZone> evacuatedZones = Set.of();

    WorkerRegistry(JobTable jobTable, TimeSource time) {
        this.jobTable = jobTable;
        this.time = time;
    }

    /** Restores the health that an earlier owner stored; takes effect on workers that are listed from now on. */
    void restoreHealth(List<HealthRecord> records) {
        records.forEach(health -> storedHealth.put(health.worker(), health));
    }

    /** Returns the workers that are listed. */
    List<WorkerNode> listed() {
        return workers.values().stream().filter(WorkerNode::listed).toList();
    }

    /** Returns whether the health of a worker has changed since the last call. */
    boolean takeHealthChange() {
        boolean changed = false;
        for (WorkerNode node : workers.values()) {
            changed |= node.health.takeChange();
        }
        return changed;
    }

    /** Returns the health of listed workers for the next owner, at most {@link #MAX_HEALTH_RECORDS}. */
    List<HealthRecord> health() {
        return listed().stream()
                .flatMap(
                        node -> node
                                .health
                                .toRecord(new TaskRecord.WorkerIncarnation(node.id(), node.incarnation()), time)
                                .stream())
                .sorted(Comparator.comparing(HealthRecord::nextQuarantine)
                        .thenComparing(HealthRecord::onProbation)
                        .thenComparing(HealthRecord::evidence)
                        .reversed())
                .limit(MAX_HEALTH_RECORDS)
                .toList();
    }

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
        updateServiceSizes();
    }

    private void updateServiceSizes() {
        Map<String, WorkerIndex.ServiceSize> sizes = new HashMap<>();
        for (WorkerNode node : workers.values()) {
            if (node.isUsable()) {
                sizes.merge(
                        node.registration.service(),
                        WorkerIndex.ServiceSize.NONE.plus(node),
                        (size, _) -> size.plus(node));
            }
        }
        index.setServiceSizes(sizes);
    }

    /**
     * Returns the node for the runs that stored progress assigns to an incarnation. That is the node of a later one if the
     * worker has restarted since, which may have carried out starts that were sent to the earlier one. If the incarnation
     * is not listed, the node accepts no new tasks.
     */
    WorkerNode nodeFor(TaskRecord.WorkerIncarnation incarnation) {
        WorkerNode listed = workers.get(incarnation.worker());
        if (listed != null && listed.incarnation() >= incarnation.incarnation()) {
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

    void update(Collection<WorkerRegistration> registrations, long now) {
        Set<WorkerId> listedIds = new HashSet<>();
        for (WorkerRegistration registration : registrations) {
            listedIds.add(registration.id());
            WorkerNode current = workers.get(registration.id());
            if (current != null && current.incarnation() == registration.incarnation()) {
                current.setDraining(registration.draining());
                continue;
            }
            WorkerNode node = new WorkerNode(registration, index);
            node.markNeverResponded(now);
            node.setZoneEvacuated(evacuatedZones.contains(registration.zone()));
            restoreHealth(node);
            workers.put(registration.id(), node);
            if (current != null) {
                node.ends.excludeEarlierOwner();
                node.resultRisk.extendLike(current.resultRisk);
                current.setListed(false);
                transferRuns(current, node, now);
            }
            adopt(node, now);
        }
        workers.values().forEach(node -> node.setListed(listedIds.contains(node.id())));
        updateServiceSizes();
    }

    private void restoreHealth(WorkerNode node) {
        HealthRecord stored = storedHealth.remove(new TaskRecord.WorkerIncarnation(node.id(), node.incarnation()));
        if (stored != null) {
            node.health.restore(stored, time);
            index.healthChanged(node);
        }
    }

    /** Moves the runs that stored progress assigns to this worker to its node. */
    private void adopt(WorkerNode node, long now) {
        for (WorkerNode earlier : List.copyOf(unlisted)) {
            if (!earlier.id().equals(node.id()) || earlier.incarnation() > node.incarnation()) {
                continue;
            }
            unlisted.remove(earlier);
            if (earlier.incarnation() < node.incarnation()) {
                transferRuns(earlier, node, now);
                continue;
            }
            for (TaskEntry task : List.copyOf(earlier.tasks)) {
                earlier.remove(task);
                node.add(task);
            }
        }
    }

    /**
     * Moves the runs of a worker that has restarted to its new incarnation. Calls address a worker by its id, so the new
     * incarnation may have carried out starts that were sent to the earlier one. Its first report shows which runs it
     * has; a start without an answer may still take effect after that report and is stopped. Only runs that the earlier
     * incarnation has listed are over for certain.
     */
    private void transferRuns(WorkerNode earlier, WorkerNode node, long now) {
        for (TaskEntry task : List.copyOf(earlier.tasks)) {
            if (task.listed && task.startSettledAt != 0) {
                jobTable.release(task);
                continue;
            }
            boolean startInFlight = !task.inherited && task.startSettledAt == 0;
            earlier.remove(task);
            node.add(task);
            task.confirmed = false;
            task.listed = false;
            task.setStopOrdered(false);
            task.inherited = !startInFlight;
            task.progressedAt = now;
            jobTable.markChanged(task.job);
            if (startInFlight) {
                jobTable.stop(task, "worker-restarted");
            }
        }
    }

    void expireLeases(TaskRecord.WorkerIncarnation incarnation) {
        for (WorkerNode node : List.copyOf(unlisted)) {
            if (node.id().equals(incarnation.worker()) && node.incarnation() == incarnation.incarnation()) {
                releaseAll(node);
                unlisted.remove(node);
            }
        }
        WorkerNode node = workers.get(incarnation.worker());
        if (node != null && node.incarnation() == incarnation.incarnation()) {
            releaseAll(node);
            if (!node.listed()) {
                workers.remove(incarnation.worker());
            }
        }
    }

    /** Returns the incarnations with assigned runs that have not reported to this owner. */
    Set<TaskRecord.WorkerIncarnation> unconfirmedIncarnations() {
        return Stream.concat(workers.values().stream(), unlisted.stream())
                .filter(node -> !node.ownershipConfirmed() && !node.tasks.isEmpty())
                .map(node -> new TaskRecord.WorkerIncarnation(node.id(), node.incarnation()))
                .collect(Collectors.toSet());
    }

    private void releaseAll(WorkerNode node) {
        List.copyOf(node.tasks).forEach(jobTable::release);
    }
}
