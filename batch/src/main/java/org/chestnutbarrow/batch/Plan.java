package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;

/**
 * The changes to store and the messages to send after a scheduling decision.
 *
 * @param changes progress that must be stored before any other part of the plan is carried out
 * @param orders orders to send once the changes are stored
 * @param acknowledgements highest sequence number of an end, by worker incarnation, that may be acknowledged once the
 *     changes are stored
 * @param setAside jobs that this owner no longer places
 * @param claims claims that were made on room that is not free yet
 * @param quarantined workers that get no new tasks for some seconds because of failed runs
 * @param waiting the job that has waited longest with nothing running, at most once a second
 * @param ineffectiveEnd an end that is acknowledged without effect on a task that is not done, at most once a second
 */
public record Plan(
        List<JobProgress> changes,
        List<Order> orders,
        Map<TaskRecord.WorkerIncarnation, Long> acknowledgements,
        List<SetAsideJob> setAside,
        List<Claim> claims,
        List<WorkerId> quarantined,
        Optional<WaitingJob> waiting,
        Optional<IneffectiveEnd> ineffectiveEnd) {
    /**
     * A job whose tasks are no longer placed because of an unexpected error. Its runs are not affected.
     *
     * @param job the job
     * @param cause the error
     */
    public record SetAsideJob(JobId job, RuntimeException cause) {}

    /**
     * A claim on the room that the ends of other runs free on a worker.
     *
     * @param task the task that runs there next
     * @param worker the worker
     * @param milliCores CPU that the task needs
     * @param waited how long the task has waited for a worker; zero while its last run goes on
     */
    public record Claim(TaskName task, WorkerId worker, int milliCores, Duration waited) {}

    /**
     * A job with a task that is ready and nothing running.
     *
     * @param task the task that has waited longest
     * @param milliCores CPU that the task needs
     * @param waited how long the task has waited for a worker
     * @param jobs number of jobs with nothing running that have waited for over a second, including this one
     * @param reason why the task has not been placed
     * @param refusal the state that refuses a best-effort task, if workers with room for its memory do
     */
    public record WaitingJob(
            TaskName task,
            int milliCores,
            Duration waited,
            int jobs,
            WaitReason reason,
            Optional<BestEffortRefusal> refusal) {
        /** Creates a waiting job whose task is not refused for being best-effort. */
        public WaitingJob(TaskName task, int milliCores, Duration waited, int jobs, WaitReason reason) {
            this(task, milliCores, waited, jobs, reason, Optional.empty());
        }
    }

    /**
     * Why no worker of a service can take a best-effort task at nearly full speed.
     *
     * @param workers schedulable workers of the service
     * @param withoutLatencyCritical those of them without a latency-critical task
     * @param freeShare share of their CPU that is neither reserved nor kept for claimants
     * @param bestSpare the most CPU that a worker has to spare, as a fraction of the demand of the task
     * @param bestShare the highest share of full speed that the interference model allows on a worker
     * @param typicalHeadroom headroom that the model assumes for latency-critical tasks without a report
     * @param maxWeight the strongest weight of the image of the task on latency-critical images
     * @param reports reports of latency-critical tasks that the model has learnt from under this owner
     * @param reportsBesideBestEffort those of them made beside best-effort tasks
     */
    public record BestEffortRefusal(
            int workers,
            int withoutLatencyCritical,
            double freeShare,
            double bestSpare,
            double bestShare,
            double typicalHeadroom,
            double maxWeight,
            long reports,
            long reportsBesideBestEffort) {}

    public Plan {
        changes = List.copyOf(changes);
        orders = List.copyOf(orders);
        acknowledgements = Map.copyOf(acknowledgements);
        setAside = List.copyOf(setAside);
        claims = List.copyOf(claims);
        quarantined = List.copyOf(quarantined);
    }

    /** Returns whether there is nothing to store or to send. */
    public boolean isEmpty() {
        return changes.isEmpty() && orders.isEmpty() && acknowledgements.isEmpty() && setAside.isEmpty();
    }
}
