package org.chestnutbarrow.model;

/** The remote side rejected the call and did nothing. */
public final class RefusedException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public RefusedException(String message, String remedy) {
        super(message, remedy, null);
    }

    public RefusedException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
