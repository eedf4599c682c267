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
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Guards against the wrong owner, two owners, and owners that change without need. */
public class SuccessionTest {
    private static final Member WEAK = member("weak", 360, 1);
    private static final Member WEAKER = member("weaker", 300, 1);
    private static final Member STRONG = member("strong", 1500, 1);
    private static final Member RESTARTED = member("restarted", 1500, 9);
    private static final long JOINED = 1_000_000_000_000L;
    private static final long SETTLED = JOINED + Succession.SETTLED.toNanos();
    private static final StateStore.Membership HOLDING = new StateStore.Membership(7, Set.of(3, 5));
    private static final Optional<OwnerRecord> GONE = Optional.of(new OwnerRecord("gone-1500m-1", 40));

    private static Member member(String name, int milliCores, long since) {
        return new Member(name, milliCores, Instant.ofEpochMilli(since));
    }

    private static Optional<OwnerRecord> owner(Member member) {
        return Optional.of(new OwnerRecord(member.id(), 40));
    }

    private static Succession of(Member self, Member... members) {
        Succession succession = new Succession(self, JOINED);
        succession.seen(HOLDING.generation(), Stream.of(members).map(Member::id).collect(Collectors.toSet()));
        return succession;
    }

    private static Succession.Why why(Succession.Choice choice) {
        return switch (choice) {
            case Succession.Rest rest -> rest.grounds().why();
            case Succession.TakeOver next -> next.grounds().why();
            case Succession.Look _ -> throw new AssertionError("the members are known");
        };
    }

    private static boolean takesOver(Succession.Choice choice) {
        return choice instanceof Succession.TakeOver;
    }

    @Test
    public void theStrongestMemberFollowsAtOnce() {
        Succession.Choice choice = of(STRONG, WEAK, STRONG, RESTARTED).choose(HOLDING, GONE, JOINED);
        assertTrue(takesOver(choice));
        assertEquals(((Succession.TakeOver) choice).token(), 7 * 1024 + 3);
    }

    /** Guards against a vacant ownership when the strongest member cannot take over. */
    @Test
    public void othersStepInByTheirRank() {
        Succession weak = of(WEAK, WEAK, STRONG, RESTARTED, WEAKER);
        assertEquals(why(weak.choose(HOLDING, GONE, JOINED)), Succession.Why.OTHERS_FIRST);
        long due = JOINED + 2 * Succession.STEP_IN.toNanos();
        assertEquals(why(weak.choose(HOLDING, GONE, due - 1)), Succession.Why.OTHERS_FIRST);
        assertTrue(takesOver(weak.choose(HOLDING, GONE, due)));
    }

    /** Guards against a member that steps in although another one has just taken over. */
    @Test
    public void theWaitBeginsAnewWithEachOwner() {
        Succession weak = of(WEAK, WEAK, STRONG);
        weak.choose(HOLDING, GONE, JOINED);
        long due = JOINED + Succession.STEP_IN.toNanos();
        Optional<OwnerRecord> next = Optional.of(new OwnerRecord("next-1500m-1", 50));
        assertEquals(why(weak.choose(HOLDING, next, due)), Succession.Why.OTHERS_FIRST);
        assertEquals(why(weak.choose(HOLDING, owner(STRONG), due + 1)), Succession.Why.OWNER_SUFFICES);
    }

    @Test
    public void anOwnerIsRelievedOnlyByTwiceItsCapacity() {
        Member almost = member("almost", 719, 1);
        Member twice = member("twice", 720, 1);
        assertEquals(
                why(of(almost, almost, WEAK).choose(HOLDING, owner(WEAK), SETTLED)), Succession.Why.OWNER_SUFFICES);
        assertTrue(takesOver(of(twice, twice, WEAK).choose(HOLDING, owner(WEAK), SETTLED)));
        Member none = member("none", 0, 1);
        Member nothing = member("nothing", 0, 1);
        assertEquals(
                why(of(none, none, nothing).choose(HOLDING, owner(nothing), SETTLED)), Succession.Why.OWNER_SUFFICES);
    }

