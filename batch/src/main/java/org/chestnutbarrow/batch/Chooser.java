package org.chestnutbarrow.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.Resources;

/**
 * Chooses the worker for a task. Looks at few workers: in the order of their room, until no later one can be better, and
 * only at those that changed when no worker could take such a task before. Guarded by the lock of its {@link Cell}.
 */
final class Chooser {
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
    /** Requirements that are shared between jobs; about 50 bytes each. */
    private static final int MOST_CLASSES = 2000;
    /** Keeps a worker whose spare time is just enough from being left out by rounding. */
    private static final double ROUNDING = 1 - 1e-9;

    private static final int FULL = 100;

    private final Disturbance disturbance;
    private final WorkerIndex index;
    private final Map<Requirement, DemandClass> classes = new HashMap<>();
    private long examined;

    Chooser(Disturbance disturbance, WorkerIndex index) {
        this.disturbance = disturbance;
        this.index = index;
    }

    /** Workers that decisions have looked at so far. */
    long examined() {
        return examined;
    }

    /** The best worker, or null if none can take the task. */
    WorkerNode choose(TaskEntry task, long now) {
        DemandClass demand = demand(task);
        if (!possible(demand, now)) {
            return null;
        }
        WorkerNode best = best(task, demand.requirement, null, now);
        if (best == null) {
            demand.miss(index.changes());
        }
        return best;
    }

    /** Whether a worker may be able to take a task; if not, it looks only at workers that have changed since. */
    boolean possible(TaskEntry task, long now) {
        return possible(demand(task), now);
    }

    /** Whether a worker other than the one where it runs could take a task. */
    boolean fitsElsewhere(TaskEntry task, long now) {
        DemandClass demand = demand(task);
        if (!possible(demand, now)) {
            return false;
        }
        boolean fits = best(task, demand.requirement, task.on, now) != null;
        if (!fits && !suits(task.on, demand.requirement, now)) {
            demand.miss(index.changes());
        }
        return fits;
    }

    private boolean possible(DemandClass demand, long now) {
        if (!demand.missed()) {
            return true;
        }
        if (demand.missedAt() == index.changes()) {
            return false;
        }
        Requirement wanted = demand.requirement;
        boolean any = wanted.manner() instanceof Requirement.Filling
                ? index.anyObserved(demand.missedAt(), worker -> suits(worker, wanted, now))
                : index.anyFreed(demand.missedAt(), worker -> suits(worker, wanted, now));
        if (any) {
            demand.retry();
        } else {
            demand.miss(index.changes());
        }
        return any;
    }

    /**
     * What the task requires now. A first run of a lasting task leaves some room to short tasks, unless the worker could
     * take it twice. A lasting task that ran before is restarted wherever it fits.
     */
    private DemandClass demand(TaskEntry task) {
        boolean twice = task.step.lasting() && task.run == 0 && !leavesRoom(task.step.charge());
        DemandClass known = task.job.demand(task.name.step(), twice);
        if (known != null) {
            return known;
        }
        if (classes.size() >= MOST_CLASSES) {
            classes.clear();
        }
        DemandClass demand =
                classes.computeIfAbsent(Requirement.of(task, task.job.policy.service(), twice), DemandClass::new);
        task.job.demand(task.name.step(), twice, demand);
        return demand;
    }

    private boolean leavesRoom(Resources charge) {
        return index.freeMilliCores() - charge.milliCores() > SHORT_PART * index.allMilliCores();
    }

    private boolean suits(WorkerNode worker, Requirement wanted, long now) {
        examined++;
        return worker.usable(now)
                && worker.entry.service().equals(wanted.service())
                && worker.fits(wanted.room())
                && (wanted.label().isEmpty()
                        || worker.entry.labels().contains(wanted.label().get()))
                && (wanted.spread().isEmpty() || spreads(worker, wanted.spread().get()))
                && (!(wanted.manner() instanceof Requirement.Filling filling) || speed(filling, worker) >= LEAST_SPEED);
    }

