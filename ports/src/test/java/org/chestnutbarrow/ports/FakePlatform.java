package org.chestnutbarrow.ports;

import java.time.Duration;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;

/** Records requests and gives one prepared answer to all of them, or none. */
final class FakePlatform implements AutoCloseable {
    private final Deque<HttpRequest> requests = new ConcurrentLinkedDeque<>();
    private final HttpServer server;
    private volatile HttpResponse answer = HttpResponse.json(200, "{}");
    private volatile boolean silent;

    FakePlatform() throws Exception {
        HttpLimits limits = new HttpLimits(16_384, 2_000_000, 100, Duration.ofSeconds(60), Duration.ofSeconds(60));
        server = HttpServer.start(Address.parse("127.0.0.1:0"), limits, this::handle);
    }

    Address address() {
        return server.address();
    }

    void answer(int status, String json) {
        answer = HttpResponse.json(status, json);
    }

    /** Requests take effect but their answers never come. */
    void loseAnswers() {
        silent = true;
    }

    HttpRequest last() {
        return requests.peekLast();
    }

    int requests() {
        return requests.size();
    }

    private HttpResponse handle(HttpRequest request) throws InterruptedException {
        requests.add(request);
        if (silent) {
            Thread.sleep(Duration.ofMinutes(5));
        }
        return answer;
    }

    @Override
    public void close() {
        server.close();
    }
}
