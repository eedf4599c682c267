package org.chestnutbarrow.model;

/** A newer holder exists; whatever was asked for was not done, and the caller must stop acting as the holder. */
public final class StaleEpochException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    private final long epoch;

    /**
     * Creates the error.
     *
     * @param epoch the newest epoch that the other side has seen
     */
    public StaleEpochException(String what, long epoch) {
        super(what + " has a newer epoch " + epoch, "stop acting as its holder and claim it again", null);
        this.epoch = epoch;
    }

    /** The newest epoch that the other side has seen. */
    public long epoch() {
        return epoch;
    }
}
