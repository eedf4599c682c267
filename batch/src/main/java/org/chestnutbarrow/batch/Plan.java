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
     */
    public record WaitingJob(TaskName task, int milliCores, Duration waited, int jobs, WaitReason reason) {}

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
