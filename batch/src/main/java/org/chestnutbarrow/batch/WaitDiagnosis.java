package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.WaitReason.Exclusion;
import org.chestnutbarrow.model.TimeSource;

/**
 * Finds out why the job that has waited longest has nothing running. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: the jobs are visited and the workers of one service are searched at most once in {@link #INTERVAL}.
 */
final class WaitDiagnosis {
    /** Each diagnosis is a log line and a search over the workers of a service. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    /** A task that can be placed is started by the next plan, at most 0.2 s later, so a longer wait has another cause. */
    private static final Duration MIN_WAIT = Duration.ofSeconds(1);

    private final JobTable jobTable;
    private final WorkerRegistry registry;
    private final WorkerSelector workerSelector;
    private final TimeSource time;
    /** When a diagnosis was made last, in ns. */
    private long diagnosedAt;

    WaitDiagnosis(JobTable jobTable, WorkerRegistry registry, WorkerSelector workerSelector, TimeSource time) {
        this.jobTable = jobTable;
        this.registry = registry;
        this.workerSelector = workerSelector;
        this.time = time;
        diagnosedAt = time.nanos() - INTERVAL.toNanos();
    }

    /**
     * Returns why the job with the longest wait has nothing running, if there is one and a diagnosis is due. Called
     * after the tasks of a plan were placed.
     *
     * @param startsAllowed whether the plan allowed any start
     * @param startsLeft whether the plan allowed more starts than it made
     */
    Optional<Plan.WaitingJob> diagnose(boolean startsAllowed, boolean startsLeft) {
        long now = time.nanos();
        if (now - diagnosedAt < INTERVAL.toNanos()) {
            return Optional.empty();
        }
        diagnosedAt = now;
        TaskEntry longest = null;
        Duration longestWait = MIN_WAIT;
        int jobs = 0;
        for (JobEntry job : jobTable.jobs()) {
            TaskEntry task = job.longestWaiting(now);
            if (task == null || job.waited(task, now).compareTo(MIN_WAIT) <= 0) {
                continue;
            }
            jobs++;
            if (job.waited(task, now).compareTo(longestWait) > 0) {
                longest = task;
                longestWait = job.waited(task, now);
            }
        }
        if (longest == null) {
            return Optional.empty();
        }
        try {
            WaitReason reason = reason(longest, startsAllowed, startsLeft, now);
            return Optional.of(new Plan.WaitingJob(
                    longest.name,
                    longest.step.demand().milliCores(),
                    longestWait,
                    jobs,
                    reason,
                    isRefusedAsBestEffort(reason) ? Optional.of(workerSelector.refusal(longest)) : Optional.empty()));
        } catch (RuntimeException e) {
            jobTable.setAside(longest.job, e);
            return Optional.empty();
        }
    }

    private static boolean isRefusedAsBestEffort(WaitReason reason) {
        return reason instanceof WaitReason.Excluded excluded
                && (excluded.workers().containsKey(Exclusion.NO_SPARE_CPU)
                        || excluded.workers().containsKey(Exclusion.INTERFERENCE));
    }

    private WaitReason reason(TaskEntry task, boolean startsAllowed, boolean startsLeft, long now) {
        if (task.job.hasUnknownRuns()) {
            return new WaitReason.UnknownRuns();
        }
        if (!task.job.isPlaceable()) {
            return new WaitReason.SetAside();
        }
        if (!startsAllowed) {
            return new WaitReason.StartWindow();
        }
        if (!jobTable.accountUsage().permitsStart(task)) {
            return new WaitReason.AccountCap(task.job.spec.account());
        }
        return switch (searchWorkers(task, now)) {
            case WaitReason.NotPlaced _ when !startsLeft -> new WaitReason.StartWindow();
            case WaitReason reason -> reason;
        };
    }

    private WaitReason searchWorkers(TaskEntry task, long now) {
        String service = task.job.policy.service();
        List<WorkerNode> listed = registry.listed().stream()
                .filter(worker -> worker.registration.service().equals(service))
                .toList();
        if (listed.isEmpty()) {
            return new WaitReason.NoWorkers(service);
        }
        Optional<String> label = task.step.constraints().label();
        List<WorkerNode> labelled = listed.stream()
                .filter(worker ->
                        label.isEmpty() || worker.registration.labels().contains(label.get()))
                .toList();
        if (labelled.isEmpty()) {
            return new WaitReason.NoLabel(label.orElseThrow());
        }
        Map<Exclusion, Integer> excluded = new EnumMap<>(Exclusion.class);
        int suitable = 0;
        for (WorkerNode worker : labelled) {
            if (!worker.fitsBesideTasks(task.step.reservation())) {
                continue;
            }
            Optional<Exclusion> exclusion = exclusion(task, worker, now);
            exclusion.ifPresent(cause -> excluded.merge(cause, 1, Integer::sum));
            suitable += exclusion.isEmpty() ? 1 : 0;
        }
        if (suitable > 0) {
            return new WaitReason.NotPlaced(suitable);
        }
        return excluded.isEmpty() ? new WaitReason.NoRoom(labelled.size()) : new WaitReason.Excluded(excluded);
    }

    /** Returns why a worker that has the label and room beside its runs cannot take the task, if it cannot. */
    private Optional<Exclusion> exclusion(TaskEntry task, WorkerNode worker, long now) {
        Requirement requirement = workerSelector.requirement(task);
        if (workerSelector.isFeasible(worker, requirement, now)) {
            return Optional.empty();
        }
        if (!worker.ownershipConfirmed()) {
            return Optional.of(Exclusion.UNCONFIRMED);
        }
        if (worker.isDraining()) {
            return Optional.of(Exclusion.DRAINING);
        }
        if (!worker.isSchedulable()) {
            return Optional.of(Exclusion.EVACUATED);
        }
        if (worker.isUnresponsive(now)) {
            return Optional.of(Exclusion.UNRESPONSIVE);
        }
        if (!worker.acceptsTasks(now)) {
            return Optional.of(Exclusion.QUARANTINED);
        }
        if (worker.resultRisk.isPresent(now) && !(requirement.mode() instanceof Requirement.LongRunning)) {
            return Optional.of(Exclusion.RESTARTED);
        }
        if (!worker.fits(task.step.reservation())) {
            return Optional.of(Exclusion.CLAIMED);
        }
        if (!worker.fits(requirement.freeResources())) {
            return Optional.of(Exclusion.RESERVE);
        }
        boolean bestEffort = requirement.mode() instanceof Requirement.BestEffort;
        boolean spreadAllows = requirement
                .spread()
                .map(spread -> worker.countOfStep(spread.job(), spread.step()) < spread.maxPerWorker())
                .orElse(true);
        if (!bestEffort || !spreadAllows) {
            return Optional.of(Exclusion.SPREAD);
        }
        return Optional.of(workerSelector.hasSpareCpu(task, worker) ? Exclusion.INTERFERENCE : Exclusion.NO_SPARE_CPU);
    }
}
