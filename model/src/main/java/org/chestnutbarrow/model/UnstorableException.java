package org.chestnutbarrow.model;

/** The store has stored nothing of the call and never will: the same call has the same outcome whenever it is made. */
public final class UnstorableException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    public UnstorableException(String message, String remedy) {
        super(message, remedy, null);
    }
}
