package org.chestnutbarrow.routing;

import java.util.HashSet;
import java.util.Set;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.WorkerId;

/**
 * Where a request was tried without success. Immutable.
 *
 * @param workers workers to which the request was sent
 * @param peers peers to which the request was forwarded
 */
public record Tried(Set<WorkerId> workers, Set<DaemonId> peers) {
    /** A request that was not tried yet. */
    public static final Tried NOWHERE = new Tried(Set.of(), Set.of());

    public Tried {
        workers = Set.copyOf(workers);
        peers = Set.copyOf(peers);
    }

    /** Returns this with one more worker. */
    public Tried with(WorkerId worker) {
        Set<WorkerId> more = new HashSet<>(workers);
        more.add(worker);
        return new Tried(more, peers);
    }

    /** Returns this with one more peer. */
    public Tried with(DaemonId peer) {
        Set<DaemonId> more = new HashSet<>(peers);
        more.add(peer);
        return new Tried(workers, more);
    }
}
