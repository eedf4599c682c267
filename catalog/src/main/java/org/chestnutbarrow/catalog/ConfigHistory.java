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
 * The effective configuration and the changes that led to it. Immutable, so that readers need no lock.
 *
 * @param current effective configuration
 * @param changes newest changes, oldest first
 */
record ConfigHistory(Configuration current, List<ConfigChange> changes) {
    /**
     * Maximum number of changes kept for reporting conflicts; for an older base version the newest change is reported.
     */
    private static final int MAX_CHANGES = 64;

    static final ConfigHistory INITIAL = new ConfigHistory(Configuration.INITIAL, List.of());

    ConfigHistory {
        changes = List.copyOf(changes);
    }

    boolean isCurrentVersion(long baseVersion) {
        return baseVersion == current.version();
    }

    ConfigHistory withChange(long offset, LogRecord.ConfigChanged change) {
        Declarations declarations = change.declarations();
        TreeMap<AvailabilityZone, ZoneState> zones = new TreeMap<>(current.zoneStates());
        zones.keySet().retainAll(declarations.zones());
        return append(change.author(), new Configuration(offset, change.id(), declarations, zones));
    }

    ConfigHistory withChange(long offset, LogRecord.ZoneChanged change) {
        TreeMap<AvailabilityZone, ZoneState> zones = new TreeMap<>(current.zoneStates());
        zones.put(change.zone(), change.state());
        return append(change.author(), new Configuration(offset, change.id(), current.declarations(), zones));
    }

    /**
     * Returns the result for a change that is not based on the current version: a conflict with the change that
     * replaced its base version, or no effect if the change is already in force or its base version does not exist.
     */
    ApplyResult rejection(String id, long baseVersion) {
        ConfigChange conflictingChange = null;
        for (ConfigChange change : changes) {
            if (change.id().equals(id)) {
                return new ApplyResult.NoEffect("change " + id + " is in force since version " + change.version());
            }
            if (change.baseVersion() == baseVersion) {
                conflictingChange = change;
            }
        }
        if (baseVersion > current.version() || changes.isEmpty()) {
            return new ApplyResult.NoEffect("base version " + baseVersion + " does not exist");
        }
        return new ApplyResult.ConfigurationConflict(conflictingChange == null ? changes.getLast() : conflictingChange);
    }

    private ConfigHistory append(String author, Configuration configuration) {
        List<ConfigChange> updated = new ArrayList<>(changes);
        updated.add(new ConfigChange(configuration.changeId(), author, current.version(), configuration.version()));
        int excess = Math.max(0, updated.size() - MAX_CHANGES);
        return new ConfigHistory(configuration, updated.subList(excess, updated.size()));
    }
}