    /** Guards against a chain of takeovers by a machine that restarts often. */
    @Test
    public void aMachineThatRestartsComesLast() {
        assertEquals(
                why(of(RESTARTED, WEAK, RESTARTED).choose(HOLDING, owner(WEAK), SETTLED - 1)),
                Succession.Why.STARTED_LATELY);
        assertEquals(why(of(RESTARTED, STRONG, RESTARTED).choose(HOLDING, GONE, SETTLED)), Succession.Why.OTHERS_FIRST);
    }

    @Test
    public void aMemberWithoutAPartOrANewerTokenRests() {
        StateStore.Membership without = new StateStore.Membership(7, Set.of());
        assertEquals(why(of(STRONG, WEAK).choose(without, GONE, JOINED)), Succession.Why.HOLDS_NO_PART);
        Optional<OwnerRecord> newer = Optional.of(new OwnerRecord("gone-1500m-1", 7 * 1024 + 3));
        assertEquals(why(of(STRONG, STRONG).choose(HOLDING, newer, JOINED)), Succession.Why.TOKEN_NOT_NEWER);
    }

    /** Guards against calls to the store by all members at each change of the group. */
    @Test
    public void membersAreAskedForOnceAChangeAndLaterByThoseOfLowerRank() {
        Succession weak = of(WEAK, WEAK, STRONG, RESTARTED);
        assertEquals(why(weak.choose(HOLDING, owner(STRONG), JOINED)), Succession.Why.OWNER_SUFFICES);
        long due = JOINED + Succession.LOOK.toNanos();
        StateStore.Membership next = new StateStore.Membership(8, Set.of(3));
        assertEquals(why(weak.choose(next, owner(STRONG), JOINED)), Succession.Why.MEMBERS_UNKNOWN);
        StateStore.Membership afterNext = new StateStore.Membership(9, Set.of(3));
        assertEquals(why(weak.choose(afterNext, owner(STRONG), due - 1)), Succession.Why.MEMBERS_UNKNOWN);
        assertEquals(weak.choose(afterNext, owner(STRONG), due), new Succession.Look());
        weak.seen(9, Set.of(WEAK.id(), STRONG.id()));
        assertEquals(why(weak.choose(afterNext, owner(STRONG), due)), Succession.Why.OWNER_SUFFICES);
    }

    /** One member of the interleavings: its last answer may be old, and so may its choice. */
    private static final class Actor {
        final Member self;
        final Succession succession;
        final JobReplica replica = new JobReplica();
        final TopicFollower progress;
        Optional<StateStore.Membership> answer = Optional.empty();
        Optional<Reign> next = Optional.empty();

