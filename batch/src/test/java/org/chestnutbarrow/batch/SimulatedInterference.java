package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * Workers with at most one latency-critical task each, whose tail latency grows with the CPU that best-effort tasks use beside
 * it. Best-effort tasks advance with the CPU that their limits and the other tasks leave them. Not thread-safe.
 */
final class SimulatedInterference {
    static final String SERVING_IMAGE = "web";
    static final Duration STEP = Duration.ofMillis(100);
    /** Each worker reports with every fifth step, as by a hold of 0.5 s. */
    private static final int STEPS_PER_REPORT = 5;

    private static final int TARGET_MS = 50;
    private static final double UNLOADED_TAIL_MS = 10;
    private static final int CAPACITY = 8000;
    private static final int SERVING_MILLI_CORES = 3000;
    /** CPU that a latency-critical task uses of what it reserves. */
    private static final int SERVING_USE = 1500;

    /** A run in progress. */
    private static final class Run {
        private final Order.Start order;
        private double limit = 1;
        private double work;
        private double use;

        Run(Order.Start order) {
            this.order = order;
        }
    }

    /** A worker with its latency-critical task. */
    private static final class Host {
        private final Map<TaskName, Run> runs = new LinkedHashMap<>();
        private final List<Order.Stop> stops = new ArrayList<>();
        private Order.Start serving;
        private long sequence;
        private double tailMs;
        private Duration overTarget = Duration.ZERO;
    }

    final SchedulerFixture fixture;
    private final double load;
    private final double strength;
    private final Duration runTime;
    private final int maxStarts;
    private final Map<WorkerId, Host> hosts = new LinkedHashMap<>();
    private final Map<JobId, Integer> startedTasks = new HashMap<>();
    private Duration longestOverTarget = Duration.ZERO;
    private int steps;

