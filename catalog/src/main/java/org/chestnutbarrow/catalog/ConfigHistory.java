package org.chestnutbarrow.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.ZoneState;

/**
 * The configuration in force and the changes that led to it. Immutable, so that readers need no lock.
 *
 * @param current the configuration in force
 * @param changes newest changes, oldest first
 */
record ConfigHistory(Configuration current, List<ConfigChange> changes) {
    /** Changes kept to name the winner to losers; a loser further behind is told the newest change. */
    private static final int MAX_CHANGES = 64;

    static final ConfigHistory INITIAL = new ConfigHistory(Configuration.INITIAL, List.of());

    ConfigHistory {
        changes = List.copyOf(changes);
    }

    boolean isCurrentVersion(long baseVersion) {
        return baseVersion == current.version();
    }

    ConfigHistory withChange(long offset, LogRecord.ConfigChanged change) {
        Declarations next = change.declarations();
        TreeMap<AvailabilityZone, ZoneState> zones = new TreeMap<>(current.zoneStates());
        zones.keySet().retainAll(next.zones());
        return append(change.author(), new Configuration(offset, change.id(), next, zones));
    }

    ConfigHistory withChange(long offset, LogRecord.ZoneChanged change) {
        TreeMap<AvailabilityZone, ZoneState> zones = new TreeMap<>(current.zoneStates());
        zones.put(change.zone(), change.state());
        return append(change.author(), new Configuration(offset, change.id(), current.declarations(), zones));
    }

    /** What a change that is based on another version lost to, or no effect if the base never existed. */
    ApplyResult rejection(String id, long baseVersion) {
        ConfigChange winner = null;
        for (ConfigChange change : changes) {
            if (change.id().equals(id)) {
                return new ApplyResult.NoEffect("change " + id + " is in force since version " + change.version());
            }
            if (change.baseVersion() == baseVersion) {
                winner = change;
            }
        }
        if (baseVersion > current.version() || changes.isEmpty()) {
            return new ApplyResult.NoEffect("base version " + baseVersion + " does not exist");
        }
        return new ApplyResult.ConfigurationConflict(winner == null ? changes.getLast() : winner);
    }

    private ConfigHistory append(String author, Configuration next) {
        List<ConfigChange> all = new ArrayList<>(changes);
        all.add(new ConfigChange(next.changeId(), author, current.version(), next.version()));
        int drop = Math.max(0, all.size() - MAX_CHANGES);
        return new ConfigHistory(next, all.subList(drop, all.size()));
    }
}
