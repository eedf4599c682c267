package org.chestnutbarrow.batch;

import java.util.List;
import java.util.LongSummaryStatistics;

/**
 * Which numbers of ends a report lists. Immutable.
 *
 * @param full whether the worker may have further ends, which it lists once some of these have been discarded
 * @param lowest the lowest number; {@link Long#MAX_VALUE} if the list is empty
 * @param consecutive whether no number between the lowest and the highest is missing
 */
record EndList(boolean full, long lowest, boolean consecutive) {
    /** Maximum number of ends in one report. */
    private static final int MAX_ENDS = 500;

    static EndList of(List<WorkerReport.Ended> ends) {
        LongSummaryStatistics numbers =
                ends.stream().mapToLong(WorkerReport.Ended::sequence).distinct().summaryStatistics();
        return new EndList(
                ends.size() >= MAX_ENDS,
                numbers.getMin(),
                numbers.getCount() == numbers.getMax() - numbers.getMin() + 1);
    }
}
