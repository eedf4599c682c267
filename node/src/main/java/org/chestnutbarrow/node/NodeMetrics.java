package org.chestnutbarrow.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Resources;

/** Prometheus metrics of one node. Safe for use by several threads; label values come from a fixed set. */
final class NodeMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLICORES_PER_CORE = 1000;
    /** Bounds the label values; further accounts have no time series. */
    private static final int MAX_ACCOUNTS = 100;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter submissions = Counter.builder()
            .name("chestnutbarrow_node_submissions_total")
            .help("Jobs handed in by outcome")
            .labelNames("receipt")
            .register(registry);
    private final Histogram submissionTime = Histogram.builder()
            .name("chestnutbarrow_node_submission_seconds")
            .help("Time from the arrival of a job to its outcome")
            .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
            .classicOnly()
            .register(registry);
    private final Counter runStarts = Counter.builder()
            .name("chestnutbarrow_node_task_starts_total")
            .help("Runs that were ordered")
            .register(registry);
    private final Counter runEnds = Counter.builder()
            .name("chestnutbarrow_node_task_ends_total")
            .help("Runs whose end was listed")
            .labelNames("how")
            .register(registry);
    private final Counter jobsEnded = Counter.builder()
            .name("chestnutbarrow_node_jobs_ended_total")
            .help("Jobs whose final state is stored")
            .labelNames("state")
            .register(registry);

    private final Counter jobsSetAside = Counter.builder()
            .name("chestnutbarrow_node_jobs_set_aside_total")
            .help("Jobs that this node does not place because of an unexpected error")
            .register(registry);

    private final Counter accessRefusals = Counter.builder()
            .name("chestnutbarrow_node_access_refusals_total")
            .help("Calls refused because of their API key or the rate of their account")
            .labelNames("reason")
            .register(registry);

    private final Counter threadFailures = Counter.builder()
            .name("chestnutbarrow_node_thread_failures_total")
            .help("Loops that were started again after an unexpected exception")
            .register(registry);

    private final Histogram orderWaits = Histogram.builder()
            .name("chestnutbarrow_node_order_wait_seconds")
            .help("Time from the storing of an order's progress to its first attempt")
            .classicUpperBounds(0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5)
            .classicOnly()
            .register(registry);
    private final Histogram holdDelays = Histogram.builder()
            .name("chestnutbarrow_node_hold_late_seconds")
            .help("Time from the end of a hold's wait to its answer or time-out")
            .classicUpperBounds(0.005, 0.025, 0.05, 0.1, 0.25, 0.5, 1)
            .classicOnly()
            .register(registry);

    private final Gauge unheldOrders = Gauge.builder()
            .name("chestnutbarrow_node_orders_unheld")
            .help("Starts whose outcome is unknown although no delivery is in progress, on the owner")
            .register(registry);
    private final Gauge missingJobs = Gauge.builder()
            .name("chestnutbarrow_node_jobs_missing")
            .help("Jobs that have not ended and are unknown to the owner's scheduler")
            .register(registry);

    /** Creates the metrics of a node without client accounts. */
    NodeMetrics(BooleanSupplier isOwner, Supplier<Duration> jobsAge) {
        this(isOwner, jobsAge, Map::of);
    }

    /**
     * Creates the metrics.
     *
     * @param isOwner whether this node owns the workers
     * @param jobsAge age of the node's copy of the jobs
     * @param accountUsage what the tasks of client accounts hold, if this node owns the workers
     */
    NodeMetrics(BooleanSupplier isOwner, Supplier<Duration> jobsAge, Supplier<Map<String, Resources>> accountUsage) {
        GaugeWithCallback.builder()
                .name("chestnutbarrow_node_account_cores")
                .help("Processor cores that the tasks of client accounts hold, on the owner")
                .labelNames("account")
                .callback(callback -> accountUsage.get().entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .limit(MAX_ACCOUNTS)
                        .forEach(entry ->
                                callback.call(entry.getValue().milliCores() / MILLICORES_PER_CORE, entry.getKey())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("chestnutbarrow_node_owner")
                .help("1 while this node owns the workers")
                .callback(callback -> callback.call(isOwner.getAsBoolean() ? 1 : 0))
                .register(registry);
        GaugeWithCallback.builder()
                .name("chestnutbarrow_node_jobs_age_seconds")
                .help("Time since the jobs were read to their end")
                .callback(callback -> callback.call(jobsAge.get().toNanos() / NANOS_PER_SECOND))
                .register(registry);
        CounterWithCallback.builder()
                .name("chestnutbarrow_node_log_lines_total")
                .help("Events by name")
                .labelNames("event")
                .callback(callback -> Events.counts((event, count) -> callback.call((double) count, event)))
                .register(registry);
    }

    void recordSubmission(JobService.Receipt receipt, Duration duration) {
        submissions.labelValues(receipt.name()).inc();
        submissionTime.observe(duration.toNanos() / NANOS_PER_SECOND);
    }

    void jobSetAside() {
        jobsSetAside.inc();
    }

    /** Records the results of the last audit of the owner's state. */
    void stateAudited(int ordersUnheld, int jobsMissing) {
        unheldOrders.set(ordersUnheld);
        missingJobs.set(jobsMissing);
    }

    /** Counts a call that was refused because of its API key or the rate of its account. */
    void accessRefused(String reason) {
        accessRefusals.labelValues(reason).inc();
    }

    void threadFailed() {
        threadFailures.inc();
    }

    void runStarted() {
        runStarts.inc();
    }

    void recordOrderWait(Duration wait) {
        orderWaits.observe(wait.toNanos() / NANOS_PER_SECOND);
    }

    void recordHoldDelay(Duration delay) {
        holdDelays.observe(delay.toNanos() / NANOS_PER_SECOND);
    }

    void runEnded(WorkerReport.EndKind kind) {
        runEnds.labelValues(kind.name()).inc();
    }

    void jobEnded(JobState state) {
        jobsEnded.labelValues(state.name()).inc();
    }

    /** Returns all metrics in the Prometheus text format. */
    String toText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode the metrics", e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
