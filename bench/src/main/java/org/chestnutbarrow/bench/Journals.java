package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.Address;

/**
 * Collects what the workers of a deployment recorded, whatever the daemons say. Used by one thread at a time.
 */
public final class Journals {
    private final Cluster cluster;
    private final Map<String, WorkerInfo> workers = new HashMap<>();
    private final Map<String, Long> next = new HashMap<>();
    private final List<Observation> observations = new ArrayList<>();
    private long dropped;

    /** Creates a collection that is still empty. */
    public Journals(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * A worker as it registered.
     *
     * @param zone availability zone
     */
    public record WorkerInfo(
            String id, String zone, int slots, int connections, int milliCores, long memoryMiB, int accelerators) {}

    /** Fetches what was recorded since the last call. */
    public void collect() throws IOException {
        Address address = cluster.workers();
        for (JsonNode worker : cluster.get(address, "/v1/workers")) {
            WorkerInfo info = info(worker);
            workers.put(info.id(), info);
            long from = next.getOrDefault(info.id(), 0L);
            JsonNode page = cluster.get(address, "/v1/journal?worker=" + info.id() + "&from=" + from);
            dropped += Math.max(0, page.path("dropped").asLong() - from);
            next.put(info.id(), page.path("next").asLong());
            page.path("events").forEach(event -> add(info.id(), event));
        }
    }

    /** All observations so far in order of time. */
    public List<Observation> observations() {
        observations.sort(Comparator.comparingLong(Observation::atMs));
        return List.copyOf(observations);
    }

    /** All workers by id. */
    public Map<String, WorkerInfo> workers() {
        return Map.copyOf(workers);
    }

    /** Events that the workers no longer had; a judgement is complete only if this is 0. */
    public long dropped() {
        return dropped;
    }

    private static WorkerInfo info(JsonNode worker) {
        JsonNode capacity = worker.path("capacity");
        return new WorkerInfo(
                worker.path("id").asText(),
                worker.path("availabilityZone").asText(),
                capacity.path("slots").asInt(),
                capacity.path("connections").asInt(),
                capacity.path("milliCores").asInt(),
                capacity.path("memoryMiB").asLong(),
                capacity.path("accelerators").asInt());
    }

    private void add(String worker, JsonNode event) {
        long at = event.path("atMs").asLong();
        String task = event.path("task").asText();
        String attempt = event.path("attempt").path("epoch").asText() + "."
                + event.path("attempt").path("sequence").asText();
        long done = event.path("doneMs").asLong();
        switch (event.path("event").asText()) {
            case "task-start" ->
                observations.add(new Observation.TaskStarted(
                        worker, at, task, attempt, event.path("workClass").asText(), done));
            case "task-end" ->
                observations.add(new Observation.TaskEnded(
                        worker, at, task, attempt, event.path("state").asText(), done));
            case "request-start" ->
                observations.add(new Observation.RequestStarted(
                        worker,
                        at,
                        event.path("requestId").asText(),
                        event.path("workClass").asText()));
            case "lease" -> {
                addLease(worker, at, event);
                return;
            }
            default -> {
                return;
            }
        }
        addUse(worker, at, event.path("use"));
    }

    private void addLease(String worker, long at, JsonNode event) {
        if (event.path("change").asText().equals("GRANTED")) {
            observations.add(new Observation.LeaseGranted(
                    worker,
                    at,
                    event.path("holder").asText(),
                    event.path("epoch").asLong()));
        }
    }

    private void addUse(String worker, long at, JsonNode use) {
        JsonNode demand = use.path("demand");
        observations.add(new Observation.InUse(
                worker,
                at,
                use.path("slots").asInt(),
                use.path("connections").asInt(),
                demand.path("milliCores").asInt(),
                demand.path("memoryMiB").asLong(),
                demand.path("accelerators").asInt()));
    }
}
