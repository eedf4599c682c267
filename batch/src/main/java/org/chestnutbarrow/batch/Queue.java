package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.Checks;

/**
 * Where jobs are submitted and the policy that applies to them.
 *
 * @param host host name that callers use
 * @param prefix path prefix that callers use
 * @param service service whose workers run the tasks
 * @param priority 0 is the most urgent
 * @param maxAttempts runs of a task that may fail before its job fails
 */
public record Queue(String host, String prefix, String service, int priority, int maxAttempts) {
    public Queue {
        Checks.require(host != null && prefix != null && service != null, "a queue needs host, prefix and service");
    }

    /** Identity of the queue across configurations. */
    public String key() {
        return host + prefix;
    }
}
