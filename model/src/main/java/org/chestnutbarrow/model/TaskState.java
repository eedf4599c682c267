package org.chestnutbarrow.model;

/** The state of an attempt as its worker reports it. */
public enum TaskState {
    RUNNING,
    /** Ran to completion. */
    FINISHED,
    /** Terminated with an error. */
    FAILED,
    /** Stopped by a command. */
    STOPPED,
    /** Stopped after writing a checkpoint. */
    CHECKPOINTED,
    /** Stopped by the worker because its lease was not renewed. */
    LAPSED;

    /** Returns whether the attempt is no longer running. */
    public boolean ended() {
        return this != RUNNING;
    }
}
