package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.Account;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests which jobs of an account are accepted under a burst of that account. */
public class AccountAdmissionTest {
    private static final Account ACCOUNT = new Account("a", 2, 2, Resources.NONE);

    /** Guards against refusals of an account within its rate because the service is slow for all. */
    @Test
    public void acceptsAccountWithinItsRate() {
        assertEquals(AccountAdmission.retryAfter(ACCOUNT, 10, 500), Optional.empty());
    }

    /** Guards against refusals while there is room for all. */
    @Test
    public void acceptsBurstWithoutBacklog() {
        assertEquals(AccountAdmission.retryAfter(ACCOUNT, 100, 5), Optional.empty());
    }

    /** Guards against a time to return at which the backlog of the account is as long as before. */
    @Test
    public void tellsWhenBacklogIsGone() {
        assertEquals(AccountAdmission.retryAfter(ACCOUNT, 100, 6), Optional.of(Duration.ofSeconds(1)));
        assertEquals(AccountAdmission.retryAfter(ACCOUNT, 100, 25), Optional.of(Duration.ofSeconds(10)));
        assertTrue(
                AccountAdmission.retryAfter(ACCOUNT, 100, 10_000).orElseThrow().toSeconds() <= 30);
    }

    @Test
    public void acceptsAllWithoutAgreedRate() {
        assertEquals(AccountAdmission.retryAfter(new Account("a", 2, 0, Resources.NONE), 1000, 1000), Optional.empty());
    }

    @Test
    public void countsSubmissionsOfTheLastSeconds() {
        ManualTime time = new ManualTime();
        SubmissionRates rates = new SubmissionRates(time);
        rates.record("a", time.now());
        rates.record("", time.now());
        rates.record("a", time.now().minusSeconds(60));
        time.advance(Duration.ofSeconds(3));
        rates.record("a", time.now());
        assertEquals(rates.recent("a"), 2);
        time.advance(Duration.ofSeconds(3));
        assertEquals(rates.recent("a"), 1);
        assertEquals(rates.recent("b"), 0);
    }
}
