package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Invalid input must not stop a daemon or be applied, and is rejected with a message that states the remedy. */
public class BadInputTest extends PlatformFaultsTest {
    private static final int BAD_REQUEST = 400;

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(3, 3);
    }

    /** Verifies that the daemons still serve requests after each test. */
    @AfterMethod
    public void verifyServing() throws InterruptedException {
        awaitServing();
    }

    @DataProvider
    public Object[][] bodies() {
        String change = "{\"id\":\"c1\",\"baseVersion\":0,\"author\":\"me\",";
        return new Object[][] {
            {"/v1/jobs", "{\"id\":", BAD_REQUEST},
            {"/v1/jobs", "", BAD_REQUEST},
            {"/v1/jobs", "[]", BAD_REQUEST},
            {"/v1/jobs", "{\"id\":\"a b\",\"workClass\":\"season-reconcile\"}", BAD_REQUEST},
            {"/v1/jobs", "{\"id\":\"x\",\"workClass\":\"season-reconcile\",\"tasks\":-1}", BAD_REQUEST},
            {"/v1/jobs", "{\"id\":\"x\",\"workClass\":\"season-reconcile\",\"priority\":1}", BAD_REQUEST},
            {"/v1/jobs/cancel", "{\"jobs\":7}", BAD_REQUEST},
            {"/v1/jobs/cancel", "{\"jobs\":[\"a b\"]}", BAD_REQUEST},
            {"/v1/jobs/cancel", "nonsense", BAD_REQUEST},
            {"/v1/configuration", "nonsense", BAD_REQUEST},
            {"/v1/configuration", change + "\"declarations\":[]}", BAD_REQUEST},
            {"/v1/configuration", "{\"id\":\"c1\"}", BAD_REQUEST},
            {"/v1/zones/nowhere", change + "\"state\":\"OUT\"}", 404},
            {"/v1/zones/a%20b", change + "\"state\":\"OUT\"}", BAD_REQUEST},
            {"/v1/zones/eger", change + "\"state\":\"SIDEWAYS\"}", BAD_REQUEST},
            {"/v1/nothing", "{}", 404},
        };
    }

    /** Malformed bodies are rejected without server errors or internal class names in the message. */
    @Test(dataProvider = "bodies")
    public void malformedBodyIsRefusedWithTheRemedy(String path, String body, int status) throws IOException {
        JsonNode answer = cluster.post(cluster.daemon(daemon(0)), path, body);
        assertEquals(answer.path("status").asInt(), status, answer.toString());
        verifyMessage(answer.path("message").asText());
    }

    /** Requests of an unknown class are rejected as not run. */
    @Test
    public void unknownClassIsRefusedAsNotRun() throws Exception {
        HttpResponse response =
                cluster.http().send(cluster.daemon(daemon(0)), HttpRequest.get("/nobody-knows/x"), WAIT_TIMEOUT);
        assertEquals(response.status(), 404);
        assertEquals(response.headers().first("Chestnutbarrow-Outcome").orElse(""), "not-run");
        verifyMessage(response.text());
    }

    /** Header values out of range are rejected instead of replaced by defaults. */
    @Test
    public void malformedHeadersAreRefusedAsNotRun() {
        for (Headers headers : List.of(
                Headers.of("Chestnutbarrow-Deadline-Ms", "soon"),
                Headers.of("Chestnutbarrow-Deadline-Ms", "-5"),
                Headers.of("Chestnutbarrow-Deadline-Ms", "999999999"),
                Headers.of("Chestnutbarrow-Idempotent", "maybe"))) {
            Answer answer = send(daemon(0), newId(), headers);
            assertEquals(answer.response().status(), BAD_REQUEST, answer.toString());
            assertEquals(answer.outcome(), "not-run", answer.toString());
            verifyMessage(answer.response().text());
        }
    }

    /** Oversized bodies and headers are rejected before they exhaust the memory of the daemon. */
    @Test
    public void oversizedInputIsRefused() throws IOException {
        String oversizedBody = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000000\r\n\r\n";
        assertTrue(sendRaw(oversizedBody).startsWith("HTTP/1.1 413"), sendRaw(oversizedBody));
        String oversizedHeader = "GET /health HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(200_000) + "\r\n\r\n";
        String answer = sendRaw(oversizedHeader);
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
        assertTrue(sendRaw("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
    }

    /** Clients that never complete their requests must not block other clients. */
    @Test
    public void slowSendersDoNotStopOthers() throws IOException, InterruptedException {
        List<Socket> slowSockets = new ArrayList<>();
        try {
            Address address = cluster.daemon(daemon(0));
            for (int i = 0; i < 100; i++) {
                Socket socket = new Socket(address.ip(), address.port());
                slowSockets.add(socket);
                socket.getOutputStream()
                        .write("POST /fitting-check/x HTTP/1.1\r\nContent-Le".getBytes(StandardCharsets.US_ASCII));
            }
            awaitServing();
        } finally {
            for (Socket socket : slowSockets) {
                socket.close();
            }
        }
    }

    @DataProvider
    public Object[][] declarationErrors() {
        return new Object[][] {
            {"\"teams\": {", "\"colour\": 1, \"teams\": {"},
            {"\"team\": \"rental\",\n      \"target\": { \"tail", "\"team\": \"nobody\",\n      \"target\": { \"tail"},
            {"\"cores\": \"2 cores\"", "\"weight\": 7, \"cores\": \"2 cores\""},
            {"\"cores\": \"2 cores\"", "\"host\": \"w0001\", \"cores\": \"2 cores\""},
            {"\"250ms\"", "\"250\""},
            {"\"availabilityZones\": [", "\"availabilityZones\": [,"},
        };
    }

    /** The CLI rejects invalid declarations with line number and remedy before sending them. */
    @Test(dataProvider = "declarationErrors")
    public void declarationErrorsAreRefusedByTheCommandLine(String from, String to)
            throws IOException, InterruptedException {
        assertEquals(cli("apply", changedDeclarations(from, to).toString()), 2, cliOutput());
        verifyMessage(cliOutput());
        assertTrue(cliOutput().matches("(?s).*\\d.*"), "no line number: " + cliOutput());
    }

    /** A class whose demand exceeds the capacity of every worker is rejected. */
    @Test
    public void demandThatNoWorkerHoldsIsRefused() throws IOException, InterruptedException {
        assertEquals(
                cli("apply", changedDeclarations("\"2 cores\"", "\"65 cores\"").toString()), 1, cliOutput());
        verifyMessage(cliOutput());
    }

    /** Exit codes report the outcome of a command. */
    @Test
    public void exitCodesTellWhatBecameOfACommand() throws IOException, InterruptedException {
        assertEquals(cli("zone", "out", "nowhere"), 1, cliOutput());
        verifyMessage(cliOutput());
        assertEquals(cli("frobnicate"), 2, cliOutput());
        assertFalse(cliOutput().contains("\tat "), cliOutput());
        assertEquals(cli("apply", folder.resolve("missing.jsonc").toString()), 2, cliOutput());
        verifyMessage(cliOutput());
        Path file = folder.resolve("job.json");
        Files.writeString(file, "{\"id\": \"x\", \"workClass\": \"nobody-knows\"}");
        assertEquals(cli("submit", file.toString()), 1, cliOutput());
        verifyMessage(cliOutput());
    }

    /** The CLI skips a dead daemon if others are alive, and reports an error if none is. */
    @Test
    public void deadDaemonIsPassedOver() throws IOException, InterruptedException {
        String deadDaemon = daemon(0);
        cluster.processes().kill(deadDaemon);
        try {
            assertEquals(cli("status"), 0, cliOutput());
            Files.deleteIfExists(folder.resolve("cli.out"));
            assertEquals(cluster.cli(List.of(deadDaemon), List.of("status")), 5, cliOutput());
            verifyMessage(cliOutput());
        } finally {
            cluster.startDaemon(deadDaemon);
            cluster.awaitReady(WAIT_TIMEOUT);
        }
    }

    /** Every daemon can explain a request, not just the one that served it. */
    @Test
    public void requestIsExplainedByAnyDaemon() throws IOException, InterruptedException {
        awaitServing();
        String id = newId();
        assertEquals(send(daemon(0), id, true, Duration.ofSeconds(5)).outcome(), "ran");
        for (String name : cluster.daemonNames()) {
            JsonNode answer = cluster.get(cluster.daemon(name), "/v1/explain/" + id);
            assertEquals(answer.path("status").asInt(), 200, answer.toString());
            assertFalse(answer.path("decisions").isEmpty(), answer.toString());
        }
        assertEquals(cli("explain", id), 0, cliOutput());
        JsonNode unknown = cluster.get(cluster.daemon(daemon(0)), "/v1/explain/nobody-knows");
        assertEquals(unknown.path("status").asInt(), 404, unknown.toString());
        JsonNode malformed = cluster.get(cluster.daemon(daemon(0)), "/v1/explain/a%20b");
        assertEquals(malformed.path("status").asInt(), BAD_REQUEST, malformed.toString());
    }

    private Path changedDeclarations(String from, String to) throws IOException {
        String text = Files.readString(declarations());
        assertTrue(text.contains(from), "example does not contain " + from);
        Path file = folder.resolve("changed.jsonc");
        Files.writeString(file, text.replace(from, to));
        return file;
    }

    /** Checks that a message states a remedy after the problem and exposes no implementation details. */
    private static void verifyMessage(String message) {
        assertTrue(message.matches("(?s).*[;:,(].*"), "no remedy: " + message);
        for (String internalText : List.of("Exception", "\tat ", "org.chestnutbarrow", "com.fasterxml", "java.")) {
            assertFalse(message.contains(internalText), message);
        }
    }

    /** Sends raw bytes and reads until the daemon closes the connection. */
    private String sendRaw(String bytes) throws IOException {
        Address address = cluster.daemon(daemon(0));
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout((int) WAIT_TIMEOUT.toMillis());
            OutputStream out = socket.getOutputStream();
            try {
                out.write(bytes.getBytes(StandardCharsets.US_ASCII));
                out.flush();
                socket.shutdownOutput();
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            } catch (SocketException e) {
                // The daemon closed the connection while bytes were still in flight.
                return "";
            }
        }
    }
}
