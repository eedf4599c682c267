package org.chestnutbarrow.daemon;

import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.membership.FreshnessGate;
import org.chestnutbarrow.membership.PeerRegistry;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.peer.NettyPeerLink;
import org.chestnutbarrow.routing.Router;

/** Registers metrics whose values other components keep and that are read on each scrape. Used by one thread. */
final class DaemonMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Metrics metrics;
    private final Catalog catalog;
    private final FreshnessGate gate;
    private final CapacityLedger ledger;
    private final PeerRegistry peerRegistry;
    private final Router router;

    DaemonMetrics(
            Metrics metrics,
            Catalog catalog,
            FreshnessGate gate,
            CapacityLedger ledger,
            PeerRegistry peerRegistry,
            Router router) {
        this.metrics = metrics;
        this.catalog = catalog;
        this.gate = gate;
        this.ledger = ledger;
        this.peerRegistry = peerRegistry;
        this.router = router;
    }

    /** Registers all metrics; must be called once. */
    void register(
            NettyPeerLink link,
            HttpClient platformClient,
            HttpClient endpointClient,
            LogWriter writer,
            LogRecords logRecords) {
        registerState();
        registerWaitingRequests();
        registerTraffic(link, platformClient, endpointClient);
        metrics.counter("chestnutbarrow_log_appends_total", "Records given to the log", writer::appends);
        metrics.counter("chestnutbarrow_log_append_bytes_total", "Bytes of these records", writer::appendedBytes);
        metrics.counter(
                "chestnutbarrow_log_records_unreadable_total",
                "Log records skipped because they cannot be read",
                logRecords::unreadable);
        metrics.counters("chestnutbarrow_log_lines_total", "Events logged by name", "event", Events::counts);
    }

    private void registerState() {
        metrics.gauge("chestnutbarrow_log_position", "Offset of the last log record applied", catalog::position);
        metrics.gauge(
                "chestnutbarrow_configuration_version",
                "Version of the configuration in force",
                () -> catalog.configuration().version());
        metrics.gauge(
                "chestnutbarrow_configuration_age_seconds",
                "Time since the configuration was known to be current",
                () -> gate.freshness().age().toNanos() / NANOS_PER_SECOND);
        metrics.gauge(
                "chestnutbarrow_workers_held",
                "Workers whose lease is held",
                () -> ledger.available().size());
        metrics.gauge(
                "chestnutbarrow_peers_alive",
                "Daemons heard within a second, this one included",
                () -> peerRegistry.alive().size());
    }

    /** The label values are the interactive classes in force, so their number is bounded by the configuration. */
    private void registerWaitingRequests() {
        metrics.gauges(
                "chestnutbarrow_requests_waiting", "Interactive requests that wait for a slot", "class", gauge -> {
                    for (WorkClass workClass :
                            catalog.configuration().declarations().classes().values()) {
                        if (workClass.interactive()) {
                            gauge.accept(workClass.name(), router.waitingRequests(workClass.name()));
                        }
                    }
                });
    }

    private void registerTraffic(NettyPeerLink link, HttpClient platformClient, HttpClient endpointClient) {
        metrics.counter("chestnutbarrow_peer_sent_bytes_total", "Bytes sent to peers", link::bytesSent);
        metrics.counter("chestnutbarrow_peer_received_bytes_total", "Bytes received from peers", link::bytesReceived);
        metrics.counter("chestnutbarrow_peer_sent_messages_total", "Frames sent to peers", link::framesSent);
        metrics.counter(
                "chestnutbarrow_peer_received_messages_total", "Frames received from peers", link::framesReceived);
        metrics.counter(
                "chestnutbarrow_peer_messages_dropped_total",
                "Messages not sent because the peer was not reached",
                link::messagesDropped);
        metrics.counter(
                "chestnutbarrow_platform_sent_bytes_total",
                "Bytes sent to log, host list and worker control",
                platformClient::bytesSent);
        metrics.counter(
                "chestnutbarrow_platform_received_bytes_total",
                "Bytes received from log, host list and worker control",
                platformClient::bytesReceived);
        metrics.counter(
                "chestnutbarrow_platform_requests_total",
                "Requests to log, host list and worker control",
                platformClient::requestCount);
        metrics.counter(
                "chestnutbarrow_endpoint_sent_bytes_total", "Bytes sent to endpoints", endpointClient::bytesSent);
        metrics.counter(
                "chestnutbarrow_endpoint_received_bytes_total",
                "Bytes received from endpoints",
                endpointClient::bytesReceived);
    }
}
