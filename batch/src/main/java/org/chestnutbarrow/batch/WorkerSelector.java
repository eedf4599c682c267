package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.chestnutbarrow.model.Resources;

/**
 * Selects the worker for a task. To keep the number of examined workers small, candidates are visited in index order
 * until no later one can score higher, and a task that no worker could take is retried only on workers that have
 * changed since. Guarded by the lock of its {@link BatchScheduler}.
 */
final class WorkerSelector {
    /** Minimum expected speed of a new best-effort task, as a fraction of full speed. */
    private static final double MIN_SPEED = 0.8;
    /** Minimum latency headroom that a new best-effort task must leave to the latency-critical tasks on its worker. */
    private static final double MIN_HEADROOM = 1.2;
    /** Weight of spare CPU relative to expected speed, so that workers with more spare CPU win ties. */
    private static final double SPARE_WEIGHT = 0.3;
    /** Weight of image affinity; the other terms of a score are at most about 1. */
    private static final double IMAGE_AFFINITY_WEIGHT = 2;
    /** Fraction of the total CPU capacity that first runs of long-running tasks leave to short tasks. */
    private static final double SHORT_TASK_RESERVE = 0.08;
    /** Bound on the cached equivalence classes, which take about 50 bytes each. */
    private static final int MAX_CACHED_CLASSES = 2000;
    /** Keeps rounding errors from excluding a worker whose spare CPU is exactly sufficient. */
    private static final double ROUNDING_TOLERANCE = 1 - 1e-9;

    private static final int FULL_SPEED_PERCENT = 100;

    private final InterferenceModel interferenceModel;
    private final WorkerIndex index;
    private final Map<Requirement, EquivalenceClass> equivalenceClasses = new HashMap<>();
    private long examinedWorkers;

    WorkerSelector(InterferenceModel interferenceModel, WorkerIndex index) {
        this.interferenceModel = interferenceModel;
        this.index = index;
    }

    /** Returns the number of workers that decisions have examined so far. */
    long examinedWorkers() {
        return examinedWorkers;
    }

    /**
     * Returns the best worker for the task, or null if no worker can take it. The worker on which its last run failed
     * comes last, because it may be faulty.
     */
    WorkerNode select(TaskEntry task, long now) {
        EquivalenceClass equivalenceClass = equivalenceClass(task);
        if (!mayFit(equivalenceClass, now)) {
            return null;
        }
        WorkerNode best = bestWorker(task, equivalenceClass.requirement, worker -> worker != task.failedOn, now);
        if (best == null && task.failedOn != null) {
            best = bestWorker(task, equivalenceClass.requirement, _ -> true, now);
        }
        if (best == null) {
            equivalenceClass.markInfeasible(index.latestChange());
        } else {
            equivalenceClass.markPlaced(now);
        }
        return best;
    }

    /** Returns whether {@link #select} has found a worker within a time for a task with an equal requirement. */
    boolean wasPlacedWithin(TaskEntry task, Duration duration, long now) {
        return equivalenceClass(task).placedWithin(duration, now);
    }

    /** Returns the best of the workers that {@code candidate} accepts, or null if none of them can take the task. */
    WorkerNode select(TaskEntry task, Predicate<WorkerNode> candidate, long now) {
        EquivalenceClass equivalenceClass = equivalenceClass(task);
        return mayFit(equivalenceClass, now) ? bestWorker(task, equivalenceClass.requirement, candidate, now) : null;
    }

    /**
     * Returns whether some worker may be able to take the task. If none could before, only workers that have changed
     * since are examined.
     */
    boolean mayFit(TaskEntry task, long now) {
        return mayFit(equivalenceClass(task), now);
    }

    /** Returns the best sound worker for the task other than the assigned one, or null if no other one can take it. */
    WorkerNode selectElsewhere(TaskEntry task, long now) {
        EquivalenceClass equivalenceClass = equivalenceClass(task);
        if (!mayFit(equivalenceClass, now)) {
            return null;
        }
        Requirement requirement = equivalenceClass.requirement;
        WorkerNode best = bestSoundWorker(
                task, requirement, worker -> worker.health.isSound() && worker != task.assignedNode, now);
        if (best == null
                && index.pool(requirement.service()).onProbation().isEmpty()
                && !isFeasible(task.assignedNode, requirement, now)) {
            equivalenceClass.markInfeasible(index.latestChange());
        }
        return best;
    }

