package org.chestnutbarrow.batch;

import java.util.List;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.JobId;

/**
 * An accepted job.
 *
 * @param id chosen by the caller
 * @param queue the queue as it was when the job was accepted
 * @param payload opaque text that each task receives
 * @param steps at least one
 */
public record JobSpec(JobId id, Queue queue, String payload, List<Step> steps) {
    public JobSpec {
        Checks.require(id != null && queue != null && payload != null, "a job needs id, queue and payload");
        steps = List.copyOf(steps);
        Checks.require(!steps.isEmpty(), "a job needs a step");
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                Checks.require(before >= 0 && before < i, "a step may only follow earlier steps");
            }
        }
    }
}
