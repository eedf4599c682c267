package org.chestnutbarrow.format;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.TreeMap;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests files written by operators: examples are valid, and every error is reported with position and remedy. */
public class FilesTest {
    private static final Path ROOT = Path.of(System.getProperty("chestnutbarrow.root"));

    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{"hivatal", 1}, {"bellamy", 2}};
    }

    @Test(dataProvider = "deployments")
    public void readsAndWritesExamples(String name, int teams) throws Exception {
        Declarations read = example(name);
        assertEquals(read.zones().size(), 3);
        assertEquals(read.teams().size(), teams);
        assertEquals(read.classes().size(), 3);
        assertEquals(
                DeclarationFile.read(
                        "again", DeclarationFile.write(read).toString().getBytes(StandardCharsets.UTF_8)),
                read);
    }

    @Test
    public void reportsAllErrorsOfDeclarationFile() {
        String text = """
                { // comment
                  "availabilityZones": ["a", "a"],
                  "teams": {"t": {"quota": {"cores": "64", "hosts": 3}}},
                  "classes": {
                    "c": {"team": "u", "weight": 5, "target": {"tailLatency": {"quantile": 1.5, "bound": "250"}}},
                    "d": {"team": "t", "priority": 1, "target": {"alwaysOn": true, "finishBy": {"time": "25:00"}}}
                  }
                }
                """;
        List<String> lines = errors(() -> DeclarationFile.read("f.jsonc", bytes(text)));
        for (String start : List.of(
                "f.jsonc:2: availabilityZones[1]: zone a is declared twice; ",
                "f.jsonc:3: teams.t.quota.cores: \"64\" is not valid; write processor time with unit ",
                "f.jsonc:3: teams.t.quota.hosts: unknown field; remove it",
                "f.jsonc:5: classes.c.team: \"u\" is not valid; ",
                "f.jsonc:5: classes.c.weight: unknown field; ",
                "f.jsonc:5: classes.c.target.tailLatency.quantile: \"1.5\" is not valid; ",
                "f.jsonc:5: classes.c.target.tailLatency.bound: \"250\" is not valid; ",
                "f.jsonc:6: classes.d.priority: unknown field; ",
                "f.jsonc:6: classes.d.target.finishBy.time: \"25:00\" is not valid; ",
                "f.jsonc:6: classes.d.target.finishBy.timeZone: the field is missing; add ",
                "f.jsonc:6: classes.d.target: a target has exactly one kind; ")) {
            assertTrue(lines.stream().anyMatch(line -> line.startsWith(start)), start + " not in " + lines);
        }
        assertEquals(lines.size(), 12, "header and one line for each error: " + lines);
    }

    @Test
    public void rejectsInvalidJson() {
        for (String text : List.of("", "{", "{\"a\": 1, \"a\": 2}", "[1]", "{} {}", "{\"a\": \"\\uD800", "\u0000")) {
            assertFalse(errors(() -> DeclarationFile.read("f", bytes(text))).isEmpty(), text);
            assertFalse(errors(() -> SettingsFile.read("f", bytes(text))).isEmpty(), text);
        }
    }

    @Test
    public void describesChanges() throws Exception {
        String text = Files.readString(ROOT.resolve("examples/hivatal/declarations.jsonc"));
        Declarations changed = DeclarationFile.read(
                "f", bytes(text.replace("250ms\"", "200ms\"").replace("\"stock-watch\"", "\"watch\"")));
        assertEquals(
                DeclarationFile.diff(example("hivatal"), changed),
                List.of(
                        "~ class fitting-check: target from tail latency at quantile 0.99 within 250ms to tail latency"
                                + " at quantile 0.99 within 200ms",
                        "- class stock-watch",
                        "+ class watch"));
    }

    @Test
    public void readsDefaultSettingsAndHidesKey() throws Exception {
        DaemonSettings settings = SettingsFile.read("d", Files.readAllBytes(ROOT.resolve("examples/daemon.jsonc")));
        assertEquals(settings.limits(), DaemonSettings.Limits.DEFAULT, "the defaults in the comments are out of date");
        assertEquals(settings.peers().size(), 2);
        assertTrue(settings.logFile().isEmpty());
        assertFalse(settings.toString().contains(settings.peerKey()));
    }

    @Test
    public void reportsAllErrorsOfSettings() throws Exception {
        String text = Files.readString(ROOT.resolve("examples/daemon.jsonc"))
                .replace("\"replace-this-secret\"", "\"short\"")
                .replace("\"entry-2\"", "\"entry-1\"")
                .replace("\"127.0.0.1:9000\"", "\"log.example:9000\"")
                .replace("4096", "0")
                .replace("\"10s\"", "\"2h\"")
                .replace("\"logTo\"", "\"logFile\"");
        List<String> lines = errors(() -> SettingsFile.read("d", bytes(text)));
        assertEquals(lines.size(), 7, "header and one line for each error: " + lines);
        assertTrue(lines.stream()
                .anyMatch(line -> line.contains(
                        "limits.connections: \"0\" is not valid; write a number from 1 to 100000 connections")));
    }

    @Test
    public void takesJobDefaultsFromClass() throws Exception {
        Configuration configuration = new Configuration(0, "c", example("hivatal"), new TreeMap<>());
        Instant submitted = Instant.parse("2026-01-01T20:00:00Z");
        Job job = JobFile.read(
                bytes("{\"id\": \"j\", \"workClass\": \"season-reconcile\", \"tasks\": 5}"), configuration, submitted);
        assertEquals(job.team(), "rental");
        assertEquals(job.demand(), new Resources(0, 0, 2000, 4096, 0));
        assertEquals(job.finishBy().orElseThrow(), Instant.parse("2026-01-02T05:30:00Z"));
        List<String> lines = errors(() -> JobFile.read(
                bytes("{\"workClass\": \"nope\", \"tasks\": 0, \"host\": \"h\"}"), configuration, submitted));
        assertEquals(lines.size(), 5, lines.toString());
    }

    @Test
    public void findsNextFinishByTimeAcrossDaylightSavingChange() throws Exception {
        Target.FinishBy target = (Target.FinishBy)
                example("hivatal").classes().get("season-reconcile").target();
        Instant beforeClockChange = Instant.parse("2026-03-28T06:00:00Z");
        assertEquals(target.nextAfter(beforeClockChange), Instant.parse("2026-03-29T04:30:00Z"));
    }

    private static Declarations example(String name) throws Exception {
        Path file = ROOT.resolve("examples").resolve(name).resolve("declarations.jsonc");
        return DeclarationFile.read(name, Files.readAllBytes(file));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static List<String> errors(Assert.ThrowingRunnable action) {
        return expectThrows(InvalidInputException.class, action)
                .getMessage()
                .lines()
                .toList();
    }
}
