package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;

/**
 * Workers that carry out the orders of a scheduler at once: short tasks end after a random time, stopped runs end with
 * the next report. Not thread-safe.
 */
final class SimulatedWorkers {
    static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

    /** A run in progress and when it ends by itself, in ns; {@link Long#MAX_VALUE} if it does not. */
    record Run(Order.Start order, long endsAt) {}

    private SchedulerFixture fixture;
    private final Random random;
    private final Duration maxRunTime;
    private final Map<WorkerId, Map<TaskName, Run>> runs = new HashMap<>();
    private final Map<WorkerId, List<Order.Stop>> stops = new HashMap<>();
    private final Map<WorkerId, Long> sequences = new HashMap<>();
    private final Map<JobId, JobProgress> storedProgress = new HashMap<>();
    private int freshJobs;
    private int startedFreshJobs;

    /** Short tasks run for half of {@code maxRunTime} to all of it. */
    SimulatedWorkers(SchedulerFixture fixture, Random random, Duration maxRunTime) {
        this.fixture = fixture;
        this.random = random;
        this.maxRunTime = maxRunTime;
    }

    /** Adds jobs with a single short task until {@code waiting} such tasks wait. */
    void topUpFreshJobs(int waiting, int milliCores) {
        while (freshJobs - startedFreshJobs < waiting) {
            fixture.add(fixture.job("fresh" + freshJobs++, SchedulerFixture.step(1, milliCores, Step.Behaviour.PLAIN)));
        }
    }

    /** Carries out the orders of a plan and returns its starts. */
    List<Order.Start> apply(Plan plan) {
        long now = fixture.time.nanos();
        plan.changes().forEach(progress -> storedProgress.put(progress.id(), progress));
        for (Order order : plan.orders()) {
            switch (order) {
                case Order.Start start -> {
                    runs(start.worker()).put(start.task(), new Run(start, endOf(start, now)));
                    fixture.scheduler.confirmStarted(start.task(), start.run());
                }
                case Order.Stop stop ->
                    stops.computeIfAbsent(stop.worker(), _ -> new ArrayList<>()).add(stop);
                case Order.SetCpuLimit _ -> {}
            }
        }
        return SchedulerFixture.starts(plan);
    }

    private long endOf(Order.Start start, long now) {
        if (!isShort(start.task())) {
            return Long.MAX_VALUE;
        }
        startedFreshJobs += start.run() == 1 ? 1 : 0;
        long half = maxRunTime.toNanos() / 2;
        return now + half + random.nextLong(half);
    }

    private static boolean isShort(TaskName task) {
        return task.job().value().startsWith("fresh");
    }

    private Map<TaskName, Run> runs(WorkerId worker) {
        return runs.computeIfAbsent(worker, _ -> new HashMap<>());
    }

    /** Returns the runs in progress on a worker. */
    Collection<Run> runsOn(WorkerId worker) {
        return runs(worker).values();
    }

    /** Returns whether a run was ordered to stop and ends with the next report. */
    boolean isStopped(Run run) {
        return stops.getOrDefault(run.order().worker(), List.of()).stream()
                .anyMatch(stop -> stop.task().equals(run.order().task()));
    }

    /** Returns how many tasks of a job run. */
    long runsOf(JobId job) {
        return runs.values().stream()
                .flatMap(ofWorker -> ofWorker.keySet().stream())
                .filter(task -> task.job().equals(job))
                .count();
    }

    /** Returns how many short tasks run. */
    long shortRuns() {
        return runs.values().stream()
                .flatMap(ofWorker -> ofWorker.keySet().stream())
                .filter(SimulatedWorkers::isShort)
                .count();
    }

    /** Advances the time by one interval; each listed worker reports, and the plan after each report is carried out. */
    List<Order.Start> reportAll() {
        fixture.time.advance(REPORT_INTERVAL);
        List<Order.Start> starts = new ArrayList<>();
        for (WorkerRegistration worker : List.copyOf(fixture.workers)) {
            report(worker.id());
            starts.addAll(apply(fixture.scheduler.plan()));
        }
        return starts;
    }

    private void report(WorkerId worker) {
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (Order.Stop stop : stops.getOrDefault(worker, List.of())) {
            if (runs(worker).remove(stop.task()) != null) {
                ended.add(end(worker, stop, EndKind.INTERRUPTED));
            }
        }
        stops.remove(worker);
        for (Run run : List.copyOf(runsOn(worker))) {
            if (run.endsAt() <= fixture.time.nanos()) {
                runs(worker).remove(run.order().task());
                ended.add(end(worker, run.order(), EndKind.DONE));
            }
        }
        List<WorkerReport.Running> running = runsOn(worker).stream()
                .map(run -> SchedulerFixture.running(
                        run.order(), isShort(run.order().task()) ? 50 : 100, 10))
                .toList();
        fixture.report(worker.value(), running, ended);
    }

    private WorkerReport.Ended end(WorkerId worker, Order order, EndKind kind) {
        return SchedulerFixture.ended(sequences.merge(worker, 1L, Long::sum), order, kind);
    }

    /** Continues with the next owner, which restores what this one has stored, and returns its fixture. */
    SchedulerFixture changeOwner() {
        fixture = fixture.nextOwner(storedProgress);
        return fixture;
    }

    /** Ends a worker with all its runs and expires their leases. */
    void lose(WorkerId worker) {
        runs.remove(worker);
        fixture.workers.removeIf(registration -> registration.id().equals(worker));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.scheduler.expireLeases(new TaskRecord.WorkerIncarnation(worker, SchedulerFixture.INCARNATION));
    }
}
