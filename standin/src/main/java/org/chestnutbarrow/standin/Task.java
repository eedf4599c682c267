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
 * A task attempt on a worker. Immutable; all times are monotonic nanoseconds.
 *
 * @param runNanos total work, as run time without a CPU limit; 0 to run until stopped
 * @param workDoneNanos work completed as of {@code measuredAtNanos}
 * @param cpuPercent CPU limit in percent of the demanded CPU
 * @param failing whether the attempt fails after {@link #FAIL_AFTER_NANOS}
 */
record Task(
        String id,
        String workClass,
        int shard,
        Attempt attempt,
        Resources demand,
        long runNanos,
        long workDoneNanos,
        long measuredAtNanos,
        int cpuPercent,
        boolean failing,
        long leaseDurationNanos,
        long leaseExpiresAt,
        TaskState state,
        Optional<CheckpointId> checkpoint) {
    static final int FULL_PERCENT = 100;
    static final long FAIL_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    static Task start(Command.Start command, boolean failing, long now) {
        long leaseDuration = TimeUnit.MILLISECONDS.toNanos(command.leaseMs());
        return new Task(
                command.task(),
                command.workClass(),
                command.shard(),
                command.attempt(),
                command.demand(),
                TimeUnit.MILLISECONDS.toNanos(command.runMs()),
                command.resumeFrom() == null ? 0 : decodeWorkDone(command.task(), command.resumeFrom()),
                now,
                command.cpuShare(),
                failing,
                leaseDuration,
                now + leaseDuration,
                TaskState.RUNNING,
                Optional.empty());
    }

    boolean isRunning() {
        return state == TaskState.RUNNING;
    }

    long workDoneAt(long now) {
        return isRunning() ? workDoneNanos + (now - measuredAtNanos) * cpuPercent / FULL_PERCENT : workDoneNanos;
    }

    /** Fraction of the work completed, from 0 to 1; 0 for a task that runs until stopped. */
    double fractionDoneAt(long now) {
        return runNanos == 0 ? 0 : Math.min(1, (double) workDoneAt(now) / runNanos);
    }

    int milliCores() {
        return isRunning() ? (int) ((long) demand.milliCores() * cpuPercent / FULL_PERCENT) : 0;
    }

    /** Nanoseconds until a running task ends or lapses; zero or negative if that is already due. */
    long nanosUntilDue(long now) {
        return Math.min(nanosUntilEnd(now), leaseExpiresAt - now);
    }

    /**
     * Returns the state due at the given time, {@code RUNNING} if no change is due. Lease expiry takes precedence: an
     * attempt whose lease has lapsed must not complete.
     */
    TaskState stateDueAt(long now) {
        if (leaseExpiresAt - now <= 0) {
            return TaskState.LAPSED;
        }
        if (nanosUntilEnd(now) > 0) {
            return TaskState.RUNNING;
        }
        return failing ? TaskState.FAILED : TaskState.FINISHED;
    }

    Task withEnd(TaskState newState, long now) {
        boolean checkpointed = newState == TaskState.CHECKPOINTED;
        return copyWith(
                now,
                cpuPercent,
                leaseExpiresAt,
                newState,
                checkpointed ? Optional.of(checkpointAt(now)) : Optional.empty());
    }

    Task withCpuPercent(int newCpuPercent, long now) {
        return copyWith(now, newCpuPercent, leaseExpiresAt, state, checkpoint);
    }

    Task withRenewedLease(long now) {
        return copyWith(now, cpuPercent, now + leaseDurationNanos, state, checkpoint);
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
                isRunning() ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(leaseExpiresAt - now)) : 0);
    }

    private long nanosUntilEnd(long now) {
        if (failing) {
            return measuredAtNanos + FAIL_AFTER_NANOS - now;
        }
        // Round up, so that a timer with this delay does not fire before the work is complete.
        return runNanos == 0
                ? Long.MAX_VALUE
                : ((runNanos - workDoneAt(now)) * FULL_PERCENT + cpuPercent - 1) / cpuPercent;
    }

    private Task copyWith(
            long now,
            int newCpuPercent,
            long newLeaseExpiry,
            TaskState newState,
            Optional<CheckpointId> newCheckpoint) {
        // A failing task keeps its start time, since its failure time is relative to it.
        long measuredAt = failing && isRunning() && newState == TaskState.RUNNING ? measuredAtNanos : now;
        long workDone = measuredAt == now ? workDoneAt(now) : workDoneNanos;
        return new Task(
                id,
                workClass,
                shard,
                attempt,
                demand,
                runNanos,
                workDone,
                measuredAt,
                newCpuPercent,
                failing,
                leaseDurationNanos,
                newLeaseExpiry,
                newState,
                newCheckpoint);
    }

    /** Encodes the progress in the checkpoint id, so that a worker in another process can resume from it. */
    private CheckpointId checkpointAt(long now) {
        return new CheckpointId(String.format("%016x:%s:%d", Hashing.hash(id), attempt, workDoneAt(now)));
    }

    private static long decodeWorkDone(String task, String checkpoint) {
        String[] parts = checkpoint.split(":");
        boolean matches = parts.length == 3 && parts[0].equals(String.format("%016x", Hashing.hash(task)));
        Checks.require(matches, "checkpoint does not belong to task " + task);
        return Long.parseLong(parts[2]);
    }

    /** Representation of a task in the protocol. */
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
