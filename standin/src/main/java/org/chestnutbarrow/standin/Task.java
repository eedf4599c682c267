package org.chestnutbarrow.standin;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskState;

/**
 * One attempt on a worker. Immutable; all times are monotonic nanoseconds.
 *
 * @param runNanos work to do at full processor time; 0 to run until stopped
 * @param doneNanos work done at {@code sinceNanos}
 * @param percent share of the demanded processor time that it may use
 * @param fails whether it ends as failed after {@link #FAIL_AFTER_NANOS}
 */
record Task(
        String id,
        String workClass,
        int shard,
        Attempt attempt,
        Resources demand,
        long runNanos,
        long doneNanos,
        long sinceNanos,
        int percent,
        boolean fails,
        long leaseNanos,
        long leaseUntil,
        TaskState state,
        Optional<CheckpointId> checkpoint) {
    static final int FULL_PERCENT = 100;
    static final long FAIL_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    static Task start(Command.Start command, boolean fails, long now) {
        long lease = TimeUnit.MILLISECONDS.toNanos(command.leaseMs());
        return new Task(
                command.task(),
                command.workClass(),
                command.shard(),
                command.attempt(),
                command.demand(),
                TimeUnit.MILLISECONDS.toNanos(command.runMs()),
                command.resumeFrom() == null ? 0 : progress(command.task(), command.resumeFrom()),
                now,
                command.cpuShare(),
                fails,
                lease,
                now + lease,
                TaskState.RUNNING,
                Optional.empty());
    }

    boolean running() {
        return state == TaskState.RUNNING;
    }

    long doneAt(long now) {
        return running() ? doneNanos + (now - sinceNanos) * percent / FULL_PERCENT : doneNanos;
    }

    /** Share of the work done, from 0 to 1; 0 for a task that runs until stopped. */
    double progressAt(long now) {
        return runNanos == 0 ? 0 : Math.min(1, (double) doneAt(now) / runNanos);
    }

    int milliCores() {
        return running() ? (int) ((long) demand.milliCores() * percent / FULL_PERCENT) : 0;
    }

    /** Nanoseconds until a running task ends or lapses, at most 0 if that is due. */
    long dueIn(long now) {
        return Math.min(endsIn(now), leaseUntil - now);
    }

    /** The state that is due now, {@code RUNNING} if none is. A lapse goes first: the attempt had no right to end. */
    TaskState dueState(long now) {
        if (leaseUntil - now <= 0) {
            return TaskState.LAPSED;
        }
        if (endsIn(now) > 0) {
            return TaskState.RUNNING;
        }
        return fails ? TaskState.FAILED : TaskState.FINISHED;
    }

    Task ended(TaskState end, long now) {
        boolean keeps = end == TaskState.CHECKPOINTED;
        return with(now, percent, leaseUntil, end, keeps ? Optional.of(checkpointAt(now)) : Optional.empty());
    }

    Task throttled(int newPercent, long now) {
        return with(now, newPercent, leaseUntil, state, checkpoint);
    }

    Task renewed(long now) {
        return with(now, percent, now + leaseNanos, state, checkpoint);
    }

    View view(long now) {
        return new View(
                id,
                workClass,
                shard,
                attempt,
                state,
                checkpoint.map(CheckpointId::value).orElse(null),
                demand,
                running() ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(leaseUntil - now)) : 0);
    }

    private long endsIn(long now) {
        if (fails) {
            return sinceNanos + FAIL_AFTER_NANOS - now;
        }
        // Rounds up, so that a timer set to this value does not wake before the work is done.
        return runNanos == 0 ? Long.MAX_VALUE : ((runNanos - doneAt(now)) * FULL_PERCENT + percent - 1) / percent;
    }

    private Task with(long now, int newPercent, long until, TaskState end, Optional<CheckpointId> kept) {
        // A failing task keeps its start time, as its end is counted from there.
        long since = fails && running() && end == TaskState.RUNNING ? sinceNanos : now;
        long done = since == now ? doneAt(now) : doneNanos;
        return new Task(
                id,
                workClass,
                shard,
                attempt,
                demand,
                runNanos,
                done,
                since,
                newPercent,
                fails,
                leaseNanos,
                until,
                end,
                kept);
    }

    /** The id holds the progress itself, so that a worker of another process can resume from it. */
    private CheckpointId checkpointAt(long now) {
        return new CheckpointId(String.format("%016x:%s:%d", Hashing.hash(id), attempt, doneAt(now)));
    }

    private static long progress(String task, String checkpoint) {
        String[] parts = checkpoint.split(":");
        boolean own = parts.length == 3 && parts[0].equals(String.format("%016x", Hashing.hash(task)));
        Checks.require(own, "the checkpoint is not one of task " + task);
        return Long.parseLong(parts[2]);
    }

    /** TASK of the protocol. */
    record View(
            String task,
            String workClass,
            int shard,
            Attempt attempt,
            TaskState state,
            String checkpoint,
            Resources demand,
            long leaseRemainingMs) {}
}
