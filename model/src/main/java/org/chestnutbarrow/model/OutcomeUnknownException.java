package org.chestnutbarrow.model;

/** The call may have taken effect; determine its outcome before repeating it. */
public final class OutcomeUnknownException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public OutcomeUnknownException(String message, String remedy) {
        super(message, remedy, null);
    }

    public OutcomeUnknownException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
