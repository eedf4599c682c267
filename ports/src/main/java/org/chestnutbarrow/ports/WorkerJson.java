package org.chestnutbarrow.ports;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.ports.WorkerControl.Grant;
import org.chestnutbarrow.ports.WorkerControl.StartCommand;
import org.chestnutbarrow.ports.WorkerControl.TaskUsage;
import org.chestnutbarrow.ports.WorkerControl.Usage;

/** Reads and writes the JSON bodies of the worker control interface. Stateless. */
final class WorkerJson {
    /** Initial CPU limit of a task in percent of its demand; the throttle command lowers it. */
    private static final int FULL_CPU_SHARE_PERCENT = 100;

    private WorkerJson() {}

    static ObjectNode start(StartCommand command) {
        ObjectNode body = Json.object()
                .put("epoch", command.epoch())
                .put("task", command.task().toString())
                .put("shard", command.shard())
                .put("runMs", command.runTime().toMillis())
                .put("leaseMs", command.lease().toMillis())
                .put("resumeFrom", command.resumeFrom().map(CheckpointId::value).orElse(null))
                .put("workClass", command.workClass())
                .put("cpuShare", FULL_CPU_SHARE_PERCENT);
        body.set("attempt", attempt(command.attempt()));
        body.set("demand", Json.write(command.demand()));
        return body;
    }

    static ObjectNode task(long epoch, TaskId task, Attempt attempt) {
        ObjectNode body = Json.object().put("epoch", epoch).put("task", task.toString());
        body.set("attempt", attempt(attempt));
        return body;
    }

    static Grant grant(JsonNode body) {
        return new Grant(
                Json.number(body, "epoch"),
                Json.number(body, "incarnation"),
                Json.list(body, "tasks", WorkerJson::status),
                Json.intNumber(body, "requestsInFlight"));
    }

    static TaskStatus status(JsonNode body) {
        JsonNode attempt = Json.child(body, "attempt");
        return new TaskStatus(
                TaskId.parse(Json.text(body, "task")),
                Json.text(body, "workClass"),
                Json.intNumber(body, "shard"),
                new Attempt(Json.number(attempt, "epoch"), Json.number(attempt, "sequence")),
                TaskState.valueOf(Json.text(body, "state")),
                body.hasNonNull("checkpoint")
                        ? Optional.of(new CheckpointId(Json.text(body, "checkpoint")))
                        : Optional.empty(),
                Json.resources(Json.child(body, "demand")),
                Duration.ofMillis(Json.number(body, "leaseRemainingMs")));
    }

    static Usage usage(JsonNode body) {
        JsonNode requests = Json.child(body, "requests");
        return new Usage(
                Instant.ofEpochMilli(Json.number(body, "asOf")),
                Json.list(body, "tasks", WorkerJson::taskUsage),
                Json.intNumber(requests, "inFlight"),
                Duration.ofNanos(Math.multiplyExact(Json.number(requests, "p99Micros"), 1000)));
    }

    private static TaskUsage taskUsage(JsonNode node) {
        return new TaskUsage(
                TaskId.parse(Json.text(node, "task")),
                Json.text(node, "workClass"),
                Json.intNumber(node, "milliCores"),
                Json.number(node, "memoryMiB"),
                Json.decimal(node, "progress"));
    }

    private static ObjectNode attempt(Attempt attempt) {
        return Json.object().put("epoch", attempt.epoch()).put("sequence", attempt.sequence());
    }
}
