package org.chestnutbarrow.placement;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A set of integers kept as disjoint ranges. Not safe for use by several threads. */
final class Ranges {
    private final TreeMap<Integer, Integer> ends = new TreeMap<>();
    private int size;

    /** Adds {@code from} up to and excluding {@code to}, none of which may be contained. */
    void addAll(int from, int to) {
        if (from >= to) {
            return;
        }
        int start = from;
        Map.Entry<Integer, Integer> before = ends.lowerEntry(from);
        if (before != null && before.getValue() == from) {
            start = before.getKey();
        }
        Integer after = ends.remove(to);
        ends.put(start, after == null ? to : after);
        size += to - from;
    }

    void add(int value) {
        if (!contains(value)) {
            addAll(value, value + 1);
        }
    }

    boolean contains(int value) {
        Map.Entry<Integer, Integer> range = ends.floorEntry(value);
        return range != null && value < range.getValue();
    }

    void remove(int value) {
        Map.Entry<Integer, Integer> range = ends.floorEntry(value);
        if (range == null || value >= range.getValue()) {
            return;
        }
        int start = range.getKey();
        int end = range.getValue();
        ends.remove(start);
        if (start < value) {
            ends.put(start, value);
        }
        if (value + 1 < end) {
            ends.put(value + 1, end);
        }
        size--;
    }

    int first() {
        return ends.firstKey();
    }

    int size() {
        return size;
    }

    void clear() {
        ends.clear();
        size = 0;
    }

    @Override
    public String toString() {
        return ends.entrySet().stream()
                .limit(100)
                .map(range -> range.getKey() + "-" + (range.getValue() - 1))
                .collect(Collectors.joining(","));
    }
}
