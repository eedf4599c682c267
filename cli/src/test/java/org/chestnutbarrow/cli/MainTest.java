package org.chestnutbarrow.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.format.DeclarationFile;
import org.chestnutbarrow.format.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the guarantees for scripts: exit codes, no change sent twice, and parsable output. */
public class MainTest {
    private static final Path EXAMPLES = Path.of(System.getProperty("chestnutbarrow.root"), "examples");
    private static final String HIVATAL_DECLARATIONS =
            EXAMPLES.resolve("hivatal/declarations.jsonc").toString();
    /** No process listens on this port, which is privileged and reserved. */
    private static final String UNREACHABLE_DAEMON = "127.0.0.1:1";

    private record Execution(ExitCode code, String out, String err) {}

    @DataProvider
    public Object[][] changeResponses() {
        return new Object[][] {
            {200, "in-force", ExitCode.DONE},
            {202, "accepted", ExitCode.ACCEPTED},
            {400, "not-applied", ExitCode.NOT_APPLIED},
            {404, "not-applied", ExitCode.NOT_APPLIED},
            {409, "lost", ExitCode.NOT_APPLIED},
            {503, "not-applied", ExitCode.NOT_APPLIED},
            {504, "unknown", ExitCode.UNKNOWN},
        };
    }

    @Test(dataProvider = "changeResponses")
    public void mapsResponsesToExitCodes(int status, String result, ExitCode expected) throws Exception {
        try (FakeDaemon daemon =
                daemon().respondingWith("POST /v1/zones/eger", status, "{\"result\":\"" + result + "\"}")) {
            Execution execution = run("--daemon", daemon.address(), "zone", "out", "eger");
            assertEquals(execution.code, expected, execution.toString());
            assertTrue(execution.out.contains("result: " + result), execution.out);
            assertEquals(daemon.postCount(), 1);
        }
    }

    @DataProvider
    public Object[][] invalidCommands() {
        return new Object[][] {
            {List.of()},
            {List.of("restart")},
            {List.of("zone", "away", "eger")},
            {List.of("zone", "out", "e ger")},
            {List.of("explain", "../status")},
            {List.of("check", "no-such-file.jsonc")},
            {List.of("--daemon", "localhost:80", "status")},
            {List.of("--output", "xml", "status")},
        };
    }

    @Test(dataProvider = "invalidCommands")
    public void rejectsInvalidCommandsWithoutSendingRequests(List<String> arguments) throws Exception {
        try (FakeDaemon daemon = daemon()) {
            List<String> all = new ArrayList<>(List.of("--daemon", daemon.address()));
            all.addAll(arguments);
            Execution execution = run(all.toArray(String[]::new));
            assertEquals(execution.code, ExitCode.INVALID, execution.toString());
            assertFalse(execution.err.isBlank());
            assertEquals(daemon.requests.size(), 0);
        }
    }

    @Test
    public void checksFileWithoutDaemon() {
        assertEquals(run("--daemon", UNREACHABLE_DAEMON, "check", HIVATAL_DECLARATIONS).code, ExitCode.DONE);
    }

    @Test
    public void reportsNotAppliedIfNoDaemonIsReachable() {
        Execution execution = run("--daemon", UNREACHABLE_DAEMON + "," + UNREACHABLE_DAEMON, "zone", "out", "eger");
        assertEquals(execution.code, ExitCode.UNREACHABLE, execution.toString());
        assertTrue(execution.err.startsWith("not applied: "), execution.err);
    }

    @Test
    public void triesNextDaemonAfterUnreachableAndRefusingOnes() throws Exception {
        try (FakeDaemon refusing = daemon().respondingWith("POST /v1/zones/eger", 503, "{\"result\":\"not-applied\"}");
                FakeDaemon accepting =
                        daemon().respondingWith("POST /v1/zones/eger", 200, "{\"result\":\"in-force\"}")) {
            String daemons = String.join(",", UNREACHABLE_DAEMON, refusing.address(), accepting.address());
            assertEquals(run("--daemon", daemons, "zone", "out", "eger").code, ExitCode.DONE);
            assertEquals(refusing.postCount(), 1);
            assertEquals(accepting.postCount(), 1);
        }
    }

