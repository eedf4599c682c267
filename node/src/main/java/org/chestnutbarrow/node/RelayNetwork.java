package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;

/**
 * The nodes that pass calls of an owner on to workers. An owner uses them if its own machine cannot call all workers
 * itself. Implementations are thread-safe.
 */
public interface RelayNetwork {
    /** A network without nodes, in which the owner calls all workers itself. */
    RelayNetwork NONE = new RelayNetwork() {
        @Override
        public void attach(Host host) {}

        @Override
        public void setRelays(Map<String, RelayEndpoint> relays) {}

        @Override
        public boolean use(boolean wanted) {
            return false;
        }
    };

    /**
     * The current owner, from which calls are accepted.
     *
     * @param node name of the node
     * @param token fencing token of its term
     * @param key secret that it shares with the other nodes; empty if it has none
     */
    record RelayOwner(String node, long token, String key) {}

    /** What a relay has to know of its node. */
    interface Host {
        /** Returns the owner that was recorded last. */
        Optional<RelayOwner> owner();

        /**
         * Returns the payload of a job; empty if the job is unknown.
         *
         * @throws NotRunException if the store has to be read first and does not answer within the timeout
         */
        Optional<String> payload(JobId job, Duration timeout) throws NotRunException;
    }

    /** Sets the node of this process; calls of owners are refused before. */
    void attach(Host host);

    /** Sets the nodes, by name, that this node may use as relays; empty if it does not own the workers. */
    void setRelays(Map<String, RelayEndpoint> relays);

    /** Switches the use of relays on or off and returns whether they are used from now on. */
    boolean use(boolean wanted);
}
