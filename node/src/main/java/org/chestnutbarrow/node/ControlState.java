package org.chestnutbarrow.node;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.model.AvailabilityZone;

/**
 * Queues and out-of-service availability zones as declared by operators.
 *
 * @param version version of the configuration; -1 before the first
 * @param queues queues by their keys
 * @param zonesOutOfService availability zones that are out of service
 */
public record ControlState(long version, Map<String, Queue> queues, Set<AvailabilityZone> zonesOutOfService) {
    /** The state before the first configuration. */
    public static final ControlState NONE = new ControlState(-1, Map.of(), Set.of());

    public ControlState {
        queues = Map.copyOf(queues);
        zonesOutOfService = Set.copyOf(zonesOutOfService);
    }

    /** Returns the queue of the host with the longest prefix that matches the path. */
    public Optional<Queue> route(String host, String path) {
        Queue best = null;
        for (Queue queue : queues.values()) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.prefix());
            if (matches
                    && (best == null || queue.prefix().length() > best.prefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}
