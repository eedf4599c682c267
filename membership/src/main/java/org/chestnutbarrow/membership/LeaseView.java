package org.chestnutbarrow.membership;

import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.WorkerId;

/**
 * What a decision on leases sees of the rest of the daemon. The functions are called under a lock and must not block.
 *
 * @param eligible daemons that may hold workers, see {@link Peers#eligible()}
 * @param freshness freshness at this moment
 * @param heldByPeer whether a live peer says that it holds the worker
 * @param requestsInFlight requests that this daemon has on the worker
 */
public record LeaseView(
        Set<DaemonId> eligible,
        Freshness freshness,
        Predicate<WorkerId> heldByPeer,
        ToIntFunction<WorkerId> requestsInFlight) {
    public LeaseView {
        eligible = Set.copyOf(eligible);
    }
}
