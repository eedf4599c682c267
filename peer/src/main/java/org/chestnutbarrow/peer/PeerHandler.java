package org.chestnutbarrow.peer;

import org.chestnutbarrow.model.DaemonId;

/** Takes messages from peers. Called on a virtual thread of its own for each message, so it may block. */
public interface PeerHandler {
    /** Answers a request; an exception becomes {@link PeerMessage.Failure}. */
    PeerMessage answer(DaemonId from, PeerMessage request) throws Exception;

    /** Takes a message that needs no answer. Messages from one peer arrive in the order they were sent. */
    void receive(DaemonId from, PeerMessage message);
}
