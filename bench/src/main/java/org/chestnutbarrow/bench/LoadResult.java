package org.chestnutbarrow.bench;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests of one load.
 *
 * @param sent requests sent
 * @param outcomes number of answers by outcome; {@code no-answer} for requests whose daemon gave none
 * @param wrong answers that belonged to another request or were not whole
 * @param refused ids of requests answered as not run
 * @param nonIdempotent ids of requests marked as non-idempotent
 * @param failures id, daemon, time, outcome and reason of the first requests that did not run
 * @param latency microseconds from the intended time of sending to the whole answer, of requests that ran
 */
public record LoadResult(
        long sent,
        Map<String, Long> outcomes,
        long wrong,
        Set<String> refused,
        Set<String> nonIdempotent,
        List<String> failures,
        Histogram latency) {
    /** Number of answers with that outcome. */
    public long count(String outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /** Latency in milliseconds that a percentage of the requests stayed within. */
    public double millis(double percent) {
        return latency.getTotalCount() == 0 ? Double.NaN : latency.getValueAtPercentile(percent) / 1000.0;
    }
}
