package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides when a member takes over the ownership; does no I/O. The strongest member follows an owner that is no member any
 * more, and the others wait by their rank, in case it cannot. A living owner is relieved only by a member of at least
 * {@link #RELIEF_FACTOR} times its capacity, because each change of the owner stops placement for a moment. Not safe for
 * use by several threads.
 *
 * <p>Invariant: a takeover uses a token of the member's own that is higher than that of the last owner.
 */
final class Succession {
    /** Time that each rank leaves to the one before it; a takeover takes about 1 s on a slow store. */
    static final Duration STEP_IN = Duration.ofMillis(1500);
    /**
     * Time by which each rank asks later who the members are after a change. Restarts change the group several times
     * within a second, so that most members ask once for all of them.
     */
    static final Duration LOOK = Duration.ofMillis(150);
    /** A member relieves an owner this long after its start, so that a machine that restarts often does not change the owner. */
    static final Duration SETTLED = Duration.ofSeconds(3);

    static final int RELIEF_FACTOR = 2;

    /** What to do now. */
    sealed interface Choice {}

    /** Ask the store for the members and choose again. */
    record Look() implements Choice {}

    /** Leave the ownership as it is. */
    record Rest(Grounds grounds) implements Choice {}

    /**
     * Take over.
     *
     * @param token the token of the ownership
     * @param grounds why
     */
    record TakeOver(long token, Grounds grounds) implements Choice {}

    /** Why a choice was made. */
    enum Why {
        OWNER_GONE,
        OWNER_WEAK,
        OWNER_SUFFICES,
        MEMBERS_UNKNOWN,
        OTHERS_FIRST,
        STARTED_LATELY,
        HOLDS_NO_PART,
        TOKEN_NOT_NEWER
    }

    /**
     * The inputs of a choice.
     *
     * @param why what decided
     * @param rank members that come before this one, without the owner
     * @param milliCores capacity of this member
     * @param ownerMilliCores capacity of the owner; 0 if there is none
     */
    record Grounds(Why why, int rank, int milliCores, int ownerMilliCores) {}

    /** The members as they were in a generation or later. */
    private record Reading(long generation, Set<String> members) {}

    /** What makes a change of the owner desirable, and since when, ns. */
    private record Lack(Why why, Optional<OwnerRecord> owner, long since) {}

    private final Member self;
    private final long startedAt;
    private Optional<Reading> reading = Optional.empty();
    private Optional<Lack> lack = Optional.empty();
    private OptionalLong changedAt = OptionalLong.empty();

    /** Creates the choice of one member; {@code startedAt} is when its node started or took this name, ns. */
    Succession(Member self, long startedAt) {
        this.self = self;
        this.startedAt = startedAt;
    }

    /** Takes the members, asked for after the store has answered with a generation. */
    void seen(long generation, Set<String> members) {
        reading = Optional.of(new Reading(generation, Set.copyOf(members)));
        changedAt = OptionalLong.empty();
    }

    /** Chooses by the latest answer to this member's call to join and the last owner. */
    Choice choose(StateStore.Membership now, Optional<OwnerRecord> owner, long nanos) {
        if (reading.isEmpty()) {
            return new Look();
        }
        Set<String> members = reading.get().members();
        int rank = rank(members, owner);
        int ownerMilliCores =
                owner.map(o -> Member.parse(o.member()).milliCores()).orElse(0);
        if (reading.get().generation() != now.generation()) {
            if (changedAt.isEmpty()) {
                changedAt = OptionalLong.of(nanos);
            }
            return nanos - changedAt.getAsLong() >= LOOK.toNanos() * rank
                    ? new Look()
                    : new Rest(new Grounds(Why.MEMBERS_UNKNOWN, rank, self.milliCores(), ownerMilliCores));
        }
        Why why = judge(members, owner, ownerMilliCores);
        if (why != Why.OWNER_SUFFICES
                && !lack.filter(l -> l.why() == why && l.owner().equals(owner)).isPresent()) {
            lack = Optional.of(new Lack(why, owner, nanos));
        }
        Optional<Why> obstacle = obstacle(why, rank, now, owner, nanos);
        Grounds grounds = new Grounds(obstacle.orElse(why), rank, self.milliCores(), ownerMilliCores);
        return obstacle.isPresent()
                ? new Rest(grounds)
                : new TakeOver(now.token().orElseThrow(), grounds);
    }

    private Why judge(Set<String> members, Optional<OwnerRecord> owner, int ownerMilliCores) {
        if (owner.isEmpty() || !members.contains(owner.get().member())) {
            return Why.OWNER_GONE;
        }
        boolean stronger =
                self.milliCores() > ownerMilliCores && self.milliCores() >= (long) RELIEF_FACTOR * ownerMilliCores;
        return stronger ? Why.OWNER_WEAK : Why.OWNER_SUFFICES;
    }

    private Optional<Why> obstacle(
            Why why, int rank, StateStore.Membership now, Optional<OwnerRecord> owner, long nanos) {
        if (why == Why.OWNER_SUFFICES) {
            lack = Optional.empty();
            return Optional.of(why);
        }
        // Of two members without a part both could form the same token.
        if (now.token().isEmpty()) {
            return Optional.of(Why.HOLDS_NO_PART);
        }
        if (owner.isPresent() && now.token().getAsLong() <= owner.get().token()) {
            return Optional.of(Why.TOKEN_NOT_NEWER);
        }
        if (why == Why.OWNER_WEAK && nanos - startedAt < SETTLED.toNanos()) {
            return Optional.of(Why.STARTED_LATELY);
        }
        return nanos - lack.orElseThrow().since() < STEP_IN.toNanos() * rank
                ? Optional.of(Why.OTHERS_FIRST)
                : Optional.empty();
    }

    private int rank(Set<String> members, Optional<OwnerRecord> owner) {
        return (int) members.stream()
                .filter(id -> owner.isEmpty() || !id.equals(owner.get().member()))
                .map(Member::parse)
                .filter(other -> Member.STRONGEST_FIRST.compare(other, self) < 0)
                .count();
    }
}
