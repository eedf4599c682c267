package org.chestnutbarrow.configcheck;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.chestnutbarrow.batch.Account;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.node.KeyDigest;

/**
 * The readable entries of a configuration in the order of the file. An index is the position in the list of the file,
 * unreadable entries included. Immutable; no text of it has a key.
 *
 * @param version version; empty if unreadable
 * @param routes routes to queues
 * @param services services; empty if the configuration lists none, so that routes may name any
 * @param limits limits that are set
 * @param accounts client accounts; empty if the configuration has no list of them, so that callers need no key
 */
public record Configuration(
        OptionalLong version,
        List<Route> routes,
        Optional<List<Service>> services,
        Map<Limit, Long> limits,
        Optional<List<ClientAccount>> accounts) {
    public Configuration {
        routes = List.copyOf(routes);
        services = services.map(List::copyOf);
        limits = Map.copyOf(limits);
        accounts = accounts.map(List::copyOf);
    }

    /** A route; {@code isPublic} routes need no key. */
    public record Route(int index, Queue queue, boolean isPublic) {}

    /** A service. */
    public record Service(int index, String name) {}

    /** A client account with the digests of its keys in the order of the file. */
    public record ClientAccount(int index, Account account, List<KeyDigest> keys) {
        public ClientAccount {
            keys = List.copyOf(keys);
        }
    }

    /** A limit on the requests of callers. */
    public enum Limit {
        /** Bytes of the header fields of a request. */
        HEADER_BYTES,
        /** Bytes of the body of a request. */
        BODY_BYTES,
        /** Milliseconds in which the header of a request must arrive. */
        HEADER_TIMEOUT_MS,
        /** Milliseconds that a connection may be idle. */
        IDLE_TIMEOUT_MS
    }
}
