package org.chestnutbarrow.model;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration in force. Immutable.
 *
 * @param version log offset of the change that produced it; -1 before any change
 * @param changeId id of that change; empty before any change
 * @param declarations classes, teams and zones
 * @param zoneStates state of each declared zone; a zone that is not listed is {@link ZoneState#IN}
 */
public record Configuration(
        long version, String changeId, Declarations declarations, SortedMap<AvailabilityZone, ZoneState> zoneStates) {
    /** The configuration before any change was accepted. */
    public static final Configuration INITIAL = new Configuration(-1, "", Declarations.EMPTY, new TreeMap<>());

    public Configuration {
        zoneStates = Collections.unmodifiableSortedMap(new TreeMap<>(zoneStates));
    }

    /** Returns whether work may start in the zone: it is declared and has not been taken out of service. */
    public boolean startsAllowed(AvailabilityZone zone) {
        return declarations.zones().contains(zone) && zoneStates.getOrDefault(zone, ZoneState.IN) == ZoneState.IN;
    }

    /** Returns the class with the given name, if it is declared. */
    public Optional<WorkClass> workClass(String name) {
        return Optional.ofNullable(declarations.classes().get(name));
    }
}
