package org.chestnutbarrow.node;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;

/**
 * The declarations of operators: queues and evacuated availability zones.
 *
 * @param version version of the declarations; -1 before the first ones
 * @param queues queues by their keys
 * @param evacuatedZones evacuated availability zones, which are out of service
 * @param access client accounts and public queues
 */
public record ControlState(
        long version, Map<String, Queue> queues, Set<AvailabilityZone> evacuatedZones, AccessControl access) {
    /** The state before the first declarations. */
    public static final ControlState NONE = new ControlState(-1, Map.of(), Set.of());

    public ControlState {
        queues = Map.copyOf(queues);
        evacuatedZones = Set.copyOf(evacuatedZones);
        Checks.require(access != null, "the declarations need an access control");
    }

    /** Creates declarations without client accounts. */
    public ControlState(long version, Map<String, Queue> queues, Set<AvailabilityZone> evacuatedZones) {
        this(version, queues, evacuatedZones, AccessControl.OPEN);
    }

    /** Configures a scheduler with these declarations. */
    void applyTo(BatchScheduler scheduler) {
        scheduler.configure(queues);
        scheduler.configureAccounts(access.accounts());
        scheduler.setEvacuatedZones(evacuatedZones);
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
