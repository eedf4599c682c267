package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Drops the records of jobs that ended long ago, so that the store and the first read of a node do not grow without
 * bound. One thread sweeps, another takes the entries that are due; safe for these two.
 *
 * <p>Invariant: the progress of a job is dropped only after the job itself has been for {@link #GAP}, because a job
 * without progress would run again.
 */
final class EndedJobs {
    /** Callers may ask for a job until 120 s after its end; the rest allows for the time until the end was shown. */
    static final Duration KEPT = Duration.ofSeconds(150);
    /** Far longer than a takeover, which reads jobs and progress a few seconds apart at most. */
    static final Duration GAP = Duration.ofSeconds(30);

    private static final Duration INTERVAL = Duration.ofSeconds(10);
    private static final String WRITER = "ended-jobs";
    /** Jobs of one append. */
    private static final int MOST_JOBS = 200;

    private final JobReplica replica;
    private final TimeSource time;
    private final SequencedWriter writer;
    /** When a sweep first saw that a job had ended, ns; used by the thread that sweeps. */
    private final Map<JobId, Long> seen = new HashMap<>();
    /** When a job was dropped, ns; used by the thread that sweeps. */
    private final Map<JobId, Long> dropped = new HashMap<>();
    /** Jobs whose progress may be dropped. */
    private final Set<JobId> due = ConcurrentHashMap.newKeySet();

    EndedJobs(StateStore store, JobReplica replica, TimeSource time, long epoch) {
        this.replica = replica;
        this.time = time;
        this.writer = new SequencedWriter(store, StateStore.Topic.JOBS, WRITER, epoch);
    }

    /** Sweeps now and then for as long as {@code go} holds. */
    void run(BooleanSupplier go) {
        while (go.getAsBoolean()) {
            Pauses.sleep(INTERVAL);
            sweep(go);
        }
    }

    /** Drops the jobs whose time is over. */
    void sweep(BooleanSupplier go) {
        Set<JobId> ended = replica.settledJobs();
        seen.keySet().retainAll(ended);
        dropped.keySet().retainAll(ended);
        long now = time.nanos();
        ended.forEach(id -> seen.putIfAbsent(id, now));
        List<JobId> over = ended.stream()
                .filter(id -> !dropped.containsKey(id) && now - seen.get(id) >= KEPT.toNanos())
                .toList();
        try {
            for (int i = 0; i < over.size(); i += MOST_JOBS) {
                drop(over.subList(i, Math.min(over.size(), i + MOST_JOBS)), go);
            }
        } catch (NotRunException | OutcomeUnknownException | StaleEpochException e) {
            Events.warn("ended-jobs-kept", "jobs", over.size(), "cause", e.getMessage());
        }
        dropped.forEach((id, at) -> {
            if (now - at >= GAP.toNanos()) {
                due.add(id);
            }
        });
    }

    private void drop(List<JobId> jobs, BooleanSupplier go)
            throws NotRunException, OutcomeUnknownException, StaleEpochException {
        writer.append(
                jobs.stream()
                        .flatMap(id -> JobReplica.removalEntries(id).stream())
                        .toList(),
                go);
        long now = time.nanos();
        jobs.forEach(id -> dropped.put(id, now));
        Events.info("ended-jobs-dropped", "jobs", jobs.size());
    }

    /** Entries that drop progress, to be stored under the owner's epoch. */
    List<StateStore.Entry> takeDue() {
        List<StateStore.Entry> entries = new ArrayList<>();
        for (JobId id : List.copyOf(due)) {
            due.remove(id);
            entries.add(new StateStore.Entry(id.value(), Optional.empty()));
        }
        return entries;
    }
}
