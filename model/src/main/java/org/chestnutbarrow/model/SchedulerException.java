package org.chestnutbarrow.model;

/** Base class of the errors that callers must handle. The message states the cause, the remedy the action to take. */
public abstract sealed class SchedulerException extends Exception
        permits InvalidInputException,
                NotRunException,
                OutcomeUnknownException,
                RefusedException,
                StaleEpochException,
                UnavailableException,
                UnstorableException {
    private static final long serialVersionUID = 1L;

    private final String problem;
    private final String remedy;

    SchedulerException(String message, String remedy, Throwable cause) {
        super(message + "; " + remedy, cause);
        this.problem = message;
        this.remedy = remedy;
    }

    /** Returns the cause without the suggested action. */
    public final String problem() {
        return problem;
    }

    /** Returns the suggested action. */
    public final String remedy() {
        return remedy;
    }
}