    /**
     * Returns whether a worker could take a best-effort task apart from the speed of its run, is sound and has no other
     * slow best-effort task.
     */
    boolean permitsSlowRun(WorkerNode worker, Requirement requirement, long now) {
        examinedWorkers++;
        return !worker.hasSlowTask()
                && worker.health.isSound()
                && worker.fits(requirement.freeResources())
                && isEligible(worker, requirement, 0, now);
    }

    private boolean mayFit(EquivalenceClass equivalenceClass, long now) {
        if (!equivalenceClass.isInfeasible()) {
            return true;
        }
        if (equivalenceClass.infeasibleAtChange() == index.latestChange()) {
            return false;
        }
        Requirement requirement = equivalenceClass.requirement;
        boolean anyFeasible = requirement.mode() instanceof Requirement.BestEffort
                ? index.anyBestEffortChangeSince(
                        equivalenceClass.infeasibleAtChange(), worker -> isFeasible(worker, requirement, now))
                : index.anyFreedSince(
                        equivalenceClass.infeasibleAtChange(), worker -> isFeasible(worker, requirement, now));
        if (anyFeasible) {
            equivalenceClass.clearInfeasible();
        } else {
            equivalenceClass.markInfeasible(index.latestChange());
        }
        return anyFeasible;
    }

    /**
     * Returns the equivalence class of the task. The first run of a long-running task requires double room on its
     * worker while the CPU reserve for short tasks would be used up; later runs are placed wherever they fit.
     */
    private EquivalenceClass equivalenceClass(TaskEntry task) {
        boolean doubleRoom =
                task.step.longRunning() && task.run == 0 && !leavesShortTaskReserve(task.step.reservation());
        EquivalenceClass cached = task.job.equivalenceClass(task.name.step(), doubleRoom);
        if (cached != null) {
            return cached;
        }
        if (equivalenceClasses.size() >= MAX_CACHED_CLASSES) {
            equivalenceClasses.clear();
        }
        EquivalenceClass equivalenceClass = equivalenceClasses.computeIfAbsent(
                Requirement.of(task, task.job.policy.service(), doubleRoom), EquivalenceClass::new);
        task.job.setEquivalenceClass(task.name.step(), doubleRoom, equivalenceClass);
        return equivalenceClass;
    }

    private boolean leavesShortTaskReserve(Resources reservation) {
        return index.freeMilliCores() - reservation.milliCores() > SHORT_TASK_RESERVE * index.capacityMilliCores();
    }

    /** Returns whether a worker that keeps room for a task still satisfies all its other requirements. */
    boolean acceptsClaimOf(TaskEntry task, WorkerNode worker, long now) {
        return isEligible(worker, equivalenceClass(task).requirement, 1, now);
    }

    /** Returns whether a worker could keep room for a task once its tasks that end have ended. */
    boolean couldClaim(TaskEntry task, WorkerNode worker, long now) {
        return couldClaim(worker, equivalenceClass(task).requirement, now);
    }

    private boolean couldClaim(WorkerNode worker, Requirement requirement, long now) {
        examinedWorkers++;
        return worker.health.isSound()
                && isEligible(worker, requirement, 0, now)
                && !(requirement.mode() instanceof Requirement.BestEffort)
                && worker.lastingReservation().plus(requirement.freeResources()).fitsIn(worker.registration.capacity());
    }

    /**
     * Returns whether some worker may be able to keep room for the task. If none could before, only workers that have
     * changed since are examined.
     */
    boolean mayClaim(TaskEntry task, long now) {
        EquivalenceClass equivalenceClass = equivalenceClass(task);
        long change = equivalenceClass.unclaimableAtChange();
        if (change < 0 || index.anyFreedSince(change, w -> couldClaim(w, equivalenceClass.requirement, now))) {
            return true;
        }
        equivalenceClass.markUnclaimable(index.latestChange());
        return false;
    }

    /** Records that no worker can keep room for the task until one changes. */
    void markUnclaimable(TaskEntry task) {
        equivalenceClass(task).markUnclaimable(index.latestChange());
    }

