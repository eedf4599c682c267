package org.chestnutbarrow.model;

/** Base of the errors that callers of a module have to handle. The message says what is wrong, the remedy what to do. */
public abstract sealed class SchedulerException extends Exception
        permits InvalidInputException,
                NotRunException,
                OutcomeUnknownException,
                RefusedException,
                StaleEpochException,
                UnavailableException {
    private static final long serialVersionUID = 1L;

    private final String remedy;

    SchedulerException(String message, String remedy, Throwable cause) {
        super(message + "; " + remedy, cause);
        this.remedy = remedy;
    }

    /** What the reader of the message can do about it. */
    public final String remedy() {
        return remedy;
    }
}
