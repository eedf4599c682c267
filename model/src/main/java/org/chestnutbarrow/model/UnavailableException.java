package org.chestnutbarrow.model;

/** A read got no answer; nothing was changed by it. */
public final class UnavailableException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public UnavailableException(String message, String remedy) {
        super(message, remedy, null);
    }

    public UnavailableException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
