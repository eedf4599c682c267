package org.chestnutbarrow.ports;

import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;

/** The platform's list of live and leaving hosts, which lags. Implementations are safe for use by several threads. */
public interface HostList {
    /**
     * Fetches the list.
     *
     * @throws UnavailableException if there was no answer
     */
    Listing fetch() throws UnavailableException;

    /**
     * The list at one time.
     *
     * @param asOf when the platform made it
     * @param workers all workers on it
     */
    record Listing(Instant asOf, List<Worker> workers) {
        public Listing {
            workers = List.copyOf(workers);
        }
    }
}
