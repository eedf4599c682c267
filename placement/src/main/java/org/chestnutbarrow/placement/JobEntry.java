package org.chestnutbarrow.placement;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;

/** A job and its tasks. Not safe for use by several threads; guarded by its shard's lock. */
final class JobEntry {
    private static final int HISTORY = 32;

    final Job job;
    final Group group;
    final BitSet finished;
    final Ranges waiting = new Ranges();
    final Map<Integer, TaskEntry> tasks = new HashMap<>();
    final Spread spread = new Spread();
    final Set<WorkerId> failedOn = new HashSet<>();
    final ArrayDeque<String> decisions = new ArrayDeque<>();
    boolean cancelled;
    int active;
    int holds;
    /** Whether it is held after failures; while {@code holdUntil} has passed, one task is tried. */
    boolean held;

    long holdUntil;
    String reason = "";
    boolean unplaceable;
    /** Position in the ready queue; null if it is not queued. */
    ReadyQueue.Key key;

    JobEntry(LoggedJob logged) {
        job = logged.job();
        group = new Group(job.team(), job.demand(), job.finishBy().isEmpty());
        finished = logged.finished();
        cancelled = logged.cancelled();
        for (TaskEnd end : logged.ends()) {
            if (!finished.get(end.task().index())) {
                TaskEntry entry = task(end.task().index());
                entry.attempt = end.attempt();
                entry.keepCheckpoint(end.attempt(), end.checkpoint());
            }
        }
        for (int from = finished.nextClearBit(0); from < job.tasks() && !cancelled; ) {
            int set = finished.nextSetBit(from);
            int to = set < 0 ? job.tasks() : Math.min(set, job.tasks());
            waiting.addAll(from, to);
            from = finished.nextClearBit(to);
        }
    }

    /** Jobs of a group are alike to quotas and fit: if one cannot be placed, none can. */
    record Group(String team, Resources demand, boolean alwaysOn) {}

    TaskEntry task(int index) {
        return tasks.computeIfAbsent(index, i -> new TaskEntry(this, new TaskId(job.id(), i)));
    }

    /** Whether nothing is left to do for it, not even to log. */
    boolean complete() {
        return cancelled ? tasks.isEmpty() : finished.cardinality() == job.tasks();
    }

    /** The latest time to start what is left, given an estimate of a task's run time. */
    ReadyQueue.Key key(double estimateNanos) {
        double rounds = 1 + (double) waiting.size() / Math.max(1, active);
        long start = job.finishBy()
                .map(by -> by.toEpochMilli() - (long) (rounds * estimateNanos / 1e6))
                .orElse(0L);
        return new ReadyQueue.Key(job.finishBy().isPresent(), start, job.id());
    }

    void note(Instant now, String decision) {
        decisions.addLast(now + " " + decision);
        if (decisions.size() > HISTORY) {
            decisions.removeFirst();
        }
    }

    JobExplanation explain(boolean open) {
        String state = cancelled ? "cancelled" : held ? "held: " + reason : unplaceable ? "unplaceable: " + reason : "";
        if (state.isEmpty()) {
            state = !open
                    ? "fencing: earlier attempts are being looked for"
                    : waiting.size() > 0 ? "waiting" : "running";
            state += open && waiting.size() > 0 && !reason.isEmpty() ? ": " + reason : "";
        }
        List<String> lines =
                tasks.values().stream().limit(1000).map(TaskEntry::toString).toList();
        return new JobExplanation(job.id(), state, waiting.toString(), lines, List.copyOf(decisions));
    }
}