    /** Returns whether a worker has enough spare CPU for a best-effort task to run at {@link #MIN_SPEED}. */
    boolean hasSpareCpu(TaskEntry task, WorkerNode worker) {
        return spareShare(task.step.demand().milliCores(), worker) >= MIN_SPEED;
    }

    /** Returns what the workers of its service have to offer to a best-effort task. Examines all of them. */
    Plan.BestEffortRefusal refusal(TaskEntry task) {
        WorkerIndex.Pool pool = index.pool(task.job.policy.service());
        int withoutLatencyCritical = 0;
        double bestSpare = 0;
        double bestShare = Double.NEGATIVE_INFINITY;
        for (WorkerNode worker : pool.all()) {
            examinedWorkers++;
            withoutLatencyCritical += worker.latencyCriticalTasks() == 0 ? 1 : 0;
            bestSpare = Math.max(bestSpare, spareShare(task.step.demand().milliCores(), worker));
            bestShare = Math.max(bestShare, allowedShare(task, worker));
        }
        return new Plan.BestEffortRefusal(
                pool.all().size(),
                withoutLatencyCritical,
                (double) pool.freeMilliCores() / Math.max(1, pool.capacityMilliCores()),
                bestSpare,
                bestShare,
                interferenceModel.typicalHeadroom(),
                interferenceModel.maxWeight(task.step.behaviour().image()),
                interferenceModel.learntReports(),
                interferenceModel.learntReportsBesideBestEffort());
    }

    /** Returns the requirement of a task on its worker as of now. */
    Requirement requirement(TaskEntry task) {
        return equivalenceClass(task).requirement;
    }

    /** Returns whether a worker can take the tasks with a requirement now. */
    boolean isFeasible(WorkerNode worker, Requirement requirement, long now) {
        examinedWorkers++;
        return worker.fits(requirement.freeResources())
                && isEligible(worker, requirement, 0, now)
                && (!(requirement.mode() instanceof Requirement.BestEffort bestEffort)
                        || expectedSpeed(bestEffort, worker) >= MIN_SPEED);
    }

    /**
     * Returns whether a worker satisfies all requirements but those on room; {@code ownClaims} is the number of claims
     * on the worker for the task itself.
     */
    private static boolean isEligible(WorkerNode worker, Requirement requirement, int ownClaims, long now) {
        return worker.acceptsTasks(now)
                && (requirement.mode() instanceof Requirement.LongRunning || !worker.resultRisk.isPresent(now))
                && worker.registration.service().equals(requirement.service())
                && (requirement.label().isEmpty()
                        || worker.registration
                                .labels()
                                .contains(requirement.label().get()))
                && (requirement.spread().isEmpty()
                        || satisfiesSpread(worker, requirement.spread().get(), ownClaims));
    }

    private static boolean satisfiesSpread(WorkerNode worker, Requirement.Spread spread, int ownClaims) {
        return worker.countOfStep(spread.job(), spread.step()) - ownClaims < spread.maxPerWorker();
    }

    /** Returns the best sound worker or, if none has room, the best one on probation. */
    private WorkerNode bestWorker(TaskEntry task, Requirement requirement, Predicate<WorkerNode> candidate, long now) {
        Predicate<WorkerNode> soundCandidate = worker -> worker.health.isSound() && candidate.test(worker);
        WorkerNode best = bestSoundWorker(task, requirement, soundCandidate, now);
        Collection<WorkerNode> onProbation = index.pool(requirement.service()).onProbation();
        return best != null ? best : bestWorker(task, requirement, onProbation, false, candidate, now);
    }

    private WorkerNode bestSoundWorker(
            TaskEntry task, Requirement requirement, Predicate<WorkerNode> candidate, long now) {
        WorkerIndex.Pool pool = index.pool(requirement.service());
        Optional<String> rack = task.step.constraints().rack();
        if (rack.isPresent()) {
            WorkerNode sameRack = bestWorker(task, requirement, pool.withLabel(rack.get()), false, candidate, now);
            if (sameRack != null) {
                return sameRack;
            }
        }
        Collection<WorkerNode> workers = switch (requirement.mode()) {
            case Requirement.RunToCompletion _, Requirement.LongRunning _ ->
                pool.byFree(requirement.freeResources().milliCores());
            case Requirement.BestEffort bestEffort ->
                pool.bySpare(MIN_SPEED * bestEffort.milliCores() * ROUNDING_TOLERANCE);
        };
        return bestWorker(task, requirement, workers, true, candidate, now);
    }

