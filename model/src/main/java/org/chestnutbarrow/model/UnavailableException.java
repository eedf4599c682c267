package org.chestnutbarrow.model;

/** No usable response was received; repeating the call is safe. */
public final class UnavailableException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public UnavailableException(String message, String remedy) {
        super(message, remedy, null);
    }

    public UnavailableException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
