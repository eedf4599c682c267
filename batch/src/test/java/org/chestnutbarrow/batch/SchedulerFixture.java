package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;

/** A scheduler with a manual clock, and helpers that build jobs, workers and reports. Not thread-safe. */
final class SchedulerFixture {
    static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    static final long INCARNATION = 1;

    final ManualTime time;
    final BatchScheduler scheduler;
    final List<WorkerRegistration> workers = new ArrayList<>();
    private final List<JobSpec> jobs = new ArrayList<>();

    SchedulerFixture() {
        this(new ManualTime());
    }

    private SchedulerFixture(ManualTime time) {
        this.time = time;
        scheduler = new BatchScheduler(time);
        scheduler.configure(Map.of(QUEUE.key(), QUEUE));
    }

    WorkerRegistration worker(String id, long incarnation) {
        return new WorkerRegistration(
                new WorkerId(id),
                incarnation,
                new Address("127.0.0.1", 1),
                "service",
                new AvailabilityZone("zone-" + id),
                Set.of("rack-" + id),
                new Resources(0, 0, 8000, 16000, 0),
                false);
    }

    SchedulerFixture withWorkers(String... ids) {
        for (String id : ids) {
            workers.add(worker(id, INCARNATION));
        }
        scheduler.updateWorkers(workers);
        for (String id : ids) {
            report(id, List.of(), List.of());
        }
        return this;
    }

    /** Lists a worker as draining or not. */
    void setDraining(String id, boolean draining) {
        workers.replaceAll(worker -> worker.id().value().equals(id) ? withDraining(worker, draining) : worker);
        scheduler.updateWorkers(workers);
    }

    private static WorkerRegistration withDraining(WorkerRegistration worker, boolean draining) {
        return new WorkerRegistration(
                worker.id(),
                worker.incarnation(),
                worker.address(),
                worker.service(),
                worker.zone(),
                worker.labels(),
                worker.capacity(),
                draining);
    }

    void report(String id, List<WorkerReport.Running> running, List<WorkerReport.Ended> ended) {
        scheduler.report(new WorkerReport(new WorkerId(id), INCARNATION, running, ended), time.nanos());
    }

    static Step step(int count, int milliCores, Step.Behaviour behaviour, Integer... dependencies) {
        return new Step(
                count,
                new Resources(0, 0, milliCores, 100, 0),
                Duration.ofSeconds(1),
                List.of(dependencies),
                Step.Constraints.NONE,
                behaviour);
    }

    JobSpec job(String id, Step... steps) {
        return new JobSpec(new JobId(id), QUEUE, time.now(), "payload", List.of(steps));
    }

    /** Returns the next owner of the same jobs and workers, to which no worker has reported yet. */
    SchedulerFixture nextOwner(Map<JobId, JobProgress> storedProgress) {
        SchedulerFixture next = new SchedulerFixture(time);
        next.workers.addAll(workers);
        next.scheduler.updateWorkers(workers);
        for (JobSpec job : jobs) {
            next.jobs.add(job);
            next.scheduler.addJob(job, Optional.ofNullable(storedProgress.get(job.id())));
        }
        return next;
    }

    void add(JobSpec job) {
        jobs.add(job);
        scheduler.addJob(job, Optional.empty());
    }

    /** Adds a job of one step whose tasks have run before and wait. */
    void addWithEarlierRuns(JobSpec job) {
        jobs.add(job);
        List<TaskRecord> records =
                Collections.nCopies(job.steps().getFirst().count(), new TaskRecord(false, 1, 0, "", Optional.empty()));
        scheduler.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.RUNNING, Instant.EPOCH, List.of(records))));
    }

    /** Returns the starts in the next plan. */
    List<Order.Start> starts() {
        return starts(scheduler.plan());
    }

    static List<Order.Start> starts(Plan plan) {
        return plan.orders().stream()
                .filter(Order.Start.class::isInstance)
                .map(Order.Start.class::cast)
                .toList();
    }

    static WorkerReport.Ended ended(long sequence, Order order, WorkerReport.EndKind kind) {
        return new WorkerReport.Ended(sequence, order.task(), order.run(), kind, "");
    }

    static WorkerReport.Running running(Order order, int progressPercent, int loadMetric) {
        return new WorkerReport.Running(order.task(), order.run(), progressPercent, loadMetric);
    }

    /** Returns the stops in the next plan. */
    List<Order.Stop> stops() {
        return scheduler.plan().orders().stream()
                .filter(Order.Stop.class::isInstance)
                .map(Order.Stop.class::cast)
                .toList();
    }

    /** Returns whether a plan stops a run of a task. */
    static boolean stops(Plan plan, TaskName task) {
        return plan.orders().stream()
                .anyMatch(order -> order instanceof Order.Stop && order.task().equals(task));
    }
}
