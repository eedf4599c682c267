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

/** The scheduling state of a job and its tasks. Not safe for use by several threads; guarded by its shard's lock. */
final class JobEntry {
    private static final int MAX_DECISIONS = 32;

    final Job job;
    final EquivalenceClass equivalenceClass;
    final BitSet finishedTasks;
    final IntRangeSet waitingTasks = new IntRangeSet();
    final Map<Integer, TaskEntry> tasks = new HashMap<>();
    final TopologySpread spread = new TopologySpread();
    final Set<WorkerId> failedWorkers = new HashSet<>();
    final ArrayDeque<String> decisions = new ArrayDeque<>();
    boolean cancelled;
    int activeTasks;
    int holdCount;
    /** Whether the job is held back after failures; once {@code holdUntil} has passed, one task is tried at a time. */
    boolean held;

    long holdUntil;
    String reason = "";
    boolean unplaceable;
    /** Position in the ready queue; null if the job is not queued. */
    ReadyQueue.QueueKey queueKey;

    JobEntry(LoggedJob logged) {
        job = logged.job();
        equivalenceClass =
                new EquivalenceClass(job.team(), job.demand(), job.finishBy().isEmpty());
        finishedTasks = logged.finished();
        cancelled = logged.cancelled();
        for (TaskEnd end : logged.ends()) {
            if (!finishedTasks.get(end.task().index())) {
                TaskEntry entry = task(end.task().index());
                entry.attempt = end.attempt();
                entry.keepCheckpoint(end.attempt(), end.checkpoint());
            }
        }
        for (int start = finishedTasks.nextClearBit(0); start < job.tasks() && !cancelled; ) {
            int nextFinished = finishedTasks.nextSetBit(start);
            int limit = nextFinished < 0 ? job.tasks() : Math.min(nextFinished, job.tasks());
            waitingTasks.addRange(start, limit);
            start = finishedTasks.nextClearBit(limit);
        }
    }

    /** Jobs with the same team and demand, all always-on or all not: if one of them cannot be placed, none can. */
    record EquivalenceClass(String team, Resources demand, boolean alwaysOn) {}

    TaskEntry task(int index) {
        return tasks.computeIfAbsent(index, i -> new TaskEntry(this, new TaskId(job.id(), i)));
    }

    /** Whether nothing is left to do for the job, including appends to the log. */
    boolean complete() {
        return cancelled ? tasks.isEmpty() : finishedTasks.cardinality() == job.tasks();
    }

    /** Computes the queue position from the latest start that still meets the deadline, by the estimated run time. */
    ReadyQueue.QueueKey computeQueueKey(double estimateNanos) {
        double remainingRounds = 1 + (double) waitingTasks.size() / Math.max(1, activeTasks);
        long latestStart = job.finishBy()
                .map(finishBy -> finishBy.toEpochMilli() - (long) (remainingRounds * estimateNanos / 1e6))
                .orElse(0L);
        return new ReadyQueue.QueueKey(job.finishBy().isPresent(), latestStart, job.id());
    }

    void recordDecision(Instant now, String decision) {
        decisions.addLast(now + " " + decision);
        if (decisions.size() > MAX_DECISIONS) {
            decisions.removeFirst();
        }
    }

    JobExplanation explain(boolean acceptsStarts) {
        String state = cancelled ? "cancelled" : held ? "held: " + reason : unplaceable ? "unplaceable: " + reason : "";
        if (state.isEmpty()) {
            state = !acceptsStarts
                    ? "fencing: waiting for the lists of earlier attempts"
                    : waitingTasks.size() > 0 ? "waiting" : "running";
            state += acceptsStarts && waitingTasks.size() > 0 && !reason.isEmpty() ? ": " + reason : "";
        }
        List<String> taskLines =
                tasks.values().stream().limit(1000).map(TaskEntry::toString).toList();
        return new JobExplanation(job.id(), state, waitingTasks.toString(), taskLines, List.copyOf(decisions));
    }
}
