package org.chestnutbarrow.daemon;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * The metrics of one daemon. Safe for use by several threads. Label values are class names, outcomes and other words from
 * fixed sets, so their number is bounded by the configuration.
 */
final class Metrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int TEXT_BYTES = 16 * 1024;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("chestnutbarrow_requests_total")
            .help("Interactive requests by outcome")
            .labelNames("class", "outcome")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("chestnutbarrow_request_seconds")
            .help("Time from the arrival of an interactive request to its whole answer")
            .labelNames("class")
            .classicUpperBounds(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
            .classicOnly()
            .register(registry);
    private final Counter events = Counter.builder()
            .name("chestnutbarrow_events_total")
            .help("Events of the daemon's own work by kind")
            .labelNames("event")
            .register(registry);

    /** Counts a request and its time in nanoseconds. */
    void request(String workClass, String outcome, long nanos) {
        requests.labelValues(workClass, outcome).inc();
        if (nanos > 0) {
            latency.labelValues(workClass).observe(nanos / NANOS_PER_SECOND);
        }
    }

    /** Counts an event from a fixed set of names. */
    void event(String name) {
        events.labelValues(name).inc();
    }

    /** Adds a gauge that is read when metrics are fetched. */
    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** All metrics in the Prometheus text format. */
    String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(TEXT_BYTES);
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return out.toString(java.nio.charset.StandardCharsets.UTF_8);
    }
}
