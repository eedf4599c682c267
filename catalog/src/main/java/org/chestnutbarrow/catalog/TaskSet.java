package org.chestnutbarrow.catalog;

import java.util.BitSet;

/**
 * A set of task indexes, one bit each. Immutable.
 *
 * @param bits bits at the indexes of the tasks in the set; copied defensively
 */
public record TaskSet(BitSet bits) {
    /** The empty set. */
    public static final TaskSet EMPTY = new TaskSet(new BitSet());

    public TaskSet {
        bits = (BitSet) bits.clone();
    }

    /** Returns a copy that the caller may modify. */
    @Override
    public BitSet bits() {
        return (BitSet) bits.clone();
    }

    /** Returns whether the task is in the set. */
    public boolean contains(int index) {
        return bits.get(index);
    }

    /** Returns the number of tasks in the set. */
    public int size() {
        return bits.cardinality();
    }
}