    @Test
    public void queriesOutcomeAfterLostResponseWithoutResending() throws Exception {
        try (FakeDaemon dropping =
                        daemon().droppingPosts().respondingWith("GET /v1/changes/", 200, "{\"result\":\"accepted\"}");
                FakeDaemon other = daemon()) {
            Execution execution = run(
                    "--timeout", "1", "--daemon", dropping.address() + "," + other.address(), "zone", "out", "eger");
            assertEquals(execution.code, ExitCode.ACCEPTED, execution.toString());
            assertEquals(dropping.postCount(), 1);
            assertEquals(other.postCount(), 0);
            String id = Json.MAPPER
                    .readTree(dropping.requests.get(1).body())
                    .path("id")
                    .asText();
            assertTrue(dropping.requests.stream().anyMatch(get -> get.path().equals("/v1/changes/" + id)));
        }
    }

    @Test
    public void reportsUnknownIfChangeIsNotFound() throws Exception {
        try (FakeDaemon dropping = daemon().droppingPosts()) {
            Execution execution = run("--timeout", "1", "--daemon", dropping.address(), "zone", "out", "eger");
            assertEquals(execution.code, ExitCode.UNKNOWN, execution.toString());
        }
    }

    @Test
    public void reportsUnknownForJobWithLostResponse() throws Exception {
        Path job = Files.createTempFile("job", ".json");
        try (FakeDaemon dropping = daemon().droppingPosts()) {
            Files.writeString(job, "{\"id\": \"j\", \"workClass\": \"season-reconcile\"}");
            Execution execution = run("--timeout", "1", "--daemon", dropping.address(), "submit", job.toString());
            assertEquals(execution.code, ExitCode.UNKNOWN, execution.toString());
            assertEquals(dropping.postCount(), 1);
        } finally {
            Files.delete(job);
        }
    }

    @Test
    public void appliesFileToVersionThatWasRead() throws Exception {
        try (FakeDaemon daemon = daemon().respondingWith("POST /v1/configuration", 200, "{\"result\":\"in-force\"}")) {
            assertEquals(
                    run("--daemon", daemon.address(), "--author", "kata", "apply", HIVATAL_DECLARATIONS).code,
                    ExitCode.DONE);
            JsonNode sent = Json.MAPPER.readTree(daemon.requests.get(1).body());
            assertEquals(sent.path("baseVersion").asLong(), 7);
            assertEquals(sent.path("author").asText(), "kata");
            assertTrue(sent.path("declarations").path("classes").has("stock-watch"));
        }
    }

    @Test
    public void printsParsableJsonAndTextTables() throws Exception {
        String status = "{\"daemon\":\"d\",\"zones\":[{\"zone\":\"eger\",\"state\":\"IN\"}],\"daemonsAlive\":[\"d\"]}";
        try (FakeDaemon daemon = daemon().respondingWith("GET /v1/status", 200, status)) {
            Execution json = run("--daemon", daemon.address(), "--output", "json", "status");
            assertEquals(Json.MAPPER.readTree(json.out), Json.MAPPER.readTree(status));
            Execution text = run("--daemon", daemon.address(), "status");
            assertEquals(
                    text.out.lines().toList(),
                    List.of("daemon: d", "zones:", "  zone  state", "  eger  IN", "daemonsAlive:", "  d"));
        }
    }

    private static FakeDaemon daemon() throws Exception {
        Path file = EXAMPLES.resolve("bellamy/declarations.jsonc");
        String declarations = DeclarationFile.write(DeclarationFile.read("example", Files.readAllBytes(file)))
                .toString();
        return new FakeDaemon()
                .respondingWith("GET /v1/configuration", 200, "{\"version\":7,\"declarations\":" + declarations + "}");
    }

    private static Execution run(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = Main.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Execution(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}
