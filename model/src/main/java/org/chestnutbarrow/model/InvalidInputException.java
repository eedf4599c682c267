package org.chestnutbarrow.model;

/** User input or data from another program is malformed or invalid; none of it was applied. */
public final class InvalidInputException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message, String remedy) {
        super(message, remedy, null);
    }

    public InvalidInputException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
