package org.chestnutbarrow.daemon;

import java.util.function.BooleanSupplier;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/**
 * Sends HTTP requests to the part that answers them: {@code /v1/...} to the operators' and submitters' interface,
 * {@code /health}, {@code /ready} and {@code /metrics} to monitoring, everything else to the interactive classes. Safe
 * for use by several threads.
 */
final class HttpFront implements HttpHandler {
    private static final String ZONES = "/v1/zones/";
    private static final String CHANGES = "/v1/changes/";
    private static final String EXPLAIN = "/v1/explain/";

    private final RequestHandler requests;
    private final ConfigApi config;
    private final JobApi jobs;
    private final StatusApi status;
    private final Metrics metrics;
    private final BooleanSupplier ready;

    HttpFront(
            RequestHandler requests,
            ConfigApi config,
            JobApi jobs,
            StatusApi status,
            Metrics metrics,
            BooleanSupplier ready) {
        this.requests = requests;
        this.config = config;
        this.jobs = jobs;
        this.status = status;
        this.metrics = metrics;
        this.ready = ready;
    }

    @Override
    public HttpResponse handle(HttpRequest request) throws Exception {
        String path = request.path();
        return switch (path) {
            case "/health" -> HttpResponse.text(200, "ok\n");
            case "/ready" -> ready.getAsBoolean() ? HttpResponse.text(200, "ready\n") : HttpResponse.text(503, "no\n");
            case "/metrics" -> metrics();
            default -> path.startsWith("/v1/") ? api(path, request) : requests.handle(request);
        };
    }

    private HttpResponse metrics() {
        HttpResponse text = HttpResponse.text(200, metrics.text());
        return text.with("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
    }

    private HttpResponse api(String path, HttpRequest request) throws InterruptedException {
        boolean post = request.method().equals("POST");
        if (path.equals("/v1/configuration")) {
            return post ? config.apply(request) : config.get();
        }
        if (path.startsWith(ZONES) && post) {
            return config.zone(path.substring(ZONES.length()), request);
        }
        if (path.startsWith(CHANGES)) {
            return config.change(path.substring(CHANGES.length()));
        }
        if (path.equals("/v1/jobs")) {
            return post ? jobs.submit(request) : jobs.list();
        }
        if (path.equals("/v1/jobs/cancel") && post) {
            return jobs.cancel(request);
        }
        if (path.equals("/v1/status")) {
            return status.status();
        }
        if (path.startsWith(EXPLAIN)) {
            return status.explain(path.substring(EXPLAIN.length()));
        }
        return Answers.refused(404, "not-applied", "no such path; see docs/OPERATIONS.md for the interface");
    }
}
