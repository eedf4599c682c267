package org.chestnutbarrow.daemon;

import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * A worker whose lease a live daemon holds, as this daemon last heard.
 *
 * @param holder the daemon, which may be this one
 * @param free what is free there
 * @param epoch epoch of the lease
 */
record HeldWorker(Worker worker, DaemonId holder, Resources free, long epoch) {}
