package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.chestnutbarrow.bench.Judge;
import org.chestnutbarrow.bench.Observation;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.CatalogState;
import org.chestnutbarrow.catalog.LoggedJobState;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.testng.annotations.Test;

/**
 * Replays a recorded run, {@code ./run demo --record FOLDER}, in which a zone left and returned and a daemon was killed.
 * Guards against a change of code that gives old records another meaning, and against a judge that sees nothing.
 */
public class RecordedTraceTest {
    private static final int JOBS = 4;
    private static final int TASKS = 30;

    @Test
    public void theRecordedLogLeadsToTheStatedState() throws IOException {
        Catalog catalog = new Catalog();
        LogRecords records = new LogRecords();
        long version = -1;
        for (JsonNode line : lines("log.jsonl")) {
            byte[] data = Base64.getDecoder().decode(line.path("data").asText());
            LogRecords.Decoded decoded = records.decode(data);
            assertTrue(decoded instanceof LogRecords.Read, "record " + line.path("offset") + " cannot be read");
            catalog.apply(line.path("offset").asLong(), ((LogRecords.Read) decoded).record());
            assertTrue(catalog.configuration().version() >= version, "the configuration went back");
            version = catalog.configuration().version();
        }
        assertTrue(catalog.configuration().startsAllowed(new AvailabilityZone("eger")), "the zone returned");
        for (int i = 1; i <= JOBS; i++) {
            LoggedJobState job = catalog.job(new JobId("batch-" + i)).orElseThrow();
            assertEquals(job.finished().size(), TASKS);
        }
        assertFalse(catalog.job(new JobId("watch")).orElseThrow().allTasksFinished(), "the watcher is always on");
    }

    @Test
    public void aSnapshotAtAnyPointOfTheRecordedLogLeadsToTheSameState() throws Exception {
        List<JsonNode> lines = lines("log.jsonl");
        Catalog whole = new Catalog();
        replay(whole, lines);
        LogRecords records = new LogRecords();
        for (int cut = 1; cut < lines.size(); cut += Math.max(1, lines.size() / 20)) {
            Catalog first = new Catalog();
            replay(first, lines.subList(0, cut));
            Catalog second = new Catalog();
            CatalogState state = records.state(records.snapshot(first.snapshot()));
            assertTrue(second.restore(state));
            replay(second, lines.subList(cut, lines.size()));
            assertEquals(second.snapshot(), whole.snapshot(), "cut at " + cut);
        }
    }

    @Test
    public void theRecordedTasksKeepTheInvariants() throws IOException {
        List<Observation> seen = tasks();
        assertEquals(Judge.ranTwiceAtOnce(seen), List.of());
        assertEquals(Judge.finishedTwice(seen), List.of());
        assertEquals(Judge.resumedTwice(seen), List.of());
        long finished = seen.stream()
                .filter(o ->
                        o instanceof Observation.TaskEnded end && end.state().equals("FINISHED"))
                .count();
        assertEquals(finished, (long) JOBS * TASKS);
        assertTrue(
                seen.stream().anyMatch(o -> o instanceof Observation.TaskStarted start && start.doneMs() > 0),
                "the zone that left made tasks resume");
    }

    @Test
    public void theJudgeSeesATaskThatRunsTwice() throws IOException {
        List<Observation> seen = new ArrayList<>(tasks());
        Observation.TaskStarted start = seen.stream()
                .filter(Observation.TaskStarted.class::isInstance)
                .map(Observation.TaskStarted.class::cast)
                .findFirst()
                .orElseThrow();
        seen.add(new Observation.TaskStarted(
                "elsewhere", start.atMs() + 1, start.task(), "9.1", start.workClass(), start.doneMs()));
        assertFalse(Judge.ranTwiceAtOnce(seen).isEmpty());
    }

    private static void replay(Catalog catalog, List<JsonNode> lines) {
        LogRecords records = new LogRecords();
        for (JsonNode line : lines) {
            byte[] data = Base64.getDecoder().decode(line.path("data").asText());
            catalog.apply(line.path("offset").asLong(), ((LogRecords.Read) records.decode(data)).record());
        }
    }

    private static List<Observation> tasks() throws IOException {
        List<Observation> seen = new ArrayList<>();
        for (JsonNode line : lines("tasks.jsonl")) {
            String worker = line.path("worker").asText();
            long at = line.path("atMs").asLong();
            String task = line.path("task").asText();
            String attempt = line.path("attempt").asText();
            long done = line.path("doneMs").asLong();
            seen.add(
                    line.path("event").asText().equals("start")
                            ? new Observation.TaskStarted(
                                    worker,
                                    at,
                                    task,
                                    attempt,
                                    line.path("workClass").asText(),
                                    done)
                            : new Observation.TaskEnded(
                                    worker,
                                    at,
                                    task,
                                    attempt,
                                    line.path("state").asText(),
                                    done));
        }
        return seen;
    }

    private static List<JsonNode> lines(String file) throws IOException {
        try (InputStream in = RecordedTraceTest.class.getResourceAsStream("/traces/hivatal/" + file)) {
            List<JsonNode> lines = new ArrayList<>();
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                lines.add(Json.MAPPER.readTree(line));
            }
            return lines;
        }
    }
}
