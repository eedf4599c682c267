package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/**
 * Tests that many followers can load a topic from one store whose read rate they share. Runs on simulated time in a
 * single thread: the follower with the earliest next call reads a page, and its next call is due when the answer
 * arrives.
 */
public class OverloadedStoreTest {
    /** 37 nodes read two topics. */
    private static final int FOLLOWERS = 74;

    private static final int PAGE_COUNT = 10;
    /** Time to send a page of 1.3 MB at 40 MB/s, half of the rate in the settings of the sites. */
    private static final Duration PAGE_TIME = Duration.ofMillis(33);
    /** How long the client of the store waits for the first byte. */
    private static final Duration FIRST_BYTE_TIMEOUT = Duration.ofMillis(900);

    /** Serves one page at a time. A page whose reader has timed out takes the same time as any other. */
    private static final class SlowStore implements UnsupportedCalls {
        private long busyUntilNanos;
        /** Duration of the last call in nanoseconds. */
        private long lastCallNanos;

        private long nowNanos;

        @Override
        public NewestPage readNewest(Topic topic, String afterKey, Duration wait) throws NotRunException {
            long startNanos = Math.max(nowNanos, busyUntilNanos);
            busyUntilNanos = startNanos + PAGE_TIME.toNanos();
            long timeoutNanos = FIRST_BYTE_TIMEOUT.plus(wait).toNanos();
            if (startNanos - nowNanos > timeoutNanos) {
                lastCallNanos = timeoutNanos;
                throw new NotRunException("timed out before the first byte", "try again");
            }
            lastCallNanos = busyUntilNanos - nowNanos;
            int page = afterKey.isEmpty() ? 1 : Integer.parseInt(afterKey) + 1;
            return new NewestPage(Map.of("key" + page, new byte[1]), String.valueOf(page), page < PAGE_COUNT, 0);
        }

        @Override
        public Page read(Topic topic, long from, Duration wait) {
            lastCallNanos = 0;
            return new Page(List.of(), from, from);
        }
    }

    /** Implements the calls that followers do not make. */
    private interface UnsupportedCalls extends StateStore {
        @Override
        default Limits limits() {
            return Limits.DEFAULT;
        }

        @Override
        default long append(Topic topic, List<Entry> entries, Writer writer, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        default Membership join(String member, Duration ttl, long generation) {
            throw new UnsupportedOperationException();
        }

        @Override
        default Set<String> members() {
            throw new UnsupportedOperationException();
        }

        @Override
        default void leave(String member) {
            throw new UnsupportedOperationException();
        }
    }

    private static final class SimulatedFollower {
        private final TopicFollower topicFollower;
        private final AtomicInteger keyCount = new AtomicInteger();
        private long nextCallAt;

        SimulatedFollower(SlowStore store, ManualTime time, Random random) {
            TopicFollower.Listener listener = new TopicFollower.Listener() {
                @Override
                public void onSnapshot(StateStore.Snapshot snapshot) {
                    keyCount.set(snapshot.values().size());
                }

                @Override
                public void onEntry(StateStore.StoredEntry stored) {
                    keyCount.incrementAndGet();
                }
            };
            TopicFollower.PollPolicy policy =
                    new TopicFollower.PollPolicy(Duration.ZERO, Duration.ofMillis(500), Duration.ofSeconds(2));
            topicFollower = new TopicFollower(
                    store,
                    StateStore.Topic.JOBS,
                    listener,
                    () -> policy,
                    time,
                    delay -> nextCallAt += delay.toNanos(),
                    random);
        }

        /** Makes one call to the store. */
        void callOnce(SlowStore store) {
            store.nowNanos = nextCallAt;
            AtomicInteger remainingRounds = new AtomicInteger(1);
            topicFollower.run(() -> remainingRounds.getAndDecrement() > 0);
            nextCallAt += store.lastCallNanos;
        }
    }

    /** Nodes that start together must not keep the store busy with reads that all time out. */
    @Test
    public void allFollowersLoadFromAnOverloadedStore() {
        SlowStore store = new SlowStore();
        ManualTime time = new ManualTime();
        PriorityQueue<SimulatedFollower> followersByNextCall =
                new PriorityQueue<>(Comparator.comparingLong(follower -> follower.nextCallAt));
        List<SimulatedFollower> followers = new ArrayList<>();
        for (int i = 0; i < FOLLOWERS; i++) {
            followers.add(new SimulatedFollower(store, time, new Random(i)));
        }
        followersByNextCall.addAll(followers);
        long timeLimit = Duration.ofSeconds(60).toNanos();
        while (!followersByNextCall.isEmpty() && followersByNextCall.element().nextCallAt < timeLimit) {
            SimulatedFollower next = followersByNextCall.remove();
            next.callOnce(store);
            if (!next.topicFollower.loaded()) {
                followersByNextCall.add(next);
            }
        }
        assertTrue(
                followersByNextCall.isEmpty(),
                followersByNextCall.size() + " of " + FOLLOWERS + " followers have not loaded the topic");
        followers.forEach(follower -> assertEquals(follower.keyCount.get(), PAGE_COUNT));
    }
}
