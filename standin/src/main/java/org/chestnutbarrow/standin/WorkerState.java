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
 * Lease, tasks, fences and requests of one worker. Safe for use by several threads; each worker has its own lock, which
 * is never held across I/O.
 *
 * <p>Invariants: at most one holder has the lease; epochs grow; the demand of the running tasks fits the capacity; a task
 * has at most one running attempt; an attempt runs at most once; whatever is due by time is done before a command.
 * Epochs, fences and attempts seen survive a crash, as if on the host's disk; tasks do not.
 */
final class WorkerState {
    private final Resources capacity;
    private final TimeSource time;
    private final Alarm alarm;
    private final IntSupplier connections;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Task> tasks = new TreeMap<>();
    private final Journal journal = new Journal();
    private final RequestTimes requestTimes = new RequestTimes();
    private final AttemptGuard guard = new AttemptGuard();
    private Optional<Holder> holder = Optional.empty();
    private boolean released;
    private boolean down;
    private long epoch;
    private long incarnation = 1;
    private boolean failsTasks;
    private int inFlight;
    private long requests;

    WorkerState(Resources capacity, TimeSource time, Alarm alarm, IntSupplier connections) {
        this.capacity = capacity;
        this.time = time;
        this.alarm = alarm;
        this.connections = connections;
    }

    Reply apply(Command command) {
        lock.lock();
        try {
            if (down) {
                return new Reply.Refused("down");
            }
            settle();
            Reply reply = switch (command) {
                case Command.Lease lease -> lease(lease);
                case Command.Release release -> release(release);
                case Command.Start start -> current(start) ? start(start) : stale();
                case Command.ForTask forTask -> current(forTask) ? forTask(forTask) : stale();
                case Command.Fence fence -> current(fence) ? fence(fence) : stale();
            };
            setAlarm();
            return reply;
        } finally {
            lock.unlock();
        }
    }

    /** Does what is due by time. */
    void wake() {
        lock.lock();
        try {
            settle();
            setAlarm();
        } finally {
            lock.unlock();
        }
    }

    /** Begins to serve a request, if its epoch is the newest or it has none. */
    Optional<Served> begin(String requestId, String workClass, String path, Optional<Long> requestEpoch) {
        lock.lock();
        try {
            settle();
            if (down || (requestEpoch.isPresent() && requestEpoch.get() != epoch)) {
                return Optional.empty();
            }
            inFlight++;
            requests++;
            long under = requestEpoch.orElse(0L);
            journal.add(new Journal.RequestStart(nowMs(), requests, requestId, workClass, path, under, use()));
            return Optional.of(new Served(requests, requestId, workClass, under, time.nanos(), load()));
        } finally {
            lock.unlock();
        }
    }

    void end(Served request, boolean served) {
        lock.lock();
        try {
            inFlight--;
            requestTimes.add(time.nanos(), time.nanos() - request.startNanos());
            journal.add(new Journal.RequestEnd(
                    nowMs(),
                    request.number(),
                    request.requestId(),
                    request.workClass(),
                    request.epoch(),
                    served,
                    use()));
        } finally {
            lock.unlock();
        }
    }

    UsageReport usage() {
        lock.lock();
        try {
            settle();
            long now = time.nanos();
            List<UsageReport.TaskUsage> list = new ArrayList<>();
            for (Task task : tasks.values()) {
                if (task.running()) {
                    list.add(new UsageReport.TaskUsage(
                            task.id(),
                            task.workClass(),
                            task.milliCores(),
                            task.demand().memoryMiB(),
                            task.progressAt(now)));
                }
            }
            return new UsageReport(nowMs(), list, new UsageReport.Requests(inFlight, requestTimes.p99Micros(now)));
        } finally {
            lock.unlock();
        }
    }

    Journal.Page journal(long from) {
        lock.lock();
        try {
            return journal.from(from);
        } finally {
            lock.unlock();
        }
    }

    void setFailsTasks(boolean on) {
        lock.lock();
        try {
            failsTasks = on;
        } finally {
            lock.unlock();
        }
    }

