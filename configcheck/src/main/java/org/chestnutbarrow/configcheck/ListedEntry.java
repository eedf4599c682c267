package org.chestnutbarrow.configcheck;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chestnutbarrow.node.KeyDigest;

/**
 * An entry of a configuration to compare. Immutable.
 *
 * @param fields the values of its fields as text
 * @param keys keys, which are compared but never shown
 */
public record ListedEntry(Map<String, String> fields, Set<KeyDigest> keys) {
    /** Stands for the value of a field that is not set. */
    public static final String ABSENT = "absent";

    public ListedEntry {
        SortedMap<String, String> sorted = new TreeMap<>(fields);
        fields = Collections.unmodifiableSortedMap(sorted);
        keys = Set.copyOf(keys);
    }
}