    private WorkerNode bestWorker(
            TaskEntry task,
            Requirement requirement,
            Collection<WorkerNode> workers,
            boolean sortedByBound,
            Predicate<WorkerNode> candidate,
            long now) {
        WorkerNode best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerNode worker : workers) {
            if (sortedByBound && best != null && scoreUpperBound(requirement.mode(), worker) <= bestScore) {
                break;
            }
            if (!candidate.test(worker) || !isFeasible(worker, requirement, now)) {
                continue;
            }
            double score = score(task, requirement.mode(), worker);
            if (score > bestScore) {
                bestScore = score;
                best = worker;
            }
        }
        return best;
    }

    private double score(TaskEntry task, Requirement.Mode mode, WorkerNode worker) {
        return switch (mode) {
            // Best fit: short tasks fill gaps that are too small for other tasks.
            case Requirement.RunToCompletion _ -> -freeFraction(worker);
            // Workers whose latency-critical tasks all run one image are compatible with more best-effort images.
            case Requirement.LongRunning longRunning ->
                imageAffinity(longRunning.image(), worker)
                        - freeFraction(worker)
                        - worker.countOfStep(task.name.job(), task.name.step());
            case Requirement.BestEffort bestEffort ->
                Math.min(1, expectedSpeed(bestEffort, worker))
                        + SPARE_WEIGHT * worker.fractionOfCapacity(worker.spareMilliCores());
        };
    }

    /** Returns an upper bound on the score of a worker and of all workers after it in index order. */
    private static double scoreUpperBound(Requirement.Mode mode, WorkerNode worker) {
        return switch (mode) {
            case Requirement.RunToCompletion _ -> -freeFraction(worker);
            case Requirement.LongRunning _ -> IMAGE_AFFINITY_WEIGHT - freeFraction(worker);
            case Requirement.BestEffort _ -> 1 + SPARE_WEIGHT * worker.fractionOfCapacity(worker.spareMilliCores());
        };
    }

    private static double freeFraction(WorkerNode worker) {
        return worker.fractionOfCapacity(worker.freeMilliCores());
    }

    /**
     * Returns the speed that a best-effort task can reach on a worker, as a fraction of full speed. It is limited by
     * the spare CPU and by the headroom of the latency-critical tasks.
     */
    private double expectedSpeed(Requirement.BestEffort bestEffort, WorkerNode worker) {
        double spare = spareShare(bestEffort.milliCores(), worker);
        return spare < MIN_SPEED
                ? spare
                : Math.min(spare, allowedShare(bestEffort.image(), bestEffort.milliCores(), worker));
    }

    private static double spareShare(int milliCores, WorkerNode worker) {
        return (double) worker.spareMilliCores() / Math.max(1, milliCores);
    }

    private double allowedShare(String image, int milliCores, WorkerNode worker) {
        return interferenceModel.allowedShare(worker, image, milliCores, MIN_HEADROOM);
    }

    /** Returns the initial CPU limit of a task on the selected worker, in percent of its demand. */
    int initialCpuLimitPercent(TaskEntry task, WorkerNode worker) {
        if (!task.step.behaviour().bestEffort()) {
            return FULL_SPEED_PERCENT;
        }
        return (int) (FULL_SPEED_PERCENT * Math.clamp(allowedShare(task, worker), MIN_SPEED, 1));
    }

    /** Returns the share of full speed, up to 1 and possibly negative, that the model allows to a task on a worker. */
    double allowedShare(TaskEntry task, WorkerNode worker) {
        return allowedShare(task.step.behaviour().image(), task.step.demand().milliCores(), worker);
    }

    /**
     * Returns a score from -{@link #IMAGE_AFFINITY_WEIGHT}, if all latency-critical tasks of the worker run other
     * images, to +{@link #IMAGE_AFFINITY_WEIGHT}, if all run this one. The score is 0 if there are none.
     */
    private static double imageAffinity(String image, WorkerNode worker) {
        if (worker.latencyCriticalTasks() == 0) {
            return 0;
        }
        double sameImageTasks = worker.latencyCriticalTasksOf(image);
        return IMAGE_AFFINITY_WEIGHT * (2 * sameImageTasks / worker.latencyCriticalTasks() - 1);
    }
}
