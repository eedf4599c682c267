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
 * Replays a run recorded with {@code ./run demo --record FOLDER}, in which a zone was taken out of service and restored
 * and a daemon was killed. Code changes must not alter the meaning of old records, and {@link Judge} must detect
 * violations.
 */
public class RecordedTraceTest {
    private static final int JOBS = 4;
    private static final int TASKS = 30;

    @Test
    public void recordedLogYieldsExpectedState() throws IOException {
        Catalog catalog = new Catalog();
        LogRecords records = new LogRecords();
        long version = -1;
        for (JsonNode line : readLines("log.jsonl")) {
            byte[] data = Base64.getDecoder().decode(line.path("data").asText());
            LogRecords.Decoded decoded = records.decode(data);
            assertTrue(decoded instanceof LogRecords.Read, "record " + line.path("offset") + " cannot be decoded");
            catalog.apply(line.path("offset").asLong(), ((LogRecords.Read) decoded).record());
            assertTrue(catalog.configuration().version() >= version, "configuration version decreased");
            version = catalog.configuration().version();
        }
        assertTrue(
                catalog.configuration().startsAllowed(new AvailabilityZone("eger")), "zone must be in service again");
        for (int i = 1; i <= JOBS; i++) {
            LoggedJobState job = catalog.job(new JobId("batch-" + i)).orElseThrow();
            assertEquals(job.finished().size(), TASKS);
        }
        assertFalse(catalog.job(new JobId("watch")).orElseThrow().allTasksFinished(), "a watcher job never finishes");
    }

    @Test
    public void snapshotAtAnyPointYieldsSameState() throws Exception {
        List<JsonNode> lines = readLines("log.jsonl");
        Catalog complete = new Catalog();
        replay(complete, lines);
        LogRecords records = new LogRecords();
        for (int snapshotIndex = 1; snapshotIndex < lines.size(); snapshotIndex += Math.max(1, lines.size() / 20)) {
            Catalog prefix = new Catalog();
            replay(prefix, lines.subList(0, snapshotIndex));
            Catalog restored = new Catalog();
            CatalogState state = records.state(records.snapshot(prefix.snapshot()));
            assertTrue(restored.restore(state));
            replay(restored, lines.subList(snapshotIndex, lines.size()));
            assertEquals(restored.snapshot(), complete.snapshot(), "snapshot at " + snapshotIndex);
        }
    }

    @Test
    public void recordedTasksKeepInvariants() throws IOException {
        List<Observation> observations = readObservations();
        assertEquals(Judge.ranTwiceAtOnce(observations), List.of());
        assertEquals(Judge.finishedTwice(observations), List.of());
        assertEquals(Judge.resumedTwice(observations), List.of());
        long finished = observations.stream()
                .filter(o ->
                        o instanceof Observation.TaskEnded end && end.state().equals("FINISHED"))
                .count();
        assertEquals(finished, (long) JOBS * TASKS);
        assertTrue(
                observations.stream().anyMatch(o -> o instanceof Observation.TaskStarted start && start.doneMs() > 0),
                "tasks must resume after the zone was taken out of service");
    }

    @Test
    public void duplicateRunIsDetected() throws IOException {
        List<Observation> observations = new ArrayList<>(readObservations());
        Observation.TaskStarted start = observations.stream()
                .filter(Observation.TaskStarted.class::isInstance)
                .map(Observation.TaskStarted.class::cast)
                .findFirst()
                .orElseThrow();
        observations.add(new Observation.TaskStarted(
                "elsewhere", start.atMs() + 1, start.task(), "9.1", start.workClass(), start.doneMs()));
        assertFalse(Judge.ranTwiceAtOnce(observations).isEmpty());
    }

    private static void replay(Catalog catalog, List<JsonNode> lines) {
        LogRecords records = new LogRecords();
        for (JsonNode line : lines) {
            byte[] data = Base64.getDecoder().decode(line.path("data").asText());
            catalog.apply(line.path("offset").asLong(), ((LogRecords.Read) records.decode(data)).record());
        }
    }

    private static List<Observation> readObservations() throws IOException {
        List<Observation> observations = new ArrayList<>();
        for (JsonNode line : readLines("tasks.jsonl")) {
            String worker = line.path("worker").asText();
            long atMs = line.path("atMs").asLong();
            String task = line.path("task").asText();
            String attempt = line.path("attempt").asText();
            long doneMs = line.path("doneMs").asLong();
            observations.add(
                    line.path("event").asText().equals("start")
                            ? new Observation.TaskStarted(
                                    worker,
                                    atMs,
                                    task,
                                    attempt,
                                    line.path("workClass").asText(),
                                    doneMs)
                            : new Observation.TaskEnded(
                                    worker,
                                    atMs,
                                    task,
                                    attempt,
                                    line.path("state").asText(),
                                    doneMs));
        }
        return observations;
    }

    private static List<JsonNode> readLines(String file) throws IOException {
        try (InputStream in = RecordedTraceTest.class.getResourceAsStream("/traces/hivatal/" + file)) {
            List<JsonNode> lines = new ArrayList<>();
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                lines.add(Json.MAPPER.readTree(line));
            }
            return lines;
        }
    }
}
