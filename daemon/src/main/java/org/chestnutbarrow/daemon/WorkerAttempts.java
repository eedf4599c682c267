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

/** What the holder of a worker knows of its attempts. All access is within {@link #exclusively}. */
final class WorkerAttempts {
    /** Refused and forgotten attempts that are remembered, so that a late duplicate of a start is refused. */
    private static final int SETTLED = 4_096;

    /** Time after which an ended attempt is reported again until it is forgotten. */
    private static final long REPORT_AGAIN = Duration.ofSeconds(3).toNanos();

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Map<TaskId, Known> known = new HashMap<>();
    private final Set<Key> uncertain = new HashSet<>();
    private final Map<Key, Boolean> settled = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Boolean> eldest) {
            return size() > SETTLED;
        }
    };

    WorkerAttempts(TimeSource time) {
        this.time = time;
    }

    private record Key(TaskId task, Attempt attempt) {}

    private record Known(TaskStatus status, long learnt) {}

    /** Runs an action, one at a time. */
    <T> T exclusively(Function<WorkerAttempts, T> action) {
        lock.lock();
        try {
            return action.apply(this);
        } finally {
            lock.unlock();
        }
    }

    Optional<TaskStatus> status(TaskId task, Attempt attempt) {
        return Optional.ofNullable(known.get(task))
                .map(Known::status)
                .filter(status -> status.attempt().equals(attempt));
    }

    List<TaskStatus> running() {
        return known.values().stream()
                .map(Known::status)
                .filter(status -> !status.state().ended())
                .toList();
    }

    void put(TaskStatus status) {
        known.put(status.task(), new Known(status, time.nanos()));
        uncertain.remove(new Key(status.task(), status.attempt()));
    }

    boolean uncertain(TaskId task, Attempt attempt) {
        return uncertain.contains(new Key(task, attempt));
    }

    void markUncertain(TaskId task, Attempt attempt) {
        uncertain.add(new Key(task, attempt));
    }

    boolean settled(TaskId task, Attempt attempt) {
        return settled.containsKey(new Key(task, attempt));
    }

    /** Remembers that the attempt is not at the worker and must not start there any more. */
    void settle(TaskId task, Attempt attempt) {
        Key key = new Key(task, attempt);
        uncertain.remove(key);
        settled.put(key, true);
        status(task, attempt).ifPresent(status -> known.remove(task));
    }

    /**
     * Takes the worker's complete list; returns the states to report.
     *
     * @param asked when the list was asked for; what was learnt later is newer than the list
     */
    List<TaskStatus> merge(List<TaskStatus> tasks, long asked) {
        List<TaskStatus> news = new ArrayList<>();
        Set<TaskId> listed = new HashSet<>();
        long now = time.nanos();
        for (TaskStatus status : tasks) {
            listed.add(status.task());
            Known before = known.get(status.task());
            boolean newer = before == null || before.learnt() - asked < 0;
            boolean same = before != null
                    && before.status().attempt().equals(status.attempt())
                    && before.status().state() == status.state();
            boolean due = same && status.state().ended() && now - before.learnt() >= REPORT_AGAIN;
            if (newer && (!same || due) && !settled(status.task(), status.attempt())) {
                put(status);
                news.add(status);
            }
        }
        for (Known gone : List.copyOf(known.values())) {
            TaskStatus status = gone.status();
            boolean due = !status.state().ended()
                    || (status.state() == TaskState.LAPSED && now - gone.learnt() >= REPORT_AGAIN);
            if (!listed.contains(status.task()) && gone.learnt() - asked < 0) {
                if (due) {
                    // Kept until it is forgotten, since a report may be lost.
                    put(lapsed(status));
                    news.add(lapsed(status));
                } else if (status.state() != TaskState.LAPSED) {
                    known.remove(status.task());
                }
            }
        }
        return news;
    }

    /** The worker no longer lists a running attempt: it restarted and lost it. */
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
