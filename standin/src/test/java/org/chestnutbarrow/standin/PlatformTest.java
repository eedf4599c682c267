package org.chestnutbarrow.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests the simulated platform services over HTTP on loopback. */
public class PlatformTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Address ANY_PORT = Address.parse("127.0.0.1:0");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = new HttpClient(16 * 1024 * 1024);

    @AfterClass
    public void closeClient() {
        client.close();
    }

    private HttpResponse send(Address to, String method, String target, String body) throws Exception {
        return client.send(to, HttpRequest.json(method, target, body), TIMEOUT);
    }

    private JsonNode get(Address from, String target) throws Exception {
        return MAPPER.readTree(
                client.send(from, HttpRequest.get(target), TIMEOUT).body());
    }

    private void injectFault(Address server, String json) throws Exception {
        HttpResponse response = send(server, "POST", "/v1/faults", json);
        assertEquals(response.status(), 200, response.text());
    }

    private void await(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadline, "condition not met within the timeout");
            Thread.sleep(10);
        }
    }

    /** Lost responses must not lose the append, and reads must report the retention bound. */
    @Test
    public void logPreservesOrderAndAppliesRetentionAndFaults() throws Exception {
        try (StandinLog log = StandinLog.start(new StandinLog.Options(ANY_PORT, Duration.ofHours(1), 2));
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Address server = log.address();
            Future<JsonNode> longPoll = threads.submit(() -> get(server, "/v1/log?from=0&max=9&waitMs=20000"));
            assertEquals(send(server, "POST", "/v1/log?id=a", "A").text(), "{\"offset\":0}");
            assertEquals(longPoll.get().at("/records/0/data").binaryValue(), new byte[] {'A'});
            injectFault(server, "{\"fault\":\"lose-answers\",\"count\":1}");
            assertThrows(OutcomeUnknownException.class, () -> send(server, "POST", "/v1/log?id=b", "B"));
            assertEquals(send(server, "POST", "/v1/log?id=c", "C").text(), "{\"offset\":2}");
            JsonNode batch = get(server, "/v1/log?from=0&max=9&waitMs=0");
            assertEquals(batch.get("first").asInt(), 1);
            assertEquals(batch.get("next").asInt(), 3);
            assertEquals(batch.at("/records/0/data").binaryValue(), new byte[] {'B'});
            injectFault(server, "{\"fault\":\"outage\",\"on\":true}");
            assertEquals(send(server, "POST", "/v1/log?id=d", "D").status(), 503);
            injectFault(server, "{\"fault\":\"outage\",\"on\":false}");
            assertEquals(
                    get(server, "/v1/log?from=3&max=9&waitMs=1").get("next").asInt(), 3);
            assertEquals(
                    send(server, "POST", "/v1/faults", "{\"fault\":\"none\"}").status(), 400);
        }
    }

    /** Workers are spread over the zones; a crashed worker stays in the host list until its registration expires. */
    @Test
    public void workersRegisterAndExpireAfterCrash() throws Exception {
        StandinHosts.Options options = new StandinHosts.Options(ANY_PORT, Duration.ZERO, Duration.ofSeconds(3));
        try (StandinHosts hosts = StandinHosts.start(options);
                StandinWorkers workers =
                        StandinWorkers.start(StandinWorkers.Options.DEFAULT.withHosts(hosts.address()))) {
            await(() -> get(hosts.address(), "/v1/hosts").get("hosts").size() == 3);
            assertEquals(
                    get(hosts.address(), "/v1/hosts")
                            .at("/hosts/1/availabilityZone")
                            .asText(),
                    "az2");
            injectFault(workers.address(), "{\"fault\":\"leaving\",\"worker\":\"w0000\",\"on\":true}");
            await(() -> get(hosts.address(), "/v1/hosts")
                    .at("/hosts/0/state")
                    .asText()
                    .equals("LEAVING"));
            injectFault(workers.address(), "{\"fault\":\"crash\",\"worker\":\"w0001\"}");
            Address crashed = Address.parse(workers.hosts().get(1).control());
            expectThrows(NotRunException.class, () -> get(crashed, "/v1/usage"));
            await(() -> get(hosts.address(), "/v1/hosts").get("hosts").size() == 2);
            injectFault(workers.address(), "{\"fault\":\"restart\",\"worker\":\"w0001\"}");
            assertEquals(get(crashed, "/v1/usage").at("/requests/inFlight").asInt(), 0);
            injectFault(hosts.address(), "{\"fault\":\"freeze\",\"on\":true}");
            JsonNode frozen = get(hosts.address(), "/v1/hosts");
            for (JsonNode host : frozen.get("hosts")) {
                send(hosts.address(), "DELETE", "/v1/hosts/" + host.get("id").asText(), "{}");
            }
            assertEquals(get(hosts.address(), "/v1/hosts"), frozen);
        }
    }

    /** The endpoint runs no more requests than slots, rejects old epochs, and truncates responses only on faults. */
    @Test
    public void endpointLimitsConcurrentRequestsToItsSlots() throws Exception {
        StandinWorkers.Options options = new StandinWorkers.Options(
                ANY_PORT,
                Optional.empty(),
                "w",
                1,
                List.of("az1"),
                new Resources(2, 20, 4000, 1000, 0),
                new ServiceTimes(Map.of("fitting-check", Duration.ofMillis(20)), Duration.ZERO),
                Duration.ZERO,
                1);
        try (StandinWorkers workers = StandinWorkers.start(options);
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Address control = Address.parse(workers.hosts().getFirst().control());
            Address endpoint = Address.parse(workers.hosts().getFirst().endpoint());
            String lease = "{\"holder\":\"a\",\"epoch\":0,\"ttlMs\":60000}";
            injectFault(workers.address(), "{\"fault\":\"lose-answers\",\"worker\":\"w0000\",\"count\":1}");
            assertThrows(OutcomeUnknownException.class, () -> send(control, "POST", "/v1/lease", lease));
            JsonNode grant =
                    MAPPER.readTree(send(control, "POST", "/v1/lease", lease).body());
            assertEquals(
                    grant.get("epoch").asInt(),
                    2,
                    "both the command whose response was lost and its retry took effect");
            List<Future<HttpResponse>> sent = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                Headers headers = Headers.of("Chestnutbarrow-Epoch", "2").with("Chestnutbarrow-Request-Id", "r" + i);
                HttpRequest request = new HttpRequest("GET", "/fitting-check/x", headers, new byte[0]);
                sent.add(threads.submit(() -> client.send(endpoint, request, TIMEOUT)));
            }
            for (int i = 0; i < 10; i++) {
                HttpResponse response = sent.get(i).get();
                assertEquals(response.headers().first("Chestnutbarrow-Request-Id"), Optional.of("r" + i));
                assertEquals(MAPPER.readTree(response.body()).get("requestId").asText(), "r" + i);
            }
            int starts = 0;
            for (JsonNode event : get(control, "/v1/journal").get("events")) {
                starts += event.get("event").asText().equals("request-start") ? 1 : 0;
                assertTrue(event.at("/use/slots").asInt() <= 2);
            }
            assertEquals(starts, 10);
            HttpRequest staleRequest =
                    new HttpRequest("GET", "/x", Headers.of("Chestnutbarrow-Epoch", "0"), new byte[0]);
            assertEquals(client.send(endpoint, staleRequest, TIMEOUT).status(), 412);
            for (String part : List.of("HEADERS", "HALF_BODY")) {
                injectFault(workers.address(), "{\"fault\":\"cut\",\"worker\":\"w0000\",\"part\":\"" + part + "\"}");
                assertThrows(OutcomeUnknownException.class, () -> get(endpoint, "/x"));
            }
            String start = "{\"epoch\":2,\"task\":\"j/0\",\"shard\":3,\"attempt\":{\"epoch\":1,\"sequence\":1},"
                    + "\"demand\":{\"slots\":0,\"connections\":0,\"milliCores\":1000,\"memoryMiB\":1,"
                    + "\"accelerators\":0},\"runMs\":30,\"leaseMs\":60000,\"resumeFrom\":null,"
                    + "\"workClass\":\"batch\",\"cpuShare\":100}";
            assertEquals(send(control, "POST", "/v1/tasks/start", start).status(), 200);
            await(() -> get(control, "/v1/journal").toString().contains("\"state\":\"FINISHED\""));
        }
    }

    /** Endpoints must not hold more connections than their capacity. */
    @Test
    public void connectionsOverLimitAreClosed() throws Exception {
        try (StandinWorkers workers = StandinWorkers.start(StandinWorkers.Options.DEFAULT)) {
            HostEntry host = workers.hosts().getFirst();
            Address endpoint = Address.parse(host.endpoint());
            List<Socket> open = new ArrayList<>();
            try {
                for (int i = 0; i <= host.capacity().connections(); i++) {
                    open.add(new Socket(endpoint.ip(), endpoint.port()));
                }
                open.getLast().setSoTimeout((int) TIMEOUT.toMillis());
                assertEquals(open.getLast().getInputStream().read(), -1);
            } finally {
                for (Socket socket : open) {
                    socket.close();
                }
            }
        }
    }

    /** Proxy faults take effect when set and stop when cleared. */
    @Test
    public void proxyInjectsAndClearsFaults() throws Exception {
        try (StandinLog log = StandinLog.start(StandinLog.Options.DEFAULT);
                FaultProxy proxy = FaultProxy.start(ANY_PORT)) {
            Address proxyAddress = proxy.addPair("log", log.address());
            String read = "/v1/log?from=0&max=9&waitMs=0";
            assertEquals(get(proxyAddress, read).get("next").asInt(), 0);
            for (String fault : List.of(
                    "{\"fault\":\"cut\"}",
                    "{\"fault\":\"cut-after\",\"bytes\":30}",
                    "{\"fault\":\"freeze\"}",
                    "{\"fault\":\"drop\",\"direction\":\"TO_CALLER\"}")) {
                HttpResponse set = send(proxy.address(), "POST", "/v1/faults?pair=log", fault);
                assertEquals(set.status(), 200, set.text());
                HttpRequest request = HttpRequest.get(read);
                assertThrows(Exception.class, () -> client.send(proxyAddress, request, Duration.ofMillis(300)));
            }
            proxy.setFault("log", new ProxyFault.None());
            client.closeIdle(proxyAddress);
            assertEquals(get(proxyAddress, read).get("next").asInt(), 0);
            proxy.setFault("log", new ProxyFault.Delay(100));
            long startNanos = System.nanoTime();
            assertEquals(get(proxyAddress, read).get("next").asInt(), 0);
            assertTrue(System.nanoTime() - startNanos >= Duration.ofMillis(200).toNanos());
        }
    }

    /** Duplicated responses and half-closes reach the caller. */
    @Test
    public void proxyHalfClosesAndDuplicates() throws Exception {
        try (StandinLog log = StandinLog.start(StandinLog.Options.DEFAULT);
                FaultProxy proxy = FaultProxy.start(ANY_PORT)) {
            Address proxyAddress = proxy.addPair("log", log.address());
            try (Socket socket = new Socket(proxyAddress.ip(), proxyAddress.port())) {
                socket.setSoTimeout((int) TIMEOUT.toMillis());
                proxy.setFault("log", new ProxyFault.Duplicate());
                socket.getOutputStream()
                        .write("GET /none HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String errorBody = "{\"error\":\"no such path\"}";
                StringBuilder received = new StringBuilder();
                while (received.indexOf(errorBody) == received.lastIndexOf(errorBody)) {
                    int next = socket.getInputStream().read();
                    assertTrue(next >= 0, "connection closed after " + received);
                    received.append((char) next);
                }
                proxy.setFault("log", new ProxyFault.HalfClose(ProxyFault.Direction.TO_CALLER));
                assertEquals(socket.getInputStream().read(), -1);
            }
        }
    }
}
