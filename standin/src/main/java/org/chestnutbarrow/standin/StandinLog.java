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
 * Simulated log of the platform. Thread-safe.
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
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private volatile boolean outage;
    private volatile Duration delay = Duration.ZERO;

    private StandinLog(Options options) throws InvalidInputException {
        store = new LogStore(TimeSource.SYSTEM, options.maxAge(), options.maxCount());
        server = HttpServer.start(options.bind(), HttpLimits.DEFAULT, Json.rejectMalformedInput(this::handle));
    }

    /**
     * Binds the server and starts to accept requests.
     *
     * @throws InvalidInputException if the address cannot be bound
     */
    public static StandinLog start(Options options) throws InvalidInputException {
        return new StandinLog(options);
    }

    /** Address of the server. */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private HttpResponse handle(HttpRequest request) throws Exception {
        return switch (request.method() + " " + request.path()) {
            case "POST /v1/faults" -> applyFault(request);
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
        Checks.require(!request.query("id", "").isEmpty(), "query parameter id is required");
        HttpResponse response = Json.response(200, Map.of("offset", store.append(request.body())));
        if (FaultCounters.decrementIfPositive(responsesToDrop)) {
            throw new TruncatedResponseException(response, TruncatedResponseException.Part.NOTHING);
        }
        return response;
    }

    private HttpResponse read(HttpRequest request) throws InterruptedException {
        Json.sleep(delay);
        long from = Long.parseLong(request.query("from", "0"));
        int max = Integer.parseInt(request.query("max", "1000"));
        long waitMs = Long.parseLong(request.query("waitMs", "0"));
        Checks.require(
                from >= 0 && max > 0 && waitMs >= 0, "from and waitMs must not be negative and max must be positive");
        if (outage) {
            return Json.error(503, "outage");
        }
        LogStore.Batch batch = store.read(from, max, Duration.ofMillis(waitMs));
        return outage ? Json.error(503, "outage") : Json.response(200, batch);
    }

    private HttpResponse applyFault(HttpRequest request) throws JsonProcessingException {
        switch (Json.parse(request, Fault.class)) {
            case Fault.Outage(boolean on) -> outage = on;
            case Fault.Delay(long ms) -> delay = Duration.ofMillis(ms);
            case Fault.LoseAnswers(int count) -> responsesToDrop.set(count);
        }
        return Json.ok();
    }

    /**
     * Settings of the log.
     *
     * @param bind listen address; port 0 selects an ephemeral port
     * @param maxAge maximum age of records
     * @param maxCount maximum number of records
     */
    public record Options(Address bind, Duration maxAge, int maxCount) {
        /** Ephemeral loopback port, retention of one hour and one million records. */
        public static final Options DEFAULT = new Options(Address.parse("127.0.0.1:0"), Duration.ofHours(1), 1_000_000);

        public Options {
            Checks.require(maxAge.isPositive() && maxCount > 0, "maxAge and maxCount must be positive");
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
        /** Responds with status 503 to all operations while on. */
        record Outage(boolean on) implements Fault {}

        /** Delays each operation before it takes effect. */
        record Delay(long ms) implements Fault {}

        /** Closes the connection without a response for the next appends, after they have taken effect. */
        record LoseAnswers(int count) implements Fault {}
    }
}