        Actor(Member self, StateStore store, TimeSource time) {
            this.self = self;
            this.succession = new Succession(self, time.nanos());
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

    /** Runs members one call at a time in an order that a seed gives. */
    private static final class Interleaving {
        final ManualTime time = new ManualTime();
        final FakeStore store = new FakeStore(6);
        final Random random;
        final List<Actor> actors = new ArrayList<>();
        final Map<Long, String> chosen = new HashMap<>();
        final Map<Long, Reign> owners = new HashMap<>();
        long newest = -1;
        int unresolved;

        Interleaving(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 4; i++) {
                actors.add(started(i));
            }
        }

        private Actor started(int node) {
            int milliCores = node % 2 == 0 ? 1500 : 360;
            return new Actor(new Member("n" + node, milliCores, time.now()), store, time);
        }

        void step() throws NotRunException, OutcomeUnknownException {
            time.advance(Duration.ofMillis(random.nextInt(400)));
            int node = random.nextInt(actors.size());
            Actor actor = actors.get(node);
            switch (random.nextInt(13)) {
                case 0 -> {
                    store.leave(actor.self.id());
                    actors.set(node, started(node));
                }
                case 1 -> store.dealAnew();
                case 2, 3, 4, 5 -> actor.answer = Optional.of(store.join(actor.self.id(), Duration.ofSeconds(1), 0));
                case 6, 7, 8, 9 -> choose(actor);
                case 10 -> store.doLate();
                default -> takeOver(actor);
            }
        }

        private void choose(Actor actor) throws NotRunException {
            if (actor.answer.isEmpty() || actor.next.isPresent()) {
                return;
            }
            StateStore.Membership now = actor.answer.get();
            if (random.nextBoolean()) {
                actor.progress.catchUp();
            }
            Succession.Choice choice = actor.succession.choose(now, actor.replica.owner(), time.nanos());
            if (choice instanceof Succession.Look) {
                actor.succession.seen(now.generation(), store.members());
                choice = actor.succession.choose(now, actor.replica.owner(), time.nanos());
            }
            if (choice instanceof Succession.TakeOver take) {
                String other = chosen.putIfAbsent(take.token(), actor.self.id());
                assertTrue(other == null || other.equals(actor.self.id()), "token " + take.token() + " of " + other);
                actor.next = Optional.of(reign(take.token(), store, actor.replica, time));
            }
        }

        private void takeOver(Actor actor) throws NotRunException {
            if (actor.next.isEmpty()) {
                return;
            }
            Reign reign = actor.next.get();
            store.fault(FAULTS[random.nextInt(FAULTS.length)]);
            try {
                reign.fenceEarlier(actor.self.id(), actor.progress);
                assertEquals(owners.putIfAbsent(reign.token(), reign), null, "two owners with one token");
                assertTrue(reign.token() > newest, "an older token was not fenced");
                newest = reign.token();
            } catch (StaleEpochException e) {
                assertTrue(e.epoch() >= reign.token(), e.getMessage());
            } catch (OutcomeUnknownException e) {
                unresolved++;
            } finally {
                store.fault(FakeStore.Fault.NONE);
            }
            // As a node does, the member goes on under another name after its time as the owner.
            store.leave(actor.self.id());
            actors.set(actors.indexOf(actor), started(actors.indexOf(actor)));
        }
    }

    /** Guards against two owners with one token, of which the store and the workers would refuse neither. */
    @Test
    public void noTwoMembersOwnWithOneToken() throws NotRunException, OutcomeUnknownException {
        int takeovers = 0;
        int unresolved = 0;
        for (long seed = 0; seed < 100; seed++) {
            Interleaving run = new Interleaving(seed);
            for (int i = 0; i < 300; i++) {
                run.step();
            }
            takeovers += run.owners.size();
            unresolved += run.unresolved;
            for (Map.Entry<Long, Reign> owner : run.owners.entrySet()) {
                if (owner.getKey() < run.newest) {
                    StateStore.Writer earlier = new StateStore.Writer("owner", owner.getKey(), 2);
                    assertThrows(
                            StaleEpochException.class,
                            () -> run.store.append(
                                    StateStore.Topic.PROGRESS, List.of(), earlier, Duration.ofSeconds(1)));
                }
            }
        }
        assertNotEquals(takeovers, 0, "no takeover was tried");
        assertNotEquals(unresolved, 0, "no answer was lost");
    }

    /** Guards against two owners if the group deals one part to two members. */
    @Test
    public void theSecondOfTwoOwnersWithOneTokenSeesTheFirst() throws Exception {
        FakeStore store = new FakeStore();
        ManualTime time = new ManualTime();
        List<Reign> reigns = new ArrayList<>();
        List<Actor> actors = List.of(new Actor(STRONG, store, time), new Actor(WEAK, store, time));
        for (Actor actor : actors) {
            reigns.add(reign(7, store, actor.replica, time));
        }
        reigns.getFirst().fenceEarlier(STRONG.id(), actors.getFirst().progress);
        assertThrows(
                StaleEpochException.class, () -> reigns.getLast().fenceEarlier(WEAK.id(), actors.getLast().progress));
    }

    private static Reign reign(long token, FakeStore store, JobReplica replica, ManualTime time) {
        return new Reign(
                token,
                store,
                new FakeWorkers(),
                replica,
                time,
                Duration.ofSeconds(6),
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
    }
}
