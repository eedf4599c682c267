package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.Locale;

/**
 * A violation of a rule.
 *
 * @param rule the violated rule
 * @param subject the task or job
 * @param detail runs, workers, incarnations, states and times
 */
record Finding(Rule rule, String subject, String detail) {
    /** The rules of docs/incidents/2026-12-07-work.md that are checked. */
    enum Rule {
        /** Two runs of a task at a time on workers that are up. */
        R1,
        /** A start of a task after an end {@code done} that was taken note of. */
        R2,
        /** A final state of a job that changed, or a start of a task of a completed job. */
        R3,
        /** An accepted job of which nothing ran until the end of the calm period. */
        NOT_RUN,
        /** Appends of nodes that are larger than the store accepts. */
        TOO_LARGE
    }

    /** Formats a time of a play in seconds. */
    static String seconds(Duration at) {
        return String.format(Locale.ROOT, "%.3fs", at.toNanos() / 1e9);
    }

    @Override
    public String toString() {
        return rule + " " + subject + " " + detail;
    }
}
