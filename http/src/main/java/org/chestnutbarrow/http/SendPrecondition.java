package org.chestnutbarrow.http;

import org.chestnutbarrow.model.NotRunException;

/** A check that runs immediately before the first byte of a request is written. Must not block. */
@FunctionalInterface
public interface SendPrecondition {
    /** Permits every request. */
    SendPrecondition NONE = () -> {};

    /**
     * Checks that the request may still be sent.
     *
     * @throws NotRunException if the request must not be sent; nothing is written
     */
    void check() throws NotRunException;
}