    /** Ends all tasks and the lease and takes no command until {@link #restart()}. */
    void crash() {
        lock.lock();
        try {
            settle();
            for (Task task : List.copyOf(tasks.values())) {
                tasks.remove(task.id());
                guard.remember(task.id(), task.attempt());
                if (task.running()) {
                    recordEnd(task, "CRASHED");
                }
            }
            holder.ifPresent(last -> recordLease(last, Journal.LeaseChange.CRASHED));
            holder = Optional.empty();
            released = true;
            down = true;
            setAlarm();
        } finally {
            lock.unlock();
        }
    }

    /** Takes commands again, as a new incarnation. */
    void restart() {
        lock.lock();
        try {
            incarnation++;
            down = false;
        } finally {
            lock.unlock();
        }
    }

    private Reply lease(Command.Lease command) {
        long now = time.nanos();
        long until = now + TimeUnit.MILLISECONDS.toNanos(command.ttlMs());
        boolean same = holder.isPresent() && holder.get().id().equals(command.holder());
        boolean renewal = command.epoch() != 0;
        if (renewal && (!same || !current(command))) {
            return stale();
        }
        if (!same && holder.isPresent() && !holder.get().expired()) {
            Holder other = holder.get();
            return new Reply.Held(other.id(), epoch, TimeUnit.NANOSECONDS.toMillis(other.until() - now));
        }
        // An expired lease that nobody else took may be renewed under its own epoch. Taking it makes a new epoch even
        // for
        // the same holder, so that a late release under the old epoch cannot free it.
        boolean lapsed = holder.isEmpty() || holder.get().expired();
        holder = Optional.of(new Holder(command.holder(), until, false));
        released = false;
        if (!renewal) {
            epoch++;
        }
        if (!renewal || lapsed) {
            recordLease(holder.get(), Journal.LeaseChange.GRANTED);
        }
        tasks.replaceAll((id, task) -> task.running() ? task.renewed(now) : task);
        return new Reply.Granted(epoch, incarnation, views(task -> true), inFlight);
    }

    private Reply release(Command.Release command) {
        boolean repeated = released && command.epoch() == epoch;
        if (!repeated && !current(command)) {
            return stale();
        }
        if (!repeated) {
            if (!holder.get().id().equals(command.holder())) {
                return stale();
            }
            recordLease(holder.get(), Journal.LeaseChange.RELEASED);
            holder = Optional.empty();
            released = true;
        }
        return new Reply.Released();
    }

    private Reply start(Command.Start command) {
        Task known = tasks.get(command.task());
        if (known != null && known.attempt().equals(command.attempt())) {
            return new Reply.Done(known.view(time.nanos()));
        }
        boolean older = known != null && command.attempt().compareTo(known.attempt()) < 0;
        if (older || !guard.allows(command)) {
            return new Reply.Refused("older-attempt");
        }
        Task started = Task.start(command, failsTasks, time.nanos());
        Resources taken = known != null && known.running() ? inUse().minus(known.demand()) : inUse();
        if (!taken.plus(command.demand()).fitsIn(capacity)) {
            return new Reply.Refused("no-room");
        }
        if (known != null && known.running()) {
            finish(known, TaskState.STOPPED);
        }
        tasks.put(started.id(), started);
        journal.add(new Journal.TaskStart(
                nowMs(),
                started.id(),
                started.workClass(),
                started.shard(),
                started.attempt(),
                epoch,
                TimeUnit.NANOSECONDS.toMillis(started.doneNanos()),
                use()));
        return new Reply.Done(started.view(time.nanos()));
    }

    private Reply forTask(Command.ForTask command) {
        Task task = tasks.get(command.task());
        if (task == null || !task.attempt().equals(command.attempt())) {
            // A start of this attempt that is still under way must not run after the command that was to end it.
            if (command instanceof Command.Stop && task == null) {
                guard.remember(command.task(), command.attempt());
            }
            return new Reply.UnknownAttempt();
        }
        if (command instanceof Command.Forget) {
            if (task.running()) {
                return new Reply.Refused("running");
            }
            tasks.remove(task.id());
            guard.remember(task.id(), task.attempt());
            return new Reply.Done(task.view(time.nanos()));
        }
        Task changed = task.running() ? change(task, command) : task;
        return new Reply.Done(changed.view(time.nanos()));
    }

