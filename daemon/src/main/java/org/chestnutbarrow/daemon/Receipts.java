package org.chestnutbarrow.daemon;

import java.time.Instant;
import org.chestnutbarrow.model.NotRunException;

/** Makes receipts of non-idempotent requests durable. Implementations are safe for use by several threads. */
interface Receipts {
    /** Whether a receipt of this id is known to this daemon; known ones stay known while the log is away. */
    boolean known(String requestId);

    /**
     * Makes a receipt, or finds out that there is one.
     *
     * @return whether this call made it; if not, the request was taken before
     * @throws NotRunException if it is not certain that a receipt of this call stands
     */
    boolean make(String requestId, Instant taken) throws NotRunException;
}
