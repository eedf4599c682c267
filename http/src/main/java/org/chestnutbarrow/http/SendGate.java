package org.chestnutbarrow.http;

import org.chestnutbarrow.model.NotRunException;

/** A last check that runs right before the first byte of a request is written. Must not block. */
@FunctionalInterface
public interface SendGate {
    /** Lets every request pass. */
    SendGate OPEN = () -> {};

    /** Returns if the request may still be sent; throws if the right to send it has gone, and nothing is written. */
    void check() throws NotRunException;
}
