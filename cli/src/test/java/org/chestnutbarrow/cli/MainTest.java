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

/** Guards what scripts rely on: exit codes, no change sent twice, and output that can be parsed. */
public class MainTest {
    private static final Path EXAMPLES = Path.of(System.getProperty("chestnutbarrow.root"), "examples");
    private static final String HIVATAL =
            EXAMPLES.resolve("hivatal/declarations.jsonc").toString();
    /** Nobody listens there: the port is privileged and reserved. */
    private static final String NOBODY = "127.0.0.1:1";

    private record Run(ExitCode code, String out, String err) {}

    @DataProvider
    public Object[][] answersToAChange() {
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

    @Test(dataProvider = "answersToAChange")
    public void mapsEachAnswerToItsExitCode(int status, String result, ExitCode expected) throws Exception {
        try (FakeDaemon daemon = daemon().answering("POST /v1/zones/eger", status, "{\"result\":\"" + result + "\"}")) {
            Run run = run("--daemon", daemon.address(), "zone", "out", "eger");
            assertEquals(run.code, expected, run.toString());
            assertTrue(run.out.contains("result: " + result), run.out);
            assertEquals(daemon.posts(), 1);
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
    public void refusesInvalidCommandsWithoutSendingAnything(List<String> arguments) throws Exception {
        try (FakeDaemon daemon = daemon()) {
            List<String> all = new ArrayList<>(List.of("--daemon", daemon.address()));
            all.addAll(arguments);
            Run run = run(all.toArray(String[]::new));
            assertEquals(run.code, ExitCode.INVALID, run.toString());
            assertFalse(run.err.isBlank());
            assertEquals(daemon.seen.size(), 0);
        }
    }

    @Test
    public void checksAFileWithoutADaemon() {
        assertEquals(run("--daemon", NOBODY, "check", HIVATAL).code, ExitCode.DONE);
    }

    @Test
    public void saysThatNothingWasSentIfNobodyCanBeReached() {
        Run run = run("--daemon", NOBODY + "," + NOBODY, "zone", "out", "eger");
        assertEquals(run.code, ExitCode.UNREACHABLE, run.toString());
        assertTrue(run.err.startsWith("not applied: "), run.err);
    }

    @Test
    public void goesToTheNextDaemonAfterOneThatIsAwayAndOneThatRefuses() throws Exception {
        try (FakeDaemon refusing = daemon().answering("POST /v1/zones/eger", 503, "{\"result\":\"not-applied\"}");
                FakeDaemon taking = daemon().answering("POST /v1/zones/eger", 200, "{\"result\":\"in-force\"}")) {
            String daemons = String.join(",", NOBODY, refusing.address(), taking.address());
            assertEquals(run("--daemon", daemons, "zone", "out", "eger").code, ExitCode.DONE);
            assertEquals(refusing.posts(), 1);
            assertEquals(taking.posts(), 1);
        }
    }

    @Test
    public void readsAChangeBackAfterALostAnswerAndNeverSendsItTwice() throws Exception {
        try (FakeDaemon losing =
                        daemon().losingPosts().answering("GET /v1/changes/", 200, "{\"result\":\"accepted\"}");
                FakeDaemon other = daemon()) {
            Run run =
                    run("--timeout", "1", "--daemon", losing.address() + "," + other.address(), "zone", "out", "eger");
            assertEquals(run.code, ExitCode.ACCEPTED, run.toString());
            assertEquals(losing.posts(), 1);
            assertEquals(other.posts(), 0);
            String id =
                    Json.MAPPER.readTree(losing.seen.get(1).body()).path("id").asText();
            assertTrue(losing.seen.stream().anyMatch(get -> get.path().equals("/v1/changes/" + id)));
        }
    }

    @Test
    public void saysUnknownIfALostChangeIsNotFound() throws Exception {
        try (FakeDaemon losing = daemon().losingPosts()) {
            Run run = run("--timeout", "1", "--daemon", losing.address(), "zone", "out", "eger");
            assertEquals(run.code, ExitCode.UNKNOWN, run.toString());
        }
    }

    @Test
    public void saysUnknownForAJobWhoseAnswerIsLost() throws Exception {
        Path job = Files.createTempFile("job", ".json");
        try (FakeDaemon losing = daemon().losingPosts()) {
            Files.writeString(job, "{\"id\": \"j\", \"workClass\": \"season-reconcile\"}");
            Run run = run("--timeout", "1", "--daemon", losing.address(), "submit", job.toString());
            assertEquals(run.code, ExitCode.UNKNOWN, run.toString());
            assertEquals(losing.posts(), 1);
        } finally {
            Files.delete(job);
        }
    }

    @Test
    public void appliesAFileOnTheVersionItRead() throws Exception {
        try (FakeDaemon daemon = daemon().answering("POST /v1/configuration", 200, "{\"result\":\"in-force\"}")) {
            assertEquals(run("--daemon", daemon.address(), "--author", "kata", "apply", HIVATAL).code, ExitCode.DONE);
            JsonNode sent = Json.MAPPER.readTree(daemon.seen.get(1).body());
            assertEquals(sent.path("baseVersion").asLong(), 7);
            assertEquals(sent.path("author").asText(), "kata");
            assertTrue(sent.path("declarations").path("classes").has("stock-watch"));
        }
    }

    @Test
    public void writesJsonThatCanBeParsedAndTextWithATable() throws Exception {
        String status = "{\"daemon\":\"d\",\"zones\":[{\"zone\":\"eger\",\"state\":\"IN\"}],\"daemonsAlive\":[\"d\"]}";
        try (FakeDaemon daemon = daemon().answering("GET /v1/status", 200, status)) {
            Run json = run("--daemon", daemon.address(), "--output", "json", "status");
            assertEquals(Json.MAPPER.readTree(json.out), Json.MAPPER.readTree(status));
            Run text = run("--daemon", daemon.address(), "status");
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
                .answering("GET /v1/configuration", 200, "{\"version\":7,\"declarations\":" + declarations + "}");
    }

    private static Run run(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = Main.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Run(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}
