package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Predicate;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.UnstorableException;

/** The view that one node has of a store, which can refuse calls of this node only. Safe for use by several threads. */
final class NodeStore implements StateStore {
    private record LateAnswer(Predicate<Entry> entries, CountDownLatch stored, CountDownLatch released) {
        boolean appliesTo(List<Entry> appended) {
            return appended.stream().anyMatch(entries);
        }
    }

    private final StateStore store;
    private volatile Optional<LateAnswer> lateAnswer = Optional.empty();
    private volatile Set<Topic> refusedReads = Set.of();
    private volatile boolean refusesProgress;
    private volatile CountDownLatch progressHangs = new CountDownLatch(0);
    private volatile boolean progressAppended;

    NodeStore(StateStore store) {
        this.store = store;
    }

    /** Refuses reads of exactly these topics from now on. */
    void refuseReads(Set<Topic> topics) {
        refusedReads = Set.copyOf(topics);
    }

    /** Refuses appends of progress from now on, except for empty ones. */
    void refuseProgress(boolean refused) {
        refusesProgress = refused;
    }

    /** Lets appends of progress hang until the latch is released. */
    void hangProgress(CountDownLatch released) {
        progressHangs = released;
    }

    /**
     * Answers appends of progress with a matching entry only once {@code released} is released, although they have taken
     * effect. Returns a latch that is released when the first of them has.
     */
    CountDownLatch answerLate(Predicate<Entry> entries, CountDownLatch released) {
        CountDownLatch stored = new CountDownLatch(1);
        lateAnswer = Optional.of(new LateAnswer(entries, stored, released));
        return stored;
    }

    private static void awaitRelease(CountDownLatch released) {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether an append of progress has begun. */
    boolean progressAppended() {
        return progressAppended;
    }

    private void checkRead(Topic topic) throws NotRunException {
        if (refusedReads.contains(topic)) {
            throw new NotRunException("refused", "try again");
        }
    }

    @Override
    public Limits limits() {
        return store.limits();
    }

    @Override
    public long append(Topic topic, List<Entry> entries, Writer writer, Duration timeout)
            throws NotRunException, OutcomeUnknownException, StaleEpochException, UnstorableException {
        if (refusesProgress && topic == Topic.PROGRESS && !entries.isEmpty()) {
            throw new NotRunException("refused", "try again");
        }
        if (topic == Topic.PROGRESS) {
            progressAppended = true;
            awaitRelease(progressHangs);
        }
        long offset = store.append(topic, entries, writer, timeout);
        if (topic == Topic.PROGRESS) {
            lateAnswer.filter(late -> late.appliesTo(entries)).ifPresent(late -> {
                late.stored().countDown();
                awaitRelease(late.released());
            });
        }
        return offset;
    }

    @Override
    public Page read(Topic topic, long fromOffset, Duration wait) throws NotRunException, OffsetOutOfRangeException {
        checkRead(topic);
        return store.read(topic, fromOffset, wait);
    }

    @Override
    public NewestPage readNewest(Topic topic, String afterKey, Duration wait) throws NotRunException {
        checkRead(topic);
        return store.readNewest(topic, afterKey, wait);
    }

    @Override
    public Membership join(String member, Duration ttl, long generation) throws NotRunException {
        return store.join(member, ttl, generation);
    }

    @Override
    public Set<String> members() throws NotRunException {
        return store.members();
    }

    @Override
    public void leave(String member) throws NotRunException {
        store.leave(member);
    }
}
