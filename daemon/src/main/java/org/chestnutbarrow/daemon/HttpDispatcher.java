package org.chestnutbarrow.daemon;

import java.util.function.BooleanSupplier;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/**
 * Dispatches HTTP requests by path: {@code /v1/...} to the API for operators and job submitters, {@code /health},
 * {@code /ready} and {@code /metrics} to monitoring, and all other paths to the interactive classes. Safe for use by
 * several threads.
 */
final class HttpDispatcher implements HttpHandler {
    private static final String ZONES_PREFIX = "/v1/zones/";
    private static final String CHANGES_PREFIX = "/v1/changes/";
    private static final String EXPLAIN_PREFIX = "/v1/explain/";

    private final RequestFront requests;
    private final ConfigApi config;
    private final JobApi jobs;
    private final StatusApi status;
    private final Metrics metrics;
    private final BooleanSupplier ready;

    HttpDispatcher(
            RequestFront requests,
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
            default -> path.startsWith("/v1/") ? handleApi(path, request) : requests.handle(request);
        };
    }

    private HttpResponse metrics() {
        HttpResponse response = HttpResponse.text(200, metrics.text());
        return response.with("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
    }

    private HttpResponse handleApi(String path, HttpRequest request) throws InterruptedException {
        boolean post = request.method().equals("POST");
        if (path.equals("/v1/configuration")) {
            return post ? config.replaceDeclarations(request) : config.currentConfiguration();
        }
        if (path.startsWith(ZONES_PREFIX) && post) {
            return config.changeZoneState(path.substring(ZONES_PREFIX.length()), request);
        }
        if (path.startsWith(CHANGES_PREFIX)) {
            return config.changeResult(path.substring(CHANGES_PREFIX.length()));
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
        if (path.startsWith(EXPLAIN_PREFIX)) {
            return status.explain(path.substring(EXPLAIN_PREFIX.length()));
        }
        return ApiResponses.error(404, "not-applied", "no such path; see docs/OPERATIONS.md for the API");
    }
}
