package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TimeSource;

/**
 * Lease, tasks, fences and requests of a worker. Thread-safe; each worker has its own lock, which is never held across
 * I/O.
 *
 * <p>Invariants: at most one holder has the lease; epochs never decrease; the demand of the running tasks fits the
 * capacity; a task has at most one running attempt; an attempt runs at most once; due transitions are applied before a
 * command is executed. Epochs, fences and known attempts survive a crash, as if stored on disk; tasks do not.
 */
final class WorkerState {
    private final Resources capacity;
    private final TimeSource time;
    private final WakeUpTimer wakeUpTimer;
    private final IntSupplier openConnections;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Task> tasks = new TreeMap<>();
    private final Journal journal = new Journal();
    private final ServiceTimeWindow serviceTimeWindow = new ServiceTimeWindow();
    private final AttemptGuard guard = new AttemptGuard();
    private Optional<LeaseHolder> holder = Optional.empty();
    private boolean released;
    private boolean crashed;
    private long epoch;
    private long incarnation = 1;
    private boolean failTasks;
    private int requestsInFlight;
    private long requestCount;

    WorkerState(Resources capacity, TimeSource time, WakeUpTimer wakeUpTimer, IntSupplier openConnections) {
        this.capacity = capacity;
        this.time = time;
        this.wakeUpTimer = wakeUpTimer;
        this.openConnections = openConnections;
    }

    Reply apply(Command command) {
        lock.lock();
        try {
            if (crashed) {
                return new Reply.Rejected("down");
            }
            applyDueTransitions();
            Reply reply = switch (command) {
                case Command.Lease lease -> lease(lease);
                case Command.Release release -> release(release);
                case Command.Start start -> hasCurrentEpoch(start) ? start(start) : staleEpoch();
                case Command.AttemptCommand attemptCommand ->
                    hasCurrentEpoch(attemptCommand) ? applyToAttempt(attemptCommand) : staleEpoch();
                case Command.Fence fence -> hasCurrentEpoch(fence) ? fence(fence) : staleEpoch();
            };
            scheduleNextWakeUp();
            return reply;
        } finally {
            lock.unlock();
        }
    }

    /** Applies all due transitions and schedules the next wake-up. */
    void processDue() {
        lock.lock();
        try {
            applyDueTransitions();
            scheduleNextWakeUp();
        } finally {
            lock.unlock();
        }
    }

    /** Starts a request unless the worker has crashed or the request has an epoch other than the current one. */
    Optional<ActiveRequest> beginRequest(String requestId, String workClass, String path, Optional<Long> requestEpoch) {
        lock.lock();
        try {
            applyDueTransitions();
            if (crashed || (requestEpoch.isPresent() && requestEpoch.get() != epoch)) {
                return Optional.empty();
            }
            requestsInFlight++;
            requestCount++;
            long epochOrZero = requestEpoch.orElse(0L);
            journal.add(new Journal.RequestStart(
                    nowMs(), requestCount, requestId, workClass, path, epochOrZero, currentUse()));
            return Optional.of(
                    new ActiveRequest(requestCount, requestId, workClass, epochOrZero, time.nanos(), taskCpuLoad()));
        } finally {
            lock.unlock();
        }
    }

    void endRequest(ActiveRequest request, boolean served) {
        lock.lock();
        try {
            requestsInFlight--;
            serviceTimeWindow.add(time.nanos(), time.nanos() - request.startNanos());
            journal.add(new Journal.RequestEnd(
                    nowMs(),
                    request.number(),
                    request.requestId(),
                    request.workClass(),
                    request.epoch(),
                    served,
                    currentUse()));
        } finally {
            lock.unlock();
        }
    }

    UsageReport usage() {
        lock.lock();
        try {
            applyDueTransitions();
            long now = time.nanos();
            List<UsageReport.TaskUsage> taskUsages = new ArrayList<>();
            for (Task task : tasks.values()) {
                if (task.isRunning()) {
                    taskUsages.add(new UsageReport.TaskUsage(
                            task.id(),
                            task.workClass(),
                            task.milliCores(),
                            task.demand().memoryMiB(),
                            task.fractionDoneAt(now)));
                }
            }
            return new UsageReport(
                    nowMs(), taskUsages, new UsageReport.Requests(requestsInFlight, serviceTimeWindow.p99Micros(now)));
        } finally {
            lock.unlock();
        }
    }

    Journal.Page journal(long from) {
        lock.lock();
        try {
            return journal.pageFrom(from);
        } finally {
            lock.unlock();
        }
    }

    void setFailTasks(boolean on) {
        lock.lock();
        try {
            failTasks = on;
        } finally {
            lock.unlock();
        }
    }

