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
import org.chestnutbarrow.interference.WorkerUsageReport;
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

/**
 * Polls the usage reports of the workers whose leases this daemon holds and executes the mitigations that {@link
 * InterferenceController} decides on.
 */
final class UsageMonitor implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final CapacityLedger ledger;
    private final WorkerControl control;
    private final WorkerTasks tasks;
    private final InterferenceController interference;
    private final Supplier<Configuration> configuration;
    private final Metrics metrics;
    private final Set<WorkerId> inProgress = ConcurrentHashMap.newKeySet();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private Set<WorkerId> monitored = Set.of();
    private volatile PeriodicTask timer;

    UsageMonitor(
            CapacityLedger ledger,
            WorkerControl control,
            WorkerTasks tasks,
            InterferenceController interference,
            Supplier<Configuration> configuration,
            Metrics metrics) {
        this.ledger = ledger;
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
        Optional<Duration> latencyBound = tightestBound(configuration.get());
        Set<WorkerId> held = new HashSet<>();
        for (AvailableCapacity capacity : ledger.available()) {
            held.add(capacity.worker().id());
            if (latencyBound.isPresent() && inProgress.add(capacity.worker().id())) {
                executor.execute(() -> fetchAndApply(capacity, latencyBound.get()));
            }
        }
        for (WorkerId worker : monitored) {
            if (!held.contains(worker)) {
                interference.removeWorker(worker);
            }
        }
        monitored = held;
    }

    private void fetchAndApply(AvailableCapacity capacity, Duration latencyBound) {
        if (!PolicyOverrides.mitigationEnabled()) {
            inProgress.remove(capacity.worker().id());
            return;
        }
        try {
            WorkerControl.Usage usage = control.usage(capacity.worker().control());
            interference
                    .onReport(report(capacity, usage, latencyBound))
                    .ifPresent(mitigation -> execute(capacity, mitigation));
        } catch (UnavailableException e) {
            Events.info("usage-unavailable", "worker", capacity.worker().id(), "reason", e.getMessage());
        } finally {
            inProgress.remove(capacity.worker().id());
        }
    }

    private WorkerUsageReport report(AvailableCapacity capacity, WorkerControl.Usage usage, Duration latencyBound) {
        Map<TaskId, TaskStatus> running = new HashMap<>();
        tasks.running(capacity.worker().id()).forEach(status -> running.put(status.task(), status));
        List<TaskLoad> loads = new ArrayList<>();
        for (WorkerControl.TaskUsage taskUsage : usage.tasks()) {
            TaskStatus status = running.get(taskUsage.task());
            if (status != null) {
                loads.add(new TaskLoad(
                        taskUsage.task(),
                        status.attempt(),
                        taskUsage.workClass(),
                        isPreemptible(taskUsage.workClass()),
                        taskUsage.milliCores(),
                        taskUsage.memoryMiB(),
                        Math.clamp(taskUsage.progress(), 0, 1)));
            }
        }
        return new WorkerUsageReport(
                capacity.worker().id(),
                usage.asOf(),
                Math.max(1, capacity.worker().capacity().milliCores()),
                loads,
                usage.requestsInFlight(),
                usage.requestLatency(),
                latencyBound);
    }

    private boolean isPreemptible(String workClass) {
        return configuration
                .get()
                .workClass(workClass)
                .map(declared -> !(declared.target() instanceof Target.AlwaysOn))
                .orElse(true);
    }

    private void execute(AvailableCapacity capacity, Mitigation mitigation) {
        WorkerId worker = capacity.worker().id();
        try {
            switch (mitigation) {
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
                    metrics.recordEvent("task-throttled");
                    var command = new WorkerControl.TaskCommand.Throttle(throttle.percent());
                    control.apply(
                            capacity.worker().control(),
                            capacity.epoch(),
                            throttle.task(),
                            throttle.attempt(),
                            command);
                }
                case Mitigation.Evict evict -> {
                    Events.info("task-evicted", "worker", worker, "task", evict.task(), "why", evict.reason());
                    metrics.recordEvent("task-evicted");
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
        executor.shutdownNow();
    }
}
