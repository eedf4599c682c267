package org.chestnutbarrow.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;

/**
 * What the tasks of each team use at other daemons, as heartbeats told. Safe for use by several threads. A team may
 * exceed its quota by what other daemons have started since their last heartbeat.
 */
final class TeamUse {
    private final Map<DaemonId, Map<String, Resources>> elsewhere = new ConcurrentHashMap<>();
    private final Supplier<Set<DaemonId>> alive;
    private volatile Supplier<Map<String, Resources>> own = Map::of;

    /** Creates it; {@code alive} are the daemons whose use counts, since a dead one's tasks get a new owner. */
    TeamUse(Supplier<Set<DaemonId>> alive) {
        this.alive = alive;
    }

    /** Sets where this daemon's own use comes from. */
    void open(Supplier<Map<String, Resources>> use) {
        own = use;
    }

    /** What tasks of this daemon's job shards use, by team. */
    Map<String, Resources> use() {
        return own.get();
    }

    /** Takes what a peer told. */
    void heard(DaemonId peer, Map<String, Resources> use) {
        elsewhere.put(peer, use);
    }

    /** The sum over all other live daemons, by team. */
    Map<String, Resources> elsewhere() {
        Map<String, Resources> sum = new HashMap<>();
        Set<DaemonId> counted = alive.get();
        elsewhere.forEach((peer, use) -> {
            if (counted.contains(peer)) {
                use.forEach((team, amount) -> sum.merge(team, amount, Resources::plus));
            }
        });
        return sum;
    }
}
