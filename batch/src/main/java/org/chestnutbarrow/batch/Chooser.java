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

    /** Least speed of a new filling task, as a part of the one that it asks for. */
    private static final double LEAST_SPEED = 0.8;
    /** Headroom that must be left to serving tasks beside a new filling task. */
    private static final double LEAST_HEADROOM = 1.2;
    /** Weight of the spare processor time against the speed, to prefer workers with more of it among equals. */
    private static final double SPARE_WEIGHT = 0.3;
    /** Weight of equal images against the other parts of a score, which are at most about 1. */
    private static final double IMAGE_WEIGHT = 2;
    /** Part of the workers' declared room that first runs of lasting tasks leave to short ones. */
    private static final double SHORT_PART = 0.08;

    private static final int FULL = 100;

    private final Disturbance disturbance;

    private long freeMilliCores;
    private long allMilliCores;

    Chooser(Disturbance disturbance) {
        this.disturbance = disturbance;
    }

    /** Takes the room of all workers at the begin of a plan. */
    void begin(Collection<WorkerNode> workers) {
        freeMilliCores = 0;
        allMilliCores = 0;
        for (WorkerNode worker : workers) {
            if (worker.held && worker.listed) {
                freeMilliCores += worker.freeMilliCores();
                allMilliCores += worker.entry.capacity().milliCores();
            }
        }
    }

    /** Counts room that was given away since the begin of the plan. */
    void taken(Resources charge) {
        freeMilliCores -= charge.milliCores();
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
        if (task.step.lasting() && task.run == 0 && !roomToLast(worker, charge)) {
            return false;
        }
        return placement.perWorker() == 0 || worker.ofStep(task) < placement.perWorker();
    }

    /**
     * A first run of a lasting task leaves some room to short tasks, unless the worker could take
     * it twice. A lasting task that ran before is restarted wherever it fits.
     */
    private boolean roomToLast(WorkerNode worker, Resources charge) {
        return worker.fits(charge.plus(charge)) || freeMilliCores - charge.milliCores() > SHORT_PART * allMilliCores;
    }

    /**
     * The speed that a filling task can have on a worker, up to 1: filling tasks only get what others leave, and take
     * headroom from the tasks that serve.
     */
    private double speed(TaskEntry task, WorkerNode worker) {
        double spare = (double) worker.spareMilliCores()
                / Math.max(1, task.step.demand().milliCores());
        return spare < LEAST_SPEED ? spare : Math.min(spare, disturbance.share(worker, task, LEAST_HEADROOM));
    }

    /** The pace at which a filling task starts on the worker that was chosen for it, in percent. */
    int pace(TaskEntry task, WorkerNode worker) {
        if (!task.step.service().fills()) {
            return FULL;
        }
        return (int) (FULL * Math.clamp(disturbance.share(worker, task, LEAST_HEADROOM), LEAST_SPEED, 1));
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
            double speed = speed(task, worker);
            if (speed < LEAST_SPEED) {
                return Double.NEGATIVE_INFINITY;
            }
            score = Math.min(1, speed) + SPARE_WEIGHT * worker.spareMilliCores() / capacity;
        } else if (task.step.lasting()) {
            // Workers whose serving tasks run one image suit more of the filling images.
            score = sameImage(task, worker) - worker.freeMilliCores() / capacity - worker.ofStep(task);
        } else {
            // Short tasks use up the room that is too small for others.
            score = -worker.freeMilliCores() / capacity;
        }
        boolean near = task.step
                .placement()
                .rack()
                .map(worker.entry.labels()::contains)
                .orElse(true);
        return near ? score + 10 : score;
    }
}
