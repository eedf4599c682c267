package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.TimeSource;

/**
 * Known state of the task attempts on one worker, kept by the daemon that holds its lease. Thread-safe if all access
 * goes through {@link #withLock}.
 */
final class WorkerAttempts {
    /** Maximum number of remembered refused and forgotten attempts, whose delayed duplicate starts are refused. */
    private static final int MAX_SETTLED = 4_096;

    /** Interval at which an ended attempt is reported again until the owner of its shard has it forgotten. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Map<TaskId, KnownAttempt> known = new HashMap<>();
    private final Set<AttemptKey> uncertain = new HashSet<>();
    private final Map<AttemptKey, Boolean> settled = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptKey, Boolean> eldest) {
            return size() > MAX_SETTLED;
        }
    };

    WorkerAttempts(TimeSource time) {
        this.time = time;
    }

    private record AttemptKey(TaskId task, Attempt attempt) {}

    private record KnownAttempt(TaskStatus status, long learnedAt) {}

    /** Runs an action while holding the lock. */
    <T> T withLock(Function<WorkerAttempts, T> action) {
        lock.lock();
        try {
            return action.apply(this);
        } finally {
            lock.unlock();
        }
    }

    Optional<TaskStatus> status(TaskId task, Attempt attempt) {
        return Optional.ofNullable(known.get(task))
                .map(KnownAttempt::status)
                .filter(status -> status.attempt().equals(attempt));
    }

    List<TaskStatus> running() {
        return known.values().stream()
                .map(KnownAttempt::status)
                .filter(status -> !status.state().ended())
                .toList();
    }

    void put(TaskStatus status) {
        known.put(status.task(), new KnownAttempt(status, time.nanos()));
        uncertain.remove(new AttemptKey(status.task(), status.attempt()));
    }

    boolean isUncertain(TaskId task, Attempt attempt) {
        return uncertain.contains(new AttemptKey(task, attempt));
    }

    void markUncertain(TaskId task, Attempt attempt) {
        uncertain.add(new AttemptKey(task, attempt));
    }

    boolean isSettled(TaskId task, Attempt attempt) {
        return settled.containsKey(new AttemptKey(task, attempt));
    }

    /** Marks an attempt as refused or forgotten: it is not on the worker and must not start there any more. */
    void settle(TaskId task, Attempt attempt) {
        AttemptKey key = new AttemptKey(task, attempt);
        uncertain.remove(key);
        settled.put(key, true);
        status(task, attempt).ifPresent(status -> known.remove(task));
    }

    /**
     * Merges the worker's complete list of attempts.
     *
     * <p>A running attempt that is missing from the list has lapsed. Ended and lapsed attempts are reported again after
     * {@link #REPORT_INTERVAL_NANOS}.
     *
     * @param requestedAt monotonic time at which the list was requested; statuses learned later are newer than the list
     * @return statuses to report to the owners of their shards
     */
    List<TaskStatus> merge(List<TaskStatus> tasks, long requestedAt) {
        List<TaskStatus> changed = new ArrayList<>();
        Set<TaskId> listed = new HashSet<>();
        long now = time.nanos();
        for (TaskStatus status : tasks) {
            listed.add(status.task());
            KnownAttempt previous = known.get(status.task());
            boolean newer = previous == null || previous.learnedAt() - requestedAt < 0;
            boolean unchanged = previous != null
                    && previous.status().attempt().equals(status.attempt())
                    && previous.status().state() == status.state();
            boolean reportDue =
                    unchanged && status.state().ended() && now - previous.learnedAt() >= REPORT_INTERVAL_NANOS;
            if (newer && (!unchanged || reportDue) && !isSettled(status.task(), status.attempt())) {
                put(status);
                changed.add(status);
            }
        }
        for (KnownAttempt attempt : List.copyOf(known.values())) {
            TaskStatus status = attempt.status();
            boolean reportDue = !status.state().ended()
                    || (status.state() == TaskState.LAPSED && now - attempt.learnedAt() >= REPORT_INTERVAL_NANOS);
            if (!listed.contains(status.task()) && attempt.learnedAt() - requestedAt < 0) {
                if (reportDue) {
                    // Stays known until the owner has it forgotten, since the report may be lost.
                    put(lapsed(status));
                    changed.add(lapsed(status));
                } else if (status.state() != TaskState.LAPSED) {
                    known.remove(status.task());
                }
            }
        }
        return changed;
    }

    /** Returns the status of a running attempt that the worker no longer lists because it restarted. */
    private static TaskStatus lapsed(TaskStatus status) {
        return new TaskStatus(
                status.task(),
                status.workClass(),
                status.shard(),
                status.attempt(),
                TaskState.LAPSED,
                status.checkpoint(),
                status.demand(),
                Duration.ZERO);
    }
}
