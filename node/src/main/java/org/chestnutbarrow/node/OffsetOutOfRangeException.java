package org.chestnutbarrow.node;

/** Thrown when the store no longer retains the entries at an offset, so that the topic has to be reloaded. */
public final class OffsetOutOfRangeException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the requested offset. */
    public OffsetOutOfRangeException(long offset) {
        super("offset " + offset + " is no longer retained; reload the newest values and resume from there");
    }
}
