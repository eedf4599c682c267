package org.chestnutbarrow.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/**
 * The HTTP interface of a worker, whose calls go to the incarnation that is up when they are carried out. Thread-safe;
 * has no state of its own.
 */
final class WorkerApi implements HttpHandler {
    private static final Duration NO_ANSWER = Duration.ofSeconds(20);
    private static final int MAX_LISTED_ENDS = 500;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;
    private static final int GATEWAY_TIMEOUT = 504;

    private final Supplier<Optional<WorkerLife>> current;
    private final BooleanSupplier unordered;

    /** Creates the interface of the incarnation that is up, if one is; {@code unordered} tells how ends are listed. */
    WorkerApi(Supplier<Optional<WorkerLife>> current, BooleanSupplier unordered) {
        this.current = current;
        this.unordered = unordered;
    }

    @Override
    public HttpResponse handle(HttpRequest request) throws InterruptedException {
        Optional<WorkerLife> life = current.get();
        if (life.isEmpty()) {
            return noAnswer();
        }
        if (request.headers()
                .first("Expect-Instance")
                .filter(expected -> !names(expected, life.get().id()))
                .isPresent()) {
            return HttpResponse.text(MISDIRECTED, "");
        }
        return handle(request.path(), Json.parse(request.body()), life.get());
    }

    /** A value that is only the id of the worker names any of its incarnations. */
    private static boolean names(String expected, Observation.Incarnation id) {
        return expected.equals(id.worker()) || expected.endsWith(String.valueOf(id.born()));
    }

    private HttpResponse handle(String path, JsonNode body, WorkerLife life) throws InterruptedException {
        long token = body.path("fencing_token").asLong();
        return switch (path) {
            case "/-/run-start" -> {
                TaskKey task = TaskKey.parse(body.path("task").asText());
                yield answer(
                        life,
                        life.start(
                                task,
                                body.path("run").asInt(),
                                JobPlan.stage(body.path("spec").asText(), task.step()),
                                token,
                                body.path("deadline_ms").asLong(-1)));
            }
            case "/-/run-stop" ->
                answer(
                        life,
                        life.stop(
                                TaskKey.parse(body.path("task").asText()),
                                body.path("run").asInt(),
                                token));
            case "/-/pace" -> answer(life, WorkerLife.Answer.OK);
            case "/-/hold" ->
                status(
                        life,
                        life.hold(
                                token,
                                body.path("deadline_ms").asLong(-1),
                                body.path("acked_up_to").asLong(),
                                Duration.ofMillis(body.path("wait_ms").asLong()),
                                unordered.getAsBoolean()));
            default -> HttpResponse.text(NOT_FOUND, "");
        };
    }

    private static ObjectNode basis(WorkerLife life) {
        return Json.object()
                .put("clock_ms", life.clockMs())
                .put("born", life.id().born());
    }

    private static HttpResponse noAnswer() throws InterruptedException {
        Thread.sleep(NO_ANSWER);
        return HttpResponse.text(GATEWAY_TIMEOUT, "");
    }

    private static HttpResponse answer(WorkerLife life, WorkerLife.Answer answer) throws InterruptedException {
        return switch (answer) {
            case OK -> Json.response(OK, basis(life));
            case GONE -> noAnswer();
            case FENCE, OLD, LATE, ROOM ->
                Json.response(CONFLICT, basis(life).put("reason", answer.name().toLowerCase(Locale.ROOT)));
        };
    }

    private static HttpResponse status(WorkerLife life, WorkerLife.Status status) throws InterruptedException {
        if (status.answer() != WorkerLife.Answer.OK) {
            return answer(life, status.answer());
        }
        ObjectNode body = basis(life);
        ArrayNode running = body.putArray("running");
        for (WorkerLife.Active run : status.running()) {
            running.addArray()
                    .add(run.task().toString())
                    .add(run.run())
                    .add("")
                    .add(run.need().listedPercent())
                    .add(run.need().listedLoad());
        }
        ArrayNode ended = body.putArray("ended");
        status.ended().stream()
                .limit(MAX_LISTED_ENDS)
                .forEach(end -> ended.addArray()
                        .add(end.number())
                        .add(end.task().toString())
                        .add(end.run())
                        .add(end.how().name().toLowerCase(Locale.ROOT))
                        .add(""));
        return Json.response(OK, body);
    }
}
