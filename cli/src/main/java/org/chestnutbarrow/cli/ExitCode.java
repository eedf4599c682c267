package org.chestnutbarrow.cli;

/** Exit codes of the command-line client; documented in docs/OPERATIONS.md. */
enum ExitCode {
    /** The command succeeded; a change is in force on all daemons. */
    DONE(0),
    /** Nothing was applied: the change was refused or conflicted with an earlier one. */
    NOT_APPLIED(1),
    /** A check has findings; nothing was sent. */
    FINDINGS(1),
    /** The command line or an input file is invalid; nothing was sent. */
    INVALID(2),
    /** The change is in the log, but not all daemons have confirmed it yet. */
    ACCEPTED(3),
    /** It is unknown whether the change was applied. */
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
