package org.chestnutbarrow.placement;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A set of integers stored as disjoint ranges. Not safe for use by several threads. */
final class IntRangeSet {
    private final TreeMap<Integer, Integer> endByStart = new TreeMap<>();
    private int size;

    /** Adds {@code start} (inclusive) to {@code end} (exclusive); the set must not contain any of these values. */
    void addRange(int start, int end) {
        if (start >= end) {
            return;
        }
        int mergedStart = start;
        Map.Entry<Integer, Integer> preceding = endByStart.lowerEntry(start);
        if (preceding != null && preceding.getValue() == start) {
            mergedStart = preceding.getKey();
        }
        Integer followingEnd = endByStart.remove(end);
        endByStart.put(mergedStart, followingEnd == null ? end : followingEnd);
        size += end - start;
    }

    void add(int value) {
        if (!contains(value)) {
            addRange(value, value + 1);
        }
    }

    boolean contains(int value) {
        Map.Entry<Integer, Integer> range = endByStart.floorEntry(value);
        return range != null && value < range.getValue();
    }

    void remove(int value) {
        Map.Entry<Integer, Integer> range = endByStart.floorEntry(value);
        if (range == null || value >= range.getValue()) {
            return;
        }
        int start = range.getKey();
        int end = range.getValue();
        endByStart.remove(start);
        if (start < value) {
            endByStart.put(start, value);
        }
        if (value + 1 < end) {
            endByStart.put(value + 1, end);
        }
        size--;
    }

    int first() {
        return endByStart.firstKey();
    }

    int size() {
        return size;
    }

    void clear() {
        endByStart.clear();
        size = 0;
    }

    @Override
    public String toString() {
        return endByStart.entrySet().stream()
                .limit(100)
                .map(range -> range.getKey() + "-" + (range.getValue() - 1))
                .collect(Collectors.joining(","));
    }
}
