package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the age of what a follower knows, and the calls that it takes to refresh it. */
public class TopicFollowerTest {
    private static final Duration WITHIN = Duration.ofSeconds(5);
    private static final Duration MOST_AGE = Duration.ofMillis(1500);
    private static final int CALLERS = 40;

    private final List<String> taken = Collections.synchronizedList(new ArrayList<>());
    private FakeStore store;
    private ManualTime time;
    private TopicFollower.Pace pace =
            new TopicFollower.Pace(Duration.ZERO, Duration.ofMillis(10), Duration.ofMillis(150));
    private TopicFollower follower;

    @BeforeMethod
    public void begin() {
        taken.clear();
        store = new FakeStore();
        time = new ManualTime();
        TopicFollower.Listener listener = new TopicFollower.Listener() {
            @Override
            public void replaced(StateStore.Snapshot snapshot) {
                taken.addAll(snapshot.values().keySet());
            }

            @Override
            public void changed(StateStore.Stored stored) {
                taken.add(stored.entry().key());
            }
        };
        follower = new TopicFollower(store, StateStore.Topic.JOBS, listener, () -> pace, time);
    }

    private void put(String key) {
        store.put(StateStore.Topic.JOBS, new StateStore.Entry(key, Optional.of(new byte[] {1})));
    }

    /** Guards against reads of the store for what is fresh, and against answers from what is not. */
    @Test
    public void onlyOldCopiesAreRefreshed() throws NotRunException {
        follower.catchUp();
        int reads = store.reads(StateStore.Topic.JOBS);
        put("a");
        follower.refresh(MOST_AGE, WITHIN);
        assertEquals(store.reads(StateStore.Topic.JOBS), reads);
        time.advance(MOST_AGE.plusMillis(1));
        follower.refresh(MOST_AGE, WITHIN);
        assertEquals(taken, List.of("a"));
        put("b");
        time.advance(Duration.ofMillis(1));
        follower.refresh(Duration.ZERO, WITHIN);
        assertEquals(taken, List.of("a", "b"));
    }

    /** Guards against one call to the store for each of many callers. */
    @Test
    public void callersShareARead() throws NotRunException, InterruptedException, ExecutionException {
        follower.catchUp();
        int reads = store.reads(StateStore.Topic.JOBS);
        put("a");
        time.advance(Duration.ofSeconds(2));
        store.readLatency(Duration.ofMillis(300));
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Integer>> answers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                answers.add(callers.submit(() -> {
                    follower.refresh(MOST_AGE, WITHIN);
                    return taken.size();
                }));
            }
            for (Future<Integer> answer : answers) {
                assertEquals(answer.get(), 1);
            }
        }
        assertEquals(store.reads(StateStore.Topic.JOBS) - reads, 1);
    }

    /** Guards against a call to the store for each caller while the store refuses them. */
    @Test
    public void callersShareARefusal() throws NotRunException {
        follower.catchUp();
        time.advance(Duration.ofSeconds(2));
        int reads = store.reads(StateStore.Topic.JOBS);
        store.refuseReads(Set.of(StateStore.Topic.JOBS));
        for (int i = 0; i < CALLERS; i++) {
            assertThrows(NotRunException.class, () -> follower.refresh(MOST_AGE, WITHIN));
        }
        assertEquals(store.reads(StateStore.Topic.JOBS) - reads, 1);
        store.refuseReads(Set.of());
        time.advance(Duration.ofSeconds(1));
        follower.refresh(MOST_AGE, WITHIN);
    }

    /** Guards against a caller that waits for the store beyond its own time. */
    @Test
    public void refreshEndsWithTheCallersTime() throws NotRunException {
        follower.catchUp();
        time.advance(Duration.ofSeconds(2));
        store.readLatency(Duration.ofSeconds(2));
        long begin = System.nanoTime();
        assertThrows(NotRunException.class, () -> follower.refresh(MOST_AGE, Duration.ofMillis(50)));
        assertTrue(System.nanoTime() - begin < Duration.ofSeconds(1).toNanos(), "the caller waited for the store");
    }

    /** Guards against each caller reading all of a topic that the follower is reading already. */
    @Test
    public void callersDoNotLoadTheTopicThemselves() {
        assertThrows(NotRunException.class, () -> follower.refresh(MOST_AGE, Duration.ofMillis(50)));
        assertEquals(store.reads(StateStore.Topic.JOBS), 0);
    }

    /** Guards against an owner that reads back all that it writes, and against entries of others that are passed over. */
    @Test
    public void onlyEntriesThatFollowWhatWasReadAreSkipped() throws NotRunException {
        put("a");
        follower.catchUp();
        put("own");
        follower.skip(1, 1);
        put("other");
        put("own");
        follower.skip(3, 1);
        follower.catchUp();
        assertEquals(taken, List.of("a", "other", "own"));
    }

    /** Guards against a copy that seems to age while the store holds a call because nothing changes. */
    @Test
    public void anEmptyHeldReadIsAsFreshAsItsEnd() throws NotRunException {
        follower.catchUp();
        store.onHeldRead(time::advance);
        AtomicInteger rounds = new AtomicInteger(1);
        pace = new TopicFollower.Pace(Duration.ofSeconds(1), Duration.ZERO, Duration.ofMillis(150));
        follower.run(() -> rounds.getAndDecrement() > 0);
        assertEquals(follower.age(), Duration.ZERO);
    }

    /** Guards against a topic that is read from its first key on again after each refusal. */
    @Test
    public void aLoadGoesOnFromThePageThatWasRefused() throws NotRunException {
        List.of("a", "b", "c").forEach(this::put);
        store.newestPageSize(1);
        store.refuseReadsAfter(2);
        assertThrows(NotRunException.class, follower::catchUp);
        int refused = store.reads(StateStore.Topic.JOBS);
        put("d");
        store.refuseReadsAfter(Integer.MAX_VALUE);
        follower.catchUp();
        assertEquals(Set.copyOf(taken), Set.of("a", "b", "c", "d"));
        // The third and fourth page, and what was stored since the first one.
        assertEquals(store.reads(StateStore.Topic.JOBS) - refused, 3);
        assertTrue(follower.loaded(), "the topic is not loaded");
    }

    /** Guards against a takeover that fails because one page is refused. */
    @Test
    public void aRefusedPageIsAskedForAgain() throws NotRunException {
        List.of("a", "b").forEach(this::put);
        store.newestPageSize(1);
        store.refuseRead(2);
        follower.catchUp();
        assertEquals(Set.copyOf(taken), Set.of("a", "b"));
        assertEquals(store.reads(StateStore.Topic.JOBS), 4);
    }
}
