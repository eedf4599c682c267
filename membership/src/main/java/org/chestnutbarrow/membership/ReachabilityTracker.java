package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.TimeSource;

/**
 * Tracks which daemons can reach this one and which ones it can reach. Thread-safe; all state is guarded by one lock.
 *
 * <p>The class answers two related questions. The owner of a job shard asks whether a daemon that it does not hear from
 * may still renew the owner's attempts ({@link #level}). The holder of a worker asks whether it may continue to renew
 * the attempts of an owner ({@link #mayRenew}). Invariant: once an owner has been at {@link Level#MAJORITY} for longer
 * than {@link #OWNER_TIMEOUT} plus {@link #TAKEOVER_GRACE}, with margins, no holder that is out of contact with the
 * owner may renew its attempts. A holder continues without answers from the owner only while a majority has not heard
 * from the owner for {@link #SILENCE_TIMEOUT} and knows of no newer log record. Such a majority overlaps with every
 * majority that answers the owner.
 */
public final class ReachabilityTracker {
    /** Time without an answer from an owner after which a holder stops renewing the owner's attempts. */
    public static final Duration OWNER_TIMEOUT = Duration.ofSeconds(8);

    /** Time after a holder acquired a worker within which the owners of its attempts must learn of the new holder. */
    public static final Duration TAKEOVER_GRACE = Duration.ofSeconds(4);

    /** Time without a request from a daemon after which it is reported as silent. */
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(5);

    /** Age up to which an answer counts as recent. */
    private static final Duration ANSWER_MAX_AGE = Duration.ofSeconds(2);

    /**
     * Age up to which a request counts as recent, twice the heartbeat interval. The workers listed in a recent
     * heartbeat are at most this much out of date.
     */
    private static final Duration REQUEST_MAX_AGE = Duration.ofMillis(500);

    private final DaemonId self;
    private final TimeSource time;
    private final int daemonCount;
    private final long startedAt;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<DaemonId, PeerState> peers = new HashMap<>();

    /**
     * Creates a tracker that has not heard from any daemon.
     *
     * @param all all daemons of the deployment, including this one
     */
    public ReachabilityTracker(DaemonId self, Collection<DaemonId> all, TimeSource time) {
        Checks.require(all.contains(self), "the configured daemons must include this one");
        this.self = self;
        this.time = time;
        this.daemonCount = all.size();
        this.startedAt = time.nanos();
        for (DaemonId daemon : all) {
            if (!daemon.equals(self)) {
                peers.put(daemon, new PeerState(startedAt));
            }
        }
    }

    /** The part of the deployment that this daemon is in contact with. */
    public enum Level {
        /** Every daemon has recently sent a request and answered one. */
        ALL,
        /** A majority, including this daemon, has recently answered. */
        MAJORITY,
        /** Less than a majority has recently answered. */
        MINORITY
    }

    /** Records a request from a peer that had applied the log up to {@code position} when it sent the request. */
    public void onRequest(DaemonId peer, long position) {
        update(peer, peerState -> {
            peerState.lastRequestAt = time.nanos();
            peerState.requestPosition = Math.max(peerState.requestPosition, position);
        });
    }

    /**
     * Records an answer from a peer.
     *
     * @param requestedAt monotonic time before the request was sent
     * @param position log position that the peer had applied
     * @param silentPeers daemons that the peer has not heard from for {@link #SILENCE_TIMEOUT}
     */
    public void onAnswer(DaemonId peer, long requestedAt, long position, Set<DaemonId> silentPeers) {
        update(peer, peerState -> {
            if (!peerState.hasAnswered || requestedAt - peerState.answerRequestedAt > 0) {
                peerState.hasAnswered = true;
                peerState.answerRequestedAt = requestedAt;
                peerState.answerPosition = position;
                peerState.silentPeers = Set.copyOf(silentPeers);
            }
        });
    }

    /** Returns the part of the deployment that this daemon is currently in contact with. */
    public Level level() {
        lock.lock();
        try {
            long now = time.nanos();
            int answering = 1;
            boolean all = true;
            for (PeerState peerState : peers.values()) {
                boolean recent = peerState.hasAnswered && isWithin(peerState.answerRequestedAt, now, ANSWER_MAX_AGE);
                answering += recent ? 1 : 0;
                all &= recent && isWithin(peerState.lastRequestAt, now, REQUEST_MAX_AGE);
            }
            if (all) {
                return Level.ALL;
            }
            return 2 * answering > daemonCount ? Level.MAJORITY : Level.MINORITY;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the daemons that this one has not heard from for {@link #SILENCE_TIMEOUT}, for reporting to peers. The
     * set is empty if a peer that was heard from knows of newer log records, because one of them may name a new owner.
     *
     * @param position log position that this daemon has applied
     */
    public Set<DaemonId> silentPeers(long position) {
        lock.lock();
        try {
            long now = time.nanos();
            Set<DaemonId> silent = new TreeSet<>();
            for (Map.Entry<DaemonId, PeerState> entry : peers.entrySet()) {
                PeerState peerState = entry.getValue();
                if (!isWithin(peerState.lastRequestAt, now, SILENCE_TIMEOUT)) {
                    silent.add(entry.getKey());
                } else if (peerState.requestPosition > position) {
                    return Set.of();
                }
            }
            return silent;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether the holder of a worker may continue to renew attempts on it.
     *
     * @param owner owner of the job shard of the attempts according to the newest claim known to this daemon
     * @param acquiredAt monotonic time at which this daemon acquired the worker
     * @param position log position that this daemon has applied
     */
    public boolean mayRenew(DaemonId owner, long acquiredAt, long position) {
        if (owner.equals(self)) {
            return true;
        }
        Set<DaemonId> locallySilent = silentPeers(position);
        lock.lock();
        try {
            long now = time.nanos();
            PeerState peerState = peers.get(owner);
            if (peerState == null) {
                return isWithin(acquiredAt, now, TAKEOVER_GRACE);
            }
            long lastAnsweredAt = peerState.hasAnswered ? peerState.answerRequestedAt : startedAt;
            boolean answeredSinceAcquired = peerState.hasAnswered && lastAnsweredAt - acquiredAt >= 0;
            if (isWithin(lastAnsweredAt, now, OWNER_TIMEOUT)
                    && (answeredSinceAcquired || isWithin(acquiredAt, now, TAKEOVER_GRACE))) {
                return true;
            }
            int confirmingSilence = locallySilent.contains(owner) ? 1 : 0;
            for (PeerState peer : peers.values()) {
                boolean recent = peer.hasAnswered && isWithin(peer.answerRequestedAt, now, ANSWER_MAX_AGE);
                confirmingSilence +=
                        recent && peer.answerPosition <= position && peer.silentPeers.contains(owner) ? 1 : 0;
            }
            return 2 * confirmingSilence > daemonCount;
        } finally {
            lock.unlock();
        }
    }

    private void update(DaemonId peer, Consumer<PeerState> change) {
        lock.lock();
        try {
            PeerState peerState = peers.get(peer);
            if (peerState != null) {
                change.accept(peerState);
            }
        } finally {
            lock.unlock();
        }
    }

    private static boolean isWithin(long time, long now, Duration maxAge) {
        return now - time < maxAge.toNanos();
    }

    /** What is known about one peer; guarded by the lock. */
    private static final class PeerState {
        private long lastRequestAt;
        private long requestPosition = -1;
        private boolean hasAnswered;
        private long answerRequestedAt;
        private long answerPosition;
        private Set<DaemonId> silentPeers = Set.of();

        PeerState(long startedAt) {
            this.lastRequestAt = startedAt;
        }
    }
}
