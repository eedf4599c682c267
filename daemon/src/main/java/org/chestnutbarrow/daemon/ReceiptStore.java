package org.chestnutbarrow.daemon;

import java.time.Instant;
import org.chestnutbarrow.model.NotRunException;

/** Stores receipts of non-idempotent requests durably. Implementations are safe for use by several threads. */
interface ReceiptStore {
    /** Returns whether this daemon knows a receipt for the request id; works while the log is unavailable. */
    boolean contains(String requestId);

    /**
     * Creates a receipt unless there is one for the request id.
     *
     * @return whether this call created the receipt; if not, the request was accepted before
     * @throws NotRunException if it is not certain that this call created a receipt
     */
    boolean create(String requestId, Instant receivedAt) throws NotRunException;
}
