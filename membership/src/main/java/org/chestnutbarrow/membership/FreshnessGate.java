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
 * How fresh this daemon's view of the log is, by section 7 of the design page. Safe for use by several threads.
 *
 * <p>Invariant: {@link #freshness()} does not allow starts once another daemon reports as in force a change that this
 * daemon has not applied. It rests on three rules beside those of the table there:
 *
 * <ul>
 *   <li>The transit time of a heartbeat is unknown, and a paused receiver finds old ones in its buffers. A relayed age is
 *       therefore not counted from the receipt but from the moment at which this daemon sent the request that the
 *       heartbeat answers: the peer cannot have sent the answer, nor measured the age in it, earlier.
 *   <li>A moment counts only if it lies after the start of this process, and a peer vouches only if it has read the end
 *       of the log since its own start. Otherwise a daemon that confirmed a change and was restarted would vouch that
 *       there is none.
 *   <li>A moment counts only once everything that stood in the log then has been applied here.
 * </ul>
 *
 * <p>Read requests to the log need a time limit well below {@link #BOUND}; a read that hangs is not known as failed.
 *
 * <pre>{@code
 * if (!gate.freshness().allowsStarts()) { return refuse(); }
 * }</pre>
 */
public final class FreshnessGate {
    /** The bound W: an older view of the log does not allow starts. */
    public static final Duration BOUND = Duration.ofSeconds(2);

    /** Wait before silent daemons count as stale: W, plus 10% because their clocks may run slower than ours. */
    static final Duration CONFIRMATION_WAIT = BOUND.plus(BOUND.dividedBy(10));

    private static final int MAX_PENDING = 8;

    private final DaemonId self;
    private final TimeSource time;
    private final long startedAt;
    private final int majority;
    private final ReentrantLock lock = new ReentrantLock();
    private final Set<DaemonId> configured;
    private final Confirmations confirmations;
    private final Map<DaemonId, Heard> heard = new HashMap<>();
    private final Map<DaemonId, Deque<Moment>> pending = new HashMap<>();
    private long position = -1;
    private boolean readsLog;
    private Optional<Long> ownRead = Optional.empty();
    private volatile Known known;

    /**
     * Creates a gate that is stale.
     *
     * @param configured all daemons of the deployment, this one included
     */
    public FreshnessGate(DaemonId self, Collection<DaemonId> configured, TimeSource time) {
        Checks.require(configured.contains(self), "the configured daemons must include this one");
        this.self = self;
        this.time = time;
        this.startedAt = time.nanos();
        this.configured = Set.copyOf(configured);
        this.majority = this.configured.size() / 2 + 1;
        this.confirmations = new Confirmations(this.configured, CONFIRMATION_WAIT.toNanos());
        this.known = new Known(Optional.empty(), Optional.empty());
    }

    /** All records up to this offset have been applied. */
    public void applied(long offset) {
        locked(() -> {
            position = Math.max(position, offset);
            confirmations.confirm(self, position, time.nanos());
            settle();
        });
    }

    /**
     * An own read returned the end of the log.
     *
     * @param sentAt monotonic time at which the read was sent
     * @param last offset of the last record in the log; -1 if it holds none
     */
    public void readEnd(long sentAt, long last) {
        locked(() -> {
            readsLog = true;
            add(self, new Moment(last, sentAt));
            settle();
        });
    }

    /** An own read succeeded and did not reach the end. */
    public void readPart() {
        locked(() -> readsLog = true);
    }

    /** An own read failed or was given up. */
    public void readFailed() {
        locked(() -> readsLog = false);
    }

    /**
     * Takes a peer's answer to a heartbeat.
     *
     * @param requestedAt monotonic time before the request for it was sent
     */
    public void heard(PeerReport report, long requestedAt) {
        if (report.daemon().equals(self) || !configured.contains(report.daemon())) {
            return;
        }
        locked(() -> {
            confirmations.confirm(report.daemon(), report.position(), time.nanos());
            report.logAge()
                    .ifPresent(age -> add(report.daemon(), new Moment(report.position(), requestedAt - age.toNanos())));
            Heard last = heard.get(report.daemon());
            if (last == null || requestedAt - last.requestedAt() >= 0) {
                heard.put(report.daemon(), new Heard(report, requestedAt));
            }
            settle();
        });
    }

    /** A peer said, outside of a heartbeat, that it has applied the log up to this offset. */
    public void confirmedBy(DaemonId daemon, long offset) {
        locked(() -> confirmations.confirm(daemon, offset, time.nanos()));
    }

    /** Whether the change at this offset is in force everywhere, and which daemons are missing if not. */
    public Confirmation confirmed(long offset) {
        lock.lock();
        try {
            return confirmations.confirmed(offset, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** The freshness at this moment; call it again after each wake-up and immediately before each send. */
    public Freshness freshness() {
        Known snapshot = known;
        long now = time.nanos();
        if (snapshot.moment().isPresent() && within(snapshot.moment().get(), now)) {
            boolean own = snapshot.ownRead().filter(at -> within(at, now)).isPresent();
            return new Freshness.Current(
                    Duration.ofNanos(now - snapshot.moment().get()), own);
        }
        lock.lock();
        try {
            return withoutLog();
        } finally {
            lock.unlock();
        }
    }

    /** Offset of the last record applied; -1 before any. */
    public long position() {
        lock.lock();
        try {
            return position;
        } finally {
            lock.unlock();
        }
    }

    /** Whether the last own attempt to read the log succeeded. */
    public boolean readsLog() {
        lock.lock();
        try {
            return readsLog;
        } finally {
            lock.unlock();
        }
    }

    /** Time since the own last read whose result, the end of the log, has been applied; empty if none was. */
    public Optional<Duration> ownLogAge() {
        return known.ownRead().map(at -> Duration.ofNanos(time.nanos() - at));
    }

    /** The peer heard within the bound with the newest position, if it is ahead of this daemon. */
    public Optional<DaemonId> ahead() {
        lock.lock();
        try {
            long now = time.nanos();
            return heard.values().stream()
                    .filter(h -> within(h.requestedAt(), now) && h.report().position() > position)
                    .max((a, b) ->
                            Long.compare(a.report().position(), b.report().position()))
                    .map(h -> h.report().daemon());
        } finally {
            lock.unlock();
        }
    }

    /** The last two rows of the table in section 7: nobody heard reads the log. */
    private Freshness withoutLog() {
        long now = time.nanos();
        Duration age = Duration.ofNanos(now - known.moment().orElse(startedAt));
        if (readsLog || known.moment().isEmpty()) {
            return new Freshness.Stale(age);
        }
        int vouchers = 1;
        for (Heard h : heard.values()) {
            if (!within(h.requestedAt(), now)) {
                continue;
            }
            if (h.report().position() > position) {
                return new Freshness.Stale(age);
            }
            if (!h.report().readsLog() && h.report().logAge().isPresent()) {
                vouchers++;
            }
        }
        return vouchers >= majority ? new Freshness.Vouched(age, vouchers) : new Freshness.Stale(age);
    }

    private void add(DaemonId source, Moment moment) {
        if (moment.at() - startedAt < 0) {
            return;
        }
        Deque<Moment> waiting = pending.computeIfAbsent(source, s -> new ArrayDeque<>());
        if (waiting.size() >= MAX_PENDING) {
            // The oldest entries are the first whose position is reached, so they are kept.
            waiting.removeLast();
        }
        waiting.addLast(moment);
    }

    /** Takes over the moments whose position has been applied. */
    private void settle() {
        Optional<Long> newest = known.moment();
        for (Map.Entry<DaemonId, Deque<Moment>> entry : pending.entrySet()) {
            for (Moment moment : entry.getValue()) {
                if (moment.position() > position) {
                    continue;
                }
                newest = later(newest, moment.at());
                if (entry.getKey().equals(self)) {
                    ownRead = later(ownRead, moment.at());
                }
            }
            entry.getValue().removeIf(moment -> moment.position() <= position);
        }
        known = new Known(newest, ownRead);
    }

    private static Optional<Long> later(Optional<Long> a, long b) {
        return a.isPresent() && a.get() - b >= 0 ? a : Optional.of(b);
    }

    private static boolean within(long moment, long now) {
        return now - moment < BOUND.toNanos();
    }

    private void locked(Runnable change) {
        lock.lock();
        try {
            change.run();
        } finally {
            lock.unlock();
        }
    }

    /** At {@code at}, the log held nothing after {@code position}. */
    private record Moment(long position, long at) {}

    /** The newest answer of a peer. */
    private record Heard(PeerReport report, long requestedAt) {}

    /** The newest moments that count, of any source and of own reads; read without the lock. */
    private record Known(Optional<Long> moment, Optional<Long> ownRead) {}
}
