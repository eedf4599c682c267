package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;

/** Chooses the worker for a task. Guarded by the lock of its {@link Cell}. */
final class Chooser {
    /** A worker that has not answered for this time gets nothing new; holds are answered at least every 600 ms. */
    private static final Duration SILENT = Duration.ofMillis(1500);

    /** Part of its demand that must be left for a filling task, so that it is not much slower than declared. */
    private static final double SPARE_PART = 0.7;
    /** Highest ratio of tail to target that may be expected; serving tasks change their load by half meanwhile. */
    private static final double MOST_EXPECTED = 0.85;

    private static final int FULL = 100;
    /** More than all other parts of a score together. */
    private static final double LAST_RESORT = 1000;
    /** Weight of equal images against the other parts of a score, which are at most about 1. */
    private static final double IMAGE_WEIGHT = 2;

    private final Disturbance disturbance;

    Chooser(Disturbance disturbance) {
        this.disturbance = disturbance;
    }

    /** The best worker, or null if none fits. */
    WorkerNode choose(
            TaskEntry task, String service, Collection<WorkerNode> workers, Set<AvailabilityZone> out, long now) {
        WorkerNode best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        Resources charge = task.step.charge();
        for (WorkerNode worker : workers) {
            if (!usable(worker, service, out, now) || !worker.fits(charge) || !allowed(task, worker, charge)) {
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

    private boolean allowed(TaskEntry task, WorkerNode worker, Resources charge) {
        Step.Constraints placement = task.step.placement();
        if (placement.label().isPresent()
                && !worker.entry.labels().contains(placement.label().get())) {
            return false;
        }
        if (task.step.lasting() && task.run == 0 && !roomToLast(task, worker, charge)) {
            return false;
        }
        if (task.step.service().fills() && !roomToFill(task, worker)) {
            return false;
        }
        return placement.perWorker() == 0 || worker.ofStep(task) < placement.perWorker();
    }

    /**
     * A first run of a lasting task leaves room for one more to short tasks until its job is late, and the reserved
     * workers to filling tasks. A lasting task that ran before is restarted wherever it fits.
     */
    private static boolean roomToLast(TaskEntry task, WorkerNode worker, Resources charge) {
        return !worker.reserved && (task.job.late || worker.fits(charge.plus(charge)));
    }

    /** Filling tasks only get what others leave, and press on the tasks that serve in proportion to their share. */
    private boolean roomToFill(TaskEntry task, WorkerNode worker) {
        if (worker.pacing.percent() < FULL
                || worker.spareMilliCores() < SPARE_PART * task.step.demand().milliCores()) {
            return false;
        }
        return worker.serving() == 0 || disturbance.expected(worker, task) <= MOST_EXPECTED;
    }

    /** From -2 if all serving tasks of the worker run other images to 2 if all run the same; 0 for an empty worker. */
    private static double sameImage(TaskEntry task, WorkerNode worker) {
        if (worker.serving() == 0) {
            return 0;
        }
        double same = worker.serving(task.step.service().image());
        return IMAGE_WEIGHT * (2 * same / worker.serving() - 1);
    }

    private double score(TaskEntry task, WorkerNode worker) {
        double capacity = Math.max(1, worker.entry.capacity().milliCores());
        double score;
        if (task.step.service().fills()) {
            // Filling tasks run at the speed of what is left and disturb the tasks that serve.
            score = worker.spareMilliCores() / capacity - disturbance.expected(worker, task);
        } else if (task.step.lasting()) {
            // Workers whose serving tasks run one image suit more of the filling images.
            score = sameImage(task, worker)
                    - worker.freeMilliCores() / capacity
                    - worker.ofStep(task)
                    - (worker.reserved ? LAST_RESORT : 0);
        } else {
            score = worker.spareMilliCores() / capacity - (worker.serving() > 0 ? 0.1 : 0);
        }
        boolean near = task.step
                .placement()
                .rack()
                .map(worker.entry.labels()::contains)
                .orElse(true);
        return near ? score + 10 : score;
    }
}
