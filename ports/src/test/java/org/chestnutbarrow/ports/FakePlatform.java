package org.chestnutbarrow.ports;

import java.time.Duration;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;

/** Fake server that records requests and returns the same configured response to each, or none. */
final class FakePlatform implements AutoCloseable {
    private final Deque<HttpRequest> requests = new ConcurrentLinkedDeque<>();
    private final HttpServer server;
    private volatile HttpResponse response = HttpResponse.json(200, "{}");
    private volatile boolean dropping;

    FakePlatform() throws Exception {
        HttpLimits limits = new HttpLimits(16_384, 2_000_000, 100, Duration.ofSeconds(60), Duration.ofSeconds(60));
        server = HttpServer.start(Address.parse("127.0.0.1:0"), limits, this::handle);
    }

    Address address() {
        return server.address();
    }

    void respondWith(int status, String json) {
        response = HttpResponse.json(status, json);
    }

    /** Makes the server accept requests without responding. */
    void dropResponses() {
        dropping = true;
    }

    HttpRequest lastRequest() {
        return requests.peekLast();
    }

    int requestCount() {
        return requests.size();
    }

    private HttpResponse handle(HttpRequest request) throws InterruptedException {
        requests.add(request);
        if (dropping) {
            Thread.sleep(Duration.ofMinutes(5));
        }
        return response;
    }

    @Override
    public void close() {
        server.close();
    }
}
