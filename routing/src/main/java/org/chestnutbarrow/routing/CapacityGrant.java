package org.chestnutbarrow.routing;

import org.chestnutbarrow.capacity.Reservation;

/** Capacity reserved for a waiting request. */
public record CapacityGrant(long ticket, Reservation reservation) {}
