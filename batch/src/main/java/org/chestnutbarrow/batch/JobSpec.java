package org.chestnutbarrow.batch;

import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.JobId;

/**
 * An accepted job.
 *
 * @param id chosen by the caller
 * @param queue the queue as it was when the job was accepted
 * @param submitted when it reached the system
 * @param payload opaque text that each task receives
 * @param steps at least one
 */
public record JobSpec(JobId id, Queue queue, Instant submitted, String payload, List<Step> steps) {
    public JobSpec {
        Checks.require(
                id != null && queue != null && submitted != null && payload != null,
                "a job needs id, queue and payload");
        steps = List.copyOf(steps);
        Checks.require(!steps.isEmpty(), "a job needs a step");
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                Checks.require(before >= 0 && before < i, "a step may only follow earlier steps");
            }
        }
    }

    /** When the job should be complete, from the declared run times of its longest chain of tasks. */
    public Instant due(Queue policy) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < steps.size(); i++) {
            long start = 0;
            for (int before : steps.get(i).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + steps.get(i).estimate().toMillis();
            longest = Math.max(longest, ends[i]);
        }
        return submitted.plusMillis((long) (policy.stretch() * longest)).plus(policy.allowance());
    }
}
