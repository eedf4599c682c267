package org.chestnutbarrow.cli;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;

/** An HTTP server that returns preset responses by request method and path prefix. Thread-safe. */
final class FakeDaemon implements AutoCloseable {
    final List<HttpRequest> requests = new CopyOnWriteArrayList<>();
    private final Map<String, HttpResponse> responses = new ConcurrentHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean dropsPosts;
    private final HttpServer server;

    FakeDaemon() throws InvalidInputException {
        server = HttpServer.start(Address.parse("127.0.0.1:0"), HttpLimits.DEFAULT, this::handle);
    }

    String address() {
        return server.address().toString();
    }

    FakeDaemon respondingWith(String methodAndPath, int status, String json) {
        responses.put(methodAndPath, HttpResponse.json(status, json));
        return this;
    }

    /** Makes the daemon accept POST requests without ever responding to them. */
    FakeDaemon droppingPosts() {
        dropsPosts = true;
        return this;
    }

    long postCount() {
        return requests.stream()
                .filter(request -> request.method().equals("POST"))
                .count();
    }

    private HttpResponse handle(HttpRequest request) throws InterruptedException {
        requests.add(request);
        if (dropsPosts && request.method().equals("POST")) {
            closed.await();
        }
        String key = request.method() + " " + request.path();
        return responses.entrySet().stream()
                .filter(entry -> key.startsWith(entry.getKey()))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(HttpResponse.json(404, "{\"result\":\"not-applied\",\"message\":\"no such path\"}"));
    }

    @Override
    public void close() {
        closed.countDown();
        server.close();
    }
}
