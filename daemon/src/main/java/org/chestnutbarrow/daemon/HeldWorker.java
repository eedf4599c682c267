package org.chestnutbarrow.daemon;

import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * A worker whose lease is held by a live daemon, according to the latest information of this daemon.
 *
 * @param holder the daemon that holds the lease; may be this daemon
 * @param free the free capacity of the worker
 * @param epoch the epoch of the lease
 */
record HeldWorker(Worker worker, DaemonId holder, Resources free, long epoch) {}
