package org.chestnutbarrow.batch;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * A job queue with its scheduling policy.
 *
 * @param host host name to which callers submit jobs
 * @param prefix path prefix under which callers submit jobs
 * @param service service whose workers run the tasks
 * @param priority scheduling priority; 0 is the most urgent
 * @param maxAttempts number of failed runs of one task after which its job fails; only failed runs count, and those of
 *     long-running tasks never fail the job
 * @param stretch factor of the completion objective on the job's critical path
 * @param allowance constant part of the completion objective
 */
public record Queue(
        String host, String prefix, String service, int priority, int maxAttempts, double stretch, Duration allowance) {
    public Queue {
        Checks.require(host != null && prefix != null && service != null, "a queue needs host, prefix and service");
        Checks.require(stretch >= 0 && allowance != null, "a queue needs a non-negative stretch and an allowance");
    }

    /** Returns the key that identifies the queue across configurations. */
    public String key() {
        return host + prefix;
    }
}
