package org.chestnutbarrow.placement;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Decisions that are due at a time. Not safe for use by several threads; guarded by its shard's lock. */
final class Timers {
    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::order));
    private long order;

    private record Timer(long at, long order, Consumer<List<PlacementEffect>> action) {}

    void at(long nanos, Consumer<List<PlacementEffect>> action) {
        queue.add(new Timer(nanos, order++, action));
    }

    /** Carries out up to {@code limit} decisions that are due. */
    void run(long now, int limit, List<PlacementEffect> out) {
        for (int i = 0; i < limit && !queue.isEmpty() && queue.peek().at() - now <= 0; i++) {
            queue.poll().action().accept(out);
        }
    }

    void clear() {
        queue.clear();
    }
}
