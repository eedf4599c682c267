package org.chestnutbarrow.cli;

/** Exit codes of the command line; listed in docs/OPERATIONS.md. */
enum ExitCode {
    /** Done; a change is in force everywhere. */
    DONE(0),
    /** Nothing was applied: refused, or another change was first. */
    NOT_APPLIED(1),
    /** The command line or a file has errors; nothing was sent. */
    INVALID(2),
    /** The change is in the log, but some daemons have not confirmed it yet. */
    ACCEPTED(3),
    /** It is unknown whether it was applied. */
    UNKNOWN(4),
    /** No daemon could be reached; nothing was sent. */
    UNREACHABLE(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
