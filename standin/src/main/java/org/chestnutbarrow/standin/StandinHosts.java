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
 * Simulated host list of the platform. Thread-safe.
 *
 * <pre>{@code
 * try (StandinHosts hosts = StandinHosts.start(StandinHosts.Options.DEFAULT)) {
 *     use(hosts.address());
 * }
 * }</pre>
 */
public final class StandinHosts implements AutoCloseable {
    private static final String HOSTS_PATH = "/v1/hosts";

    private final HostTable table;
    private final HttpServer server;

    private StandinHosts(Options options) throws InvalidInputException {
        table = new HostTable(TimeSource.SYSTEM, options.lag(), options.registrationTtl());
        server = HttpServer.start(options.bind(), HttpLimits.DEFAULT, Json.rejectMalformedInput(this::handle));
    }

    /**
     * Binds the server and starts to accept requests.
     *
     * @throws InvalidInputException if the address cannot be bound
     */
    public static StandinHosts start(Options options) throws InvalidInputException {
        return new StandinHosts(options);
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
        String path = request.path();
        if (path.startsWith(HOSTS_PATH + "/")) {
            return handleHostRequest(request, path.substring(HOSTS_PATH.length() + 1));
        }
        return switch (request.method() + " " + path) {
            case "GET " + HOSTS_PATH -> Json.response(200, table.list());
            case "POST /v1/faults" -> applyFault(request);
            default -> Json.error(404, "no such path");
        };
    }

    private HttpResponse handleHostRequest(HttpRequest request, String id) throws JsonProcessingException {
        switch (request.method()) {
            case "PUT" -> {
                HostEntry entry = Json.parse(request, HostEntry.class);
                Checks.require(entry.id().equals(id), "id in the body must match the id in the path");
                table.put(entry);
            }
            case "DELETE" -> table.remove(id);
            default -> {
                return Json.error(405, "use PUT or DELETE");
            }
        }
        return Json.ok();
    }

    private HttpResponse applyFault(HttpRequest request) throws JsonProcessingException {
        switch (Json.parse(request, Fault.class)) {
            case Fault.Lag(long ms) -> table.setLag(Duration.ofMillis(ms));
            case Fault.Freeze(boolean on) -> table.setFrozen(on);
        }
        return Json.ok();
    }

    /**
     * Settings of the host list.
     *
     * @param bind listen address; port 0 selects an ephemeral port
     * @param lag delay until changes become visible in the list
     * @param registrationTtl time after its last registration at which a host is removed
     */
    public record Options(Address bind, Duration lag, Duration registrationTtl) {
        /** Ephemeral loopback port, no lag, hosts removed after 10 s. */
        public static final Options DEFAULT =
                new Options(Address.parse("127.0.0.1:0"), Duration.ZERO, Duration.ofSeconds(10));

        public Options {
            Checks.require(
                    !lag.isNegative() && registrationTtl.isPositive(),
                    "lag must not be negative and registrationTtl must be positive");
        }
    }

    /** Body of {@code POST /v1/faults}, for example {@code {"fault":"lag","ms":5000}}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Fault.Lag.class, name = "lag"),
        @JsonSubTypes.Type(value = Fault.Freeze.class, name = "freeze")
    })
    sealed interface Fault {
        /** Sets the lag of the list. */
        record Lag(long ms) implements Fault {}

        /** Stops updates of the list while on. */
        record Freeze(boolean on) implements Fault {}
    }
}
