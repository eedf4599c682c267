package org.chestnutbarrow.placement;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against replacing attempts at a worker that a daemon without contact may still hold. */
public class LapseRuleTest {
    private static final long MILLI = 1_000_000L;

    private final LapseRule rule = new LapseRule();

    private void sample(Contact contact, long from, long to) {
        for (long at = from; at <= to; at += 100) {
            rule.sample(contact, at * MILLI);
        }
    }

    private boolean lapsed(long unheldSince, long now) {
        return rule.lapsed(unheldSince * MILLI, now * MILLI);
    }

    @Test
    public void lapsesByTheContactThatLastedWithoutABreak() {
        sample(Contact.ALL, 0, 4_300);
        assertFalse(lapsed(0, 4_349), "lapsed before the task lease and the next heartbeat");
        assertTrue(lapsed(0, 4_350));
        assertFalse(lapsed(100, 4_350), "the worker was held until later");
        sample(Contact.MAJORITY, 4_400, 19_900);
        assertFalse(lapsed(0, 19_999), "a majority counted as all");
        assertTrue(lapsed(0, 20_000));
        sample(Contact.ALL, 20_000, 24_200);
        assertFalse(lapsed(19_900, 24_300), "the time with all daemons included time with a majority");
    }

    @Test
    public void minorityAndGapsRestartBothClocks() {
        sample(Contact.ALL, 0, 13_000);
        sample(Contact.MINORITY, 13_100, 13_100);
        sample(Contact.ALL, 13_200, 17_400);
        assertFalse(lapsed(0, 17_500), "the clock went on through a minority");
        sample(Contact.ALL, 17_500, 17_600);
        assertTrue(lapsed(0, 17_600));
        assertFalse(lapsed(0, 18_200), "contact was taken for granted after the last sample");
        sample(Contact.ALL, 18_200, 22_500);
        assertFalse(lapsed(0, 22_500), "the clock went on through a gap");
    }
}
