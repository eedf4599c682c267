package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.JobId;

/**
 * Specification of an accepted job.
 *
 * @param id job ID chosen by the caller
 * @param queue the queue as configured when the job was accepted
 * @param account client account that submitted the job; empty if the deployment has none or its queue is public
 * @param submitted submission time
 * @param payload opaque text that is passed to each task
 * @param steps at least one step
 */
public record JobSpec(JobId id, Queue queue, String account, Instant submitted, String payload, List<Step> steps) {
    /** Maximum number of tasks; the progress of this many takes about 225 KB, below the record size of the store. */
    public static final int MAX_TASKS = 5000;
    /** Later deadlines make no difference to the order of jobs. */
    private static final Duration MAX_OBJECTIVE = Duration.ofDays(3650);

    public JobSpec {
        Checks.require(
                id != null && queue != null && account != null && submitted != null && payload != null,
                "a job needs id, queue, account, submission time and payload");
        steps = List.copyOf(steps);
        Checks.require(!steps.isEmpty(), "a job needs at least one step");
        Checks.require(
                steps.stream().mapToLong(Step::count).sum() <= MAX_TASKS,
                "a job may have at most " + MAX_TASKS + " tasks");
        for (int i = 0; i < steps.size(); i++) {
            for (int dependency : steps.get(i).dependencies()) {
                Checks.require(dependency >= 0 && dependency < i, "a step may only depend on earlier steps");
            }
        }
    }

    /** Creates a job without an account. */
    public JobSpec(JobId id, Queue queue, Instant submitted, String payload, List<Step> steps) {
        this(id, queue, AccountUsage.NO_ACCOUNT, submitted, payload, steps);
    }

    /** Returns the completion deadline under {@code policy}, from the declared run times on the job's critical path. */
    public Instant deadline(Queue policy) {
        long[] finishMs = new long[steps.size()];
        long criticalPathMs = 0;
        for (int i = 0; i < steps.size(); i++) {
            long startMs = 0;
            for (int dependency : steps.get(i).dependencies()) {
                startMs = Math.max(startMs, finishMs[dependency]);
            }
            finishMs[i] = startMs + steps.get(i).estimate().toMillis();
            criticalPathMs = Math.max(criticalPathMs, finishMs[i]);
        }
        Duration stretched = shorter(Duration.ofMillis((long) (policy.stretch() * criticalPathMs)), MAX_OBJECTIVE);
        return submitted.plus(stretched).plus(shorter(policy.allowance(), MAX_OBJECTIVE));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
