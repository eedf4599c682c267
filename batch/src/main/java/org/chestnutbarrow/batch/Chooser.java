package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;

/** Chooses the worker for a task. Stateless; the caller holds the lock of the {@link Cell}. */
final class Chooser {
    /** A worker that has not answered for this time gets nothing new; holds are answered at least every 600 ms. */
    private static final Duration SILENT = Duration.ofMillis(1500);

    private Chooser() {}

    /** The best worker, or null if none fits. */
    static WorkerNode choose(
            TaskEntry task, String service, Collection<WorkerNode> workers, Set<AvailabilityZone> out, long now) {
        WorkerNode best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        Resources charge = task.step.charge();
        for (WorkerNode worker : workers) {
            if (!usable(worker, service, out, now) || !allowed(task, worker) || !worker.fits(charge)) {
                continue;
            }
            double score = score(task, worker);
            if (score > bestScore) {
                bestScore = score;
                best = worker;
            }
        }
        return best;
    }

    private static boolean usable(WorkerNode worker, String service, Set<AvailabilityZone> out, long now) {
        return worker.held
                && worker.listed
                && !worker.leaving
                && worker.entry.service().equals(service)
                && !out.contains(worker.entry.zone())
                && now - worker.heardAt < SILENT.toNanos()
                && worker.health.usable(now);
    }

    private static boolean allowed(TaskEntry task, WorkerNode worker) {
        Step.Constraints placement = task.step.placement();
        if (placement.label().isPresent()
                && !worker.entry.labels().contains(placement.label().get())) {
            return false;
        }
        if (task.step.service().fills() && worker.pacing.percent() < 100) {
            return false;
        }
        return placement.perWorker() == 0 || worker.ofStep(task) < placement.perWorker();
    }

    private static double score(TaskEntry task, WorkerNode worker) {
        double capacity = Math.max(1, worker.entry.capacity().milliCores());
        double score;
        if (task.step.service().fills()) {
            // Filling tasks run at the speed of what is left and disturb the tasks that serve.
            score = worker.spareMilliCores() / capacity - (worker.serving() > 0 ? 1 : 0);
        } else if (task.step.lasting()) {
            // Serving tasks are kept together, so that filling tasks find workers without them.
            score = (worker.serving() > 0 ? 1 : 0) - worker.freeMilliCores() / capacity - worker.ofStep(task);
        } else {
            score = worker.spareMilliCores() / capacity - (worker.serving() > 0 ? 0.5 : 0);
        }
        boolean near = task.step
                .placement()
                .rack()
                .map(worker.entry.labels()::contains)
                .orElse(true);
        return near ? score + 10 : score;
    }
}
