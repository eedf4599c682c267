package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import org.chestnutbarrow.testkit.ManualTime;

/** Messages under way in {@link Simulation}; while there is chaos they are delayed, lost and duplicated. */
final class ModelNetwork {
    private static final long SECOND = 1_000_000_000L;

    boolean chaos = true;
    private final ManualTime time;
    private final Random random;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::at).thenComparingLong(Message::order));
    private long order;

    ModelNetwork(ManualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    private record Message(long at, long order, Runnable action) {}

    /** Delivers what is due until {@code target} and moves the clock along. */
    void deliver(long target) {
        while (!messages.isEmpty() && messages.peek().at() <= target) {
            Message message = messages.poll();
            time.advance(Duration.ofNanos(Math.max(0, message.at() - time.nanos())));
            message.action().run();
        }
    }

    /** Sends a message that may be late, lost or delivered twice. */
    void send(Runnable action) {
        int copies = !chaos ? 1 : random.nextInt(10) == 0 ? 0 : random.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            post(chaos && random.nextInt(5) == 0 ? random.nextLong(2 * SECOND) : random.nextLong(SECOND / 20), action);
        }
    }

    void post(long delay, Runnable action) {
        messages.add(new Message(time.nanos() + delay, order++, action));
    }
}
