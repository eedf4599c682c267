package org.chestnutbarrow.routing;

import org.chestnutbarrow.model.DaemonId;

/** Free request slots of a live peer, as its last heartbeat told. */
public record PeerSlots(DaemonId peer, int free) {}
