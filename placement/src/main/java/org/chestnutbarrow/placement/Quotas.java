package org.chestnutbarrow.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Team;

/**
 * Tracks the resource usage of each team against its quota. Safe for use by several threads; guarded by its own lock.
 *
 * <p>The usage of this daemon's own job shards is exact. The usage of other daemons is their last report, so a team can
 * exceed its quota by at most what other daemons have started since their last report.
 */
final class Quotas {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Resources> localUsage = new HashMap<>();
    private Map<String, Resources> remoteUsage = Map.of();
    private Configuration configuration = Configuration.INITIAL;

    void configure(Configuration newConfiguration) {
        lock.lock();
        try {
            configuration = newConfiguration;
        } finally {
            lock.unlock();
        }
    }

    void setRemoteUsage(Map<String, Resources> usage) {
        lock.lock();
        try {
            remoteUsage = usage;
        } finally {
            lock.unlock();
        }
    }

    /** Whether a single task with this demand is within the team's quota if the team uses nothing else. */
    boolean withinQuota(String team, Resources demand) {
        lock.lock();
        try {
            Team teamDeclaration = configuration.declarations().teams().get(team);
            return teamDeclaration != null && demand.fitsIn(teamDeclaration.quota());
        } finally {
            lock.unlock();
        }
    }

    boolean tryCharge(String team, Resources demand) {
        lock.lock();
        try {
            Team teamDeclaration = configuration.declarations().teams().get(team);
            Resources newLocalUsage =
                    localUsage.getOrDefault(team, Resources.NONE).plus(demand);
            Resources newTotalUsage = newLocalUsage.plus(remoteUsage.getOrDefault(team, Resources.NONE));
            if (teamDeclaration == null || !newTotalUsage.fitsIn(teamDeclaration.quota())) {
                return false;
            }
            localUsage.put(team, newLocalUsage);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Charges an attempt that is already running, even if the team exceeds its quota. */
    void forceCharge(String team, Resources demand) {
        lock.lock();
        try {
            localUsage.merge(team, demand, Resources::plus);
        } finally {
            lock.unlock();
        }
    }

    void release(String team, Resources demand) {
        lock.lock();
        try {
            localUsage.computeIfPresent(team, (name, usage) -> usage.minus(demand));
        } finally {
            lock.unlock();
        }
    }

    Map<String, Resources> localUsage() {
        lock.lock();
        try {
            return Map.copyOf(localUsage);
        } finally {
            lock.unlock();
        }
    }
}
