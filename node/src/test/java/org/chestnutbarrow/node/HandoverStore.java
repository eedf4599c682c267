package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnstorableException;

/**
 * An in-memory store whose group hands partitions over as {@link HandoverGroup} does, and which can lose the answers to
 * the calls to join of single nodes and delay that to an append. Safe for use by several threads.
 */
final class HandoverStore implements StateStore {
    private static final int PARTITIONS = 64;

    private final FakeStore topics = new FakeStore();
    private final HandoverGroup group = new HandoverGroup(PARTITIONS, TimeSource.SYSTEM);
    private final Set<String> withoutAnswers = ConcurrentHashMap.newKeySet();
    private final CountDownLatch delayEnded = new CountDownLatch(1);
    private volatile boolean delaysProgress;
    private volatile boolean progressDelayed;

    /** Returns the store that keeps the topics. */
    FakeStore topics() {
        return topics;
    }

    /** Carries out the next append of progress, but does not answer it before {@link #endDelay}. */
    void delayNextProgressAnswer() {
        delaysProgress = true;
    }

    /** Returns whether the answer to an append of progress was delayed. */
    boolean progressAnswerDelayed() {
        return progressDelayed;
    }

    void endDelay() {
        delayEnded.countDown();
    }

    /** Carries out the calls to join of this node from now on, but loses the answers. */
    void loseJoinAnswersOf(String node) {
        withoutAnswers.add(node);
    }

    @Override
    public Membership join(String member, Duration ttl, long generation) throws NotRunException {
        Membership membership = group.join(member, ttl, generation);
        if (withoutAnswers.contains(Member.parse(member).node())) {
            throw new NotRunException("the store did not answer", "try again");
        }
        return membership;
    }

    @Override
    public Set<String> members() {
        return group.holders();
    }

    @Override
    public void leave(String member) {
        group.leave(member);
    }

    @Override
    public Limits limits() {
        return topics.limits();
    }

    @Override
    public long append(Topic topic, List<Entry> entries, Writer writer, Duration timeout)
            throws NotRunException, OutcomeUnknownException, StaleEpochException, UnstorableException {
        long offset = topics.append(topic, entries, writer, timeout);
        if (topic == Topic.PROGRESS && delaysProgress) {
            delaysProgress = false;
            progressDelayed = true;
            awaitEndOfDelay();
        }
        return offset;
    }

    private void awaitEndOfDelay() {
        try {
            delayEnded.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public Page read(Topic topic, long from, Duration wait) throws NotRunException, OffsetOutOfRangeException {
        return topics.read(topic, from, wait);
    }

    @Override
    public NewestPage readNewest(Topic topic, String after, Duration wait) throws NotRunException {
        return topics.readNewest(topic, after, wait);
    }
}
