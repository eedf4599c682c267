package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.UnsettledStart;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Counts and logs state that nothing would act on again: starts whose outcome is unknown although no delivery is in
 * progress, and jobs that the replica holds as not ended but that the scheduler does not know. Both are faults of the
 * node. Used by one thread.
 *
 * <p>Invariant: at most one event of each kind is logged by an audit, and audits are {@link #INTERVAL} apart.
 */
final class StateAudit {
    private static final Duration INTERVAL = Duration.ofSeconds(2);
    /**
     * How old the state must be. Orders are delivered, and ends are known to the replica, only after the progress was
     * stored, and outages of the store of 9 s are expected.
     */
    static final Duration MIN_AGE = Duration.ofSeconds(12);

    private final BatchScheduler scheduler;
    private final JobReplica replica;
    private final BiPredicate<TaskName, WorkerId> isDelivered;
    private final NodeMetrics metrics;
    private final TimeSource time;
    /** Since when the scheduler has lacked jobs that have not ended, in ns. */
    private final Map<JobId, Long> missingSince = new HashMap<>();

    /** Creates an audit; {@code isDelivered} tells whether an order of a task for a worker is being delivered. */
    StateAudit(
            BatchScheduler scheduler,
            JobReplica replica,
            BiPredicate<TaskName, WorkerId> isDelivered,
            NodeMetrics metrics,
            TimeSource time) {
        this.scheduler = scheduler;
        this.replica = replica;
        this.isDelivered = isDelivered;
        this.metrics = metrics;
        this.time = time;
    }

    /** Audits the state at intervals while {@code active}. */
    void run(BooleanSupplier active) {
        while (active.getAsBoolean()) {
            audit();
            Threads.sleep(INTERVAL);
        }
        metrics.stateAudited(0, 0);
    }

    void audit() {
        List<UnsettledStart> starts = unheldStarts();
        List<JobId> jobs = missingJobs();
        metrics.stateAudited(starts.size(), jobs.size());
        if (!starts.isEmpty()) {
            UnsettledStart oldest = starts.getFirst();
            Events.warn(
                    "orders-unheld",
                    "orders",
                    starts.size(),
                    "job",
                    oldest.task().job(),
                    "task",
                    oldest.task().step() + "/" + oldest.task().index(),
                    "run",
                    oldest.run(),
                    "worker",
                    oldest.worker(),
                    "ageMs",
                    oldest.age().toMillis());
        }
        if (!jobs.isEmpty()) {
            Events.warn("jobs-missing", "jobs", jobs.size(), "job", jobs.getFirst());
        }
    }

    private List<UnsettledStart> unheldStarts() {
        List<UnsettledStart> unheld = scheduler.unsettledStarts(MIN_AGE).stream()
                .filter(start -> !isDelivered.test(start.task(), start.worker()))
                .toList();
        if (unheld.isEmpty()) {
            return unheld;
        }
        // A delivery settles its start before it ends, so a start that is still unsettled was not being delivered.
        List<UnsettledStart> unsettled = scheduler.unsettledStarts(MIN_AGE);
        return unheld.stream()
                .filter(start -> unsettled.stream().anyMatch(start::isSameRun))
                .toList();
    }

    private List<JobId> missingJobs() {
        long now = time.nanos();
        List<JobId> missing = replica.findAll(job -> !job.state().isFinal()).stream()
                .map(job -> job.spec().id())
                .filter(job -> !scheduler.knows(job))
                .toList();
        missingSince.keySet().retainAll(missing);
        missing.forEach(job -> missingSince.putIfAbsent(job, now));
        return missing.stream()
                .filter(job -> now - missingSince.get(job) >= MIN_AGE.toNanos())
                .toList();
    }
}
