package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Keeps a node a member of the store's group. Reviews of the ownership run on a thread of their own, because a takeover
 * can take longer than a membership lasts, and an owner that is no member any more is replaced. Safe for use by several
 * threads.
 *
 * <p>Invariants: at most one method of {@link Ownership} runs at a time; a node that completes no review for
 * {@link #MAX_UNREVIEWED_TTLS} membership timeouts makes no call to join for one, so that the group takes its partitions
 * away. This covers calls whose answers do not arrive, threads that do not get the processor, and a takeover that hangs.
 */
final class GroupMembership {
    /** Number of calls to join within one membership timeout. */
    private static final int JOINS_PER_TTL = 6;
    /**
     * Number of membership timeouts without a completed review after which the node lets its membership end. This is 6 s
     * on most machines, so that an owner is a member again after an outage of the store of 4.5 s.
     */
    private static final int MAX_UNREVIEWED_TTLS = 4;
    /** Time between two checks whether the node has loaded its copies. */
    private static final Duration LOAD_CHECK_INTERVAL = Duration.ofMillis(50);

    /** What a node decides by its membership. */
    interface Ownership {
        /** Returns whether a term under the current member id has ended, after which the id is not used any more. */
        boolean termEnded();

        /** Called when the node gets its first or another member id. */
        void memberChanged(Member member);

        /** Reviews the ownership after a call to join that was sent at {@code sentAt}, ns. */
        void review(StateStore.Membership membership, long sentAt) throws NotRunException;
    }

    private final NodeSettings settings;
    private final StateStore store;
    private final TimeSource time;
    private final Ownership ownership;
    private final AtomicBoolean reviewing = new AtomicBoolean();
    private volatile Member member;
    private volatile boolean left;
    /** Whether the last call to join or leave has failed; accessed only by the thread of {@link #run}. */
    private boolean unconfirmed;
    /** From when on the time without a completed review counts, ns. */
    private volatile long unreviewedSince;

    /** Creates a membership that is not joined yet and passes the first member id to {@code ownership}. */
    GroupMembership(NodeSettings settings, StateStore store, TimeSource time, Ownership ownership) {
        this.settings = settings;
        this.store = store;
        this.time = time;
        this.ownership = ownership;
        this.member = new Member(settings.name(), settings.capacity().milliCores(), time.now(), settings.relay());
        ownership.memberChanged(member);
    }

    /** Returns the id under which the node joins. */
    String memberId() {
        return member.id();
    }

    /**
     * Takes another id. It does not depend on the clock, which may step back to the time of an earlier id, and leaves
     * the start of this node in its place among the others.
     */
    private void changeMember() {
        member = member.rejoined();
        ownership.memberChanged(member);
    }

    /** Joins, and renews the membership until {@link #leave} is called; waits until {@code loaded} at first. */
    void run(BooleanSupplier loaded) {
        Duration ttl = settings.capacity().membershipTtl(settings.membershipTtl());
        long generation = 0;
        unreviewedSince = time.nanos();
        while (!left) {
            if (!loaded.getAsBoolean()) {
                Threads.sleep(LOAD_CHECK_INTERVAL);
                unreviewedSince = time.nanos();
                continue;
            }
            if (isUnreviewed(ttl)) {
                // A call to leave could be carried out late and end the next membership.
                Threads.sleep(ttl.plus(ttl.dividedBy(JOINS_PER_TTL)));
                unreviewedSince = time.nanos();
                continue;
            }
            generation = renew(ttl, generation);
            Threads.sleep(ttl.dividedBy(JOINS_PER_TTL));
        }
        // A call to join that was in flight while the node left may have made it a member again.
        callLeave();
    }

    private boolean isUnreviewed(Duration ttl) {
        Duration unreviewed = Duration.ofNanos(time.nanos() - unreviewedSince);
        if (unreviewed.compareTo(ttl.multipliedBy(MAX_UNREVIEWED_TTLS)) < 0) {
            return false;
        }
        Events.warn("membership-abandoned", "member", member.id(), "unreviewedMs", unreviewed.toMillis());
        return true;
    }

    /** Renews the membership once and returns the last known generation of the group. */
    private long renew(Duration ttl, long generation) {
        try {
            if (!reviewing.get() && ownership.termEnded()) {
                // Rejoins under another id, so that the member whose term has ended does not count as alive.
                store.leave(member.id());
                changeMember();
            }
            long sentAt = time.nanos();
            StateStore.Membership membership = store.join(member.id(), ttl, generation);
            unconfirmed = false;
            if (!left && reviewing.compareAndSet(false, true)) {
                Thread.ofVirtual().name("ownership").start(() -> review(membership, sentAt));
            }
            return membership.generation();
        } catch (NotRunException e) {
            if (!unconfirmed) {
                unconfirmed = true;
                Events.warn("membership-unconfirmed", "generation", generation, "cause", e.getMessage());
            }
            return generation;
        }
    }

    private void review(StateStore.Membership membership, long sentAt) {
        try {
            ownership.review(membership, sentAt);
        } catch (NotRunException | RuntimeException e) {
            Events.warn("ownership-review-failed", "generation", membership.generation(), "cause", e);
        } finally {
            unreviewedSince = time.nanos();
            reviewing.set(false);
        }
    }

    /** Ends the membership for good. */
    void leave() {
        left = true;
        callLeave();
    }

    private void callLeave() {
        try {
            store.leave(member.id());
        } catch (NotRunException e) {
            Events.warn("leave-failed", "cause", e.getMessage());
        }
    }
}
