package org.chestnutbarrow.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Team;

/**
 * Use of each team's quota. Safe for use by several threads; guarded by its own lock.
 *
 * <p>The use by this daemon's own job shards is exact. The use by other daemons is what they last reported, so a team
 * can exceed its quota by at most what the other daemons started since their last report.
 */
final class Quotas {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Resources> used = new HashMap<>();
    private Map<String, Resources> elsewhere = Map.of();
    private Configuration configuration = Configuration.INITIAL;

    void configure(Configuration newer) {
        lock.lock();
        try {
            configuration = newer;
        } finally {
            lock.unlock();
        }
    }

    void elsewhere(Map<String, Resources> use) {
        lock.lock();
        try {
            elsewhere = use;
        } finally {
            lock.unlock();
        }
    }

    /** Whether a single task of that size can ever be within the team's quota. */
    boolean possible(String team, Resources demand) {
        lock.lock();
        try {
            Team declared = configuration.declarations().teams().get(team);
            return declared != null && demand.fitsIn(declared.quota());
        } finally {
            lock.unlock();
        }
    }

    boolean charge(String team, Resources demand) {
        lock.lock();
        try {
            Team declared = configuration.declarations().teams().get(team);
            Resources after = used.getOrDefault(team, Resources.NONE).plus(demand);
            Resources all = after.plus(elsewhere.getOrDefault(team, Resources.NONE));
            if (declared == null || !all.fitsIn(declared.quota())) {
                return false;
            }
            used.put(team, after);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Charges an attempt that runs already, whatever the quota. */
    void adopt(String team, Resources demand) {
        lock.lock();
        try {
            used.merge(team, demand, Resources::plus);
        } finally {
            lock.unlock();
        }
    }

    void release(String team, Resources demand) {
        lock.lock();
        try {
            used.computeIfPresent(team, (name, use) -> use.minus(demand));
        } finally {
            lock.unlock();
        }
    }

    Map<String, Resources> used() {
        lock.lock();
        try {
            return Map.copyOf(used);
        } finally {
            lock.unlock();
        }
    }
}
