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

/** Guards against bad input that stops a daemon, is applied, or is refused without saying what to do. */
public class BadInputTest extends PlatformFaultsTest {
    private static final int BAD_REQUEST = 400;

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(3, 3);
    }

    /** The daemon must go on serving after each bad input. */
    @AfterMethod
    public void serves() throws InterruptedException {
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

    /** Guards against malformed bodies that are applied, cause server errors, or expose classes of the program. */
    @Test(dataProvider = "bodies")
    public void malformedBodyIsRefusedWithTheRemedy(String path, String body, int status) throws IOException {
        JsonNode answer = cluster.post(cluster.daemon(daemon(0)), path, body);
        assertEquals(answer.path("status").asInt(), status, answer.toString());
        judgeMessage(answer.path("message").asText());
    }

    /** Guards against an unknown class that is taken for a server error or forwarded. */
    @Test
    public void unknownClassIsRefusedAsNotRun() throws Exception {
        HttpResponse response =
                cluster.http().send(cluster.daemon(daemon(0)), HttpRequest.get("/nobody-knows/x"), PATIENCE);
        assertEquals(response.status(), 404);
        assertEquals(response.headers().first("Chestnutbarrow-Outcome").orElse(""), "not-run");
        judgeMessage(response.text());
    }

    /** Guards against headers out of range that are taken for defaults. */
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
            judgeMessage(answer.response().text());
        }
    }

    /** Guards against bodies and headers that exhaust the memory of a daemon. */
    @Test
    public void oversizedInputIsRefused() throws IOException {
        String huge = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000000\r\n\r\n";
        assertTrue(raw(huge).startsWith("HTTP/1.1 413"), raw(huge));
        String header = "GET /health HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(200_000) + "\r\n\r\n";
        String answer = raw(header);
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
        assertTrue(raw("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
    }

    /** Guards against senders that never end and occupy all connections of a daemon. */
    @Test
    public void slowSendersDoNotStopOthers() throws IOException, InterruptedException {
        List<Socket> slow = new ArrayList<>();
        try {
            Address address = cluster.daemon(daemon(0));
            for (int i = 0; i < 100; i++) {
                Socket socket = new Socket(address.ip(), address.port());
                slow.add(socket);
                socket.getOutputStream()
                        .write("POST /fitting-check/x HTTP/1.1\r\nContent-Le".getBytes(StandardCharsets.US_ASCII));
            }
            awaitServing();
        } finally {
            for (Socket socket : slow) {
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

    /** Guards against declarations with errors that are sent at all, or refused without line and remedy. */
    @Test(dataProvider = "declarationErrors")
    public void declarationErrorsAreRefusedByTheCommandLine(String from, String to)
            throws IOException, InterruptedException {
        assertEquals(cli("apply", changed(from, to).toString()), 2, cliOutput());
        judgeMessage(cliOutput());
        assertTrue(cliOutput().matches("(?s).*\\d.*"), "no line: " + cliOutput());
    }

    /** Guards against a class whose tasks no worker could ever hold. */
    @Test
    public void demandThatNoWorkerHoldsIsRefused() throws IOException, InterruptedException {
        assertEquals(cli("apply", changed("\"2 cores\"", "\"65 cores\"").toString()), 1, cliOutput());
        judgeMessage(cliOutput());
    }

    /** Guards against exit codes that hide what became of a command. */
    @Test
    public void exitCodesTellWhatBecameOfACommand() throws IOException, InterruptedException {
        assertEquals(cli("zone", "out", "nowhere"), 1, cliOutput());
        judgeMessage(cliOutput());
        assertEquals(cli("frobnicate"), 2, cliOutput());
        assertFalse(cliOutput().contains("\tat "), cliOutput());
        assertEquals(cli("apply", folder.resolve("missing.jsonc").toString()), 2, cliOutput());
        judgeMessage(cliOutput());
        Path file = folder.resolve("job.json");
        Files.writeString(file, "{\"id\": \"x\", \"workClass\": \"nobody-knows\"}");
        assertEquals(cli("submit", file.toString()), 1, cliOutput());
        judgeMessage(cliOutput());
    }

    /** Guards against a dead daemon that stops operators although others are alive, and a silent failure if none is. */
    @Test
    public void deadDaemonIsPassedOver() throws IOException, InterruptedException {
        String first = daemon(0);
        cluster.processes().kill(first);
        try {
            assertEquals(cli("status"), 0, cliOutput());
            Files.deleteIfExists(folder.resolve("cli.out"));
            assertEquals(cluster.cli(List.of(first), List.of("status")), 5, cliOutput());
            judgeMessage(cliOutput());
        } finally {
            cluster.startDaemon(first);
            cluster.awaitReady(PATIENCE);
        }
    }

    /** Guards against explanations that only the daemon that served a request can give. */
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

    private Path changed(String from, String to) throws IOException {
        String text = Files.readString(declarations());
        assertTrue(text.contains(from), "the example has no " + from);
        Path file = folder.resolve("changed.jsonc");
        Files.writeString(file, text.replace(from, to));
        return file;
    }

    /** Says what to do: a remedy follows the problem, and nothing of the program's inside shows. */
    private static void judgeMessage(String message) {
        assertTrue(message.matches("(?s).*[;:,(].*"), "no remedy: " + message);
        for (String inside : List.of("Exception", "\tat ", "org.chestnutbarrow", "com.fasterxml", "java.")) {
            assertFalse(message.contains(inside), message);
        }
    }

    /** Sends bytes and reads until the daemon closes the connection. */
    private String raw(String bytes) throws IOException {
        Address address = cluster.daemon(daemon(0));
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout((int) PATIENCE.toMillis());
            OutputStream out = socket.getOutputStream();
            try {
                out.write(bytes.getBytes(StandardCharsets.US_ASCII));
                out.flush();
                socket.shutdownOutput();
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            } catch (SocketException e) {
                // The daemon closed the connection while bytes were still on the way.
                return "";
            }
        }
    }
}
