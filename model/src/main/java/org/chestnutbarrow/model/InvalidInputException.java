package org.chestnutbarrow.model;

/** Input from a person or another program has the wrong form or content; nothing of it was applied. */
public final class InvalidInputException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message, String remedy) {
        super(message, remedy, null);
    }

    public InvalidInputException(String message, String remedy, Throwable cause) {
        super(message, remedy, cause);
    }
}
