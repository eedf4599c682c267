package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnstorableException;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests which member takes over, that there are never two owners, and that the owner does not change needlessly. */
public class TakeoverPolicyTest {
    private static final Member WEAK = member("weak", 360, 1);
    private static final Member WEAKER = member("weaker", 300, 1);
    private static final Member STRONG = member("strong", 1500, 1);
    private static final Member RESTARTED = member("restarted", 1500, 9);
    private static final long JOINED_AT = 1_000_000_000_000L;
    private static final long UPTIME_REACHED = JOINED_AT + TakeoverPolicy.MIN_UPTIME.toNanos();
    private static final StateStore.Membership WITH_PARTS = new StateStore.Membership(7, Set.of(3, 5));
    private static final Optional<OwnerRecord> OWNER_LEFT = Optional.of(new OwnerRecord("gone-1500m-1", 40));

    private static Member member(String name, int milliCores, long since) {
        return new Member(name, milliCores, Instant.ofEpochMilli(since));
    }

    private static Optional<OwnerRecord> owner(Member member) {
        return Optional.of(new OwnerRecord(member.id(), 40));
    }

    private static TakeoverPolicy policy(Member self, Member... members) {
        TakeoverPolicy policy = new TakeoverPolicy(self, JOINED_AT);
        policy.updateMembers(
                WITH_PARTS.generation(), Stream.of(members).map(Member::id).collect(Collectors.toSet()));
        return policy;
    }

    private static TakeoverPolicy.Reason reason(TakeoverPolicy.Decision decision) {
        return switch (decision) {
            case TakeoverPolicy.Decline decline -> decline.assessment().reason();
            case TakeoverPolicy.TakeOver takeOver -> takeOver.assessment().reason();
            case TakeoverPolicy.Rejoin rejoin -> rejoin.assessment().reason();
            case TakeoverPolicy.RefreshMembers _ ->
                throw new AssertionError("unexpected request to refresh the members");
        };
    }

    private static boolean takesOver(TakeoverPolicy.Decision decision) {
        return decision instanceof TakeoverPolicy.TakeOver;
    }

    @Test
    public void strongestMemberTakesOverAtOnce() {
        TakeoverPolicy.Decision decision =
                policy(RESTARTED, WEAK, STRONG, RESTARTED).decide(WITH_PARTS, OWNER_LEFT, JOINED_AT);
        assertTrue(takesOver(decision));
        assertEquals(((TakeoverPolicy.TakeOver) decision).token(), 7 * 1024 + 3);
    }

    /**
     * Guards against takeovers by members that cannot do the work either, and by all of them at once when the fault is
     * over.
     */
    @Test
    public void membersWithOldCopiesWaitAndThenKeepTheirRank() {
        Member renamedOwner = member("gone", 100, 2);
        TakeoverPolicy first = policy(STRONG, STRONG, WEAK, renamedOwner);
        TakeoverPolicy second = policy(WEAK, STRONG, WEAK, renamedOwner);
        long recovery = TakeoverPolicy.COPIES_RECOVERY.toNanos();
        long now = JOINED_AT;
        for (int i = 0; i < 20; i++) {
            now += recovery / 2;
            for (TakeoverPolicy policy : List.of(first, second)) {
                policy.updateCopies(false, now);
                assertEquals(reason(policy.decide(WITH_PARTS, OWNER_LEFT, now)), TakeoverPolicy.Reason.COPIES_OLD);
            }
        }
        first.updateCopies(true, now + 1);
        second.updateCopies(true, now + 1);
        assertEquals(
                reason(first.decide(WITH_PARTS, OWNER_LEFT, now + recovery - 1)), TakeoverPolicy.Reason.COPIES_OLD);
        assertTrue(takesOver(first.decide(WITH_PARTS, OWNER_LEFT, now + recovery)));
        assertEquals(reason(second.decide(WITH_PARTS, OWNER_LEFT, now + recovery)), TakeoverPolicy.Reason.OTHERS_FIRST);
    }

