package org.chestnutbarrow.placement;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Actions scheduled for a later time. Not safe for use by several threads; guarded by its shard's lock. */
final class Timers {
    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long nextSequence;

    private record Timer(long dueAt, long sequence, Consumer<List<PlacementEffect>> action) {}

    void schedule(long dueAt, Consumer<List<PlacementEffect>> action) {
        queue.add(new Timer(dueAt, nextSequence++, action));
    }

    /** Runs up to {@code limit} actions that are due. */
    void runDue(long now, int limit, List<PlacementEffect> effects) {
        for (int i = 0; i < limit && !queue.isEmpty() && queue.peek().dueAt() - now <= 0; i++) {
            queue.poll().action().accept(effects);
        }
    }

    void clear() {
        queue.clear();
    }
}
