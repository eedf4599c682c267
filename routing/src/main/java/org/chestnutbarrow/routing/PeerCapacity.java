package org.chestnutbarrow.routing;

import org.chestnutbarrow.model.DaemonId;

/** Free request slots of a live peer, as reported by its last heartbeat. */
public record PeerCapacity(DaemonId peer, int freeSlots) {}
