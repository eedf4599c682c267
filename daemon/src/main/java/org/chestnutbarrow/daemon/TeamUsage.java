package org.chestnutbarrow.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;

/**
 * Resource usage of each team, on this daemon and, from heartbeats, on its peers. Safe for use by several threads. A
 * team may exceed its quota by what other daemons have started since their last heartbeat.
 */
final class TeamUsage {
    private final Map<DaemonId, Map<String, Resources>> usageByPeer = new ConcurrentHashMap<>();
    private final Supplier<Set<DaemonId>> liveDaemons;
    private volatile Supplier<Map<String, Resources>> local = Map::of;

    /**
     * Creates an empty table.
     *
     * @param liveDaemons daemons whose usage counts; the tasks of other daemons are taken over by a new owner
     */
    TeamUsage(Supplier<Set<DaemonId>> liveDaemons) {
        this.liveDaemons = liveDaemons;
    }

    /** Sets the source of the usage of this daemon's own job shards. */
    void setLocalUsage(Supplier<Map<String, Resources>> usage) {
        local = usage;
    }

    /** Returns the resources that tasks of this daemon's job shards use, by team. */
    Map<String, Resources> localUsage() {
        return local.get();
    }

    /** Replaces the usage reported by a peer. */
    void update(DaemonId peer, Map<String, Resources> usage) {
        usageByPeer.put(peer, usage);
    }

    /** Returns the total usage on all other live daemons, by team. */
    Map<String, Resources> usageElsewhere() {
        Map<String, Resources> sum = new HashMap<>();
        Set<DaemonId> live = liveDaemons.get();
        usageByPeer.forEach((peer, usage) -> {
            if (live.contains(peer)) {
                usage.forEach((team, amount) -> sum.merge(team, amount, Resources::plus));
            }
        });
        return sum;
    }
}
