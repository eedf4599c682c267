package org.chestnutbarrow.daemon;

import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.routing.RoutingRequest;

/**
 * Records the outcome of each interactive request as a log line, in metrics, and for {@code explain}. Safe for use by
 * several threads.
 */
final class RequestLog {
    private static final long NANOS_PER_MICRO = 1000;

    private final Metrics metrics;
    private final LatencyWindows latencies;
    private final RecentDecisions decisions;

    RequestLog(Metrics metrics, LatencyWindows latencies, RecentDecisions decisions) {
        this.metrics = metrics;
        this.latencies = latencies;
        this.decisions = decisions;
    }

    /** Records the outcome of a routed request; {@code nanos} is the time from its arrival to its outcome. */
    void completed(RoutingRequest request, RequestResult exchange, long nanos) {
        String workClass = request.workClass().name();
        metrics.recordRequest(workClass, exchange.outcome().label(), nanos);
        if (exchange.outcome() instanceof Outcome.Ran) {
            latencies.record(workClass, nanos);
        }
        String line = Events.line(
                "request-routed",
                "request",
                request.id(),
                "class",
                workClass,
                "outcome",
                exchange.outcome().label(),
                "worker",
                exchange.worker(),
                "zone",
                exchange.zone(),
                "reason",
                exchange.reason(),
                "status",
                exchange.response().status(),
                "micros",
                nanos / NANOS_PER_MICRO);
        Events.write("request-routed", line);
        decisions.add(request.id(), line);
    }

    /** Counts the result of creating a receipt: {@code made}, {@code repeated} or {@code refused}. */
    void receiptResult(String result) {
        metrics.recordReceipt(result);
    }

    /** Records a request that was refused before routing. */
    void refused(String workClass, String outcome) {
        metrics.recordRequest(workClass, outcome, 0);
    }
}
