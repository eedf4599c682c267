package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.model.JobId;

/** What callers may do in the name of their client accounts. Implementations are thread-safe and do not block. */
public interface AccountService {
    /** Decides whether a caller with an API key, if it sent one, may use a queue. */
    Access access(Queue queue, Optional<String> key);

    /** Returns whether a job exists that was submitted by another account, as far as this node knows. */
    boolean belongsToOther(JobId id, String account);

    /**
     * Returns after which time a job of an account may be submitted again, or empty if it is accepted now. A job that is
     * known already is always accepted, since it is not stored again.
     */
    Optional<Duration> retryAfter(JobId id, String account);
}
