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
 * Many followers load a topic from one store whose rate of reads they share. Runs on simulated time and one thread: the
 * follower whose turn comes first reads a page, which takes it until the answer would have come.
 */
public class CrowdedStoreTest {
    /** 37 nodes read two topics. */
    private static final int FOLLOWERS = 74;

    private static final int PAGES = 10;
    /** A page of 1.3 MB at 40 MB/s, half of the rate that the settings of the sites name. */
    private static final Duration PAGE_TIME = Duration.ofMillis(33);
    /** As long as the store's client waits for the first byte. */
    private static final Duration SILENCE = Duration.ofMillis(900);

    /** Answers one page after the other; a page whose reader has given up takes its time all the same. */
    private static final class Store implements Stubs {
        private long busyUntil;
        /** Time that the last call took, ns. */
        private long took;

        private long now;

        @Override
        public NewestPage newest(Topic topic, String after, Duration wait) throws NotRunException {
            long begin = Math.max(now, busyUntil);
            busyUntil = begin + PAGE_TIME.toNanos();
            long longest = SILENCE.plus(wait).toNanos();
            if (begin - now > longest) {
                took = longest;
                throw new NotRunException("no byte in time", "try again");
            }
            took = busyUntil - now;
            int page = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
            return new NewestPage(Map.of("key" + page, new byte[1]), String.valueOf(page), page < PAGES, 0);
        }

        @Override
        public Page read(Topic topic, long from, Duration wait) {
            took = 0;
            return new Page(List.of(), from, from);
        }
    }

    /** Calls that followers do not make. */
    private interface Stubs extends StateStore {
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

    private static final class Reader {
        private final TopicFollower follower;
        private final AtomicInteger keys = new AtomicInteger();
        private long turn;

        Reader(Store store, ManualTime time, Random random) {
            TopicFollower.Listener listener = new TopicFollower.Listener() {
                @Override
                public void replaced(StateStore.Snapshot snapshot) {
                    keys.set(snapshot.values().size());
                }

                @Override
                public void changed(StateStore.Stored stored) {
                    keys.incrementAndGet();
                }
            };
            TopicFollower.Pace pace =
                    new TopicFollower.Pace(Duration.ZERO, Duration.ofMillis(500), Duration.ofSeconds(2));
            follower = new TopicFollower(
                    store, StateStore.Topic.JOBS, listener, () -> pace, time, pause -> turn += pause.toNanos(), random);
        }

        /** Makes one call to the store. */
        void round(Store store) {
            store.now = turn;
            AtomicInteger rounds = new AtomicInteger(1);
            follower.run(() -> rounds.getAndDecrement() > 0);
            turn += store.took;
        }
    }

    /** Guards against nodes that start together and keep a store busy with reads that all of them give up. */
    @Test
    public void allLoadFromACrowdedStore() {
        Store store = new Store();
        ManualTime time = new ManualTime();
        PriorityQueue<Reader> turns = new PriorityQueue<>(Comparator.comparingLong(r -> r.turn));
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < FOLLOWERS; i++) {
            readers.add(new Reader(store, time, new Random(i)));
        }
        turns.addAll(readers);
        long bound = Duration.ofSeconds(60).toNanos();
        while (!turns.isEmpty() && turns.element().turn < bound) {
            Reader reader = turns.remove();
            reader.round(store);
            if (!reader.follower.loaded()) {
                turns.add(reader);
            }
        }
        assertTrue(turns.isEmpty(), turns.size() + " of " + FOLLOWERS + " followers have not loaded the topic");
        readers.forEach(r -> assertEquals(r.keys.get(), PAGES));
    }
}
