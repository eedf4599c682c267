package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerReport;

/** The current term of ownership of the workers as seen by a worker link. Safe for use by several threads. */
interface Owner {
    /** Returns the fencing token of this term. */
    long token();

    /** Allows, if it returns true, that leases of a worker incarnation are extended until {@code until}, ns. */
    boolean extendLeases(TaskRecord.WorkerIncarnation incarnation, long until);

    /** Returns whether the copies from which starts are decided are recent enough to send one now. */
    boolean mayStart();

    /** Called when a worker reports the end of a run for the first time. */
    void runEnded(WorkerReport.EndKind kind);

    /** Records how long an order was queued in the node before its first attempt. */
    void recordOrderWait(Duration wait);

    /** Records how long a start was queued before its first attempt, or before it was withdrawn instead. */
    void recordStartWait(Duration wait);

    /** Records by how much the answer or the timeout of a hold exceeded the wait that the hold asked for. */
    void recordHoldDelay(Duration delay);

    /** Returns how long a worker may delay the answer to a hold. */
    Duration holdWait();

    /** Returns whether calls to workers are made by relays. */
    boolean callsRelayed();

    /** Limits how many workers are contacted for the first time at once; a contact takes one permit. */
    Semaphore firstContacts();

    /** Returns the estimated delay of this node's own threads, for which an answer may remain unread. */
    Duration threadDelay();

    /**
     * Called when a worker incarnation answers a hold under this token; leases that earlier owners have extended are over
     * at {@code extendedUntil}, ns.
     */
    void workerAnswered(TaskRecord.WorkerIncarnation incarnation, long extendedUntil);

    /**
     * Called when a later incarnation answers, whose leases of runs that were started through this one are over at
     * {@code until}, ns.
     */
    void workerReplaced(TaskRecord.WorkerIncarnation incarnation, long until);

    /** Called when a worker incarnation has not answered for so long that its leases must not be extended. */
    void workerUnreachable(TaskRecord.WorkerIncarnation incarnation);

    /** Whether this term is still in effect. */
    boolean active();

    /** Called when a newer owner is found; {@code by} names the source. Ends this term. */
    void fenced(String by);

    /** Requests a new plan after a change that may allow placements. */
    void wake();
}
