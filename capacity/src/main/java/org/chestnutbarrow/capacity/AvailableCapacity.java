package org.chestnutbarrow.capacity;

import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * What is free on a worker at one time.
 *
 * @param worker the worker
 * @param epoch epoch of the lease over it
 * @param free capacity that is not charged
 * @param requests interactive requests that this daemon has on it
 */
public record AvailableCapacity(Worker worker, long epoch, Resources free, int requests) {}
