package org.chestnutbarrow.daemon;

import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.ports.WorkerControl;

/**
 * Receives changes of worker leases and the task reports that come with them. Implementations are safe for use by
 * several threads and do not block. Times are the monotonic nanoseconds at which the lease was requested.
 */
interface LeaseListener {
    /** The lease was acquired; called before the worker is opened in the capacity ledger. */
    void acquired(Worker worker, WorkerControl.Grant grant, long requestedAt);

    /** The lease was renewed. A worker that restarted has lost the tasks of its previous incarnation. */
    void renewed(Worker worker, WorkerControl.Grant grant, long requestedAt);

    /** The lease was lost or is being released; called after the worker was closed in the capacity ledger. */
    void ended(Worker worker, long epoch);
}
