package org.chestnutbarrow.membership;

import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.WorkerId;

/**
 * The inputs to lease decisions from the rest of the daemon. The functions are called under a lock and must not block.
 *
 * @param eligible daemons that may hold workers; see {@link PeerRegistry#eligible()}
 * @param freshness current freshness of this daemon's view of the log
 * @param heldByPeer whether a live peer reports that it holds the worker
 * @param requestsInFlight number of requests that this daemon has running on the worker
 */
public record LeaseContext(
        Set<DaemonId> eligible,
        Freshness freshness,
        Predicate<WorkerId> heldByPeer,
        ToIntFunction<WorkerId> requestsInFlight) {
    public LeaseContext {
        eligible = Set.copyOf(eligible);
    }
}