    private Task change(Task task, Command.ForTask command) {
        return switch (command) {
            case Command.Stop stop -> finish(task, TaskState.STOPPED);
            case Command.Checkpoint checkpoint -> finish(task, TaskState.CHECKPOINTED);
            case Command.Throttle throttle -> {
                Task slower = task.throttled(throttle.percent(), time.nanos());
                tasks.put(task.id(), slower);
                yield slower;
            }
            case Command.Forget forget -> throw new IllegalStateException("a running attempt is not forgotten");
        };
    }

    private Reply fence(Command.Fence command) {
        if (!guard.fence(command.shard(), command.shardEpoch())) {
            return new Reply.Refused("older-fence");
        }
        return new Reply.Fenced(views(task -> task.shard() == command.shard()));
    }

    private boolean current(Command command) {
        return command.epoch() == epoch && epoch > 0 && !released;
    }

    private Reply stale() {
        return new Reply.StaleEpoch(epoch);
    }

    private void settle() {
        long now = time.nanos();
        for (Task task : List.copyOf(tasks.values())) {
            if (task.running() && task.dueState(now).ended()) {
                finish(task, task.dueState(now));
            }
        }
        if (holder.isPresent() && !holder.get().expired() && holder.get().until() - now <= 0) {
            recordLease(holder.get(), Journal.LeaseChange.EXPIRED);
            holder = Optional.of(new Holder(holder.get().id(), holder.get().until(), true));
        }
    }

    private void setAlarm() {
        long now = time.nanos();
        long due = Long.MAX_VALUE;
        for (Task task : tasks.values()) {
            due = task.running() ? Math.min(due, task.dueIn(now)) : due;
        }
        if (holder.isPresent() && !holder.get().expired()) {
            due = Math.min(due, holder.get().until() - now);
        }
        alarm.wakeIn(due == Long.MAX_VALUE ? Optional.empty() : Optional.of(Duration.ofNanos(Math.max(0, due))));
    }

    private Task finish(Task task, TaskState state) {
        Task ended = task.ended(state, time.nanos());
        tasks.put(task.id(), ended);
        recordEnd(ended, state.name());
        return ended;
    }

    private void recordEnd(Task task, String state) {
        long doneMs = TimeUnit.NANOSECONDS.toMillis(task.doneAt(time.nanos()));
        journal.add(new Journal.TaskEnd(nowMs(), task.id(), task.attempt(), state, doneMs, use()));
    }

    private void recordLease(Holder of, Journal.LeaseChange change) {
        journal.add(new Journal.Lease(nowMs(), of.id(), epoch, change));
    }

    private List<Task.View> views(Predicate<Task> which) {
        long now = time.nanos();
        return tasks.values().stream().filter(which).map(task -> task.view(now)).toList();
    }

    private Resources inUse() {
        Resources sum = Resources.NONE;
        for (Task task : tasks.values()) {
            sum = task.running() ? sum.plus(task.demand()) : sum;
        }
        return sum;
    }

    private Journal.Use use() {
        Resources requestDemand = new Resources(inFlight, 0, 0, 0, 0);
        return new Journal.Use(inFlight, connections.getAsInt(), inUse().plus(requestDemand));
    }

    /** Share of the processor time that the running tasks take, from 0 to 1. */
    private double load() {
        long used = tasks.values().stream().mapToLong(Task::milliCores).sum();
        return capacity.milliCores() == 0 ? 0 : Math.min(1, (double) used / capacity.milliCores());
    }

    private long nowMs() {
        return time.now().toEpochMilli();
    }

    /** The last holder; {@code expired} once its time has passed, after which it may renew until another takes over. */
    private record Holder(String id, long until, boolean expired) {}

    /** A request that is being served; {@code load} is the processor share of the tasks at its start. */
    record Served(long number, String requestId, String workClass, long epoch, long startNanos, double load) {}

    /** Calls {@link #wake()} after a time; each call replaces the last one. */
    @FunctionalInterface
    interface Alarm {
        void wakeIn(Optional<Duration> delay);
    }
}
