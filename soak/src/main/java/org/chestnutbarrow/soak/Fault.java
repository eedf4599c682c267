package org.chestnutbarrow.soak;

import java.time.Duration;

/** A fault that the rig injects for a while. Immutable. */
sealed interface Fault {
    /** Which calls to the store are disturbed. */
    enum StoreScope {
        PROGRESS_APPENDS,
        JOB_APPENDS,
        APPENDS,
        PROGRESS_READS,
        JOB_READS,
        GROUP,
        ALL
    }

    /** Whose calls to the store are disturbed. */
    enum Side {
        EVERYBODY,
        OWNER,
        /** All nodes but the owner at the beginning of the fault. */
        OTHERS
    }

    /** Groups of faults that can be chosen on the command line. */
    enum Family {
        STORE,
        NODES,
        WORKERS,
        /** Ends listed in any order. */
        ORDER
    }

    /** Index of a node that stands for the owner at the time of the fault. */
    int OWNER = -1;

    /** Calls to the store are disturbed. */
    record StoreCalls(Side side, StoreScope scope, Disturbance disturbance) implements Fault {}

    /** The store deals all partitions to other members. */
    record Reassignment() implements Fault {}

    /** The store drops its history. */
    record HistoryDrop() implements Fault {}

    /** A node is killed and started again at the end of the fault. */
    record NodeKill(int node) implements Fault {}

    /** A node is asked to stop and started again at the end of the fault. */
    record NodeStop(int node) implements Fault {}

    /** A node is suspended. */
    record NodePause(int node) implements Fault {}

    /** A worker goes down and starts again under its id; the store shows it {@code listedAfter} its start. */
    record WorkerRestart(int worker, Duration listedAfter) implements Fault {}

    /**
     * A worker goes down and starts again, and calls that were sent before are carried out {@code lateBy} later, by the
     * next incarnation if that is up then.
     */
    record RestartWithLateCalls(int worker, Duration lateBy, Duration listedAfter) implements Fault {}

    /** Calls to a worker are disturbed. */
    record WorkerCalls(int worker, Disturbance disturbance) implements Fault {}

    /** All workers list their ends in any order. */
    record EndsUnordered() implements Fault {}

    /** Returns the group of this fault. */
    default Family family() {
        return switch (this) {
            case StoreCalls _, Reassignment _, HistoryDrop _ -> Family.STORE;
            case NodeKill _, NodeStop _, NodePause _ -> Family.NODES;
            case WorkerRestart _, RestartWithLateCalls _, WorkerCalls _ -> Family.WORKERS;
            case EndsUnordered _ -> Family.ORDER;
        };
    }

    /**
     * A fault with its time.
     *
     * @param from when it begins, since the start of the load
     * @param length how long it lasts
     * @param fault what happens
     */
    record Timed(Duration from, Duration length, Fault fault) {}
}
