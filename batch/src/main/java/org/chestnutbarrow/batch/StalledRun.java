package org.chestnutbarrow.batch;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * A run without recent progress. Immutable.
 *
 * @param task the task
 * @param run number of the run
 * @param incarnation incarnation of the worker that listed the run
 * @param progressPercent its progress since then
 * @param observed time between the first and the last report with this progress, without silences of the worker
 */
public record StalledRun(TaskName task, int run, long incarnation, int progressPercent, Duration observed) {
    /** Longer times make no difference; keeps a damaged record from overflowing. */
    private static final Duration MAX_OBSERVED = Duration.ofDays(30);

    public StalledRun {
        Checks.require(!observed.isNegative(), "a run cannot be without progress for a negative time");
        observed = observed.compareTo(MAX_OBSERVED) > 0 ? MAX_OBSERVED : observed;
    }
}
