package org.chestnutbarrow.peer;

import org.chestnutbarrow.model.DaemonId;

/**
 * Takes messages from peers. Called on virtual threads, so it may block; a request has a thread of its own, messages
 * without an answer share one for each peer.
 */
public interface PeerHandler {
    /** Answers a request; an exception becomes {@link PeerMessage.Failure}. */
    PeerMessage answer(DaemonId from, PeerMessage request) throws Exception;

    /** Takes a message that needs no answer. Messages from one peer arrive in the order they were sent. */
    void receive(DaemonId from, PeerMessage message);
}
