package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.WorkerId;

/**
 * Plays one job on two workers under an owner whose store answers late. At any time the job is added again, with progress
 * that was stored before, or is cancelled. The seed decides the order of all events. Not thread-safe.
 */
final class EndedJobSimulation {
    private static final int STEPS = 300;

    /** A worker that keeps its ends until they are acknowledged. */
    private static final class Worker {
        final Map<TaskName, Order.Start> running = new HashMap<>();
        final List<WorkerReport.Ended> ended = new ArrayList<>();
        private long lastEnd;

        void end(Order.Start run, EndKind kind) {
            running.remove(run.task());
            ended.add(SchedulerFixture.ended(++lastEnd, run, kind));
        }
    }

    private final Random random;
    private final SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
    private final JobSpec job = fixture.job(
            "a",
            SchedulerFixture.step(2, 1000, Step.Behaviour.PLAIN),
            SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN, 0));
    private final Map<WorkerId, Worker> workers =
            Map.of(new WorkerId("w1"), new Worker(), new WorkerId("w2"), new Worker());
    /** The progress that was stored so far, oldest first, which begins with none. */
    private final List<Optional<JobProgress>> versions = new ArrayList<>(List.of(Optional.empty()));
    /** The plan that is being stored. */
    private Optional<Plan> pending = Optional.empty();

    private final Set<TaskName> acknowledged = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int additionsBeforeEndIsStored;

    EndedJobSimulation(long seed) {
        random = new Random(seed);
    }

    /** Returns the rules that were broken. */
    List<String> violations() {
        return violations;
    }

    /** Returns how often the job was added while its end was being stored. */
    int additionsBeforeEndIsStored() {
        return additionsBeforeEndIsStored;
    }

    void play() {
        fixture.add(job);
        for (int i = 0; i < STEPS; i++) {
            switch (random.nextInt(8)) {
                case 0 -> endRun();
                case 1, 2 -> report();
                case 3, 4 -> pending.ifPresentOrElse(this::stored, this::plan);
                case 5, 6 -> addAgain();
                default -> fixture.time.advance(Duration.ofMillis(100 + random.nextInt(700)));
            }
        }
    }

    private Worker anyWorker() {
        return workers.get(anyWorkerId());
    }

    private WorkerId anyWorkerId() {
        return new WorkerId("w" + (1 + random.nextInt(2)));
    }

    private void endRun() {
        Worker worker = anyWorker();
        worker.running.values().stream()
                .findFirst()
                .ifPresent(run -> worker.end(run, random.nextInt(4) == 0 ? EndKind.FAILED : EndKind.DONE));
    }

    private void report() {
        WorkerId id = anyWorkerId();
        Worker worker = workers.get(id);
        List<WorkerReport.Running> running = worker.running.values().stream()
                .map(run -> SchedulerFixture.running(run, random.nextInt(100), 0))
                .toList();
        fixture.report(id.value(), running, worker.ended);
    }

    private void plan() {
        pending = Optional.of(fixture.scheduler.plan());
    }

    private void stored(Plan plan) {
        pending = Optional.empty();
        plan.changes().forEach(this::store);
        plan.acknowledgements()
                .forEach((incarnation, number) -> workers.get(incarnation.worker())
                        .ended
                        .removeIf(end -> end.sequence() <= number && acknowledge(end)));
        plan.orders().forEach(this::carryOut);
    }

    private void store(JobProgress change) {
        JobState before = storedState();
        if (before.isFinal() && change.state() != before) {
            violations.add("the job was " + before + " and is stored as " + change.state());
        }
        versions.add(Optional.of(change));
    }

    private JobState storedState() {
        return versions.getLast().map(JobProgress::state).orElse(JobState.QUEUED);
    }

    private boolean acknowledge(WorkerReport.Ended end) {
        if (end.kind() == EndKind.DONE) {
            acknowledged.add(end.task());
        }
        return true;
    }

    private void carryOut(Order order) {
        Worker worker = workers.get(order.worker());
        switch (order) {
            case Order.Start start -> {
                if (acknowledged.contains(start.task()) || storedState().isFinal()) {
                    violations.add("started again: " + start.task() + ", run " + start.run());
                }
                if (workers.values().stream().anyMatch(other -> other.running.containsKey(start.task()))) {
                    violations.add("runs twice: " + start.task());
                }
                worker.running.put(start.task(), start);
                fixture.scheduler.confirmStarted(start.task(), start.run());
            }
            case Order.Stop stop -> {
                Order.Start run = worker.running.get(stop.task());
                if (run != null && run.run() == stop.run()) {
                    worker.end(run, EndKind.INTERRUPTED);
                }
            }
            case Order.SetCpuLimit _ -> {}
        }
    }

    /** Adds the job with any progress that a thread may have read, and with or without a cancellation. */
    private void addAgain() {
        boolean endIsBeingStored = pending.stream()
                .flatMap(plan -> plan.changes().stream())
                .anyMatch(change -> change.state().isFinal());
        additionsBeforeEndIsStored += endIsBeingStored ? 1 : 0;
        Optional<JobProgress> version = versions.get(random.nextInt(versions.size()));
        fixture.scheduler.addJob(job, version, random.nextInt(40) == 0);
    }
}