    /** Terminates all tasks and the lease; rejects all commands until {@link #restart()}. */
    void crash() {
        lock.lock();
        try {
            applyDueTransitions();
            for (Task task : List.copyOf(tasks.values())) {
                tasks.remove(task.id());
                guard.recordAttempt(task.id(), task.attempt());
                if (task.isRunning()) {
                    recordEnd(task, "CRASHED");
                }
            }
            holder.ifPresent(last -> recordLease(last, Journal.LeaseChange.CRASHED));
            holder = Optional.empty();
            released = true;
            crashed = true;
            scheduleNextWakeUp();
        } finally {
            lock.unlock();
        }
    }

    /** Accepts commands again, as a new incarnation. */
    void restart() {
        lock.lock();
        try {
            incarnation++;
            crashed = false;
        } finally {
            lock.unlock();
        }
    }

    private Reply lease(Command.Lease command) {
        long now = time.nanos();
        long expiresAt = now + TimeUnit.MILLISECONDS.toNanos(command.ttlMs());
        boolean sameHolder = holder.isPresent() && holder.get().id().equals(command.holder());
        boolean renewal = command.epoch() != 0;
        if (renewal && (!sameHolder || !hasCurrentEpoch(command))) {
            return staleEpoch();
        }
        if (!sameHolder && holder.isPresent() && !holder.get().expired()) {
            LeaseHolder other = holder.get();
            return new Reply.LeaseHeld(other.id(), epoch, TimeUnit.NANOSECONDS.toMillis(other.expiresAt() - now));
        }
        // An expired lease that no other holder has acquired can be renewed under its own epoch. Acquiring it starts a
        // new epoch even for the same holder, so that a late release under the old epoch cannot release it.
        boolean leaseExpired = holder.isEmpty() || holder.get().expired();
        holder = Optional.of(new LeaseHolder(command.holder(), expiresAt, false));
        released = false;
        if (!renewal) {
            epoch++;
        }
        if (!renewal || leaseExpired) {
            recordLease(holder.get(), Journal.LeaseChange.GRANTED);
        }
        tasks.replaceAll((id, task) -> task.isRunning() ? task.withRenewedLease(now) : task);
        return new Reply.LeaseGranted(epoch, incarnation, views(task -> true), requestsInFlight);
    }

    private Reply release(Command.Release command) {
        boolean repeated = released && command.epoch() == epoch;
        if (!repeated && !hasCurrentEpoch(command)) {
            return staleEpoch();
        }
        if (!repeated) {
            if (!holder.get().id().equals(command.holder())) {
                return staleEpoch();
            }
            recordLease(holder.get(), Journal.LeaseChange.RELEASED);
            holder = Optional.empty();
            released = true;
        }
        return new Reply.LeaseReleased();
    }

    private Reply start(Command.Start command) {
        Task existing = tasks.get(command.task());
        if (existing != null && existing.attempt().equals(command.attempt())) {
            return new Reply.AttemptState(existing.view(time.nanos()));
        }
        boolean olderThanExisting = existing != null && command.attempt().compareTo(existing.attempt()) < 0;
        if (olderThanExisting || !guard.permits(command)) {
            return new Reply.Rejected("older-attempt");
        }
        Task started = Task.start(command, failTasks, time.nanos());
        Resources committed =
                existing != null && existing.isRunning() ? runningDemand().minus(existing.demand()) : runningDemand();
        if (!committed.plus(command.demand()).fitsIn(capacity)) {
            return new Reply.Rejected("no-room");
        }
        if (existing != null && existing.isRunning()) {
            endAttempt(existing, TaskState.STOPPED);
        }
        tasks.put(started.id(), started);
        journal.add(new Journal.TaskStart(
                nowMs(),
                started.id(),
                started.workClass(),
                started.shard(),
                started.attempt(),
                epoch,
                TimeUnit.NANOSECONDS.toMillis(started.workDoneNanos()),
                currentUse()));
        return new Reply.AttemptState(started.view(time.nanos()));
    }

    private Reply applyToAttempt(Command.AttemptCommand command) {
        Task task = tasks.get(command.task());
        if (task == null || !task.attempt().equals(command.attempt())) {
            // A delayed start of this attempt must not run after the stop command that overtook it.
            if (command instanceof Command.Stop && task == null) {
                guard.recordAttempt(command.task(), command.attempt());
            }
            return new Reply.UnknownAttempt();
        }
        if (command instanceof Command.Forget) {
            if (task.isRunning()) {
                return new Reply.Rejected("running");
            }
            tasks.remove(task.id());
            guard.recordAttempt(task.id(), task.attempt());
            return new Reply.AttemptState(task.view(time.nanos()));
        }
        Task changed = task.isRunning() ? applyToRunning(task, command) : task;
        return new Reply.AttemptState(changed.view(time.nanos()));
    }

