package org.chestnutbarrow.capacity;

import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * The available capacity of a worker at one point in time.
 *
 * @param worker worker that the capacity belongs to
 * @param epoch epoch of the lease of the worker
 * @param free capacity that is not charged; none while the worker is handed over or leaving
 * @param requests number of interactive requests that this daemon has running on the worker
 */
public record AvailableCapacity(Worker worker, long epoch, Resources free, int requests) {}