    /**
     * Starts the latency-critical tasks and lets them report for 3 s.
     *
     * @param load mean load of the latency-critical tasks; it varies by a fifth in 14 s, shifted between workers
     * @param strength the capacity that a best-effort task takes from a latency-critical one, as a multiple of its use
     * @param runTime mean time that a best-effort task takes at full speed
     */
    SimulatedInterference(
            int workers, double load, double strength, Duration runTime, int maxStarts, Sensitivity... restored) {
        this.load = load;
        this.strength = strength;
        this.runTime = runTime;
        this.maxStarts = maxStarts;
        fixture = new SchedulerFixture();
        fixture.scheduler.restore(new Estimates(List.of(restored), List.of(), List.of()));
        fixture.withWorkers(IntStream.range(0, workers).mapToObj(i -> "w" + i).toArray(String[]::new));
        fixture.workers.forEach(worker -> hosts.put(worker.id(), new Host()));
        Step serving = new Step(
                workers,
                new Resources(0, 0, SERVING_MILLI_CORES, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                new Step.Constraints(Optional.empty(), Optional.empty(), 1),
                new Step.Behaviour(SERVING_IMAGE, false, true, false, TARGET_MS, 0));
        fixture.add(fixture.job("serving", serving));
        for (Order.Start start : fixture.starts()) {
            hosts.get(start.worker()).serving = start;
            fixture.scheduler.confirmStarted(start.task(), start.run());
        }
        run(Duration.ofSeconds(3));
    }

    static Step.Behaviour bestEffort(String image) {
        return new Step.Behaviour(image, false, false, true, 0, 0);
    }

    /** Adds a worker without a latency-critical task. */
    void addWorkerWithoutServing(String id) {
        fixture.withWorkers(id);
        hosts.put(new WorkerId(id), new Host());
    }

    /** Advances the time; workers report in turn, and a plan is made and carried out in each step. */
    void run(Duration duration) {
        for (long end = fixture.time.nanos() + duration.toNanos(); fixture.time.nanos() < end; ) {
            fixture.time.advance(STEP);
            steps++;
            int index = 0;
            for (Map.Entry<WorkerId, Host> host : hosts.entrySet()) {
                advance(host.getValue(), index);
                if (index++ % STEPS_PER_REPORT == steps % STEPS_PER_REPORT) {
                    report(host.getKey(), host.getValue());
                }
            }
            apply(fixture.scheduler.plan(maxStarts));
        }
    }

    private void advance(Host host, int index) {
        double demand = 0;
        for (Run run : host.runs.values()) {
            demand += run.limit * milliCores(run);
        }
        double rate = Math.min(1, (CAPACITY - SERVING_USE) / Math.max(1, demand));
        for (Run run : host.runs.values()) {
            run.use = rate * run.limit * milliCores(run);
            run.work += rate * run.limit * STEP.toNanos() / (variation(run) * runTime.toNanos());
        }
        double seconds = fixture.time.nanos() / 1e9 + index;
        double varied = load * (1 + 0.2 * Math.sin(2 * Math.PI * seconds / 14));
        double pressure = strength * Math.min(demand, CAPACITY - SERVING_USE) / CAPACITY;
        host.tailMs = UNLOADED_TAIL_MS / Math.max(0.02, 1 - varied - pressure);
        boolean over = host.tailMs > TARGET_MS && demand > 0;
        host.overTarget = over ? host.overTarget.plus(STEP) : Duration.ZERO;
        longestOverTarget = host.overTarget.compareTo(longestOverTarget) > 0 ? host.overTarget : longestOverTarget;
    }

    /** Returns a factor from 0.6 to 1.4 on the run time, so that tasks of one start do not end together. */
    private static double variation(Run run) {
        return 0.6 + 0.1 * (run.order.task().index() * 7 % 9);
    }

    private static int milliCores(Run run) {
        return run.order.milliCores();
    }

    private void report(WorkerId id, Host host) {
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (Order.Stop stop : host.stops) {
            if (host.runs.remove(stop.task()) != null) {
                ended.add(SchedulerFixture.ended(++host.sequence, stop, EndKind.INTERRUPTED));
            }
        }
        host.stops.clear();
        for (Run run : List.copyOf(host.runs.values())) {
            if (run.work >= 1) {
                host.runs.remove(run.order.task());
                ended.add(SchedulerFixture.ended(++host.sequence, run.order, EndKind.DONE));
            }
        }
        List<WorkerReport.Running> running = new ArrayList<>();
        if (host.serving != null) {
            running.add(SchedulerFixture.running(host.serving, 100, (int) host.tailMs));
        }
        for (Run run : host.runs.values()) {
            running.add(SchedulerFixture.running(run.order, (int) (100 * run.work), (int) run.use));
        }
        fixture.report(id.value(), running, ended);
    }

    private void apply(Plan plan) {
        for (Order order : plan.orders()) {
            Host host = hosts.get(order.worker());
            switch (order) {
                case Order.Start start -> {
                    host.runs.put(start.task(), new Run(start));
                    fixture.scheduler.confirmStarted(start.task(), start.run());
                    startedTasks.merge(start.task().job(), 1, Integer::sum);
                }
                case Order.Stop stop -> host.stops.add(stop);
                case Order.SetCpuLimit setCpuLimit -> {
                    Run run = host.runs.get(setCpuLimit.task());
                    if (run != null) {
                        run.limit = setCpuLimit.percent() / 100.0;
                    }
                }
            }
        }
    }

    /** Returns how many runs of a job have been started. */
    int started(String job) {
        return startedTasks.getOrDefault(new JobId(job), 0);
    }

    /** Returns how many runs of all jobs have been started, except latency-critical ones. */
    int allStarted() {
        return startedTasks.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the CPU limits of the runs of a job that are in progress, as fractions of full speed. */
    List<Double> limits(String job) {
        return hosts.values().stream()
                .flatMap(host -> host.runs.values().stream())
                .filter(run -> run.order.task().job().value().equals(job))
                .map(run -> run.limit)
                .toList();
    }

    /** Returns the largest number of runs of the jobs that one worker has. */
    long maxRunsPerWorker(Collection<String> jobs) {
        return hosts.values().stream()
                .mapToLong(host -> host.runs.keySet().stream()
                        .filter(task -> jobs.contains(task.job().value()))
                        .count())
                .max()
                .orElseThrow();
    }

    /** Returns the longest time for which a latency-critical task was over its target beside best-effort tasks. */
    Duration longestOverTarget() {
        return longestOverTarget;
    }
}
