package org.chestnutbarrow.ports;

import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;

/**
 * The platform's list of live and leaving hosts, which may be out of date. Implementations are safe for use by several
 * threads.
 */
public interface HostList {
    /**
     * Fetches the list.
     *
     * @throws UnavailableException if no valid response was received
     */
    Listing fetch() throws UnavailableException;

    /**
     * A snapshot of the list.
     *
     * @param asOf time at which the platform created the snapshot
     * @param workers all listed workers
     */
    record Listing(Instant asOf, List<Worker> workers) {
        public Listing {
            workers = List.copyOf(workers);
        }
    }
}
