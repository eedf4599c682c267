package org.chestnutbarrow.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.membership.Contacts.Level;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a holder that renews attempts which their owner, cut off from the holder, starts elsewhere. */
public class ContactsTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final DaemonId C = new DaemonId("c");
    private static final Duration TICK = Duration.ofMillis(250);

    private ManualTime time;
    private Contacts contacts;

    @BeforeMethod
    public void startWithoutContact() {
        time = new ManualTime();
        contacts = new Contacts(A, List.of(A, B, C), time);
    }

    @Test
    public void levelFollowsWhoAnswersAndWhoIsHeard() {
        assertEquals(contacts.level(), Level.MINORITY);
        contacts.answered(B, time.nanos(), 0, Set.of());
        assertEquals(contacts.level(), Level.MAJORITY);
        contacts.answered(C, time.nanos(), 0, Set.of());
        contacts.heard(B, 0);
        contacts.heard(C, 0);
        assertEquals(contacts.level(), Level.ALL);
        time.advance(Duration.ofMillis(600));
        assertEquals(contacts.level(), Level.MAJORITY);
        time.advance(Duration.ofSeconds(2));
        assertEquals(contacts.level(), Level.MINORITY);
    }

    @Test
    public void endsAttemptsOfAnOwnerThatDoesNotAnswerWhileOthersHearIt() {
        long taken = time.nanos();
        run(Duration.ofSeconds(9), () -> {
            contacts.heard(B, 5);
            contacts.answered(B, time.nanos(), 5, Set.of());
        });
        assertTrue(contacts.mayRenew(B, taken, 5));
        assertFalse(contacts.mayRenew(C, taken, 5), "C may be alive and in contact with B");
    }

    @Test
    public void goesOnWhileAMajorityDoesNotHearTheOwner() {
        long taken = time.nanos();
        run(Duration.ofSeconds(20), () -> {
            contacts.heard(B, 5);
            contacts.answered(B, time.nanos(), 5, Set.of(C));
        });
        assertTrue(contacts.mayRenew(C, taken, 5));
        assertFalse(contacts.mayRenew(C, taken, 4), "B has applied a record that may name a new owner");
    }

    @Test
    public void saysNothingOfSilenceWhileAPeerIsAhead() {
        run(Duration.ofSeconds(6), () -> contacts.heard(B, 5));
        assertEquals(contacts.silent(5), Set.of(C));
        assertEquals(contacts.silent(4), Set.of());
    }

    @Test
    public void anOwnerMustLearnOfANewHolderSoon() {
        contacts.answered(C, time.nanos(), 0, Set.of());
        time.advance(Duration.ofSeconds(1));
        long taken = time.nanos();
        assertTrue(contacts.mayRenew(C, taken, 0));
        time.advance(Contacts.TAKEN_GRACE);
        assertFalse(contacts.mayRenew(C, taken, 0), "C answered last before the worker was taken");
        contacts.answered(C, time.nanos(), 0, Set.of());
        assertTrue(contacts.mayRenew(C, taken, 0));
    }

    private void run(Duration length, Runnable everyTick) {
        for (Duration at = Duration.ZERO; at.compareTo(length) < 0; at = at.plus(TICK)) {
            time.advance(TICK);
            everyTick.run();
        }
    }
}
