package org.chestnutbarrow.daemon;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ObjLongConsumer;

/**
 * The metrics of one daemon. Safe for use by several threads. Label values are class names, outcomes and other
 * values from fixed sets, so the configuration bounds their number.
 */
final class Metrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int INITIAL_TEXT_BYTES = 16 * 1024;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("chestnutbarrow_requests_total")
            .help("Interactive requests by outcome")
            .labelNames("class", "outcome")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("chestnutbarrow_request_seconds")
            .help("Time from the arrival of an interactive request to its complete response")
            .labelNames("class")
            .classicUpperBounds(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
            .classicOnly()
            .register(registry);
    private final Counter retries = Counter.builder()
            .name("chestnutbarrow_request_retries_total")
            .help("Retries of interactive requests")
            .labelNames("class")
            .register(registry);
    private final Counter forwards = Counter.builder()
            .name("chestnutbarrow_request_forwards_total")
            .help("Interactive requests forwarded to a peer")
            .labelNames("class")
            .register(registry);
    private final Counter receipts = Counter.builder()
            .name("chestnutbarrow_receipts_total")
            .help("Receipts of non-idempotent requests by result: made, repeated or refused")
            .labelNames("result")
            .register(registry);
    private final Counter events = Counter.builder()
            .name("chestnutbarrow_events_total")
            .help("Events of the daemon's own work by kind")
            .labelNames("event")
            .register(registry);

    /** Counts a request and records its latency unless {@code nanos} is 0. */
    void recordRequest(String workClass, String outcome, long nanos) {
        requests.labelValues(workClass, outcome).inc();
        if (nanos > 0) {
            latency.labelValues(workClass).observe(nanos / NANOS_PER_SECOND);
        }
    }

    /** Counts a retry of a request. */
    void recordRetry(String workClass) {
        retries.labelValues(workClass).inc();
    }

    /** Counts a request forwarded to a peer. */
    void recordForward(String workClass) {
        forwards.labelValues(workClass).inc();
    }

    /** Counts a receipt by its result. */
    void recordReceipt(String result) {
        receipts.labelValues(result).inc();
    }

    /** Counts an event; the names come from a fixed set. */
    void recordEvent(String name) {
        events.labelValues(name).inc();
    }

    /** Registers a gauge that is read on each scrape. */
    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Registers a gauge with one label; {@code values} supplies each label value and its number on each scrape. */
    void gauges(String name, String help, String label, Consumer<ObjDoubleConsumer<String>> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.accept((labelValue, value) -> callback.call(value, labelValue)))
                .register(registry);
    }

    /** Registers a counter with one label; {@code values} supplies each label value and its count on each scrape. */
    void counters(String name, String help, String label, Consumer<ObjLongConsumer<String>> values) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.accept((labelValue, value) -> callback.call((double) value, labelValue)))
                .register(registry);
    }

    /** Registers a counter that is read on each scrape; its name ends in {@code _total}. */
    void counter(String name, String help, LongSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call((double) value.getAsLong()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_TEXT_BYTES);
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return out.toString(java.nio.charset.StandardCharsets.UTF_8);
    }
}
