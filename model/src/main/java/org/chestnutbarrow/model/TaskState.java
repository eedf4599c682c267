package org.chestnutbarrow.model;

/** The state of an attempt as its worker reports it. */
public enum TaskState {
    RUNNING,
    /** Ran to its end. */
    FINISHED,
    /** Ended by itself with an error. */
    FAILED,
    /** Stopped by a command. */
    STOPPED,
    /** Stopped after it wrote a checkpoint. */
    CHECKPOINTED,
    /** Stopped by the worker because its lease was not renewed. */
    LAPSED;

    /** Whether the attempt no longer runs. */
    public boolean ended() {
        return this != RUNNING;
    }
}
