package org.chestnutbarrow.daemon;

import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.routing.RoutingRequest;

/** Writes down what became of each interactive request: log line, metrics, explanation. Safe for use by several threads. */
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

    /** Records a request that was decided on; {@code nanos} is the time from its arrival to its outcome. */
    void decided(RoutingRequest request, RequestResult exchange, long nanos) {
        String workClass = request.workClass().name();
        metrics.request(workClass, exchange.outcome().label(), nanos);
        if (exchange.outcome() instanceof Outcome.Ran) {
            latencies.add(workClass, nanos);
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

    /** Counts what became of a receipt: {@code made}, {@code repeated} or {@code refused}. */
    void receipt(String result) {
        metrics.receipt(result);
    }

    /** Records a request that was refused before routing. */
    void refused(String workClass, String outcome) {
        metrics.request(workClass, outcome, 0);
    }
}
