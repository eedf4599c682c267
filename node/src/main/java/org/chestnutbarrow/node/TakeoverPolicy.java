package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides when a member takes over the ownership; does no I/O. When the owner has left the group, the first member in
 * the order of {@link Member#byPreference} takes over, and the others wait according to their rank in case it cannot. An
 * owner that is still a member is replaced only by a member with at least {@link #MIN_CAPACITY_RATIO} times its capacity,
 * because each change of the owner briefly interrupts placement. Not safe for use by several threads.
 *
 * <p>Invariant: a takeover uses a token that only this member can form and that is higher than that of the last owner.
 */
final class TakeoverPolicy {
    /** Additional delay of a takeover for each rank; a takeover takes about 1 s on a slow store. */
    static final Duration TAKEOVER_DELAY_PER_RANK = Duration.ofMillis(1500);
    /**
     * Additional delay for each rank before the members are read again after a change of the group. Restarts change the
     * group several times within a second, and the delay lets most members cover them all with one call.
     */
    static final Duration REFRESH_DELAY_PER_RANK = Duration.ofMillis(150);
    /** Minimum uptime before a member replaces a live owner, so that frequent restarts do not change the owner. */
    static final Duration MIN_UPTIME = Duration.ofSeconds(3);

    /**
     * Time for which a member that could not read its inputs must be able to again before it replaces an owner whose
     * node is alive. After a fault of all members that owner, which repeats its reads within 0.3 s, is the first to act.
     */
    static final Duration COPIES_RECOVERY = Duration.ofSeconds(1);

    /** Minimum ratio between the capacity of a member and that of the live owner that it replaces. */
    static final int MIN_CAPACITY_RATIO = 2;

    /** The outcome of one evaluation of the policy. */
    sealed interface Decision {}

    /** Read the members from the store and decide again. */
    record RefreshMembers() implements Decision {}

    /** Do not take over for now. */
    record Decline(Assessment assessment) implements Decision {}

    /**
     * Take over.
     *
     * @param token fencing token of the new term
     * @param assessment the inputs of the decision
     */
    record TakeOver(long token, Assessment assessment) implements Decision {}

    /**
     * Rejoin under another id, because the token of this member is not newer than that of the owner, or its id is that of
     * the owner. The change of the group raises the generation, and with it the token; without it the owner would stay
     * until another change.
     *
     * @param assessment the inputs of the decision
     */
    record Rejoin(Assessment assessment) implements Decision {}

    /** The reason for a decision; written to the log under these names. */
    enum Reason {
        OWNER_GONE,
        OWNER_WEAK,
        OWNER_SUFFICES,
        MEMBERS_UNKNOWN,
        OTHERS_FIRST,
        STARTED_LATELY,
        HOLDS_NO_PART,
        ID_IN_USE,
        COPIES_OLD,
        TOKEN_NOT_NEWER
    }

    /**
     * The inputs of a decision.
     *
     * @param reason the deciding reason
     * @param rank number of members, without the owner, that are preferred over this one
     * @param milliCores capacity of this member
     * @param ownerMilliCores capacity of the owner; 0 if there is none
     */
    record Assessment(Reason reason, int rank, int milliCores, int ownerMilliCores) {}

    /** The members of the group, read in this generation or a later one. */
    private record MemberSnapshot(long generation, Set<String> members) {}

    /** The reason to replace an owner and the time since which it applies, ns. */
    private record Cause(Reason reason, Optional<OwnerRecord> owner, long since) {}

    private final Member self;
    private final long startedAt;
    private Optional<MemberSnapshot> snapshot = Optional.empty();
    private Optional<Cause> cause = Optional.empty();
    private OptionalLong groupChangedAt = OptionalLong.empty();
    /** Whether the copies of this member are recent enough to place tasks by. */
    private boolean copiesRecent = true;
    /** Whether the last read before a takeover failed. */
    private boolean readFailed;
    /** When this member was last known to be unable to read what it places tasks by, ns. */
    private OptionalLong unableAt = OptionalLong.empty();

    /** Creates the policy of one member; {@code startedAt} is when its node started or took this member id, ns. */
    TakeoverPolicy(Member self, long startedAt) {
        this.self = self;
        this.startedAt = startedAt;
    }

    /** Notes whether the copies of this member are recent enough to place tasks by; {@code now} is in ns. */
    void updateCopies(boolean recent, long now) {
        copiesRecent = recent;
        if (!recent) {
            unableAt = OptionalLong.of(now);
        }
    }

    /** Notes whether the reads before a takeover succeeded. The first success after a failure ends the fault. */
    void updateReads(boolean success, long now) {
        if (!success || readFailed) {
            unableAt = OptionalLong.of(now);
        }
        readFailed = !success;
    }

    /** Sets the members, which were read after the store had returned this generation. */
    void updateMembers(long generation, Set<String> members) {
        snapshot = Optional.of(new MemberSnapshot(generation, Set.copyOf(members)));
        groupChangedAt = OptionalLong.empty();
    }

    /**
     * Decides, for a member that does not own, from the latest answer to its call to join and the last recorded owner;
     * {@code now} is in ns.
     */
    Decision decide(StateStore.Membership membership, Optional<OwnerRecord> owner, long now) {
        if (owner.filter(o -> o.member().equals(self.id())).isPresent()) {
            // The record is that of an earlier process of this node, which had the same id by a clock that stepped
            // back.
            return new Rejoin(new Assessment(Reason.ID_IN_USE, 0, self.milliCores(), self.milliCores()));
        }
        if (snapshot.isEmpty()) {
            return new RefreshMembers();
        }
        Set<String> members = snapshot.get().members();
        int rank = rank(members, owner);
        int ownerMilliCores =
                owner.map(o -> Member.parse(o.member()).milliCores()).orElse(0);
        if (snapshot.get().generation() != membership.generation()) {
            if (groupChangedAt.isEmpty()) {
                groupChangedAt = OptionalLong.of(now);
            }
            return now - groupChangedAt.getAsLong() >= REFRESH_DELAY_PER_RANK.toNanos() * rank
                    ? new RefreshMembers()
                    : new Decline(new Assessment(Reason.MEMBERS_UNKNOWN, rank, self.milliCores(), ownerMilliCores));
        }
        Reason reason = assessOwner(members, owner, ownerMilliCores);
        if (reason != Reason.OWNER_SUFFICES
                && !cause.filter(c -> c.reason() == reason && c.owner().equals(owner))
                        .isPresent()) {
            cause = Optional.of(new Cause(reason, owner, now));
        }
        Optional<Reason> obstacle = obstacle(reason, rank, membership, owner, now);
        Assessment assessment = new Assessment(obstacle.orElse(reason), rank, self.milliCores(), ownerMilliCores);
        if (obstacle.isEmpty()) {
            return new TakeOver(membership.token().orElseThrow(), assessment);
        }
        // The owner and the members are read apart, so a token may seem older for a moment.
        boolean lasts = cause.isPresent() && now - cause.get().since() >= delay(rank + 1);
        return obstacle.get() == Reason.TOKEN_NOT_NEWER && lasts ? new Rejoin(assessment) : new Decline(assessment);
    }

    private Reason assessOwner(Set<String> members, Optional<OwnerRecord> owner, int ownerMilliCores) {
        if (owner.isEmpty() || !members.contains(owner.get().member())) {
            return Reason.OWNER_GONE;
        }
        boolean stronger =
                self.milliCores() > ownerMilliCores && self.milliCores() >= (long) MIN_CAPACITY_RATIO * ownerMilliCores;
        return stronger ? Reason.OWNER_WEAK : Reason.OWNER_SUFFICES;
    }

    private Optional<Reason> obstacle(
            Reason reason, int rank, StateStore.Membership membership, Optional<OwnerRecord> owner, long now) {
        if (reason == Reason.OWNER_SUFFICES) {
            cause = Optional.empty();
            return Optional.of(reason);
        }
        // If the node of the owner is gone, nobody acts, and the takeover reads the copies again.
        if ((!copiesRecent || unableLately(now)) && ownerNodeIsMember(owner)) {
            // The members wait by their rank from when they can take over.
            cause = Optional.empty();
            return Optional.of(Reason.COPIES_OLD);
        }
        // Only partitions make tokens unique: two members without a partition could form the same token.
        if (membership.token().isEmpty()) {
            return Optional.of(Reason.HOLDS_NO_PART);
        }
        if (reason == Reason.OWNER_WEAK && now - startedAt < MIN_UPTIME.toNanos()) {
            return Optional.of(Reason.STARTED_LATELY);
        }
        if (now - cause.orElseThrow().since() < delay(rank)) {
            return Optional.of(Reason.OTHERS_FIRST);
        }
        return owner.isPresent()
                        && membership.token().getAsLong() <= owner.get().token()
                ? Optional.of(Reason.TOKEN_NOT_NEWER)
                : Optional.empty();
    }

    private static long delay(int rank) {
        return TAKEOVER_DELAY_PER_RANK.toNanos() * rank;
    }

    private boolean unableLately(long now) {
        return unableAt.isPresent() && now - unableAt.getAsLong() < COPIES_RECOVERY.toNanos();
    }

    /** Returns whether the node of the recorded owner is a member, under whatever id. */
    private boolean ownerNodeIsMember(Optional<OwnerRecord> owner) {
        return owner.isPresent()
                && snapshot.orElseThrow().members().stream()
                        .anyMatch(id -> Member.parse(id)
                                .node()
                                .equals(Member.parse(owner.get().member()).node()));
    }

    private int rank(Set<String> members, Optional<OwnerRecord> owner) {
        Comparator<Member> preference =
                Member.byPreference(owner.map(o -> Member.parse(o.member()).node()));
        return (int) members.stream()
                .filter(id -> owner.isEmpty() || !id.equals(owner.get().member()))
                .map(Member::parse)
                .filter(other -> preference.compare(other, self) < 0)
                .count();
    }
}
