package org.chestnutbarrow.peer;

import java.time.Duration;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/** The connections of a daemon to its peers. Safe for use by several threads; {@link #call} blocks. */
public interface PeerLink extends AutoCloseable {
    /** The address at which peers are accepted. */
    Address address();

    /** Sets where a peer is reached; connects when the first message is sent and again after a failure. */
    void connect(DaemonId peer, Address address);

    /**
     * Sends a request and waits for its answer.
     *
     * @throws NotRunException if nothing was sent
     * @throws OutcomeUnknownException if it was sent and no answer came in time
     */
    PeerMessage call(DaemonId peer, PeerMessage request, Duration timeout)
            throws NotRunException, OutcomeUnknownException;

    /** Sends a message that needs no answer; it is dropped if the peer cannot be reached. */
    void send(DaemonId peer, PeerMessage message);

    @Override
    void close();
}
