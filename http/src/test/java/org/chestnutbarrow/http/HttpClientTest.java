package org.chestnutbarrow.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the client accepts complete responses only, matches them to requests and sends each request once. */
public final class HttpClientTest {
    private static final int MAX_BODY_BYTES = 1000;
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private HttpClient client;

    @BeforeMethod
    void open() {
        client = new HttpClient(MAX_BODY_BYTES);
    }

    @AfterMethod
    void close() {
        client.close();
    }

    /** Control case for the other tests, which would also pass if connections were never reused. */
    @Test
    void reusesConnectionAfterCompleteResponse() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> {
            while (connection.readRequest()) {
                connection.sendOk("ok");
            }
        })) {
            for (int i = 0; i < 5; i++) {
                assertEquals(get(server, LONG_TIMEOUT).text(), "ok");
            }
            assertEquals(server.connectionCount(), 1);
        }
    }

    /** Guards against a late response that is taken for the response to the next request. */
    @Test
    void lateResponseIsDiscarded() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((connection, number) -> {
            connection.readRequest();
            if (number == 1) {
                late.await();
                connection.sendOk("late");
            }
            connection.sendOk("own");
        })) {
            assertThrows(OutcomeUnknownException.class, () -> get(server, SHORT_TIMEOUT));
            late.countDown();
            assertEquals(get(server, LONG_TIMEOUT).text(), "own");
            assertEquals(server.connectionCount(), 2);
        }
    }

    /** Guards against an idle timeout while bytes still arrive over a slow link. */
    @Test
    void slowResponseDoesNotTimeOut() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
            for (int i = 0; i < 20; i++) {
                Thread.sleep(SHORT_TIMEOUT.dividedBy(4));
                connection.send("x");
            }
        })) {
            assertEquals(
                    get(server, new ExchangeTimeouts(LONG_TIMEOUT, Duration.ZERO, SHORT_TIMEOUT))
                            .text(),
                    "x".repeat(20));
        }
    }

    @DataProvider
    Object[][] partialResponses() {
        return new Object[][] {
            {""},
            {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"}
        };
    }

    /** Guards against waiting for the total timeout on a connection that has become idle. */
    @Test(dataProvider = "partialResponses")
    void idleConnectionTimesOut(String start) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((connection, _) -> {
            connection.readRequest();
            connection.send(start);
            end.await();
        })) {
            long begin = System.nanoTime();
            assertThrows(
                    OutcomeUnknownException.class,
                    () -> get(server, new ExchangeTimeouts(LONG_TIMEOUT, Duration.ZERO, SHORT_TIMEOUT)));
            Duration waited = Duration.ofNanos(System.nanoTime() - begin);
            assertTrue(waited.compareTo(SHORT_TIMEOUT.multipliedBy(10)) < 0, "the client waited for " + waited);
            end.countDown();
        }
    }

    /** Guards against giving up a response that has arrived because the client itself was delayed. */
    @Test
    void delayedClientReceivesResponseThatHasArrived() throws Exception {
        CountDownLatch requestArrived = new CountDownLatch(1);
        CountDownLatch eventLoopsDelayed = new CountDownLatch(2);
        // Leaves time to delay both event loops on a busy machine.
        Duration idle = SHORT_TIMEOUT.multipliedBy(5);
        SendPrecondition delay = () -> {
            eventLoopsDelayed.countDown();
            sleep(idle.multipliedBy(2));
        };
        try (ScriptedServer server = new ScriptedServer((connection, number) -> {
                    connection.readRequest();
                    if (number == 1) {
                        requestArrived.countDown();
                        eventLoopsDelayed.await();
                    }
                    connection.sendOk("ok");
                });
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<HttpResponse> response =
                    callers.submit(() -> get(server, new ExchangeTimeouts(LONG_TIMEOUT, Duration.ZERO, idle)));
            requestArrived.await();
            for (int i = 0; i < 2; i++) {
                callers.submit(() -> client.send(server.address(), HttpRequest.get("/"), LONG_TIMEOUT, delay));
            }
            assertEquals(response.get().text(), "ok");
        }
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against an idle timeout during the permitted response delay. */
    @Test
    void delayedResponseDoesNotTimeOut() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> {
            connection.readRequest();
            Thread.sleep(SHORT_TIMEOUT.multipliedBy(3));
            connection.sendOk("held");
        })) {
            assertEquals(
                    get(server, new ExchangeTimeouts(LONG_TIMEOUT, SHORT_TIMEOUT.multipliedBy(3), SHORT_TIMEOUT))
                            .text(),
                    "held");
        }
    }

    @DataProvider
    Object[][] invalidResponses() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
            {"HTTP/1.1 200 OK\r\nContent-Le"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
            {"HTTP/1.1 200 OK\r\n\r\nends with the connection"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalfx"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + "x".repeat(MAX_BODY_BYTES + 1)},
            {"HTTP/1.1 200 OK\r\nLong: " + "x".repeat(70_000) + "\r\nContent-Length: 0\r\n\r\n"},
            {"HTTP/1.1 100 Continue\r\n\r\n"},
            {"no HTTP at all\r\n\r\n"},
            {""},
        };
    }

    /** Guards against returning a truncated, undelimited, oversized or malformed response as complete. */
    @Test(dataProvider = "invalidResponses")
    void invalidResponseLeavesOutcomeUnknown(String response) throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> {
            connection.readRequest();
            connection.send(response);
        })) {
            assertThrows(OutcomeUnknownException.class, () -> get(server, LONG_TIMEOUT));
            assertEquals(server.requestCount(), 1, "the request must not be repeated");
        }
    }

    /** Guards against a duplicate response that is taken for the response to the next request. */
    @Test
    void duplicateResponseClosesConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, number) -> {
            while (connection.readRequest()) {
                String response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + number;
                connection.send(response + response);
            }
        })) {
            for (int i = 1; i <= 3; i++) {
                assertEquals(get(server, LONG_TIMEOUT).text(), Integer.toString(i));
            }
        }
    }

    /** Guards against reusing a connection after a response with {@code Connection: close}. */
    @Test
    void connectionCloseIsHonoured() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, number) -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n" + number);
            connection.readRequest();
        })) {
            assertEquals(get(server, LONG_TIMEOUT).text(), "1");
            assertEquals(get(server, LONG_TIMEOUT).text(), "2");
        }
    }

    /** Guards against sending, or reporting as unknown, a request whose precondition failed. */
    @Test
    void failedPreconditionPreventsSending() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> {
            while (connection.readRequest()) {
                connection.sendOk("ok");
            }
        })) {
            SendPrecondition failing = () -> {
                throw new NotRunException("lease expired", "acquire the lease again");
            };
            assertThrows(
                    NotRunException.class,
                    () -> client.send(server.address(), HttpRequest.get("/"), LONG_TIMEOUT, failing));
            assertEquals(get(server, LONG_TIMEOUT).text(), "ok");
            assertEquals(server.requestCount(), 1);
        }
    }

    /** Guards against header injection, and against an unknown outcome although nothing was written. */
    @Test
    void malformedRequestIsNotSent() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> connection.readRequest())) {
            HttpRequest header = new HttpRequest("GET", "/", Headers.of("A", "b\r\nC: d"), new byte[0]);
            HttpRequest target = HttpRequest.get("/ HTTP/1.1\r\nInjected: 1\r\n\r\nGET /");
            assertThrows(NotRunException.class, () -> client.send(server.address(), header, LONG_TIMEOUT));
            assertThrows(NotRunException.class, () -> client.send(server.address(), target, LONG_TIMEOUT));
            assertEquals(server.requestCount(), 0);
        }
    }

    /** Guards against an unknown outcome, which would prevent retries, for an endpoint that is down. */
    @Test
    void refusedConnectionIsReportedAsNotRun() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0)) {
            port = unused.getLocalPort();
        }
        Address unreachable = new Address("127.0.0.1", port);
        assertThrows(NotRunException.class, () -> client.send(unreachable, HttpRequest.get("/"), LONG_TIMEOUT));
    }

    /** Guards against an unchecked exception from a client that is closed while in use. */
    @Test
    void closedClientDoesNotSend() throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, _) -> connection.readRequest())) {
            client.close();
            assertThrows(NotRunException.class, () -> get(server, LONG_TIMEOUT));
            assertEquals(server.requestCount(), 0);
        }
    }

    private HttpResponse get(ScriptedServer server, ExchangeTimeouts timeouts)
            throws NotRunException, OutcomeUnknownException {
        return client.send(server.address(), HttpRequest.get("/"), timeouts);
    }

    private HttpResponse get(ScriptedServer server, Duration timeout) throws NotRunException, OutcomeUnknownException {
        return client.send(server.address(), HttpRequest.get("/"), timeout);
    }
}
