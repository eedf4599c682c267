package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.TimeSource;

/**
 * Determines how fresh this daemon's view of the log is. Thread-safe; all state is guarded by one lock, except for the
 * newest observations, which are published through a volatile field.
 *
 * <p>The end of the log is observed by a read of this daemon or by the heartbeat of a peer. The view is
 *
 * <ul>
 *   <li>current while the newest observation is younger than {@link #MAX_LOG_AGE};
 *   <li>vouched if there is only an older observation, this daemon cannot read the log, no peer that answered within
 *       {@link #MAX_LOG_AGE} has applied more of the log, and a majority of the configured daemons, counting this one
 *       and the peers that answered within that time, cannot read the log but have read its end before;
 *   <li>stale otherwise.
 * </ul>
 *
 * <p>Invariant: {@link #freshness()} does not allow starts once another daemon reports as in force a change that this
 * daemon has not applied. The invariant rests on three rules in addition to those above:
 *
 * <ul>
 *   <li>The transit time of a heartbeat is unknown, and a receiver that was paused finds old heartbeats in its buffers.
 *       A relayed age is therefore counted from the time at which this daemon sent the request that the heartbeat
 *       answers, not from the receipt: the peer cannot have measured the age or sent the answer earlier.
 *   <li>An observation counts only if it was made after the start of this process, and a peer may vouch only if it has
 *       read the end of the log since its own start. Otherwise a daemon that confirmed a change and was then restarted
 *       could vouch that there is no such change.
 *   <li>An observation counts only once everything that was in the log at that time has been applied by this daemon.
 * </ul>
 *
 * <p>Reads of the log need a timeout well below {@link #MAX_LOG_AGE}, because a read that hangs is not recognized as
 * failed.
 *
 * <pre>{@code
 * if (!gate.freshness().allowsStarts()) { return refuse(); }
 * }</pre>
 */
public final class FreshnessGate {
    /** Age from which a view of the log is not current; starts are then allowed only if a majority vouches for it. */
    public static final Duration MAX_LOG_AGE = Duration.ofSeconds(2);

    /**
     * Time after which silent daemons are known to be stale: {@link #MAX_LOG_AGE} plus 10%, because their clocks may
     * run slower.
     */
    static final Duration CONFIRMATION_WAIT = MAX_LOG_AGE.plus(MAX_LOG_AGE.dividedBy(10));

    private static final int MAX_PENDING_PER_SOURCE = 8;

    private final DaemonId self;
    private final TimeSource time;
    private final long startedAt;
    private final int majoritySize;
    private final ReentrantLock lock = new ReentrantLock();
    private final Set<DaemonId> configured;
    private final ConfirmationTracker confirmations;
    private final Map<DaemonId, PeerAnswer> latestAnswers = new HashMap<>();
    private final Map<DaemonId, Deque<LogObservation>> pendingObservations = new HashMap<>();
    private long position = -1;
    private boolean logReadable;
    private Optional<Long> ownReadAt = Optional.empty();
    private volatile NewestObservations newest;

    /**
     * Creates a gate that is stale until the log has been read.
     *
     * @param configured all daemons of the deployment, including this one
     */
    public FreshnessGate(DaemonId self, Collection<DaemonId> configured, TimeSource time) {
        Checks.require(configured.contains(self), "the configured daemons must include this one");
        this.self = self;
        this.time = time;
        this.startedAt = time.nanos();
        this.configured = Set.copyOf(configured);
        this.majoritySize = this.configured.size() / 2 + 1;
        this.confirmations = new ConfirmationTracker(this.configured, CONFIRMATION_WAIT.toNanos());
        this.newest = new NewestObservations(Optional.empty(), Optional.empty());
    }

    /** Records that all log records up to this offset have been applied. */
    public void onApplied(long offset) {
        withLock(() -> {
            position = Math.max(position, offset);
            confirmations.confirm(self, position, time.nanos());
            promoteObservations();
        });
    }

    /**
     * Records that a read by this daemon returned the end of the log.
     *
     * @param sentAt monotonic time at which the read was sent
     * @param lastOffset offset of the last record in the log; -1 if the log is empty
     */
    public void onReadToEnd(long sentAt, long lastOffset) {
        withLock(() -> {
            logReadable = true;
            addObservation(self, new LogObservation(lastOffset, sentAt));
            promoteObservations();
        });
    }

    /** Records that a read by this daemon succeeded without reaching the end of the log. */
    public void onPartialRead() {
        withLock(() -> logReadable = true);
    }

    /** Records that a read by this daemon failed or was abandoned. */
    public void onReadFailed() {
        withLock(() -> logReadable = false);
    }

    /**
     * Records the heartbeat with which a peer answered a request.
     *
     * @param requestedAt monotonic time before the request was sent
     */
    public void onHeartbeat(PeerReport report, long requestedAt) {
        if (report.daemon().equals(self) || !configured.contains(report.daemon())) {
            return;
        }
        withLock(() -> {
            confirmations.confirm(report.daemon(), report.position(), time.nanos());
            report.logAge()
                    .ifPresent(age -> addObservation(
                            report.daemon(), new LogObservation(report.position(), requestedAt - age.toNanos())));
            PeerAnswer previous = latestAnswers.get(report.daemon());
            if (previous == null || requestedAt - previous.requestedAt() >= 0) {
                latestAnswers.put(report.daemon(), new PeerAnswer(report, requestedAt));
            }
            promoteObservations();
        });
    }

