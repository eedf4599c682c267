package org.chestnutbarrow.model;

/** A newer holder exists; the call had no effect, and the caller must stop acting as the holder. */
public final class StaleEpochException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    private final long epoch;

    /**
     * Creates the exception.
     *
     * @param resource what the caller no longer holds
     * @param epoch newest epoch that the remote side has seen
     */
    public StaleEpochException(String resource, long epoch) {
        super(resource + " has a newer epoch " + epoch, "stop acting as its holder and claim it again", null);
        this.epoch = epoch;
    }

    /** Returns the newest epoch that the remote side has seen. */
    public long epoch() {
        return epoch;
    }
}
