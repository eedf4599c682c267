package org.chestnutbarrow.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the connection discipline of the client: whole answers only, to their own request only, sent once. */
public final class HttpClientTest {
    private static final int MAX_BODY = 1000;
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration SHORT = Duration.ofMillis(200);

    private HttpClient client;

    @BeforeMethod
    void open() {
        client = new HttpClient(MAX_BODY);
    }

    @AfterMethod
    void close() {
        client.close();
    }

    /** Shows that the other tests do not pass merely because no connection is ever used again. */
    @Test
    void reusesConnectionAfterWholeAnswer() throws Exception {
        try (RawServer server = new RawServer((peer, _) -> {
            while (peer.request()) {
                peer.ok("ok");
            }
        })) {
            for (int i = 0; i < 5; i++) {
                assertEquals(get(server, LONG).text(), "ok");
            }
            assertEquals(server.connections(), 1);
        }
    }

    /** Guards against a late answer being taken for the answer to the next request. */
    @Test
    void lateAnswerReachesNobody() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        try (RawServer server = new RawServer((peer, connection) -> {
            peer.request();
            if (connection == 1) {
                late.await();
                peer.ok("late");
            }
            peer.ok("own");
        })) {
            assertThrows(OutcomeUnknownException.class, () -> get(server, SHORT));
            late.countDown();
            assertEquals(get(server, LONG).text(), "own");
            assertEquals(server.connections(), 2);
        }
    }

    /** Guards against answers that are given up although their bytes keep coming over a slow link. */
    @Test
    void answerThatKeepsComingIsNotSilent() throws Exception {
        try (RawServer server = new RawServer((peer, _) -> {
            peer.request();
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
            for (int i = 0; i < 20; i++) {
                Thread.sleep(SHORT.dividedBy(4));
                peer.send("x");
            }
        })) {
            assertEquals(get(server, new Timeouts(LONG, Duration.ZERO, SHORT)).text(), "x".repeat(20));
        }
    }

    @DataProvider
    Object[][] silentAfter() {
        return new Object[][] {
            {""},
            {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"}
        };
    }

    /** Guards against a wait for the total time on a connection that has fallen silent. */
    @Test(dataProvider = "silentAfter")
    void silenceEndsTheExchange(String start) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (RawServer server = new RawServer((peer, _) -> {
            peer.request();
            peer.send(start);
            end.await();
        })) {
            long begin = System.nanoTime();
            assertThrows(OutcomeUnknownException.class, () -> get(server, new Timeouts(LONG, Duration.ZERO, SHORT)));
            Duration waited = Duration.ofNanos(System.nanoTime() - begin);
            assertTrue(waited.compareTo(SHORT.multipliedBy(10)) < 0, "the client waited for " + waited);
            end.countDown();
        }
    }

    /** Guards against a held request that is taken for a silent one. */
    @Test
    void heldAnswerIsNotSilent() throws Exception {
        try (RawServer server = new RawServer((peer, _) -> {
            peer.request();
            Thread.sleep(SHORT.multipliedBy(3));
            peer.ok("held");
        })) {
            assertEquals(
                    get(server, new Timeouts(LONG, SHORT.multipliedBy(3), SHORT))
                            .text(),
                    "held");
        }
    }

    @DataProvider
    Object[][] brokenAnswers() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
            {"HTTP/1.1 200 OK\r\nContent-Le"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
            {"HTTP/1.1 200 OK\r\n\r\nends with the connection"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalfx"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + "x".repeat(MAX_BODY + 1)},
            {"HTTP/1.1 200 OK\r\nLong: " + "x".repeat(70_000) + "\r\nContent-Length: 0\r\n\r\n"},
            {"HTTP/1.1 100 Continue\r\n\r\n"},
            {"no HTTP at all\r\n\r\n"},
            {""},
        };
    }

    /** Guards against a truncated, unframed, oversized or malformed answer being passed on as complete. */
    @Test(dataProvider = "brokenAnswers")
    void brokenAnswerIsUnknown(String answer) throws Exception {
        try (RawServer server = new RawServer((peer, _) -> {
            peer.request();
            peer.send(answer);
        })) {
            assertThrows(OutcomeUnknownException.class, () -> get(server, LONG));
            assertEquals(server.requests(), 1, "the request is never repeated");
        }
    }

    /** Guards against a second answer to one request being taken for the answer to the next one. */
    @Test
    void duplicatedAnswerClosesConnection() throws Exception {
        try (RawServer server = new RawServer((peer, connection) -> {
            while (peer.request()) {
                String answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + connection;
                peer.send(answer + answer);
            }
        })) {
            for (int i = 1; i <= 3; i++) {
                assertEquals(get(server, LONG).text(), Integer.toString(i));
            }
        }
    }

    /** Guards against reuse of a connection whose server announced its end. */
    @Test
    void announcedCloseIsObeyed() throws Exception {
        try (RawServer server = new RawServer((peer, connection) -> {
            peer.request();
            peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n" + connection);
            peer.request();
        })) {
            assertEquals(get(server, LONG).text(), "1");
            assertEquals(get(server, LONG).text(), "2");
        }
    }

    /** Guards against reporting as unknown, or sending, what a closed gate stopped before the first byte. */
    @Test
    void closedGateStopsRequestBeforeFirstByte() throws Exception {
        try (RawServer server = new RawServer((peer, _) -> {
            while (peer.request()) {
                peer.ok("ok");
            }
        })) {
            SendGate shut = () -> {
                throw new NotRunException("lease has gone", "claim it again");
            };
            assertThrows(NotRunException.class, () -> client.send(server.address(), HttpRequest.get("/"), LONG, shut));
            assertEquals(get(server, LONG).text(), "ok");
            assertEquals(server.requests(), 1);
        }
    }

    /** Guards against header injection, and against an outcome of unknown when nothing was written. */
    @Test
    void malformedRequestIsNotSent() throws Exception {
        try (RawServer server = new RawServer((peer, _) -> peer.request())) {
            HttpRequest header = new HttpRequest("GET", "/", Headers.of("A", "b\r\nC: d"), new byte[0]);
            HttpRequest target = HttpRequest.get("/ HTTP/1.1\r\nInjected: 1\r\n\r\nGET /");
            assertThrows(NotRunException.class, () -> client.send(server.address(), header, LONG));
            assertThrows(NotRunException.class, () -> client.send(server.address(), target, LONG));
            assertEquals(server.requests(), 0);
        }
    }

    /** Guards against unknown outcomes for an endpoint that is down, which would forbid a retry. */
    @Test
    void refusedConnectionIsNotRun() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0)) {
            port = unused.getLocalPort();
        }
        Address nobody = new Address("127.0.0.1", port);
        assertThrows(NotRunException.class, () -> client.send(nobody, HttpRequest.get("/"), LONG));
    }

    /** Guards against an unchecked exception from a client that is shut down while others still use it. */
    @Test
    void closedClientDoesNotSend() throws Exception {
        try (RawServer server = new RawServer((peer, _) -> peer.request())) {
            client.close();
            assertThrows(NotRunException.class, () -> get(server, LONG));
            assertEquals(server.requests(), 0);
        }
    }

    private HttpResponse get(RawServer server, Timeouts timeouts) throws NotRunException, OutcomeUnknownException {
        return client.send(server.address(), HttpRequest.get("/"), timeouts);
    }

    private HttpResponse get(RawServer server, Duration timeout) throws NotRunException, OutcomeUnknownException {
        return client.send(server.address(), HttpRequest.get("/"), timeout);
    }
}
