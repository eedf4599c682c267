package org.chestnutbarrow.peer;

import java.util.function.Predicate;
import java.util.function.Supplier;
import org.chestnutbarrow.model.DaemonId;

/**
 * Decides with whom a link exchanges messages. Both functions are called for each new connection, on the event loop, and
 * must not block.
 *
 * @param key returns the current shared secret; connections are refused while it is empty
 * @param accepts returns whether connections from a peer are accepted
 */
public record PeerAccess(Supplier<byte[]> key, Predicate<DaemonId> accepts) {}
