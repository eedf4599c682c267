package org.chestnutbarrow.routing;

import org.chestnutbarrow.model.DaemonId;

/**
 * Capacity of a live peer, as reported by its last heartbeat.
 *
 * @param freeSlots free request slots of all its workers
 * @param holdsWorkers whether it holds any worker, with or without free slots
 */
public record PeerCapacity(DaemonId peer, int freeSlots, boolean holdsWorkers) {}
