package org.chestnutbarrow.placement;

import java.util.Arrays;
import java.util.function.IntConsumer;
import org.chestnutbarrow.model.Resources;

/**
 * Segment tree of free capacity. Each node holds the largest free amount of each resource in its subtree, so that a
 * search skips subtrees in which the demand cannot fit. Not safe for use by several threads.
 */
final class CapacityTree {
    private static final int DIMENSIONS = 5;

    private final int leafCount;
    private final long[][] maxFree;

    CapacityTree(int size) {
        leafCount = Math.max(1, Integer.highestOneBit(Math.max(1, size - 1)) << 1);
        maxFree = new long[2 * leafCount][DIMENSIONS];
        for (long[] node : maxFree) {
            Arrays.fill(node, -1);
        }
    }

    /** Sets the free capacity of a leaf and updates its ancestors. */
    void set(int leaf, Resources free) {
        maxFree[leafCount + leaf] = toArray(free);
        updateAncestors(leaf);
    }

    /** Excludes a leaf from searches. */
    void clear(int leaf) {
        Arrays.fill(maxFree[leafCount + leaf], -1);
        updateAncestors(leaf);
    }

    /**
     * Passes leaves into which the demand fits to the visitor, beginning at {@code start} and wrapping around.
     *
     * @param maxLeaves maximum number of leaves to pass on
     * @param maxVisits maximum number of tree nodes to visit
     */
    void search(Resources demand, int start, int maxLeaves, int maxVisits, IntConsumer visitor) {
        Search search = new Search(toArray(demand), maxLeaves, maxVisits, visitor);
        search.descend(1, 0, leafCount, start, leafCount);
        search.descend(1, 0, leafCount, 0, start);
    }

    private void updateAncestors(int leaf) {
        for (int node = (leafCount + leaf) / 2; node >= 1; node /= 2) {
            for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
                maxFree[node][dimension] = Math.max(maxFree[2 * node][dimension], maxFree[2 * node + 1][dimension]);
            }
        }
    }

    private static long[] toArray(Resources resources) {
        return new long[] {
            resources.slots(),
            resources.connections(),
            resources.milliCores(),
            resources.memoryMiB(),
            resources.accelerators()
        };
    }

    /** A search with its remaining limits. */
    private final class Search {
        private final long[] demand;
        private final IntConsumer visitor;
        private int remainingLeaves;
        private int remainingVisits;

        Search(long[] demand, int maxLeaves, int maxVisits, IntConsumer visitor) {
            this.demand = demand;
            this.remainingLeaves = maxLeaves;
            this.remainingVisits = maxVisits;
            this.visitor = visitor;
        }

        void descend(int node, int low, int high, int from, int to) {
            if (remainingLeaves == 0 || remainingVisits == 0 || high <= from || to <= low) {
                return;
            }
            remainingVisits--;
            for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
                if (demand[dimension] > maxFree[node][dimension]) {
                    return;
                }
            }
            if (high - low == 1) {
                remainingLeaves--;
                visitor.accept(low);
                return;
            }
            int middle = (low + high) >>> 1;
            descend(2 * node, low, middle, from, to);
            descend(2 * node + 1, middle, high, from, to);
        }
    }
}
