package org.chestnutbarrow.peer;

import java.time.Duration;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/** The connections of a daemon to its peers. Thread-safe; {@link #call} blocks. */
public interface PeerLink extends AutoCloseable {
    /** Returns the address on which connections from peers are accepted. */
    Address address();

    /** Sets the address of a peer; connects when the first message is sent and reconnects after a failure. */
    void connect(DaemonId peer, Address address);

    /**
     * Sends a request and waits for its response.
     *
     * @throws NotRunException if nothing was sent
     * @throws OutcomeUnknownException if it may have been sent and no response arrived in time
     */
    PeerMessage call(DaemonId peer, PeerMessage request, Duration timeout)
            throws NotRunException, OutcomeUnknownException;

    /** Sends a one-way message; it is dropped if the peer cannot be reached. */
    void send(DaemonId peer, PeerMessage message);

    @Override
    void close();
}
