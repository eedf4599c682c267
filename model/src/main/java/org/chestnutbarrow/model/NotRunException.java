package org.chestnutbarrow.model;

/** The call had no effect and may be repeated. */
public final class NotRunException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public NotRunException(String message, String remedy) {
        super(message, remedy, null);
    }

    public NotRunException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
