package org.chestnutbarrow.placement;

import java.util.Arrays;
import java.util.function.IntConsumer;
import org.chestnutbarrow.model.Resources;

/**
 * Segment tree of free capacity: each node holds the largest free amount of each kind below it, so that a search skips
 * parts in which nothing fits. Not safe for use by several threads.
 */
final class FitTree {
    private static final int KINDS = 5;

    private final int leaves;
    private final long[][] max;

    FitTree(int size) {
        leaves = Math.max(1, Integer.highestOneBit(Math.max(1, size - 1)) << 1);
        max = new long[2 * leaves][KINDS];
        for (long[] node : max) {
            Arrays.fill(node, -1);
        }
    }

    /** Sets a leaf and the nodes above it. */
    void set(int leaf, Resources free) {
        max[leaves + leaf] = amounts(free);
        raise(leaf);
    }

    /** Makes a leaf fit nothing. */
    void close(int leaf) {
        Arrays.fill(max[leaves + leaf], -1);
        raise(leaf);
    }

    /**
     * Passes on leaves with room for the demand, beginning at {@code start} and wrapping around.
     *
     * @param count most leaves to pass on
     * @param visits most nodes to look at
     */
    void search(Resources demand, int start, int count, int visits, IntConsumer found) {
        Search search = new Search(amounts(demand), count, visits, found);
        search.descend(1, 0, leaves, start, leaves);
        search.descend(1, 0, leaves, 0, start);
    }

    private void raise(int leaf) {
        for (int node = (leaves + leaf) / 2; node >= 1; node /= 2) {
            for (int kind = 0; kind < KINDS; kind++) {
                max[node][kind] = Math.max(max[2 * node][kind], max[2 * node + 1][kind]);
            }
        }
    }

    private static long[] amounts(Resources resources) {
        return new long[] {
            resources.slots(),
            resources.connections(),
            resources.milliCores(),
            resources.memoryMiB(),
            resources.accelerators()
        };
    }

    /** One search with what is left of its bounds. */
    private final class Search {
        private final long[] demand;
        private final IntConsumer found;
        private int count;
        private int visits;

        Search(long[] demand, int count, int visits, IntConsumer found) {
            this.demand = demand;
            this.count = count;
            this.visits = visits;
            this.found = found;
        }

        void descend(int node, int low, int high, int from, int to) {
            if (count == 0 || visits == 0 || high <= from || to <= low) {
                return;
            }
            visits--;
            for (int kind = 0; kind < KINDS; kind++) {
                if (demand[kind] > max[node][kind]) {
                    return;
                }
            }
            if (high - low == 1) {
                count--;
                found.accept(low);
                return;
            }
            int middle = (low + high) >>> 1;
            descend(2 * node, low, middle, from, to);
            descend(2 * node + 1, middle, high, from, to);
        }
    }
}
