package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerReport;

/** Where the ownership of the workers stands, for a worker link. Safe for use by several threads. */
interface Owner {
    /** The token of this ownership. */
    long token();

    /** Whether leases of a life may be extended. */
    boolean extending(TaskRecord.WorkerIncarnation life);

    /** A worker has listed the end of a run for the first time. */
    void ended(WorkerReport.EndKind how);

    /** An order is sent for the first time after it waited in the node. */
    void orderWaited(Duration time);

    /** A hold was answered, or given up, this long after its own wait was over. */
    void holdLate(Duration time);

    /** How late this node's own threads run, so that an answer may lie unread for that time. */
    Duration lateness();

    /** A life has answered under this token. */
    void heard(TaskRecord.WorkerIncarnation life);

    /** Whether this ownership has not ended. */
    boolean active();

    /** A worker has seen a newer owner. */
    void fenced(String by);

    /** Something changed that may allow new placements. */
    void wake();
}
