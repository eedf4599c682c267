package org.chestnutbarrow.capacity;

import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * Capacity of a worker that is reserved for one interactive request until it is released.
 *
 * @param id identifier that is unique within the process
 * @param worker worker on which the capacity is reserved
 * @param epoch epoch of the lease under which the capacity was reserved
 * @param amount reserved capacity
 */
public record Reservation(long id, Worker worker, long epoch, Resources amount) {}
