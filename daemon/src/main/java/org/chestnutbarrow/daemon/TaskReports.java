package org.chestnutbarrow.daemon;

import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.ports.WorkerControl;

/**
 * Takes what workers report of their tasks. Implementations are safe for use by several threads and do not block. Times
 * are the monotonic nanoseconds at which the lease was asked for.
 */
interface TaskReports {
    /** The lease was taken; called before the account of the worker is opened. */
    void taken(Worker worker, WorkerControl.Grant grant, long askedAt);

    /** The lease was renewed. A new incarnation of the worker has lost the tasks of the one before. */
    void renewed(Worker worker, WorkerControl.Grant grant, long askedAt);

    /** The lease was lost or is being released; called after the account of the worker was closed. */
    void gone(Worker worker, long epoch);
}
