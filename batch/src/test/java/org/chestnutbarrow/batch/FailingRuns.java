package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;

/**
 * Workers that carry out the orders of a scheduler at once and report every 100 ms, and whose runs fail by a given
 * rule. Tasks of jobs whose names begin with {@link #BROKEN} never get ready and fail before the next report. Not
 * thread-safe.
 */
final class FailingRuns {
    static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    static final String BROKEN = "broken";
    /** Its jobs go on whatever their tasks fail. */
    private static final Queue QUEUE =
            new Queue("host", "/q/plain/", "service", 0, Integer.MAX_VALUE, 2, Duration.ofSeconds(1));

    /** Returns the probability with which a run on a worker fails. */
    interface FailureRule {
        double probability(WorkerId worker);
    }

    /** A quarantine that began. */
    record Quarantine(WorkerId worker, Duration at) {}

    private record Run(Order.Start order, long startedAt, long endsAt) {
        int progressPercent(long now) {
            return (int) (100 * (now - startedAt) / (endsAt - startedAt));
        }
    }

    final SchedulerFixture fixture = new SchedulerFixture();
    final List<Quarantine> quarantines = new ArrayList<>();
    /** Starts of the tasks of broken jobs, with the time since the beginning. */
    final Map<TaskName, List<Duration>> brokenStarts = new HashMap<>();

    final Map<WorkerId, Integer> startsByWorker = new HashMap<>();
    final Map<WorkerId, Integer> failuresByWorker = new HashMap<>();
    /** Failures of each worker before the report in which its first quarantine began. */
    final Map<WorkerId, Integer> failuresBeforeQuarantine = new HashMap<>();

    int endedRuns;
    Duration longestWait = Duration.ZERO;

    private final Random random;
    private final FailureRule rule;
    private final long begin = fixture.time.nanos();
    private final Map<WorkerId, Map<TaskName, Run>> runs = new HashMap<>();
    private final Map<WorkerId, List<Order.Stop>> stops = new HashMap<>();
    private final Map<WorkerId, Integer> failuresBeforeReport = new HashMap<>();
    private final Map<WorkerId, Long> sequences = new HashMap<>();
    private int plainJobs;
    private int startedPlainTasks;
    private int addedPlainTasks;

    FailingRuns(int workers, long seed, FailureRule rule) {
        this.random = new Random(seed);
        this.rule = rule;
        fixture.withWorkers(IntStream.range(0, workers).mapToObj(i -> "w" + i).toArray(String[]::new));
    }

    Duration elapsed() {
        return Duration.ofNanos(fixture.time.nanos() - begin);
    }

    void addPlainJob(int tasks) {
        Step step = SchedulerFixture.step(tasks, 1000, Step.Behaviour.PLAIN);
        JobId id = new JobId("plain" + plainJobs++);
        addedPlainTasks += tasks;
        fixture.add(new JobSpec(id, QUEUE, fixture.time.now(), "payload", List.of(step)));
    }

    /** Adds jobs of one to {@code maxTasks} plain tasks until {@code waiting} such tasks wait for their first run. */
    void topUpPlainTasks(int waiting, int maxTasks) {
        while (addedPlainTasks - startedPlainTasks < waiting) {
            addPlainJob(1 + random.nextInt(maxTasks));
        }
    }

    void addBrokenJob(int tasks, int milliCores) {
        Step.Behaviour behaviour = new Step.Behaviour("image", false, true, false, 50, 0);
        fixture.add(fixture.job(
                BROKEN + brokenStarts.size() + "-" + random.nextInt(1 << 30),
                SchedulerFixture.step(tasks, milliCores, behaviour)));
    }

    /** Advances the time by one interval; each worker reports, and the plan after each report is carried out. */
    void step() {
        fixture.time.advance(REPORT_INTERVAL);
        for (WorkerRegistration worker : List.copyOf(fixture.workers)) {
            report(worker.id());
            apply(fixture.scheduler.plan());
        }
    }

    private void report(WorkerId worker) {
        Map<TaskName, Run> ofWorker = runs.computeIfAbsent(worker, _ -> new HashMap<>());
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (Order.Stop stop : stops.getOrDefault(worker, List.of())) {
            if (ofWorker.remove(stop.task()) != null) {
                ended.add(end(worker, stop, EndKind.INTERRUPTED));
            }
        }
        stops.remove(worker);
        failuresBeforeReport.put(worker, failuresByWorker.getOrDefault(worker, 0));
        List<Run> ending = ofWorker.values().stream()
                .filter(run -> run.endsAt() <= fixture.time.nanos())
                .sorted(Comparator.comparing(run -> run.order().task().toString()))
                .toList();
        for (Run run : ending) {
            ofWorker.remove(run.order().task());
            endedRuns++;
            boolean fails = isBroken(run.order().task()) || random.nextDouble() < rule.probability(worker);
            if (fails) {
                failuresByWorker.merge(worker, 1, Integer::sum);
            }
            ended.add(end(worker, run.order(), fails ? EndKind.FAILED : EndKind.DONE));
        }
        List<WorkerReport.Running> running = ofWorker.values().stream()
                .map(run -> SchedulerFixture.running(run.order(), run.progressPercent(fixture.time.nanos()), 10))
                .toList();
        fixture.report(worker.value(), running, ended);
    }

    private void apply(Plan plan) {
        for (WorkerId worker : plan.quarantined()) {
            quarantines.add(new Quarantine(worker, elapsed()));
            failuresBeforeQuarantine.putIfAbsent(worker, failuresBeforeReport.getOrDefault(worker, 0));
        }
        for (Order order : plan.orders()) {
            switch (order) {
                case Order.Start start -> start(start);
                case Order.Stop stop ->
                    stops.computeIfAbsent(stop.worker(), _ -> new ArrayList<>()).add(stop);
                case Order.SetCpuLimit _ -> {}
            }
        }
    }

    private void start(Order.Start start) {
        startsByWorker.merge(start.worker(), 1, Integer::sum);
        long now = fixture.time.nanos();
        Run run;
        if (isBroken(start.task())) {
            brokenStarts.computeIfAbsent(start.task(), _ -> new ArrayList<>()).add(elapsed());
            run = new Run(start, now, now + REPORT_INTERVAL.toNanos() / 2);
        } else {
            startedPlainTasks += start.run() == 1 ? 1 : 0;
            longestWait = start.waited().compareTo(longestWait) > 0 ? start.waited() : longestWait;
            run = new Run(
                    start,
                    now,
                    now + Duration.ofMillis(1000 + random.nextInt(1000)).toNanos());
        }
        runs.computeIfAbsent(start.worker(), _ -> new HashMap<>()).put(start.task(), run);
        fixture.scheduler.confirmStarted(start.task(), start.run());
    }

    private static boolean isBroken(TaskName task) {
        return task.job().value().startsWith(BROKEN);
    }

    private WorkerReport.Ended end(WorkerId worker, Order order, EndKind kind) {
        return SchedulerFixture.ended(sequences.merge(worker, 1L, Long::sum), order, kind);
    }
}
