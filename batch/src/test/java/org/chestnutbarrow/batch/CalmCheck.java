package org.chestnutbarrow.batch;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Which work of an {@link OwnerChangeSimulation} could run and does not. Reads the simulation only. */
final class CalmCheck {
    private final OwnerChangeSimulation simulation;

    CalmCheck(OwnerChangeSimulation simulation) {
        this.simulation = simulation;
    }

    /** Returns the unfinished tasks whose turn has come, of jobs that were not cancelled and have not ended. */
    List<TaskName> readyTasks() {
        return simulation.specs.values().stream()
                .filter(spec -> !simulation.cancelled.contains(spec.id()))
                .filter(spec -> !simulation.progress.containsKey(spec.id())
                        || !simulation.progress.get(spec.id()).state().isFinal())
                .flatMap(this::readyTasks)
                .toList();
    }

    private Stream<TaskName> readyTasks(JobSpec spec) {
        Stream.Builder<TaskName> ready = Stream.builder();
        for (int step = 0; step < spec.steps().size(); step++) {
            if (spec.steps().get(step).dependencies().stream().allMatch(d -> unfinished(spec, d) == 0)) {
                for (int index = 0; index < spec.steps().get(step).count(); index++) {
                    TaskName task = new TaskName(spec.id(), step, index);
                    if (!simulation.done.contains(task)) {
                        ready.add(task);
                    }
                }
            }
        }
        return ready.build();
    }

    private long unfinished(JobSpec spec, int step) {
        return Stream.iterate(0, index -> index < spec.steps().get(step).count(), index -> index + 1)
                .filter(index -> !simulation.done.contains(new TaskName(spec.id(), step, index)))
                .count();
    }

    Step step(TaskName task) {
        return simulation.specs.get(task.job()).steps().get(task.step());
    }

    /** Returns the share of the CPU of the listed workers that tasks use at full speed. */
    double usedShare() {
        long used =
                simulation.listedWorkers().stream().mapToLong(CalmCheck::used).sum();
        return (double) used / (simulation.listedWorkers().size() * (long) ChaosWorker.CAPACITY.milliCores());
    }

    private static long used(ChaosWorker worker) {
        return worker.runs.values().stream()
                .mapToLong(run -> run.step().demand().milliCores())
                .sum();
    }

    /** Returns whether the workers have room for a task twice over. */
    boolean hasRoomTwice(TaskName task) {
        Step step = step(task);
        long places = 0;
        for (ChaosWorker worker : simulation.listedWorkers()) {
            long byCpu = (ChaosWorker.CAPACITY.milliCores() - used(worker))
                    / step.demand().milliCores();
            long byMemory =
                    (ChaosWorker.CAPACITY.memoryMiB() - worker.reserved().memoryMiB())
                            / step.demand().memoryMiB();
            long ofStep = worker.runs.keySet().stream()
                    .filter(other -> other.job().equals(task.job()) && other.step() == task.step())
                    .count();
            int limit = step.constraints().maxPerWorker();
            long bySpread = limit == 0 ? Long.MAX_VALUE : limit - ofStep;
            places += Math.max(0, Math.min(bySpread, Math.min(byCpu, byMemory)));
        }
        return places >= 2;
    }

    /** Describes what the owner knows of a task that does not run. */
    String describe(TaskName task) {
        String record = Optional.ofNullable(simulation.progress.get(task.job()))
                .map(stored -> stored.state() + " "
                        + (stored.steps().isEmpty()
                                ? ""
                                : stored.steps().get(task.step()).get(task.index())))
                .orElse("no progress");
        String quarantined = simulation.owner == null
                ? "no owner"
                : simulation.owner.scheduler.estimates().health().stream()
                        .filter(health -> health.quarantinedUntil().isPresent())
                        .map(health -> health.worker().worker().value())
                        .collect(Collectors.joining(" "));
        return task + " " + step(task) + ": " + record + "; used " + usedShare() + " of "
                + simulation.listedWorkers().size() + "; quarantined " + quarantined + "; claims "
                + (simulation.owner == null ? "" : simulation.owner.scheduler.claims()) + "; unconfirmed "
                + (simulation.owner == null ? "" : simulation.owner.scheduler.unconfirmedIncarnations());
    }
}
