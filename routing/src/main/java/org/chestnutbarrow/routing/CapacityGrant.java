package org.chestnutbarrow.routing;

import org.chestnutbarrow.capacity.Hold;

/** Capacity reserved for a waiting request. */
public record CapacityGrant(long ticket, Hold hold) {}