    /** Records that a peer confirmed, outside of a heartbeat, that it has applied the log up to this offset. */
    public void onConfirmed(DaemonId daemon, long offset) {
        withLock(() -> confirmations.confirm(daemon, offset, time.nanos()));
    }

    /**
     * Returns whether the change at this offset is in force on all daemons, and if not, which ones have not confirmed
     * it.
     */
    public Confirmation confirmationOf(long offset) {
        lock.lock();
        try {
            return confirmations.confirmationOf(offset, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Returns the current freshness. Must be called again after each wake-up and immediately before each send. */
    public Freshness freshness() {
        NewestObservations snapshot = newest;
        long now = time.nanos();
        if (snapshot.observedAt().isPresent()
                && isWithinBound(snapshot.observedAt().get(), now)) {
            boolean fromOwnRead =
                    snapshot.ownReadAt().filter(at -> isWithinBound(at, now)).isPresent();
            return new Freshness.Current(
                    Duration.ofNanos(now - snapshot.observedAt().get()), fromOwnRead);
        }
        lock.lock();
        try {
            return freshnessWithoutLog();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the offset of the last applied record, or -1 if there is none. */
    public long position() {
        lock.lock();
        try {
            return position;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the last attempt of this daemon to read the log succeeded. */
    public boolean logReadable() {
        lock.lock();
        try {
            return logReadable;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the time since this daemon sent its last read that returned the end of the log and whose result has been
     * applied; empty if there was none.
     */
    public Optional<Duration> ownLogAge() {
        return newest.ownReadAt().map(at -> Duration.ofNanos(time.nanos() - at));
    }

    /** Returns the peer with the newest position that answered within the bound, if it is ahead of this daemon. */
    public Optional<DaemonId> peerAhead() {
        lock.lock();
        try {
            long now = time.nanos();
            return latestAnswers.values().stream()
                    .filter(answer -> isWithinBound(answer.requestedAt(), now)
                            && answer.report().position() > position)
                    .max((a, b) ->
                            Long.compare(a.report().position(), b.report().position()))
                    .map(answer -> answer.report().daemon());
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the view is vouched or stale when the newest observation is too old or there is none. */
    private Freshness freshnessWithoutLog() {
        long now = time.nanos();
        Duration age = Duration.ofNanos(now - newest.observedAt().orElse(startedAt));
        if (logReadable || newest.observedAt().isEmpty()) {
            return new Freshness.Stale(age);
        }
        int vouchers = 1;
        for (PeerAnswer answer : latestAnswers.values()) {
            if (!isWithinBound(answer.requestedAt(), now)) {
                continue;
            }
            if (answer.report().position() > position) {
                return new Freshness.Stale(age);
            }
            if (!answer.report().logReadable() && answer.report().logAge().isPresent()) {
                vouchers++;
            }
        }
        return vouchers >= majoritySize ? new Freshness.Vouched(age, vouchers) : new Freshness.Stale(age);
    }

    private void addObservation(DaemonId source, LogObservation observation) {
        if (observation.at() - startedAt < 0) {
            return;
        }
        Deque<LogObservation> queue = pendingObservations.computeIfAbsent(source, s -> new ArrayDeque<>());
        if (queue.size() >= MAX_PENDING_PER_SOURCE) {
            // The oldest entries are kept, because their positions are reached first.
            queue.removeLast();
        }
        queue.addLast(observation);
    }

    /** Promotes the pending observations whose position has been applied. */
    private void promoteObservations() {
        Optional<Long> observedAt = newest.observedAt();
        for (Map.Entry<DaemonId, Deque<LogObservation>> entry : pendingObservations.entrySet()) {
            for (LogObservation observation : entry.getValue()) {
                if (observation.position() > position) {
                    continue;
                }
                observedAt = latest(observedAt, observation.at());
                if (entry.getKey().equals(self)) {
                    ownReadAt = latest(ownReadAt, observation.at());
                }
            }
            entry.getValue().removeIf(observation -> observation.position() <= position);
        }
        newest = new NewestObservations(observedAt, ownReadAt);
    }

    private static Optional<Long> latest(Optional<Long> a, long b) {
        return a.isPresent() && a.get() - b >= 0 ? a : Optional.of(b);
    }

    private static boolean isWithinBound(long time, long now) {
        return now - time < MAX_LOG_AGE.toNanos();
    }

    private void withLock(Runnable change) {
        lock.lock();
        try {
            change.run();
        } finally {
            lock.unlock();
        }
    }

    /** At time {@code at}, the log contained no record after {@code position}. */
    private record LogObservation(long position, long at) {}

    /** The newest answer from a peer. */
    private record PeerAnswer(PeerReport report, long requestedAt) {}

    /** Times of the newest observations that count: from any source, and from own reads. Read without the lock. */
    private record NewestObservations(Optional<Long> observedAt, Optional<Long> ownReadAt) {}
}
