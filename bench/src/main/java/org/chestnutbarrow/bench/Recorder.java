package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.chestnutbarrow.format.Json;

/**
 * Writes what a run left behind as JSON lines, to be replayed by tests: {@code log.jsonl} has all records of the log,
 * {@code tasks.jsonl} the starts and ends of attempts that the workers recorded. Stateless.
 */
final class Recorder {
    private static final int BATCH = 500;

    private Recorder() {}

    /** Writes both files into a folder, which is created if need be. */
    static void record(Cluster cluster, List<Observation> seen, Path folder) throws IOException {
        Files.createDirectories(folder);
        writeLog(cluster, folder.resolve("log.jsonl"));
        writeTasks(seen, folder.resolve("tasks.jsonl"));
    }

    private static void writeLog(Cluster cluster, Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            long from = 0;
            JsonNode page = page(cluster, from);
            while (!page.path("records").isEmpty()) {
                for (JsonNode entry : page.path("records")) {
                    out.write(entry.toString());
                    out.newLine();
                    from = entry.path("offset").asLong() + 1;
                }
                page = page(cluster, from);
            }
        }
    }

    private static JsonNode page(Cluster cluster, long from) throws IOException {
        return cluster.get(cluster.log(), "/v1/log?from=" + from + "&max=" + BATCH + "&waitMs=0");
    }

    private static void writeTasks(List<Observation> seen, Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Observation observation : seen) {
                JsonNode line = line(observation);
                if (!line.isMissingNode()) {
                    out.write(line.toString());
                    out.newLine();
                }
            }
        }
    }

    private static JsonNode line(Observation observation) {
        return switch (observation) {
            case Observation.TaskStarted start ->
                Json.MAPPER
                        .createObjectNode()
                        .put("event", "start")
                        .put("worker", start.worker())
                        .put("atMs", start.atMs())
                        .put("task", start.task())
                        .put("attempt", start.attempt())
                        .put("workClass", start.workClass())
                        .put("doneMs", start.doneMs());
            case Observation.TaskEnded end ->
                Json.MAPPER
                        .createObjectNode()
                        .put("event", "end")
                        .put("worker", end.worker())
                        .put("atMs", end.atMs())
                        .put("task", end.task())
                        .put("attempt", end.attempt())
                        .put("state", end.state())
                        .put("doneMs", end.doneMs());
            case Observation.InUse _, Observation.RequestStarted _, Observation.LeaseGranted _ ->
                Json.MAPPER.missingNode();
        };
    }
}
