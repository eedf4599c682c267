package org.chestnutbarrow.capacity;

import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * Capacity of a worker that is reserved for one interactive request until it is given back.
 *
 * @param id unique within the process
 * @param worker the worker
 * @param epoch epoch of the lease under which it was reserved
 * @param amount what is reserved
 */
public record Reservation(long id, Worker worker, long epoch, Resources amount) {}
