package org.chestnutbarrow.routing;

import org.chestnutbarrow.capacity.Hold;

/** Capacity for a request that waits. */
public record Grant(long ticket, Hold hold) {}
