package org.chestnutbarrow.model;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The content of one declaration file: everything that operators declare, applied or rejected as a whole. Immutable.
 *
 * @param classes classes of workClass by name
 * @param teams teams by name
 * @param zones availability zones that may be used
 */
public record Declarations(
        SortedMap<String, WorkClass> classes, SortedMap<String, Team> teams, SortedSet<AvailabilityZone> zones) {
    /** Declarations without any entry. */
    public static final Declarations EMPTY = new Declarations(new TreeMap<>(), new TreeMap<>(), new TreeSet<>());

    public Declarations {
        classes = Collections.unmodifiableSortedMap(new TreeMap<>(classes));
        teams = Collections.unmodifiableSortedMap(new TreeMap<>(teams));
        zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
        for (WorkClass workClass : classes.values()) {
            Checks.require(
                    teams.containsKey(workClass.team()),
                    "class " + workClass.name() + " names the unknown team " + workClass.team() + "; declare the team");
        }
    }
}
