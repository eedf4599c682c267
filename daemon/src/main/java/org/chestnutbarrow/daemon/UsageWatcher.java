package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.interference.InterferenceController;
import org.chestnutbarrow.interference.Mitigation;
import org.chestnutbarrow.interference.TaskLoad;
import org.chestnutbarrow.interference.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.PeriodicTask;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.SchedulerException;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.ports.WorkerControl;

/** Fetches the late usage reports of held workers and carries out what {@link InterferenceController} decides. */
final class UsageWatcher implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final CapacityLedger accounts;
    private final WorkerControl control;
    private final WorkerTasks tasks;
    private final InterferenceController interference;
    private final Supplier<Configuration> configuration;
    private final Metrics metrics;
    private final Set<WorkerId> underWay = ConcurrentHashMap.newKeySet();
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private Set<WorkerId> watched = Set.of();
    private volatile PeriodicTask timer;

    UsageWatcher(
            CapacityLedger accounts,
            WorkerControl control,
            WorkerTasks tasks,
            InterferenceController interference,
            Supplier<Configuration> configuration,
            Metrics metrics) {
        this.accounts = accounts;
        this.control = control;
        this.tasks = tasks;
        this.interference = interference;
        this.configuration = configuration;
        this.metrics = metrics;
    }

    void start() {
        timer = new PeriodicTask("usage", INTERVAL, this::tick);
    }

    private void tick() {
        Optional<Duration> bound = tightestBound(configuration.get());
        Set<WorkerId> held = new HashSet<>();
        for (AvailableCapacity room : accounts.available()) {
            held.add(room.worker().id());
            if (bound.isPresent() && underWay.add(room.worker().id())) {
                calls.execute(() -> watch(room, bound.get()));
            }
        }
        for (WorkerId worker : watched) {
            if (!held.contains(worker)) {
                interference.removeWorker(worker);
            }
        }
        watched = held;
    }

    private void watch(AvailableCapacity room, Duration bound) {
        if (!Measurement.interferenceActs()) {
            underWay.remove(room.worker().id());
            return;
        }
        try {
            WorkerControl.Usage usage = control.usage(room.worker().control());
            interference.onReport(report(room, usage, bound)).ifPresent(action -> carryOut(room, action));
        } catch (UnavailableException e) {
            Events.info("usage-unavailable", "worker", room.worker().id(), "reason", e.getMessage());
        } finally {
            underWay.remove(room.worker().id());
        }
    }

    private WorkerReport report(AvailableCapacity room, WorkerControl.Usage usage, Duration bound) {
        Map<TaskId, TaskStatus> running = new HashMap<>();
        tasks.running(room.worker().id()).forEach(status -> running.put(status.task(), status));
        List<TaskLoad> loads = new ArrayList<>();
        for (WorkerControl.TaskUsage use : usage.tasks()) {
            TaskStatus status = running.get(use.task());
            if (status != null) {
                loads.add(new TaskLoad(
                        use.task(),
                        status.attempt(),
                        use.workClass(),
                        movable(use.workClass()),
                        use.milliCores(),
                        use.memoryMiB(),
                        Math.clamp(use.progress(), 0, 1)));
            }
        }
        return new WorkerReport(
                room.worker().id(),
                usage.asOf(),
                Math.max(1, room.worker().capacity().milliCores()),
                loads,
                usage.requestsInFlight(),
                usage.requestLatency(),
                bound);
    }

    private boolean movable(String workClass) {
        return configuration
                .get()
                .workClass(workClass)
                .map(work -> !(work.target() instanceof Target.AlwaysOn))
                .orElse(true);
    }

    private void carryOut(AvailableCapacity room, Mitigation action) {
        WorkerId worker = room.worker().id();
        try {
            switch (action) {
                case Mitigation.Throttle throttle -> {
                    Events.info(
                            "task-throttled",
                            "worker",
                            worker,
                            "task",
                            throttle.task(),
                            "percent",
                            throttle.percent(),
                            "why",
                            throttle.reason());
                    metrics.event("task-throttled");
                    var command = new WorkerControl.TaskCommand.Throttle(throttle.percent());
                    control.apply(room.worker().control(), room.epoch(), throttle.task(), throttle.attempt(), command);
                }
                case Mitigation.Evict evict -> {
                    Events.info("task-evicted", "worker", worker, "task", evict.task(), "why", evict.reason());
                    metrics.event("task-evicted");
                    tasks.evict(worker, evict.task(), evict.attempt());
                }
            }
        } catch (SchedulerException e) {
            Events.warn("action-failed", "worker", worker, "reason", e.getMessage());
        }
    }

    private static Optional<Duration> tightestBound(Configuration configuration) {
        return configuration.declarations().classes().values().stream()
                .map(WorkClass::target)
                .filter(Target.TailLatency.class::isInstance)
                .map(target -> ((Target.TailLatency) target).bound())
                .min(Duration::compareTo);
    }

    @Override
    public void close() {
        if (timer != null) {
            timer.close();
        }
        calls.shutdownNow();
    }
}