    private Task applyToRunning(Task task, Command.AttemptCommand command) {
        return switch (command) {
            case Command.Stop stop -> endAttempt(task, TaskState.STOPPED);
            case Command.Checkpoint checkpoint -> endAttempt(task, TaskState.CHECKPOINTED);
            case Command.Throttle throttle -> {
                Task updated = task.withCpuPercent(throttle.percent(), time.nanos());
                tasks.put(task.id(), updated);
                yield updated;
            }
            case Command.Forget forget ->
                throw new IllegalStateException("forget must not be applied to a running attempt");
        };
    }

    private Reply fence(Command.Fence command) {
        if (!guard.raiseFence(command.shard(), command.shardEpoch())) {
            return new Reply.Rejected("older-fence");
        }
        return new Reply.ShardFenced(views(task -> task.shard() == command.shard()));
    }

    private boolean hasCurrentEpoch(Command command) {
        return command.epoch() == epoch && epoch > 0 && !released;
    }

    private Reply staleEpoch() {
        return new Reply.StaleEpoch(epoch);
    }

    private void applyDueTransitions() {
        long now = time.nanos();
        for (Task task : List.copyOf(tasks.values())) {
            if (task.isRunning() && task.stateDueAt(now).ended()) {
                endAttempt(task, task.stateDueAt(now));
            }
        }
        if (holder.isPresent() && !holder.get().expired() && holder.get().expiresAt() - now <= 0) {
            recordLease(holder.get(), Journal.LeaseChange.EXPIRED);
            holder = Optional.of(new LeaseHolder(holder.get().id(), holder.get().expiresAt(), true));
        }
    }

    private void scheduleNextWakeUp() {
        long now = time.nanos();
        long delayNanos = Long.MAX_VALUE;
        for (Task task : tasks.values()) {
            delayNanos = task.isRunning() ? Math.min(delayNanos, task.nanosUntilDue(now)) : delayNanos;
        }
        if (holder.isPresent() && !holder.get().expired()) {
            delayNanos = Math.min(delayNanos, holder.get().expiresAt() - now);
        }
        wakeUpTimer.scheduleWakeUp(
                delayNanos == Long.MAX_VALUE
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(Math.max(0, delayNanos))));
    }

    private Task endAttempt(Task task, TaskState state) {
        Task ended = task.withEnd(state, time.nanos());
        tasks.put(task.id(), ended);
        recordEnd(ended, state.name());
        return ended;
    }

    private void recordEnd(Task task, String state) {
        long doneMs = TimeUnit.NANOSECONDS.toMillis(task.workDoneAt(time.nanos()));
        journal.add(new Journal.TaskEnd(nowMs(), task.id(), task.attempt(), state, doneMs, currentUse()));
    }

    private void recordLease(LeaseHolder leaseHolder, Journal.LeaseChange change) {
        journal.add(new Journal.Lease(nowMs(), leaseHolder.id(), epoch, change));
    }

    private List<Task.View> views(Predicate<Task> filter) {
        long now = time.nanos();
        return tasks.values().stream()
                .filter(filter)
                .map(task -> task.view(now))
                .toList();
    }

    private Resources runningDemand() {
        Resources sum = Resources.NONE;
        for (Task task : tasks.values()) {
            sum = task.isRunning() ? sum.plus(task.demand()) : sum;
        }
        return sum;
    }

    private Journal.Use currentUse() {
        Resources requestDemand = new Resources(requestsInFlight, 0, 0, 0, 0);
        return new Journal.Use(
                requestsInFlight, openConnections.getAsInt(), runningDemand().plus(requestDemand));
    }

    /** Fraction of the CPU used by the running tasks, from 0 to 1. */
    private double taskCpuLoad() {
        long used = tasks.values().stream().mapToLong(Task::milliCores).sum();
        return capacity.milliCores() == 0 ? 0 : Math.min(1, (double) used / capacity.milliCores());
    }

    private long nowMs() {
        return time.now().toEpochMilli();
    }

    /** The last lease holder. An expired lease can still be renewed until another holder acquires it. */
    private record LeaseHolder(String id, long expiresAt, boolean expired) {}

    /** A request in progress; {@code load} is the fraction of the CPU used by tasks when it started. */
    record ActiveRequest(long number, String requestId, String workClass, long epoch, long startNanos, double load) {}

    /** Schedules a call of {@link #processDue()}; each call replaces the previous schedule. */
    @FunctionalInterface
    interface WakeUpTimer {
        void scheduleWakeUp(Optional<Duration> delay);
    }
}
