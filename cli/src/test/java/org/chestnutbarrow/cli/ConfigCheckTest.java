package org.chestnutbarrow.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.chestnutbarrow.format.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit codes and the output of {@code config check} on the examples. */
public class ConfigCheckTest {
    private static final Path EXAMPLES = Path.of(System.getProperty("chestnutbarrow.root"), "examples", "nodes");
    private static final String SOUND = EXAMPLES.resolve("config.json").toString();
    private static final String FAULTY = EXAMPLES.resolve("faulty-config.json").toString();

    private record Execution(int code, String out, String err) {}

    private static Execution run(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = Main.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Execution(code.code(), out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    public void soundExampleHasNoFindings() {
        assertEquals(run("config", "check", SOUND), new Execution(0, "no findings" + System.lineSeparator(), ""));
    }

    @Test
    public void faultyExampleHasOneLineForEachFinding() {
        Execution execution = run("config", "check", FAULTY);
        assertEquals(execution.code, 1, execution.toString());
        assertEquals(
                execution
                        .out
                        .lines()
                        .map(line -> line.substring(0, line.indexOf(": ")))
                        .toList(),
                List.of(
                        "routes[3].path_prefix",
                        "routes[3].priority",
                        "routes[3].stretch",
                        "tenants[0].cap.cpu",
                        "tenants[1].api_keys[1]",
                        "routes[0].path_prefix",
                        "routes[0].max_attempts",
                        "routes[0].target_latency_ms",
                        "routes[0].stretch",
                        "routes[1].path_prefix",
                        "routes[2].service",
                        "limits.max_header_bytes",
                        "limits.max_body_bytes",
                        "limits.idle_timeout_ms",
                        "tenants[0].api_keys[0]",
                        "tenants[0].weight",
                        "tenants[2].api_keys"));
        assertEquals(run("config", "check", FAULTY), execution);
    }

    @Test
    public void listsDifferencesWithoutKeys() {
        Execution execution = run("config", "check", FAULTY, "--against", SOUND);
        assertEquals(execution.code, 1, execution.toString());
        assertTrue(execution.out.contains("version: is 42, but 42 is in force"), execution.out);
        List<String> lines = execution.out.lines().toList();
        for (String expected : List.of(
                "+ account guest",
                "~ account season: weight from 12 to 0",
                "~ account season: keys added 1, removed 1",
                "~ limits: max_body_bytes from 262144 to 65536",
                "- route desk.example/reconcile/",
                "~ route desk.example/check/: name from \"check\" to \"check-again\"",
                "~ service pool: max_conns from 64 to 128")) {
            assertTrue(lines.contains(expected), execution.out);
        }
        assertFalse(execution.out.contains("example-key"), execution.out);
    }

    @Test
    public void differencesAloneAreNoFindings() throws IOException {
        Path next = Files.createTempFile("config", ".json");
        try {
            Files.writeString(next, Files.readString(Path.of(SOUND)).replace("\"version\": 42", "\"version\": 43"));
            Execution execution = run("config", "check", next.toString(), "--against", SOUND, "--json");
            assertEquals(execution.code, 0, execution.toString());
            JsonNode document = Json.MAPPER.readTree(execution.out);
            assertEquals(
                    document.toString(),
                    "{\"findings\":[],\"differences\":[{\"entry\":\"configuration\",\"change\":\"changed\","
                            + "\"field\":\"version\",\"before\":\"42\",\"after\":\"43\"}]}");
            assertEquals(run("--output", "json", "config", "check", next.toString(), "--against", SOUND), execution);
        } finally {
            Files.delete(next);
        }
    }

    @DataProvider
    public Object[][] invalidCommands() {
        return new Object[][] {
            {List.of("config")},
            {List.of("config", "apply", SOUND)},
            {List.of("config", "check")},
            {List.of("config", "check", "no-such-file.json")},
            {List.of("config", "check", SOUND, "--against")},
            {List.of("config", "check", SOUND, "--against", "no-such-file.json")},
            {List.of("config", "check", SOUND, FAULTY)},
        };
    }

    @Test(dataProvider = "invalidCommands")
    public void rejectsInvalidCommands(List<String> arguments) {
        Execution execution = run(arguments.toArray(String[]::new));
        assertEquals(execution.code, 2, execution.toString());
        assertTrue(execution.out.isEmpty() && !execution.err.isBlank(), execution.toString());
    }
}
