package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
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

/** A cell with a clock, and short ways to build jobs, workers and reports. Used by one thread. */
final class CellFixture {
    static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 2, 2, Duration.ofSeconds(1));
    static final long BORN = 1;

    final ManualTime time = new ManualTime();
    final Cell cell = new Cell(time);
    final List<WorkerEntry> workers = new ArrayList<>();

    CellFixture() {
        cell.configure(Map.of(QUEUE.key(), QUEUE));
    }

    WorkerEntry worker(String id, long born) {
        return new WorkerEntry(
                new WorkerId(id),
                born,
                new Address("127.0.0.1", 1),
                "service",
                new AvailabilityZone("zone-" + id),
                Set.of("rack-" + id),
                new Resources(0, 0, 8000, 16000, 0),
                false);
    }

    CellFixture with(String... ids) {
        for (String id : ids) {
            workers.add(worker(id, BORN));
        }
        cell.updateWorkers(workers);
        for (String id : ids) {
            report(id, List.of(), List.of());
        }
        return this;
    }

    void report(String id, List<WorkerReport.Running> running, List<WorkerReport.Ended> ended) {
        cell.report(new WorkerReport(new WorkerId(id), BORN, running, ended), time.nanos());
    }

    static Step step(int count, int milliCores, Step.Behaviour behaviour, Integer... after) {
        return new Step(
                count,
                new Resources(0, 0, milliCores, 100, 0),
                Duration.ofSeconds(1),
                List.of(after),
                Step.Constraints.NONE,
                behaviour);
    }

    JobSpec job(String id, Step... steps) {
        return new JobSpec(new JobId(id), QUEUE, time.now(), "payload", List.of(steps));
    }

    void add(JobSpec job) {
        cell.addJob(job, Optional.empty());
    }

    /** The starts of the next plan. */
    List<Order.Start> starts() {
        return starts(cell.plan());
    }

    static List<Order.Start> starts(Plan plan) {
        return plan.orders().stream()
                .filter(Order.Start.class::isInstance)
                .map(Order.Start.class::cast)
                .toList();
    }

    static WorkerReport.Ended ended(long number, Order order, WorkerReport.EndKind how) {
        return new WorkerReport.Ended(number, order.task(), order.run(), how, "");
    }

    static WorkerReport.Running running(Order order, int percent, int load) {
        return new WorkerReport.Running(order.task(), order.run(), percent, load);
    }
}
