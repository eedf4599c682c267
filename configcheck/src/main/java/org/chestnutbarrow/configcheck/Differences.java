package org.chestnutbarrow.configcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.chestnutbarrow.node.KeyDigest;

/** Compares configurations. Stateless. */
public final class Differences {
    private Differences() {}

    /** Compares two configurations, each a map of entries by name. The result is in the order of names and fields. */
    public static List<Difference> between(Map<String, ListedEntry> before, Map<String, ListedEntry> after) {
        List<Difference> differences = new ArrayList<>();
        for (String name : union(before.keySet(), after.keySet())) {
            ListedEntry from = before.get(name);
            ListedEntry to = after.get(name);
            if (from == null) {
                differences.add(new Difference.Added(name));
            } else if (to == null) {
                differences.add(new Difference.Removed(name));
            } else {
                compare(name, from, to, differences);
            }
        }
        return differences;
    }

    private static void compare(String name, ListedEntry from, ListedEntry to, List<Difference> differences) {
        for (String field : union(from.fields().keySet(), to.fields().keySet())) {
            String before = from.fields().getOrDefault(field, ListedEntry.ABSENT);
            String after = to.fields().getOrDefault(field, ListedEntry.ABSENT);
            if (!before.equals(after)) {
                differences.add(new Difference.Changed(name, field, before, after));
            }
        }
        if (!from.keys().equals(to.keys())) {
            differences.add(new Difference.KeysChanged(
                    name, countMissing(to.keys(), from.keys()), countMissing(from.keys(), to.keys())));
        }
    }

    /** Returns how many of the keys are not among the others. */
    private static int countMissing(Set<KeyDigest> keys, Set<KeyDigest> others) {
        return (int) keys.stream().filter(key -> !others.contains(key)).count();
    }

    private static SortedSet<String> union(Set<String> a, Set<String> b) {
        SortedSet<String> all = new TreeSet<>(a);
        all.addAll(b);
        return all;
    }
}
