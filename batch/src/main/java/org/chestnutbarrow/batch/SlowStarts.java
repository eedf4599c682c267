package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Finds workers for best-effort tasks that have waited long and that no worker can take at nearly full speed, because
 * other best-effort tasks fill the spare CPU or because the interference model refuses them. Such a run starts at the
 * CPU limit that the model allows, at least at a floor, and shares the CPU that is left with the best-effort tasks beside
 * it; {@link InterferenceController} adjusts its limit with each report. Guarded by the lock of its
 * {@link BatchScheduler}.
 *
 * <p>Invariants: a worker gets no such run while it has one or another slow best-effort task; the searches of a
 * plan examine at most {@link #MAX_EXAMINED_WORKERS} workers and those of one service.
 */
final class SlowStarts {
    /**
     * Bound on the workers that the searches of a plan examine, beyond which no further search begins: two searches on a
     * service of 425 workers. Tasks with equal requirements share a search.
     */
    private static final int MAX_EXAMINED_WORKERS = 500;
    /** Part of that bound that is reserved for searches that were not without a result in the last interval. */
    private static final int EXAMINED_WORKERS_FOR_NEW_SEARCHES = MAX_EXAMINED_WORKERS / 2;

    /**
     * Share of the workers of a service that tasks with recently placed requirements leave without a slow run, so that
     * those for which no worker was found lately get one at once.
     */
    private static final double OPEN_SHARE = 1.0 / 3;

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);
    /**
     * Least share of full speed. At this share a task takes little headroom, and its reports correct a model that is too
     * pessimistic.
     */
    static final double FLOOR_SHARE = 0.1;
    /**
     * Headroom in the last reports of a worker beside which a run at {@link #FLOOR_SHARE} is safe although the model
     * expects less; it is the headroom at which {@link InterferenceController} raises CPU limits.
     */
    private static final double MIN_REPORTED_HEADROOM = 1.3;
    /** Weight of spare CPU relative to the speed that a run can reach, so that runs go where they take least from others. */
    private static final double SPARE_WEIGHT = 0.3;

    private static final int FULL_SPEED_PERCENT = 100;

    private final WorkerSelector workerSelector;
    private final WorkerIndex index;
    /** Workers of each service without a slow best-effort task, as far as the current plan has used them. */
    private final Map<String, List<WorkerNode>> openWorkers = new HashMap<>();
    /** Results of the searches of the current plan, best worker first. */
    private final Map<Requirement, Deque<Candidate>> candidates = new HashMap<>();
    /** When the last searches without a result were made, in ns. */
    private final Map<Search, Long> failedAt = new HashMap<>();

    private int examinationsLeft;

    /**
     * A worker with whether it has the CPU for a run at {@link #FLOOR_SHARE} and whether its latency-critical tasks have
     * headroom to spare.
     */
    private record Candidate(WorkerNode worker, boolean hasCpu, boolean hasHeadroom, double score) {
        private static final Comparator<Candidate> BEST_FIRST = Comparator.comparing(Candidate::hasCpu)
                .thenComparing(Candidate::hasHeadroom)
                .thenComparingDouble(Candidate::score)
                .reversed();

        boolean permitsFurtherTask() {
            return hasCpu && hasHeadroom;
        }
    }

    private record Search(Requirement requirement, boolean firstTask) {}

    /** What a slow start is for. */
    enum Kind {
        /** A task of a job with nothing running. */
        FIRST_TASK,
        /** Another task, which needs a worker with CPU and with headroom to spare for its latency-critical tasks. */
        FURTHER_TASK,
        /** A further task with a requirement for which a worker was found lately; leaves some workers to the others. */
        RECENTLY_PLACED
    }

    SlowStarts(WorkerSelector workerSelector, WorkerIndex index) {
        this.workerSelector = workerSelector;
        this.index = index;
    }

    /** Begins a plan with new searches. */
    void beginPlan(long now) {
        openWorkers.clear();
        candidates.clear();
        failedAt.values().removeIf(at -> now - at >= RETRY_INTERVAL.toNanos());
        examinationsLeft = MAX_EXAMINED_WORKERS;
    }

    /**
     * Returns the worker on which a slow run of the task reaches most speed and disturbs least, or null if there is none
     * or the searches of the plan are used up.
     */
    WorkerNode select(TaskEntry task, Kind kind, long now) {
        Requirement requirement = workerSelector.requirement(task);
        List<WorkerNode> open = openWorkers(requirement.service());
        int workersLeftOpen = kind == Kind.RECENTLY_PLACED
                ? (int) (OPEN_SHARE * index.pool(requirement.service()).all().size())
                : 0;
        if (open.size() <= workersLeftOpen) {
            return null;
        }
        boolean firstTask = kind == Kind.FIRST_TASK;
        Search search = new Search(requirement, firstTask);
        Deque<Candidate> found = candidates.get(requirement);
        if (found == null) {
            if (examinationsLeft <= (failedAt.containsKey(search) ? EXAMINED_WORKERS_FOR_NEW_SEARCHES : 0)) {
                return null;
            }
            found = search(task, requirement, now);
            candidates.put(requirement, found);
        }
        // Other starts of this plan may have taken a worker that was found before.
        while (!found.isEmpty() && !isStillOpen(found.getFirst().worker(), requirement, now)) {
            found.removeFirst();
        }
        if (found.isEmpty() || (!firstTask && !found.getFirst().permitsFurtherTask())) {
            failedAt.put(search, now);
            return null;
        }
        WorkerNode worker = found.removeFirst().worker();
        open.remove(worker);
        return worker;
    }

    private boolean isStillOpen(WorkerNode worker, Requirement requirement, long now) {
        return !worker.hasSlowTask() && workerSelector.permitsSlowRun(worker, requirement, now);
    }

    private List<WorkerNode> openWorkers(String service) {
        return openWorkers.computeIfAbsent(service, this::findOpenWorkers);
    }

    private List<WorkerNode> findOpenWorkers(String service) {
        return index.pool(service).all().stream()
                .filter(worker -> worker.health.isSound() && !worker.hasSlowTask())
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private Deque<Candidate> search(TaskEntry task, Requirement requirement, long now) {
        List<Candidate> found = new ArrayList<>();
        for (WorkerNode worker : openWorkers(requirement.service())) {
            examinationsLeft--;
            if (workerSelector.permitsSlowRun(worker, requirement, now)) {
                double share = workerSelector.allowedShare(task, worker);
                boolean hasHeadroom = share >= FLOOR_SHARE || minReportedHeadroom(worker) >= MIN_REPORTED_HEADROOM;
                double cpuSpeed = worker.bestEffortSpeed(task.step.demand().milliCores());
                double spare = worker.fractionOfCapacity(worker.spareMilliCores());
                found.add(new Candidate(
                        worker,
                        cpuSpeed >= FLOOR_SHARE,
                        hasHeadroom,
                        Math.min(share, cpuSpeed) + SPARE_WEIGHT * spare));
            }
        }
        found.sort(Candidate.BEST_FIRST);
        return new ArrayDeque<>(found);
    }

    /** Returns the initial CPU limit of a task on a worker that {@link #select} has returned. */
    int cpuLimitPercent(TaskEntry task, WorkerNode worker) {
        return (int) (FULL_SPEED_PERCENT * Math.clamp(workerSelector.allowedShare(task, worker), FLOOR_SHARE, 1));
    }

    /**
     * Returns the lowest headroom in the last reports of the latency-critical tasks on a worker: infinite if there is
     * none, 0 if one has not reported a latency.
     */
    private static double minReportedHeadroom(WorkerNode worker) {
        double minimum = Double.POSITIVE_INFINITY;
        for (TaskEntry task : worker.tasks) {
            if (task.isLatencyCritical()) {
                minimum = Math.min(minimum, task.loadMetric > 0 ? task.headroom() : 0);
            }
        }
        return minimum;
    }
}
