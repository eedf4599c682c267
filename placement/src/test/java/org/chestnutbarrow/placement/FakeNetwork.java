package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import org.chestnutbarrow.testkit.ManualTime;

/** The network of {@link Simulation}. While it is faulty, messages are delayed, lost and duplicated. */
final class FakeNetwork {
    private static final long SECOND = 1_000_000_000L;

    boolean lossy = true;
    private final ManualTime time;
    private final Random random;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::deliverAt).thenComparingLong(Message::sequence));
    private long nextSequence;

    FakeNetwork(ManualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    private record Message(long deliverAt, long sequence, Runnable action) {}

    /** Delivers the messages that are due until {@code target} and advances the clock to each delivery. */
    void deliverUntil(long target) {
        while (!messages.isEmpty() && messages.peek().deliverAt() <= target) {
            Message message = messages.poll();
            time.advance(Duration.ofNanos(Math.max(0, message.deliverAt() - time.nanos())));
            message.action().run();
        }
    }

    /** Sends a message that may be delayed, lost or delivered twice. */
    void send(Runnable action) {
        int copies = !lossy ? 1 : random.nextInt(10) == 0 ? 0 : random.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(
                    lossy && random.nextInt(5) == 0 ? random.nextLong(2 * SECOND) : random.nextLong(SECOND / 20),
                    action);
        }
    }

    /** Delivers a message exactly once after a delay in nanoseconds. */
    void schedule(long delay, Runnable action) {
        messages.add(new Message(time.nanos() + delay, nextSequence++, action));
    }
}
