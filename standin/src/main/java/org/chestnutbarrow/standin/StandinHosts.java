package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.TimeSource;

/**
 * The platform's host list. Safe for use by several threads.
 *
 * <pre>{@code
 * try (StandinHosts hosts = StandinHosts.start(StandinHosts.Options.DEFAULT)) {
 *     use(hosts.address());
 * }
 * }</pre>
 */
public final class StandinHosts implements AutoCloseable {
    private static final String HOSTS = "/v1/hosts";

    private final HostTable table;
    private final HttpServer server;

    private StandinHosts(Options options) throws InvalidInputException {
        table = new HostTable(TimeSource.SYSTEM, options.lag(), options.expiry());
        server = HttpServer.start(options.bind(), HttpLimits.DEFAULT, Json.checked(this::handle));
    }

    /**
     * Binds and starts to accept.
     *
     * @throws InvalidInputException if the address cannot be bound
     */
    public static StandinHosts start(Options options) throws InvalidInputException {
        return new StandinHosts(options);
    }

    /** Where the list answers. */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private HttpResponse handle(HttpRequest request) throws Exception {
        String path = request.path();
        if (path.startsWith(HOSTS + "/")) {
            return change(request, path.substring(HOSTS.length() + 1));
        }
        return switch (request.method() + " " + path) {
            case "GET " + HOSTS -> Json.answer(200, table.list());
            case "POST /v1/faults" -> fault(request);
            default -> Json.error(404, "no such path");
        };
    }

    private HttpResponse change(HttpRequest request, String id) throws JsonProcessingException {
        switch (request.method()) {
            case "PUT" -> {
                HostEntry entry = Json.read(request, HostEntry.class);
                Checks.require(entry.id().equals(id), "the id in the body must be that of the path");
                table.put(entry);
            }
            case "DELETE" -> table.remove(id);
            default -> {
                return Json.error(405, "use PUT or DELETE");
            }
        }
        return Json.ok();
    }

    private HttpResponse fault(HttpRequest request) throws JsonProcessingException {
        switch (Json.read(request, Fault.class)) {
            case Fault.Lag(long ms) -> table.setLag(Duration.ofMillis(ms));
            case Fault.Freeze(boolean on) -> table.freeze(on);
        }
        return Json.ok();
    }

    /**
     * How the list runs.
     *
     * @param bind where to listen; port 0 lets the system choose
     * @param lag how far the list is behind
     * @param expiry time after the last registration at which a host is dropped
     */
    public record Options(Address bind, Duration lag, Duration expiry) {
        /** Any port of loopback, no lag, hosts dropped after 10 s. */
        public static final Options DEFAULT =
                new Options(Address.parse("127.0.0.1:0"), Duration.ZERO, Duration.ofSeconds(10));

        public Options {
            Checks.require(!lag.isNegative() && expiry.isPositive(), "lag must not be negative, expiry positive");
        }
    }

    /** Body of {@code POST /v1/faults}, for example {@code {"fault":"lag","ms":5000}}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Fault.Lag.class, name = "lag"),
        @JsonSubTypes.Type(value = Fault.Freeze.class, name = "freeze")
    })
    sealed interface Fault {
        /** Sets how far the list is behind. */
        record Lag(long ms) implements Fault {}

        /** Keeps the list as it is while on. */
        record Freeze(boolean on) implements Fault {}
    }
}
