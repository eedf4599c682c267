package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Stores what the plans of one term change, and then sends their orders and acknowledgements. Confined to the planning
 * thread.
 *
 * <p>Invariant: no order is sent and no end of a run is acknowledged before the progress that describes it is stored under
 * the epoch of the term. An entry that the store refuses for good holds back only what depends on it.
 */
final class PlanExecutor {
    /** Delay before ends of jobs are stored again although the store refuses even these. */
    private static final Duration REFUSED_END_DELAY = Duration.ofMillis(200);

    /**
     * The parts of a term that take part in the execution of a plan.
     *
     * @param scheduler makes the plans
     * @param storage stores entries under the epoch of the term
     * @param storeLimits what the store accepts
     * @param jobs the jobs of the term
     * @param leases has records of silent workers to store
     * @param links send orders and acknowledgements
     * @param endedJobs has removals of progress to store
     * @param estimates says which estimates are to be stored
     * @param sensitivities stores those on images
     */
    record Parts(
            BatchScheduler scheduler,
            TermStorage storage,
            StateStore.Limits storeLimits,
            TermJobs jobs,
            LeaseTracker leases,
            WorkerLinks links,
            EndedJobCleaner endedJobs,
            EstimateSchedule estimates,
            SensitivityWriter sensitivities) {}

    private final Owner owner;
    private final Parts parts;
    private final NodeMetrics metrics;
    private final TimeSource time;

    PlanExecutor(Owner owner, Parts parts, NodeMetrics metrics, TimeSource time) {
        this.owner = owner;
        this.parts = parts;
        this.metrics = metrics;
        this.time = time;
    }

    /**
     * Executes a plan, or as much of it as is stored when the term ends.
     *
     * @param ownerRecord the record of the owner, if it is to be stored
     * @param closing whether the term is being closed
     */
    void execute(Plan plan, Optional<OwnerRecord> ownerRecord, boolean closing) {
        plan.setAside().forEach(job -> parts.jobs().setAside(job.job(), job.cause()));
        plan.claims().forEach(OrderEvents::log);
        plan.waiting().ifPresent(OrderEvents::log);
        plan.ineffectiveEnd().ifPresent(OrderEvents::log);
        plan.quarantined().forEach(worker -> Events.info("worker-quarantined", "worker", worker));
        List<StateStore.Entry> entries = new ArrayList<>();
        plan.changes().forEach(change -> entries.add(JobReplica.progressEntry(change, parts.storeLimits())));
        parts.estimates()
                .dueHealth(closing)
                .ifPresent(health -> entries.add(JobReplica.healthEntry(health, parts.storeLimits())));
        // While the store does not answer, a record would only keep workers that answer again from being extended.
        Optional<Map<WorkerIncarnation, Duration>> silences =
                parts.storage().confirmationAge().compareTo(OwnershipTerm.ANSWER_WINDOW) < 0
                        ? parts.leases().dueRecord()
                        : Optional.empty();
        silences.ifPresent(record -> entries.add(JobReplica.silencesEntry(record)));
        List<StateStore.Entry> removals = parts.endedJobs().takeProgressRemovals();
        entries.addAll(removals);
        entries.addAll(parts.jobs().takeEndsToStore());
        ownerRecord.ifPresent(record -> entries.add(JobReplica.ownerEntry(record)));
        switch (persist(entries)) {
            case TermStorage.TermEnded _ -> {}
            case TermStorage.Stored(Set<String> unstorable) -> {
                parts.jobs()
                        .progressRemoved(removals.stream()
                                .filter(removal -> !unstorable.contains(removal.key()))
                                .toList());
                silences.filter(_ -> !unstorable.contains(JobReplica.SILENCES_KEY))
                        .ifPresent(parts.leases()::recordStored);
                ownerRecord
                        .filter(_ -> !unstorable.contains(JobReplica.OWNER_KEY))
                        .ifPresent(parts.storage()::recordStored);
                carryOut(plan, unstorable);
            }
        }
    }

    /**
     * Sends what the stored changes of a plan allow. What the owner has learnt of images comes last and is stored by another
     * thread: it only helps the next owner, and its size must not hold back an order or an acknowledgement.
     *
     * @param unstorable keys of the entries that the store refuses for good
     */
    private void carryOut(Plan plan, Set<String> unstorable) {
        Map<Boolean, List<JobProgress>> changes = plan.changes().stream()
                .collect(Collectors.partitioningBy(
                        change -> unstorable.contains(change.id().value())));
        if (!endUnstorable(changes.get(true))) {
            return;
        }
        parts.jobs().changesStored(changes.get(false));
        parts.links().acknowledge(plan.acknowledgements());
        plan.orders()
                .forEach(order ->
                        dispatch(order, unstorable.contains(order.task().job().value())));
        parts.estimates().dueSensitivities(!plan.changes().isEmpty()).ifPresent(parts.sensitivities()::submit);
    }

    /**
     * Ends the jobs whose progress the store refuses for good, so that the ends of their runs can be acknowledged; returns
     * false if the term has ended.
     */
    private boolean endUnstorable(List<JobProgress> refused) {
        List<StateStore.Entry> ends = parts.jobs().endUnstorable(refused, time.now()).stream()
                .map(JobReplica::progressEntry)
                .toList();
        while (persist(ends) instanceof TermStorage.Stored(Set<String> unstorable)) {
            if (unstorable.isEmpty()) {
                return true;
            }
            // A store that refuses even the smallest records refuses everything; nothing can be done without it.
            Threads.sleep(REFUSED_END_DELAY);
        }
        return false;
    }

    private TermStorage.Result persist(List<StateStore.Entry> entries) {
        try {
            return parts.storage().store(entries, owner::active);
        } catch (StaleEpochException e) {
            owner.fenced("store: " + e.getMessage());
            return new TermStorage.TermEnded();
        }
    }

    /** Sends an order, unless it starts a task of a job whose progress is not stored. */
    private void dispatch(Order order, boolean unstorable) {
        if ((unstorable && order instanceof Order.Start) || !parts.links().enqueue(order, this::recordOrder)) {
            parts.scheduler().orderDropped(order);
        }
    }

    private void recordOrder(Order order) {
        OrderEvents.log(order);
        if (order instanceof Order.Start) {
            metrics.runStarted();
        }
    }
}
