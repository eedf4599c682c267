package org.chestnutbarrow.peer;

import org.chestnutbarrow.model.DaemonId;

/**
 * Handles messages from peers. Called on virtual threads, so implementations may block; each request runs on its own
 * thread, one-way messages run sequentially for each peer.
 */
public interface PeerHandler {
    /** Handles a request and returns the response; an exception is sent as {@link PeerMessage.Failure}. */
    PeerMessage handle(DaemonId from, PeerMessage request) throws Exception;

    /** Handles a one-way message. Messages from one peer arrive in the order in which they were sent. */
    void receive(DaemonId from, PeerMessage message);
}
