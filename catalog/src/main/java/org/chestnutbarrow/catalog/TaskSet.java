package org.chestnutbarrow.catalog;

import java.util.BitSet;

/**
 * A set of task indexes, one bit each. Immutable.
 *
 * @param bits bit i stands for the task with index i; copied in and out
 */
public record TaskSet(BitSet bits) {
    /** No tasks. */
    public static final TaskSet EMPTY = new TaskSet(new BitSet());

    public TaskSet {
        bits = (BitSet) bits.clone();
    }

    /** A copy that the caller may change. */
    @Override
    public BitSet bits() {
        return (BitSet) bits.clone();
    }

    /** Whether the task is in the set. */
    public boolean contains(int index) {
        return bits.get(index);
    }

    /** Number of tasks in the set. */
    public int size() {
        return bits.cardinality();
    }
}
