package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.http.TruncatedResponseException;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.TimeSource;

/**
 * The platform's log. Safe for use by several threads.
 *
 * <pre>{@code
 * try (StandinLog log = StandinLog.start(StandinLog.Options.DEFAULT)) {
 *     use(log.address());
 * }
 * }</pre>
 */
public final class StandinLog implements AutoCloseable {
    private final LogStore store;
    private final HttpServer server;
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile boolean outage;
    private volatile Duration delay = Duration.ZERO;

    private StandinLog(Options options) throws InvalidInputException {
        store = new LogStore(TimeSource.SYSTEM, options.maxAge(), options.maxCount());
        server = HttpServer.start(options.bind(), HttpLimits.DEFAULT, Json.checked(this::handle));
    }

    /**
     * Binds and starts to accept.
     *
     * @throws InvalidInputException if the address cannot be bound
     */
    public static StandinLog start(Options options) throws InvalidInputException {
        return new StandinLog(options);
    }

    /** Where the log answers. */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private HttpResponse handle(HttpRequest request) throws Exception {
        return switch (request.method() + " " + request.path()) {
            case "POST /v1/faults" -> fault(request);
            case "POST /v1/log" -> append(request);
            case "GET /v1/log" -> read(request);
            default -> Json.error(404, "no such path");
        };
    }

    private HttpResponse append(HttpRequest request) throws InterruptedException, TruncatedResponseException {
        Json.sleep(delay);
        if (outage) {
            return Json.error(503, "outage");
        }
        Checks.require(!request.query("id", "").isEmpty(), "an append needs an id");
        HttpResponse answer = Json.answer(200, Map.of("offset", store.append(request.body())));
        if (Counters.take(answersToLose)) {
            throw new TruncatedResponseException(answer, TruncatedResponseException.Part.NOTHING);
        }
        return answer;
    }

    private HttpResponse read(HttpRequest request) throws InterruptedException {
        Json.sleep(delay);
        long from = Long.parseLong(request.query("from", "0"));
        int max = Integer.parseInt(request.query("max", "1000"));
        long waitMs = Long.parseLong(request.query("waitMs", "0"));
        Checks.require(from >= 0 && max > 0 && waitMs >= 0, "from, max and waitMs must not be negative, max not 0");
        if (outage) {
            return Json.error(503, "outage");
        }
        LogStore.Batch batch = store.read(from, max, Duration.ofMillis(waitMs));
        return outage ? Json.error(503, "outage") : Json.answer(200, batch);
    }

    private HttpResponse fault(HttpRequest request) throws JsonProcessingException {
        switch (Json.read(request, Fault.class)) {
            case Fault.Outage(boolean on) -> outage = on;
            case Fault.Delay(long ms) -> delay = Duration.ofMillis(ms);
            case Fault.LoseAnswers(int count) -> answersToLose.set(count);
        }
        return Json.ok();
    }

    /**
     * How the log runs.
     *
     * @param bind where to listen; port 0 lets the system choose
     * @param maxAge age after which records are dropped
     * @param maxCount most records kept
     */
    public record Options(Address bind, Duration maxAge, int maxCount) {
        /** Any port of loopback, an hour, a million records. */
        public static final Options DEFAULT = new Options(Address.parse("127.0.0.1:0"), Duration.ofHours(1), 1_000_000);

        public Options {
            Checks.require(maxAge.isPositive() && maxCount > 0, "retention must be positive");
        }
    }

    /** Body of {@code POST /v1/faults}, for example {@code {"fault":"outage","on":true}}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Fault.Outage.class, name = "outage"),
        @JsonSubTypes.Type(value = Fault.Delay.class, name = "delay"),
        @JsonSubTypes.Type(value = Fault.LoseAnswers.class, name = "lose-answers")
    })
    sealed interface Fault {
        /** Answers 503 while on. */
        record Outage(boolean on) implements Fault {}

        /** Delays each operation before its effect. */
        record Delay(long ms) implements Fault {}

        /** Closes the connection instead of answering the next appends, after they took effect. */
        record LoseAnswers(int count) implements Fault {}
    }
}