    /** Guards against a member that replaces a living owner when a fault of all members ends, before that owner acts. */
    @Test
    public void readAfterAFailureDoesNotLeadToATakeoverAtOnce() {
        TakeoverPolicy policy = policy(STRONG, STRONG, member("gone", 100, 2));
        long recovery = TakeoverPolicy.COPIES_RECOVERY.toNanos();
        policy.updateReads(false, JOINED_AT);
        policy.updateReads(true, JOINED_AT + recovery);
        assertEquals(
                reason(policy.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT + recovery)), TakeoverPolicy.Reason.COPIES_OLD);
        policy.updateReads(true, JOINED_AT + 2 * recovery);
        assertTrue(takesOver(policy.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT + 2 * recovery)));
    }

    /** Guards against a vacant ownership after a failed read when the node of the owner is gone as well. */
    @Test
    public void readAfterAFailureLeadsToATakeoverIfTheOwnersNodeIsGone() {
        TakeoverPolicy policy = policy(STRONG, STRONG, WEAK);
        policy.updateReads(false, JOINED_AT);
        policy.updateReads(true, JOINED_AT + 1);
        assertTrue(takesOver(policy.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT + 1)));
    }

    /** Guards against a missing owner when the strongest member cannot take over. */
    @Test
    public void otherMembersTakeOverByRank() {
        TakeoverPolicy weak = policy(WEAK, WEAK, STRONG, RESTARTED, WEAKER);
        assertEquals(reason(weak.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT)), TakeoverPolicy.Reason.OTHERS_FIRST);
        long due = JOINED_AT + 2 * TakeoverPolicy.TAKEOVER_DELAY_PER_RANK.toNanos();
        assertEquals(reason(weak.decide(WITH_PARTS, OWNER_LEFT, due - 1)), TakeoverPolicy.Reason.OTHERS_FIRST);
        assertTrue(takesOver(weak.decide(WITH_PARTS, OWNER_LEFT, due)));
    }

    /** Guards against a takeover by a member although another one has just taken over. */
    @Test
    public void takeoverDelayRestartsWithEachOwner() {
        TakeoverPolicy weak = policy(WEAK, WEAK, STRONG);
        weak.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT);
        long due = JOINED_AT + TakeoverPolicy.TAKEOVER_DELAY_PER_RANK.toNanos();
        Optional<OwnerRecord> next = Optional.of(new OwnerRecord("next-1500m-1", 50));
        assertEquals(reason(weak.decide(WITH_PARTS, next, due)), TakeoverPolicy.Reason.OTHERS_FIRST);
        assertEquals(reason(weak.decide(WITH_PARTS, owner(STRONG), due + 1)), TakeoverPolicy.Reason.OWNER_SUFFICES);
    }

    @Test
    public void ownerIsReplacedOnlyByTwiceItsCapacity() {
        Member almost = member("almost", 719, 1);
        Member twice = member("twice", 720, 1);
        assertEquals(
                reason(policy(almost, almost, WEAK).decide(WITH_PARTS, owner(WEAK), UPTIME_REACHED)),
                TakeoverPolicy.Reason.OWNER_SUFFICES);
        assertTrue(takesOver(policy(twice, twice, WEAK).decide(WITH_PARTS, owner(WEAK), UPTIME_REACHED)));
        Member candidate = member("candidate", 0, 1);
        Member current = member("current", 0, 1);
        assertEquals(
                reason(policy(candidate, candidate, current).decide(WITH_PARTS, owner(current), UPTIME_REACHED)),
                TakeoverPolicy.Reason.OWNER_SUFFICES);
    }

    /** Guards against repeated takeovers by a machine that restarts often. */
    @Test
    public void recentlyStartedMemberDoesNotReplaceALivingOwner() {
        assertEquals(
                reason(policy(RESTARTED, WEAK, RESTARTED).decide(WITH_PARTS, owner(WEAK), UPTIME_REACHED - 1)),
                TakeoverPolicy.Reason.STARTED_LATELY);
        TakeoverPolicy policy = policy(RESTARTED, STRONG, RESTARTED);
        for (long now : new long[] {JOINED_AT, UPTIME_REACHED, 10 * UPTIME_REACHED}) {
            assertEquals(reason(policy.decide(WITH_PARTS, owner(STRONG), now)), TakeoverPolicy.Reason.OWNER_SUFFICES);
        }
    }

    /** Guards against a role that goes to a member which a rolling restart has yet to reach. */
    @Test
    public void ofEqualMembersTheOneThatStartedLastTakesOver() {
        TakeoverPolicy restarted = policy(RESTARTED, STRONG, RESTARTED);
        TakeoverPolicy strong = policy(STRONG, STRONG, RESTARTED);
        assertTrue(takesOver(restarted.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT)));
        assertEquals(reason(strong.decide(WITH_PARTS, OWNER_LEFT, JOINED_AT)), TakeoverPolicy.Reason.OTHERS_FIRST);
        long due = JOINED_AT + TakeoverPolicy.TAKEOVER_DELAY_PER_RANK.toNanos();
        assertEquals(reason(strong.decide(WITH_PARTS, OWNER_LEFT, due - 1)), TakeoverPolicy.Reason.OTHERS_FIRST);
        assertTrue(takesOver(strong.decide(WITH_PARTS, OWNER_LEFT, due)));
    }

    /** Guards against a role that goes back to the node that has just offered it, or lost it by a crash. */
    @Test
    public void nodeOfTheLastOwnerIsTheLastOfItsCapacity() {
        Member other = member("other", 1500, 2);
        for (Member former : List.of(RESTARTED.rejoined(), member("restarted", 1500, 5000))) {
            Member[] members = {STRONG, other, WEAK, former};
            TakeoverPolicy first = policy(other, members);
            TakeoverPolicy last = policy(former, members);
            assertTrue(takesOver(first.decide(WITH_PARTS, owner(RESTARTED), JOINED_AT)));
            assertEquals(
                    reason(last.decide(WITH_PARTS, owner(RESTARTED), JOINED_AT)), TakeoverPolicy.Reason.OTHERS_FIRST);
            long due = JOINED_AT + 2 * TakeoverPolicy.TAKEOVER_DELAY_PER_RANK.toNanos();
            assertEquals(
                    reason(last.decide(WITH_PARTS, owner(RESTARTED), due - 1)), TakeoverPolicy.Reason.OTHERS_FIRST);
            assertTrue(takesOver(last.decide(WITH_PARTS, owner(RESTARTED), due)));
        }
    }

    @Test
    public void memberWithoutPartOrNewerTokenDoesNotTakeOver() {
        StateStore.Membership withoutParts = new StateStore.Membership(7, Set.of());
        assertEquals(
                reason(policy(STRONG, WEAK).decide(withoutParts, OWNER_LEFT, JOINED_AT)),
                TakeoverPolicy.Reason.HOLDS_NO_PART);
        Optional<OwnerRecord> newer = Optional.of(new OwnerRecord("gone-1500m-1", 7 * 1024 + 3));
        assertEquals(
                reason(policy(STRONG, STRONG).decide(WITH_PARTS, newer, JOINED_AT)),
                TakeoverPolicy.Reason.TOKEN_NOT_NEWER);
    }

    /** Guards against a weak owner that stays because nothing raises the tokens of the stronger members. */
    @Test
    public void memberRejoinsIfItsTokenStaysOlderThanThatOfAWeakOwner() {
        Optional<OwnerRecord> newer = Optional.of(new OwnerRecord(WEAK.id(), 7 * 1024 + 3));
        TakeoverPolicy policy = policy(STRONG, WEAK, STRONG);
        policy.decide(WITH_PARTS, newer, UPTIME_REACHED);
        long due = UPTIME_REACHED + TakeoverPolicy.TAKEOVER_DELAY_PER_RANK.toNanos();
        assertTrue(policy.decide(WITH_PARTS, newer, due - 1) instanceof TakeoverPolicy.Decline);
        assertTrue(policy.decide(WITH_PARTS, newer, due) instanceof TakeoverPolicy.Rejoin);
    }

    /** Guards against a restarted process that takes the record of an earlier one with the same id for a living owner. */
    @Test
    public void memberWithTheIdOfTheRecordedOwnerRejoins() {
        TakeoverPolicy policy = policy(STRONG, STRONG, WEAK);
        assertTrue(policy.decide(WITH_PARTS, owner(STRONG), JOINED_AT) instanceof TakeoverPolicy.Rejoin);
    }

    /** Guards against calls to the store by all members on each change of the group. */
    @Test
    public void membersAreReadOncePerChangeAndLaterByLowerRanks() {
        TakeoverPolicy weak = policy(WEAK, WEAK, STRONG, RESTARTED);
        assertEquals(reason(weak.decide(WITH_PARTS, owner(STRONG), JOINED_AT)), TakeoverPolicy.Reason.OWNER_SUFFICES);
        long due = JOINED_AT + TakeoverPolicy.REFRESH_DELAY_PER_RANK.toNanos();
        StateStore.Membership next = new StateStore.Membership(8, Set.of(3));
        assertEquals(reason(weak.decide(next, owner(STRONG), JOINED_AT)), TakeoverPolicy.Reason.MEMBERS_UNKNOWN);
        StateStore.Membership afterNext = new StateStore.Membership(9, Set.of(3));
        assertEquals(reason(weak.decide(afterNext, owner(STRONG), due - 1)), TakeoverPolicy.Reason.MEMBERS_UNKNOWN);
        assertEquals(weak.decide(afterNext, owner(STRONG), due), new TakeoverPolicy.RefreshMembers());
        weak.updateMembers(9, Set.of(WEAK.id(), STRONG.id()));
        assertEquals(reason(weak.decide(afterNext, owner(STRONG), due)), TakeoverPolicy.Reason.OWNER_SUFFICES);
    }

    /** A member in the simulation; its last membership and its decision may be outdated. */
    private static final class SimulatedMember {
        final Member self;
        final TakeoverPolicy policy;
        final JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        final TopicFollower progress;
        Optional<StateStore.Membership> membership = Optional.empty();
        Optional<OwnershipTerm> takeover = Optional.empty();

        SimulatedMember(Member self, StateStore store, TimeSource time) {
            this.self = self;
            this.policy = new TakeoverPolicy(self, time.nanos());
            this.progress = new TopicFollower(
                    store,
                    StateStore.Topic.PROGRESS,
                    replica.progressListener(),
                    () -> new TopicFollower.PollPolicy(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                    time);
        }
    }

    private static final FakeStore.Fault[] FAULTS = {
        FakeStore.Fault.NONE, FakeStore.Fault.NONE, FakeStore.Fault.LOSES_ANSWERS, FakeStore.Fault.DELAYS
    };

    /** Runs members one call at a time in a random order determined by a seed. */
    private static final class Simulation {
        final ManualTime time = new ManualTime();
        final FakeStore store = new FakeStore(6);
        final Random random;
        final List<SimulatedMember> members = new ArrayList<>();
        final Map<Long, String> tokenHolders = new HashMap<>();
        final Map<Long, OwnershipTerm> terms = new HashMap<>();
        long newestToken = -1;
        int unknownOutcomes;

        Simulation(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 4; i++) {
                members.add(createMember(i));
            }
        }

        private SimulatedMember createMember(int node) {
            int milliCores = node % 2 == 0 ? 1500 : 360;
            return new SimulatedMember(new Member("n" + node, milliCores, time.now()), store, time);
        }

        void step() throws NotRunException, OutcomeUnknownException {
            time.advance(Duration.ofMillis(random.nextInt(400)));
            int node = random.nextInt(members.size());
            SimulatedMember member = members.get(node);
            switch (random.nextInt(13)) {
                case 0 -> {
                    store.leave(member.self.id());
                    members.set(node, createMember(node));
                }
                case 1 -> store.rebalance();
                case 2, 3, 4, 5 ->
                    member.membership = Optional.of(store.join(member.self.id(), Duration.ofSeconds(1), 0));
                case 6, 7, 8, 9 -> decide(member);
                case 10 -> store.applyDelayed();
                default -> takeOver(member);
            }
        }

        private void decide(SimulatedMember member) throws NotRunException {
            if (member.membership.isEmpty() || member.takeover.isPresent()) {
                return;
            }
            StateStore.Membership membership = member.membership.get();
            if (random.nextBoolean()) {
                member.progress.catchUp();
            }
            TakeoverPolicy.Decision decision = member.policy.decide(membership, member.replica.owner(), time.nanos());
            if (decision instanceof TakeoverPolicy.RefreshMembers) {
                member.policy.updateMembers(membership.generation(), store.members());
                decision = member.policy.decide(membership, member.replica.owner(), time.nanos());
            }
            if (decision instanceof TakeoverPolicy.TakeOver take) {
                String other = tokenHolders.putIfAbsent(take.token(), member.self.id());
                assertTrue(
                        other == null || other.equals(member.self.id()),
                        "token " + take.token() + " is also held by " + other);
                member.takeover = Optional.of(term(take.token(), store, member.replica, time));
            }
        }

        private void takeOver(SimulatedMember member) throws NotRunException {
            if (member.takeover.isEmpty()) {
                return;
            }
            OwnershipTerm term = member.takeover.get();
            store.fault(FAULTS[random.nextInt(FAULTS.length)]);
            try {
                term.storage().fenceEarlierOwners(member.self.id(), member.progress);
                assertEquals(terms.putIfAbsent(term.token(), term), null, "two owners with the same token");
                assertTrue(term.token() > newestToken, "a takeover with an older token was not fenced");
                newestToken = term.token();
            } catch (StaleEpochException e) {
                assertTrue(e.epoch() >= term.token(), e.getMessage());
            } catch (OutcomeUnknownException | UnstorableException e) {
                unknownOutcomes++;
            } finally {
                store.fault(FakeStore.Fault.NONE);
            }
            // As a node does, the member rejoins under a new id after its ownership has ended.
            store.leave(member.self.id());
            members.set(members.indexOf(member), createMember(members.indexOf(member)));
        }
    }

    /** Guards against two owners with the same token, neither of which the store and the workers would reject. */
    @Test
    public void noTwoMembersOwnWithTheSameToken() throws NotRunException, OutcomeUnknownException {
        int takeovers = 0;
        int unknownOutcomes = 0;
        for (long seed = 0; seed < 100; seed++) {
            Simulation simulation = new Simulation(seed);
            for (int i = 0; i < 300; i++) {
                simulation.step();
            }
            takeovers += simulation.terms.size();
            unknownOutcomes += simulation.unknownOutcomes;
            for (Map.Entry<Long, OwnershipTerm> owner : simulation.terms.entrySet()) {
                if (owner.getKey() < simulation.newestToken) {
                    StateStore.Writer earlier = new StateStore.Writer("owner", owner.getKey(), 2);
                    assertThrows(
                            StaleEpochException.class,
                            () -> simulation.store.append(
                                    StateStore.Topic.PROGRESS, List.of(), earlier, Duration.ofSeconds(1)));
                }
            }
        }
        assertNotEquals(takeovers, 0, "no member has taken over");
        assertNotEquals(unknownOutcomes, 0, "no takeover had an unknown outcome");
    }

    /** Guards against two owners if the group assigns one partition to two members. */
    @Test
    public void secondOwnerWithTheSameTokenIsRejected() throws Exception {
        FakeStore store = new FakeStore();
        ManualTime time = new ManualTime();
        List<OwnershipTerm> terms = new ArrayList<>();
        List<SimulatedMember> members =
                List.of(new SimulatedMember(STRONG, store, time), new SimulatedMember(WEAK, store, time));
        for (SimulatedMember member : members) {
            terms.add(term(7, store, member.replica, time));
        }
        terms.getFirst().storage().fenceEarlierOwners(STRONG.id(), members.getFirst().progress);
        assertThrows(
                StaleEpochException.class,
                () -> terms.getLast().storage().fenceEarlierOwners(WEAK.id(), members.getLast().progress));
    }

    private static OwnershipTerm term(long token, FakeStore store, JobReplica replica, ManualTime time) {
        return new OwnershipTerm(
                token,
                store,
                new FakeWorkers(),
                replica,
                new PermissionTime(time),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
    }
}
