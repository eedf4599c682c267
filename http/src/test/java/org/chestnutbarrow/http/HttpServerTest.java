package org.chestnutbarrow.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.Address;
import org.testng.annotations.Test;

/** Tests the limits of the server and the completion of requests in flight. */
public final class HttpServerTest {
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;
    private static final HttpLimits LIMITS =
            new HttpLimits(1000, 1000, 3, Duration.ofSeconds(20), Duration.ofSeconds(20));
    private static final int BACKLOG_CONNECTIONS = 40;
    private static final int DRAIN_ROUNDS = 20;
    /** A listener that is closed while it is registered with a selector accepts a connection in a tenth of the rounds. */
    private static final int CLOSE_ROUNDS = 200;

    private static final String GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    /** Guards against excessive memory use by large bodies and headers. */
    @Test
    void rejectsLargeRequests() throws Exception {
        AtomicInteger handled = new AtomicInteger();
        try (HttpServer server = start(LIMITS, request -> HttpResponse.text(200, "n" + handled.incrementAndGet()))) {
            String large = "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + "x".repeat(1001);
            assertStatus(exchange(server, large), 413);
            assertStatus(exchange(server, "GET / HTTP/1.1\r\nA: " + "x".repeat(1100) + "\r\n\r\n"), 400);
            assertEquals(handled.get(), 0);
            assertStatus(exchange(server, GET), 200);
        }
    }

