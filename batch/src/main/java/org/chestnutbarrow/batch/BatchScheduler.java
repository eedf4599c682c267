package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Schedules the tasks of all jobs of one owner on its workers. Events are reported through the methods of this class;
 * {@link #plan} returns the state to store and the orders to send. Thread-safe: all state is guarded by the monitor of
 * this object, which is held only while a decision is made and never while waiting.
 *
 * <p>Invariants: a run is ordered only after its placement was stored; a task has at most one run that is not known to
 * have ended; the resources of a run are reserved on its worker from before the order is sent until the worker reports
 * its end or its lease has expired; a finished task is never started again.
 */
public final class BatchScheduler {
    private final TimeSource time;
    private final JobTable jobTable;
    private final WorkerRegistry registry;
    private final InterferenceModel interferenceModel = new InterferenceModel();
    private final StalledRuns stalledRuns = new StalledRuns();
    private final IneffectiveEnds ineffectiveEnds;
    private final ReportProcessor reportProcessor;
    private final InterferenceController interferenceController;
    private final RoomClaims roomClaims;
    private final DrainController drainController;
    private final TaskPlacer taskPlacer;
    private final WorkerSelector workerSelector;
    private final WaitDiagnosis waitDiagnosis;
    /** Whether the last plan could start tasks. */
    private boolean startsAllowed;

    /** Creates a scheduler without jobs and workers. */
    public BatchScheduler(TimeSource time) {
        this.time = time;
        jobTable = new JobTable(time);
        registry = new WorkerRegistry(jobTable, time);
        ineffectiveEnds = new IneffectiveEnds(time);
        reportProcessor = new ReportProcessor(jobTable, registry.index(), stalledRuns, ineffectiveEnds);
        interferenceController = new InterferenceController(jobTable, interferenceModel);
        workerSelector = new WorkerSelector(interferenceModel, registry.index());
        roomClaims = new RoomClaims(workerSelector, registry.index());
        drainController = new DrainController(jobTable, roomClaims);
        taskPlacer = new TaskPlacer(jobTable, workerSelector, roomClaims, registry.index(), time);
        waitDiagnosis = new WaitDiagnosis(jobTable, registry, workerSelector, time);
    }

    /** Replaces the queue policies in force, by queue key. */
    public synchronized void configure(Map<String, Queue> queues) {
        jobTable.configure(queues);
    }

    /** Replaces the client accounts in force, by name. */
    public synchronized void configureAccounts(Map<String, Account> accounts) {
        jobTable.accountUsage().configure(accounts);
    }

    /** Returns what the tasks of the accounts in force hold on all workers, by account. */
    public synchronized Map<String, Resources> accountUsage() {
        return jobTable.accountUsage().byAccount();
    }

    /** Replaces the set of evacuated availability zones, whose workers get no new tasks. */
    public synchronized void setEvacuatedZones(Set<AvailabilityZone> zones) {
        registry.setEvacuatedZones(zones);
    }

    /** Sets the longest time between two reports of a worker that responds. */
    public synchronized void expectReportsEvery(Duration interval) {
        registry.index().setReportInterval(interval, time.nanos());
    }

    /** Restores the estimates that an earlier owner stored. Called before jobs and workers are added. */
    public synchronized void restore(Estimates estimates) {
        interferenceModel.restore(estimates.sensitivities(), time.nanos());
        registry.restoreHealth(estimates.health());
        stalledRuns.restore(estimates.stalledRuns());
    }

    /** Returns the current estimates. */
    public synchronized Estimates estimates() {
        return new Estimates(
                interferenceModel.sensitivities(), registry.health(), stalledRuns.records(registry.listed()));
    }

    /** Returns whether the health of a worker has changed since the last call. */
    public synchronized boolean takeHealthChange() {
        return registry.takeHealthChange();
    }

    /**
     * Adds a job and restores {@code storedProgress}, if an earlier owner stored any; a cancelled job is cancelled
     * before any of its tasks can be placed. A job whose progress cannot be restored is set aside. Has no further effect
     * if the job is already known, or if it has ended and has no runs left, by its stored progress or by an earlier call or
     * plan: {@code storedProgress} may have been read before the end was stored.
     */
    public synchronized JobAddition addJob(JobSpec spec, Optional<JobProgress> storedProgress, boolean cancelled) {
        JobAddition addition = add(spec, storedProgress);
        if (cancelled) {
            cancelJob(spec.id());
        }
        return addition;
    }

    /** Equivalent to {@code addJob(spec, storedProgress, false)}. */
    public JobAddition addJob(JobSpec spec, Optional<JobProgress> storedProgress) {
        return addJob(spec, storedProgress, false);
    }

    /**
     * Adds a job whose stored progress cannot be read for the given cause, and sets it aside: its tasks may run or have
     * finished. Has no further effect if the job is known or has ended; it can be cancelled.
     */
    public synchronized JobAddition addUnreadableJob(JobSpec spec, RuntimeException cause, boolean cancelled) {
        JobAddition addition = additionOf(spec.id());
        if (addition == JobAddition.ADDED) {
            jobTable.setAsidePartlyRestored(jobTable.add(spec), cause);
        }
        if (cancelled) {
            cancelJob(spec.id());
        }
        return addition;
    }

    private JobAddition additionOf(JobId id) {
        if (jobTable.job(id) != null) {
            return JobAddition.KNOWN;
        }
        return jobTable.hasEnded(id) ? JobAddition.ENDED : JobAddition.ADDED;
    }

    private JobAddition add(JobSpec spec, Optional<JobProgress> storedProgress) {
        JobAddition addition = additionOf(spec.id());
        if (addition != JobAddition.ADDED) {
            return addition;
        }
        if (storedProgress.isPresent()
                && storedProgress.get().state().isFinal()
                && storedProgress.get().steps().isEmpty()) {
            jobTable.markEnded(spec.id());
            return JobAddition.ENDED;
        }
        JobEntry job = jobTable.add(spec);
        try {
            storedProgress.ifPresent(progress -> restore(job, progress));
        } catch (RuntimeException e) {
            jobTable.setAsidePartlyRestored(job, e);
        }
        reportProcessor.jobAdded(spec.id(), time.nanos());
        return JobAddition.ADDED;
    }

    /**
     * Forgets the ends of jobs whose stored progress is removed. Until then a job stays ended whatever progress it is added
     * with.
     */
    public synchronized void forgetEnded(Collection<JobId> jobs) {
        jobTable.forgetEnded(jobs);
    }

    /** Returns the number of jobs that are known to have ended. */
    synchronized int endedJobs() {
        return jobTable.endedJobs();
    }

    private void restore(JobEntry job, JobProgress progress) {
        job.setState(progress.state(), progress.changedAt());
        for (int step = 0; step < Math.min(progress.steps().size(), job.tasksByStep.size()); step++) {
            List<TaskRecord> records = progress.steps().get(step);
            for (int index = 0;
                    index < Math.min(records.size(), job.tasksByStep.get(step).size());
                    index++) {
                restore(job, job.tasksByStep.get(step).get(index), records.get(index));
            }
        }
        job.markReadySteps(time);
    }

    private void restore(JobEntry job, TaskEntry task, TaskRecord record) {
        task.run = record.run();
        task.failures = record.failures();
        task.checkpoint = record.checkpoint();
        job.outcomes.restore(record);
        task.settledRun = record.placedOn().isPresent() ? record.run() - 1 : record.run();
        if (record.done()) {
            job.taskFinished(task);
        }
        record.waitingSince().ifPresent(since -> task.waitStart = WaitStart.restored(since, time));
        record.placedOn()
                .ifPresentOrElse(
                        incarnation -> {
                            WorkerNode node = registry.nodeFor(incarnation);
                            node.add(task);
                            // A worker that has reported to this owner refuses starts of earlier ones.
                            task.inherited = !node.ownershipConfirmed();
                            task.startSettledAt = task.inherited ? 0 : Math.max(1, time.nanos());
                            task.progressedAt = time.nanos();
                        },
                        () -> jobTable.markRestarted(task));
    }

    /** Cancels a job. Has no effect if the job is unknown or has ended. */
    public synchronized void cancelJob(JobId id) {
        endJob(id, JobState.CANCELLED, "cancelled");
    }

    /** Ends a job as failed, for a reason that is logged with its stops. Has no effect if it is unknown or has ended. */
    public synchronized void failJob(JobId id, String reason) {
        endJob(id, JobState.FAILED, reason);
    }

    private void endJob(JobId id, JobState state, String reason) {
        JobEntry job = jobTable.job(id);
        if (job != null && !job.state.isFinal()) {
            jobTable.endJob(job, state, reason);
        }
    }

    /** Updates the list of workers. A worker that is missing from {@code registrations} gets no new tasks. */
    public synchronized void updateWorkers(Collection<WorkerRegistration> registrations) {
        registry.update(registrations, time.nanos());
    }

    /**
     * Keeps tasks with a result from a worker incarnation until a time, ns. Until then, acknowledgements meant for an
     * earlier one may make it discard ends that it has not listed.
     */
    public synchronized void keepResultsAway(TaskRecord.WorkerIncarnation incarnation, long until) {
        WorkerNode node = registry.find(incarnation.worker());
        if (node != null && node.incarnation() == incarnation.incarnation()) {
            node.resultRisk.extendUntil(until);
        }
    }

    /** Releases all runs of a worker incarnation whose leases have expired. */
    public synchronized void expireLeases(TaskRecord.WorkerIncarnation incarnation) {
        registry.expireLeases(incarnation);
    }

    /** Returns the worker incarnations that may run tasks and have not reported to this owner. */
    public synchronized Set<TaskRecord.WorkerIncarnation> unconfirmedIncarnations() {
        return registry.unconfirmedIncarnations();
    }

    /** Processes a worker's report; {@code sentAt} is the time just before the request was sent, in ns. */
    public synchronized void report(WorkerReport report, long sentAt) {
        WorkerNode node = registry.find(report.worker());
        if (node == null || node.incarnation() != report.incarnation()) {
            return;
        }
        long now = time.nanos();
        reportProcessor.process(node, report, sentAt, now);
        interferenceModel.observe(node, now);
        // A task that is stopped while no task can be started would only run for a shorter time.
        if (startsAllowed) {
            drainController.drain(node, now);
        }
        interferenceController.adjust(node, now, task -> startsAllowed && roomClaims.claimElsewhere(task, now));
    }

    /** Returns whether the run of an order is assigned to the worker incarnation that receives the order. */
    public synchronized boolean isAssigned(Order order) {
        TaskEntry task = jobTable.task(order.task());
        return task != null
                && task.run == order.run()
                && task.assignedNode != null
                && task.assignedNode.receives(order);
    }

    /**
     * Returns whether a start or a CPU limit is still wanted: the run has not been stopped and, for a start, its worker
     * accepts new tasks.
     */
    public synchronized boolean isWanted(Order order) {
        if (!isAssigned(order)) {
            return false;
        }
        TaskEntry task = jobTable.task(order.task());
        boolean runContinues = !task.stopOrdered && !task.done && !task.job.state.isFinal();
        return runContinues && (!(order instanceof Order.Start) || task.assignedNode.isSchedulable());
    }

    /** Handles an order that was not sent because its worker incarnation is not listed, or no longer. */
    public synchronized void orderDropped(Order order) {
        if (!isAssigned(order)) {
            return;
        }
        TaskEntry task = jobTable.task(order.task());
        switch (order) {
            case Order.Start _ -> rejectStart(order.task(), order.run(), false);
            // The next report that lists the run orders the stop again.
            case Order.Stop _ -> task.setStopOrdered(false);
            case Order.SetCpuLimit _ -> {}
        }
    }

    /** Handles a worker's confirmation that a run was started. */
    public synchronized void confirmStarted(TaskName name, int run) {
        TaskEntry task = jobTable.task(name);
        if (task != null && task.run == run && task.assignedNode != null) {
            task.confirmed = true;
            jobTable.markRunning(task.job);
            task.startSettledAt = Math.max(1, time.nanos());
            task.progressedAt = time.nanos();
        }
    }

    /**
     * Releases a run that the worker has certainly not started and never will; {@code unhealthy} is set if the worker
     * gave its own health as the reason.
     */
    public synchronized void rejectStart(TaskName name, int run, boolean unhealthy) {
        TaskEntry task = jobTable.task(name);
        if (task != null && task.run == run && task.assignedNode != null && !task.confirmed) {
            if (unhealthy) {
                task.assignedNode.recordUnhealthy(time.nanos());
            }
            jobTable.release(task);
        }
    }

    /**
     * Records that no order for the run can take effect any more. A later report of the worker shows whether the run
     * was started or has ended.
     */
    public synchronized void abandonStart(TaskName name, int run) {
        TaskEntry task = jobTable.task(name);
        if (task != null && task.run == run && task.assignedNode != null && task.startSettledAt == 0) {
            task.startSettledAt = Math.max(1, time.nanos());
        }
    }

    /** Returns whether a job has been added and has not ended, or has runs left. */
    public synchronized boolean knows(JobId id) {
        return jobTable.job(id) != null;
    }

    /** Returns the runs that this owner placed at least {@code age} ago and whose start is not settled, oldest first. */
    public synchronized List<UnsettledStart> unsettledStarts(Duration age) {
        long now = time.nanos();
        return jobTable.jobs().stream()
                .flatMap(job -> job.tasksByStep.stream().flatMap(List::stream))
                .filter(task -> task.assignedNode != null && task.startSettledAt == 0 && !task.inherited)
                .filter(task -> now - task.placedAt >= age.toNanos())
                .map(task -> new UnsettledStart(
                        task.name, task.run, task.assignedNode.id(), Duration.ofNanos(now - task.placedAt)))
                .sorted(Comparator.comparing(UnsettledStart::age).reversed())
                .toList();
    }

    /** Returns a plan without a bound on its starts. */
    public Plan plan() {
        return plan(Integer.MAX_VALUE);
    }

    /**
     * Returns the state to store and the orders to send, after assigning at most {@code maxStarts} waiting tasks to
     * workers, those of the most urgent jobs first.
     */
    public synchronized Plan plan(int maxStarts) {
        Checks.require(maxStarts >= 0, "maxStarts must not be negative");
        startsAllowed = maxStarts > 0;
        if (startsAllowed) {
            long now = time.nanos();
            registry.index().endQuarantines(now);
            taskPlacer.place(now, maxStarts);
        }
        List<Order> orders = jobTable.takeOrders();
        long starts = orders.stream().filter(Order.Start.class::isInstance).count();
        Optional<Plan.WaitingJob> waiting = waitDiagnosis.diagnose(startsAllowed, starts < maxStarts);
        List<JobProgress> changes = jobTable.takeChanges();
        Map<TaskRecord.WorkerIncarnation, Long> acknowledgements = new HashMap<>();
        for (WorkerNode node : jobTable.takeProcessed()) {
            if (registry.find(node.id()) == node) {
                acknowledgements.put(
                        new TaskRecord.WorkerIncarnation(node.id(), node.incarnation()), node.ends.acknowledgeable());
            }
        }
        return new Plan(
                changes,
                orders,
                acknowledgements,
                jobTable.takeSetAside(),
                roomClaims.takeNewClaims(),
                registry.index().takeNewQuarantines(),
                waiting,
                ineffectiveEnds.take());
    }

    /** Returns the worker on which room is kept for the next run of a task, by task. */
    synchronized Map<TaskName, WorkerId> claims() {
        Map<TaskName, WorkerId> claims = new HashMap<>();
        roomClaims.workers().forEach((task, worker) -> claims.put(task.name, worker.id()));
        return claims;
    }

    /** Returns the number of workers that decisions have examined so far, as a measure of scheduling cost. */
    synchronized long examinedWorkers() {
        return workerSelector.examinedWorkers();
    }
}
