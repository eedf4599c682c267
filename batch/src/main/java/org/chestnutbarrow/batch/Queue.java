package org.chestnutbarrow.batch;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Where jobs are submitted and the policy that applies to them.
 *
 * @param host host name that callers use
 * @param prefix path prefix that callers use
 * @param service service whose workers run the tasks
 * @param priority 0 is the most urgent
 * @param maxAttempts runs of a task that may fail before its job fails
 * @param stretch part of the objective that grows with a job's longest chain of tasks
 * @param allowance part of the objective that is the same for all jobs
 */
public record Queue(
        String host, String prefix, String service, int priority, int maxAttempts, double stretch, Duration allowance) {
    public Queue {
        Checks.require(host != null && prefix != null && service != null, "a queue needs host, prefix and service");
        Checks.require(stretch >= 0 && allowance != null, "a queue needs an objective");
    }

    /** Identity of the queue across configurations. */
    public String key() {
        return host + prefix;
    }
}
