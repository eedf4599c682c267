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

/** Answers with what a test sets, by method and the start of the path. */
final class FakeDaemon implements AutoCloseable {
    final List<HttpRequest> seen = new CopyOnWriteArrayList<>();
    private final Map<String, HttpResponse> answers = new ConcurrentHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean losesPosts;
    private final HttpServer server;

    FakeDaemon() throws InvalidInputException {
        server = HttpServer.start(Address.parse("127.0.0.1:0"), HttpLimits.DEFAULT, this::handle);
    }

    String address() {
        return server.address().toString();
    }

    FakeDaemon answering(String methodAndPath, int status, String json) {
        answers.put(methodAndPath, HttpResponse.json(status, json));
        return this;
    }

    /** Takes changes and never answers them. */
    FakeDaemon losingPosts() {
        losesPosts = true;
        return this;
    }

    long posts() {
        return seen.stream().filter(request -> request.method().equals("POST")).count();
    }

    private HttpResponse handle(HttpRequest request) throws InterruptedException {
        seen.add(request);
        if (losesPosts && request.method().equals("POST")) {
            closed.await();
        }
        String key = request.method() + " " + request.path();
        return answers.entrySet().stream()
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