    private static boolean spreads(WorkerNode worker, Requirement.Spread spread) {
        return worker.ofStep(spread.job(), spread.step()) < spread.perWorker();
    }

    private WorkerNode best(TaskEntry task, Requirement wanted, WorkerNode except, long now) {
        WorkerIndex.Pool pool = index.pool(wanted.service());
        Optional<String> rack = task.step.placement().rack();
        if (rack.isPresent()) {
            WorkerNode near = best(task, wanted, pool.labelled(rack.get()), false, except, now);
            if (near != null) {
                return near;
            }
        }
        Collection<WorkerNode> candidates = switch (wanted.manner()) {
            case Requirement.Finite _, Requirement.Lasting _ ->
                pool.byFree(wanted.room().milliCores());
            case Requirement.Filling filling -> pool.bySpare(LEAST_SPEED * filling.milliCores() * ROUNDING);
        };
        return best(task, wanted, candidates, true, except, now);
    }

    private WorkerNode best(
            TaskEntry task,
            Requirement wanted,
            Collection<WorkerNode> candidates,
            boolean ordered,
            WorkerNode except,
            long now) {
        WorkerNode best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerNode worker : candidates) {
            if (ordered && best != null && bound(wanted.manner(), worker) <= bestScore) {
                break;
            }
            if (worker == except || !suits(worker, wanted, now)) {
                continue;
            }
            double score = score(task, wanted.manner(), worker);
            if (score > bestScore) {
                bestScore = score;
                best = worker;
            }
        }
        return best;
    }

    private double score(TaskEntry task, Requirement.Manner manner, WorkerNode worker) {
        return switch (manner) {
            // Short tasks use up the room that is too small for others.
            case Requirement.Finite _ -> -freePart(worker);
            // Workers whose serving tasks run one image suit more of the filling images.
            case Requirement.Lasting lasting ->
                sameImage(lasting.image(), worker)
                        - freePart(worker)
                        - worker.ofStep(task.name.job(), task.name.step());
            case Requirement.Filling filling ->
                Math.min(1, speed(filling, worker)) + SPARE_WEIGHT * worker.part(worker.spareMilliCores());
        };
    }

    /** The highest score that a worker, and those after it in the order of the index, can have. */
    private static double bound(Requirement.Manner manner, WorkerNode worker) {
        return switch (manner) {
            case Requirement.Finite _ -> -freePart(worker);
            case Requirement.Lasting _ -> IMAGE_WEIGHT - freePart(worker);
            case Requirement.Filling _ -> 1 + SPARE_WEIGHT * worker.part(worker.spareMilliCores());
        };
    }

    private static double freePart(WorkerNode worker) {
        return worker.part(worker.freeMilliCores());
    }

    /**
     * The speed that a filling task can have on a worker, up to 1: filling tasks only get what others leave, and take
     * headroom from the tasks that serve.
     */
    private double speed(Requirement.Filling filling, WorkerNode worker) {
        double spare = (double) worker.spareMilliCores() / Math.max(1, filling.milliCores());
        return spare < LEAST_SPEED ? spare : Math.min(spare, share(filling.image(), filling.milliCores(), worker));
    }

    private double share(String image, int milliCores, WorkerNode worker) {
        return disturbance.share(worker, image, milliCores, LEAST_HEADROOM);
    }

    /** The pace at which a filling task starts on the worker that was chosen for it, in percent. */
    int pace(TaskEntry task, WorkerNode worker) {
        if (!task.step.service().fills()) {
            return FULL;
        }
        double share = share(task.step.service().image(), task.step.demand().milliCores(), worker);
        return (int) (FULL * Math.clamp(share, LEAST_SPEED, 1));
    }

    /** From -2 if all serving tasks of the worker run other images to 2 if all run the same; 0 for an empty worker. */
    private static double sameImage(String image, WorkerNode worker) {
        if (worker.serving() == 0) {
            return 0;
        }
        double same = worker.serving(image);
        return IMAGE_WEIGHT * (2 * same / worker.serving() - 1);
    }
}