    /** Guards against clients that occupy connections by sending one byte at a time. */
    @Test
    void closesConnectionOfSlowSender() throws Exception {
        HttpLimits shortReceiveTimeout = new HttpLimits(1000, 1000, 3, Duration.ofMillis(300), Duration.ofSeconds(20));
        try (HttpServer server = start(shortReceiveTimeout, request -> HttpResponse.text(200, "ok"));
                Socket socket = open(server)) {
            Thread.ofVirtual().start(() -> sendSlowly(socket));
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    /** Guards against exceeding the connection limit, and against closed connections that still count towards it. */
    @Test
    void limitsConnections() throws Exception {
        try (HttpServer server = start(LIMITS, request -> HttpResponse.text(200, "ok"))) {
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < LIMITS.maxConnections(); i++) {
                Socket socket = open(server);
                open.add(socket);
                assertStatus(exchange(socket, GET), 200);
            }
            assertEquals(exchange(server, GET), "");
            open.getFirst().close();
            String response = exchange(server, GET);
            while (response.isEmpty()) {
                response = exchange(server, GET);
            }
            assertStatus(response, 200);
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** Guards against a shutdown that aborts a request that is being handled or still being received. */
    @Test
    void drainCompletesRequestsInFlight() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (HttpServer server = start(LIMITS, request -> {
                    started.countDown();
                    release.await();
                    return HttpResponse.text(200, "x".repeat(500_000));
                });
                Socket processing = open(server);
                Socket receiving = open(server);
                Socket idle = open(server)) {
            // The interim response shows that the server has read the start of the request.
            assertStatus(
                    exchange(receiving, "POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"), 100);
            send(processing, GET);
            started.await();
            server.drain();
            assertEquals(idle.getInputStream().read(), -1);
            release.countDown();
            assertCompleteResponse(processing);
            send(receiving, "12");
            assertCompleteResponse(receiving);
            // The request is counted as ended before its connection is closed.
            assertEquals(processing.getInputStream().read(), -1);
            assertEquals(receiving.getInputStream().read(), -1);
            assertEquals(server.inFlight(), 0);
        }
    }

    /** Guards against losing a request because the server closes a persistent connection before reading it. */
    @Test
    void drainHandlesRequestInTransit() throws Exception {
        try (HttpServer server = start(LIMITS, request -> HttpResponse.text(200, "ok"));
                Socket connection = open(server)) {
            assertStatus(exchange(connection, GET), 200);
            assertEquals(connection.getInputStream().readNBytes(2).length, 2);
            server.drain();
            assertTrue(server.inFlight() > 0, "the open connection must count as in flight");
            assertStatus(exchange(connection, GET), 200);
            assertEquals(connection.getInputStream().readAllBytes().length, 2);
        }
    }

    /** Guards against a request without a response that was sent while the server closes its idle connection. */
    @Test
    void requestThatCrossesTheCloseGetsTheLastResponse() throws Exception {
        AtomicInteger handled = new AtomicInteger();
        try (HttpServer server = start(LIMITS, request -> {
                    handled.incrementAndGet();
                    return HttpResponse.text(200, "ok");
                });
                Socket connection = open(server)) {
            assertStatus(exchange(connection, GET), 200);
            assertEquals(connection.getInputStream().readNBytes(2).length, 2);
            server.drain(HttpResponse.text(408, "closing"));
            // The response is on its way when the request is written, as if both crossed.
            connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            int first = connection.getInputStream().read();
            assertEquals(first, 'H');
            send(connection, GET);
            String rest = new String(connection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertStatus("H" + rest, 408);
            assertTrue(rest.endsWith("closing"), rest);
            assertEquals(handled.get(), 1);
            assertTrue(server.inFlight() > 0, "the connection must count as in flight until the client closes it");
        }
    }

    /** Guards against losing a request on a connection that was established, but not accepted, when draining starts. */
    @Test
    void drainHandlesRequestsOfBacklog() throws Exception {
        HttpLimits limits =
                new HttpLimits(1000, 1000, BACKLOG_CONNECTIONS, Duration.ofSeconds(20), Duration.ofSeconds(20));
        int answered = 0;
        for (int round = 0; round < DRAIN_ROUNDS; round++) {
            try (HttpServer server = start(limits, request -> HttpResponse.text(200, "ok"))) {
                List<Socket> sockets = new ArrayList<>();
                for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
                    Socket socket = open(server);
                    sockets.add(socket);
                    send(socket, GET);
                }
                server.drain();
                for (Socket socket : sockets) {
                    answered += readHeadOrEmpty(socket).startsWith("HTTP/1.1 200") ? 1 : 0;
                    socket.close();
                }
            }
        }
        assertEquals(answered, DRAIN_ROUNDS * BACKLOG_CONNECTIONS);
    }

    /** Guards against a closed server that still accepts connections, whose requests get no response. */
    @Test
    void closedServerAcceptsNoConnection() throws Exception {
        int accepted = 0;
        for (int round = 0; round < CLOSE_ROUNDS; round++) {
            HttpServer server = start(LIMITS, request -> HttpResponse.text(200, "ok"));
            int port = server.address().port();
            if (round % 2 == 0) {
                server.close();
                accepted += connects(port) ? 1 : 0;
            } else {
                server.drain();
                accepted += connects(port) ? 1 : 0;
                server.close();
            }
        }
        assertEquals(accepted, 0);
    }

    /** Guards against losing requests on persistent connections that the server closes at shutdown. */
    @Test
    void disabledKeepAliveClosesConnectionAfterResponse() throws Exception {
        try (HttpServer server = start(LIMITS, request -> HttpResponse.text(200, "ok"));
                Socket connection = open(server)) {
            assertStatus(exchange(connection, GET), 200);
            server.disableKeepAlive();
            send(connection, GET);
            String last = new String(connection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(last.toLowerCase(Locale.ROOT).contains("connection: close"), last);
            assertStatus(exchange(server, GET), 200);
        }
    }

    /** Guards against responding to a pipelined request before the preceding request. */
    @Test
    void pipelinedRequestIsDiscarded() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger handled = new AtomicInteger();
        try (HttpServer server = start(LIMITS, request -> {
                    handled.incrementAndGet();
                    release.await();
                    return HttpResponse.text(200, "first");
                });
                Socket socket = open(server)) {
            send(socket, GET + GET);
            Thread.ofVirtual().start(release::countDown);
            assertStatus(ScriptedServer.readHead(socket.getInputStream()), 200);
            String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(rest, "first");
            assertEquals(handled.get(), 1);
        }
    }

    /** Guards against requests without a response, which would also prevent draining from completing. */
    @Test
    void handlerFailureResultsInStatus500() throws Exception {
        HttpHandler faulty = request -> switch (request.path()) {
            case "/null" -> null;
            case "/error" -> throw new LinkageError("broken class");
            default -> new HttpResponse(200, Headers.of("A", "b\r\nC: d"), new byte[0]);
        };
        try (HttpServer server = start(LIMITS, faulty)) {
            for (String path : List.of("/null", "/error", "/header")) {
                try (Socket socket = open(server)) {
                    assertStatus(exchange(socket, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n"), 500);
                    socket.getInputStream().readAllBytes();
                }
            }
            assertEquals(server.inFlight(), 0);
        }
    }

    private static HttpServer start(HttpLimits limits, HttpHandler handler) throws Exception {
        return HttpServer.start(Address.parse("127.0.0.1:0"), limits, handler);
    }

    private static Socket open(HttpServer server) throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().port());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String exchange(HttpServer server, String request) throws IOException {
        try (Socket socket = open(server)) {
            return exchange(socket, request);
        }
    }

    /** Returns the head of the response, or an empty string if the server closed the connection. */
    private static String exchange(Socket socket, String request) {
        try {
            send(socket, request);
        } catch (IOException e) {
            return "";
        }
        return readHeadOrEmpty(socket);
    }

    private static String readHeadOrEmpty(Socket socket) {
        try {
            return ScriptedServer.readHead(socket.getInputStream());
        } catch (IOException e) {
            return "";
        }
    }

    private static boolean connects(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            // Without a listener a socket whose own port is the destination connects to itself.
            return socket.getLocalPort() != port;
        } catch (IOException e) {
            return false;
        }
    }

    private static void sendSlowly(Socket socket) {
        try {
            for (int i = 0; i < SOCKET_TIMEOUT_MILLIS; i++) {
                send(socket, "G");
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException e) {
            // The server closed the connection, which the test asserts on its own side.
        }
    }

    private static void assertStatus(String head, int status) {
        assertTrue(head.startsWith("HTTP/1.1 " + status), head);
    }

    private static void assertCompleteResponse(Socket socket) throws IOException {
        String head = ScriptedServer.readHead(socket.getInputStream());
        assertStatus(head, 200);
        assertTrue(head.toLowerCase(Locale.ROOT).contains("connection: close"), head);
        assertEquals(socket.getInputStream().readNBytes(500_000).length, 500_000);
    }
}
