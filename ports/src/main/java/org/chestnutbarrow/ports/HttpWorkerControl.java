package org.chestnutbarrow.ports;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.UnavailableException;

/**
 * Client of worker control over HTTP. Safe for use by several threads.
 *
 * <p>Invariant: once bytes of a start may have reached the worker, only an explicit rejection by the worker is reported
 * as not run.
 */
public final class HttpWorkerControl implements WorkerControl {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param timeout timeout of a command
     */
    public HttpWorkerControl(HttpClient client, Duration timeout) {
        Checks.require(timeout.isPositive(), "timeout must be positive");
        this.client = client;
        this.timeout = timeout;
    }

    @Override
    public Grant lease(Address worker, DaemonId holder, long epoch, Duration ttl)
            throws RefusedException, StaleEpochException, UnavailableException {
        ObjectNode body =
                Json.object().put("holder", holder.value()).put("epoch", epoch).put("ttlMs", ttl.toMillis());
        return command(worker, "POST", "/v1/lease", body, WorkerJson::grant);
    }

    @Override
    public void release(Address worker, DaemonId holder, long epoch) throws StaleEpochException, UnavailableException {
        ObjectNode body = Json.object().put("holder", holder.value()).put("epoch", epoch);
        try {
            exchange(worker, "DELETE", "/v1/lease", body);
        } catch (NotRunException | OutcomeUnknownException | RefusedException e) {
            throw unavailable(worker, e);
        }
    }

    @Override
    public TaskStatus start(Address worker, StartCommand command)
            throws RefusedException, StaleEpochException, NotRunException, OutcomeUnknownException {
        HttpResponse response = exchange(worker, "POST", "/v1/tasks/start", WorkerJson.start(command));
        try {
            return WorkerJson.status(Json.parse(response.body()));
        } catch (IllegalArgumentException e) {
            throw unknown(worker, e.getMessage(), e);
        }
    }

    @Override
    public TaskStatus apply(Address worker, long epoch, TaskId task, Attempt attempt, TaskCommand command)
            throws RefusedException, StaleEpochException, UnavailableException {
        ObjectNode body = WorkerJson.task(epoch, task, attempt);
        String path = switch (command) {
            case TaskCommand.Stop() -> "/v1/tasks/stop";
            case TaskCommand.Checkpoint() -> "/v1/tasks/checkpoint";
            case TaskCommand.Throttle(int percent) -> {
                body.put("percent", percent);
                yield "/v1/tasks/throttle";
            }
            case TaskCommand.Forget() -> "/v1/tasks/forget";
        };
        return command(worker, "POST", path, body, WorkerJson::status);
    }

    @Override
    public List<TaskStatus> fence(Address worker, long epoch, int shard, long shardEpoch)
            throws StaleEpochException, UnavailableException {
        ObjectNode body = Json.object().put("epoch", epoch).put("shard", shard).put("shardEpoch", shardEpoch);
        try {
            return command(
                    worker, "POST", "/v1/fence", body, response -> Json.list(response, "tasks", WorkerJson::status));
        } catch (RefusedException e) {
            throw unavailable(worker, e);
        }
    }

    @Override
    public Usage usage(Address worker) throws UnavailableException {
        try {
            HttpResponse response = client.send(worker, HttpRequest.get("/v1/usage"), timeout);
            if (response.status() != OK) {
                throw new UnavailableException(
                        "cannot read usage of worker " + worker + ": " + Responses.describe(response),
                        "try again later");
            }
            return WorkerJson.usage(Json.parse(response.body()));
        } catch (NotRunException | OutcomeUnknownException | IllegalArgumentException | ArithmeticException e) {
            throw unavailable(worker, e);
        }
    }

    /** Sends a command that the caller repeats on failure, so an unknown outcome is reported as unavailable. */
    private <T> T command(Address worker, String method, String path, ObjectNode body, Function<JsonNode, T> parser)
            throws RefusedException, StaleEpochException, UnavailableException {
        try {
            return parser.apply(Json.parse(exchange(worker, method, path, body).body()));
        } catch (NotRunException | OutcomeUnknownException | IllegalArgumentException e) {
            throw unavailable(worker, e);
        }
    }

    private HttpResponse exchange(Address worker, String method, String path, ObjectNode body)
            throws RefusedException, StaleEpochException, NotRunException, OutcomeUnknownException {
        HttpResponse response = client.send(worker, HttpRequest.json(method, path, Json.write(body)), timeout);
        if (response.status() == OK || response.status() == NO_CONTENT) {
            return response;
        }
        if (response.status() == CONFLICT) {
            throwIfStale(worker, response);
        }
        if (Responses.isClientError(response)) {
            throw new RefusedException(
                    "worker " + worker + " refused " + path + ": " + Responses.describe(response),
                    "choose another worker or attempt");
        }
        throw unknown(worker, Responses.describe(response), null);
    }

    private static void throwIfStale(Address worker, HttpResponse response)
            throws StaleEpochException, OutcomeUnknownException {
        try {
            JsonNode body = Json.parse(response.body());
            if (Json.text(body, "error").equals("stale-epoch")) {
                throw new StaleEpochException("worker " + worker, Json.number(body, "epoch"));
            }
        } catch (IllegalArgumentException e) {
            throw unknown(worker, "malformed conflict response: " + e.getMessage(), e);
        }
    }

    private static OutcomeUnknownException unknown(Address worker, String reason, Exception cause) {
        return new OutcomeUnknownException(
                "worker " + worker + " did not report an outcome: " + reason,
                "repeat the command to learn its outcome",
                cause);
    }

    private static UnavailableException unavailable(Address worker, Exception cause) {
        return new UnavailableException(
                "no usable response from worker " + worker + ": " + cause.getMessage(), "repeat the command", cause);
    }
}
