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
 * With which daemons this one is in contact, in both directions. Safe for use by several threads, under its own lock.
 *
 * <p>It answers two questions that belong together. The owner of a job shard asks how sure it is that no daemon it does
 * not hear renews its attempts ({@link #level}). The holder of a worker asks whether it may go on renewing the attempts
 * of an owner ({@link #mayRenew}). Invariant: an owner that stays at {@link Level#MAJORITY} for longer than
 * {@link #OWNER_SILENCE} plus {@link #TAKEN_GRACE}, with margins, is not missed by a holder that may renew. A holder
 * goes on without the owner's answers only while a majority has not heard the owner for {@link #SILENT_AFTER} and knows
 * of no newer log record; such a majority shares a member with every majority that answers the owner.
 */
public final class Contacts {
    /** Time without an answer from an owner after which a holder ends the owner's attempts. */
    public static final Duration OWNER_SILENCE = Duration.ofSeconds(8);

    /** Time after taking a worker in which the owners of its attempts have to learn of the new holder. */
    public static final Duration TAKEN_GRACE = Duration.ofSeconds(4);

    /** Time without a request from a daemon after which it is reported as silent. */
    static final Duration SILENT_AFTER = Duration.ofSeconds(5);

    /** Age up to which an answer counts. */
    private static final Duration RECENT = Duration.ofSeconds(2);

    /** Twice the interval of heartbeats; a daemon heard within it has told what it holds at most this long ago. */
    private static final Duration HEARD_NOW = Duration.ofMillis(500);

    private final DaemonId self;
    private final TimeSource time;
    private final int configured;
    private final long startedAt;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<DaemonId, Contact> contacts = new HashMap<>();

    /**
     * Starts without contact.
     *
     * @param all all daemons of the deployment, this one included
     */
    public Contacts(DaemonId self, Collection<DaemonId> all, TimeSource time) {
        Checks.require(all.contains(self), "the configured daemons must include this one");
        this.self = self;
        this.time = time;
        this.configured = all.size();
        this.startedAt = time.nanos();
        for (DaemonId daemon : all) {
            if (!daemon.equals(self)) {
                contacts.put(daemon, new Contact(startedAt));
            }
        }
    }

    /** How much of the deployment is in contact. */
    public enum Level {
        /** Every daemon was heard just now and has answered. */
        ALL,
        /** A majority, this daemon included, has answered. */
        MAJORITY,
        /** Fewer than a majority have answered. */
        MINORITY
    }

    /** A request of a peer arrived, sent when the peer had applied the log up to {@code position}. */
    public void heard(DaemonId peer, long position) {
        change(peer, contact -> {
            contact.heardAt = time.nanos();
            contact.position = Math.max(contact.position, position);
        });
    }

    /**
     * A peer answered.
     *
     * @param requestedAt monotonic time before the request was sent
     * @param position log position that the peer had applied
     * @param silent daemons that the peer has not heard lately
     */
    public void answered(DaemonId peer, long requestedAt, long position, Set<DaemonId> silent) {
        change(peer, contact -> {
            if (!contact.answered || requestedAt - contact.answeredAt > 0) {
                contact.answered = true;
                contact.answeredAt = requestedAt;
                contact.answeredPosition = position;
                contact.silent = Set.copyOf(silent);
            }
        });
    }

    /** How much of the deployment is in contact now. */
    public Level level() {
        lock.lock();
        try {
            long now = time.nanos();
            int answered = 1;
            boolean all = true;
            for (Contact contact : contacts.values()) {
                boolean recent = contact.answered && within(contact.answeredAt, now, RECENT);
                answered += recent ? 1 : 0;
                all &= recent && within(contact.heardAt, now, HEARD_NOW);
            }
            if (all) {
                return Level.ALL;
            }
            return 2 * answered > configured ? Level.MAJORITY : Level.MINORITY;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Daemons that have been silent here, as told to peers; empty if a peer heard lately knows of newer log records,
     * because one of them may name a new owner.
     *
     * @param position log position that this daemon has applied
     */
    public Set<DaemonId> silent(long position) {
        lock.lock();
        try {
            long now = time.nanos();
            Set<DaemonId> silent = new TreeSet<>();
            for (Map.Entry<DaemonId, Contact> entry : contacts.entrySet()) {
                Contact contact = entry.getValue();
                if (!within(contact.heardAt, now, SILENT_AFTER)) {
                    silent.add(entry.getKey());
                } else if (contact.position > position) {
                    return Set.of();
                }
            }
            return silent;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Whether a holder may go on renewing attempts.
     *
     * @param owner owner of the attempts' job shard by the newest claim known here
     * @param takenAt monotonic time at which the worker was taken
     * @param position log position that this daemon has applied
     */
    public boolean mayRenew(DaemonId owner, long takenAt, long position) {
        if (owner.equals(self)) {
            return true;
        }
        Set<DaemonId> silentHere = silent(position);
        lock.lock();
        try {
            long now = time.nanos();
            Contact contact = contacts.get(owner);
            if (contact == null) {
                return within(takenAt, now, TAKEN_GRACE);
            }
            long last = contact.answered ? contact.answeredAt : startedAt;
            boolean told = contact.answered && last - takenAt >= 0;
            if (within(last, now, OWNER_SILENCE) && (told || within(takenAt, now, TAKEN_GRACE))) {
                return true;
            }
            int agreeing = silentHere.contains(owner) ? 1 : 0;
            for (Contact peer : contacts.values()) {
                boolean recent = peer.answered && within(peer.answeredAt, now, RECENT);
                agreeing += recent && peer.answeredPosition <= position && peer.silent.contains(owner) ? 1 : 0;
            }
            return 2 * agreeing > configured;
        } finally {
            lock.unlock();
        }
    }

    private void change(DaemonId peer, Consumer<Contact> change) {
        lock.lock();
        try {
            Contact contact = contacts.get(peer);
            if (contact != null) {
                change.accept(contact);
            }
        } finally {
            lock.unlock();
        }
    }

    private static boolean within(long moment, long now, Duration bound) {
        return now - moment < bound.toNanos();
    }

    /** What is known of one peer; guarded by the lock. */
    private static final class Contact {
        private long heardAt;
        private long position = -1;
        private boolean answered;
        private long answeredAt;
        private long answeredPosition;
        private Set<DaemonId> silent = Set.of();

        Contact(long startedAt) {
            this.heardAt = startedAt;
        }
    }
}
