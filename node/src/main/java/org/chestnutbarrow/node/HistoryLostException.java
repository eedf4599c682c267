package org.chestnutbarrow.node;

/** The store no longer keeps the entries from an offset on; the topic is to be read anew. */
public final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Names the offset that was asked for. */
    public HistoryLostException(long offset) {
        super("entries from offset " + offset + " are no longer kept; read the newest values and go on from there");
    }
}
