package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.Account;

/**
 * Decides whether a job of a client account is accepted. The load that it answers is one account that submits many times
 * its agreed rate for some seconds: its jobs would wait beyond any deadline, and callers that wait learn that too late.
 * Stateless.
 */
final class AccountAdmission {
    /** An account may exceed its rate by this factor in a window, since submissions arrive unevenly. */
    private static final double TOLERANCE = 1.25;
    /** Submissions that are always accepted in a window, which matter for small rates. */
    private static final int MIN_BURST = 5;
    /** Time for which jobs may wait at the agreed rate; callers of short jobs expect an answer within 3 s. */
    private static final Duration MAX_BACKLOG = Duration.ofSeconds(3);
    /** Longest time after which a caller is asked to return. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    private AccountAdmission() {}

    /**
     * Returns after which time a caller may submit a job again, or empty if the job is accepted now.
     *
     * @param recent jobs of the account that were accepted in {@link SubmissionRates#WINDOW}
     * @param pending accepted jobs of the account that have not started
     */
    static Optional<Duration> retryAfter(Account account, int recent, int pending) {
        double rate = account.submissionsPerSecond();
        double accepted = Math.max(MIN_BURST, TOLERANCE * rate * SubmissionRates.WINDOW.toSeconds());
        double backlog = Math.max(MIN_BURST, rate * MAX_BACKLOG.toSeconds());
        if (rate <= 0 || recent < accepted || pending < backlog) {
            return Optional.empty();
        }
        // At the agreed rate the jobs beyond the permitted backlog have started by then.
        Duration excess = Duration.ofSeconds((long) Math.ceil((pending - backlog + 1) / rate));
        return Optional.of(excess.compareTo(MAX_RETRY_AFTER) < 0 ? excess : MAX_RETRY_AFTER);
    }
}
