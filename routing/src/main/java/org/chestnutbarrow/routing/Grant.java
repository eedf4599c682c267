package org.chestnutbarrow.routing;

import org.chestnutbarrow.capacity.Reservation;

/** Capacity for a request that waits. */
public record Grant(long ticket, Reservation hold) {}
