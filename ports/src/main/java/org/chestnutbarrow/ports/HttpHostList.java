package org.chestnutbarrow.ports;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Client of the host list over HTTP. Safe for use by several threads.
 *
 * <p>Malformed entries are logged and skipped, so that one of them does not hide all other hosts.
 */
public final class HttpHostList implements HostList {
    private static final Logger log = System.getLogger(HttpHostList.class.getName());
    private static final int OK = 200;

    private final HttpClient client;
    private final Address address;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param address address of the host list service
     * @param timeout timeout of a fetch
     */
    public HttpHostList(HttpClient client, Address address, Duration timeout) {
        Checks.require(timeout.isPositive(), "timeout must be positive");
        this.client = client;
        this.address = address;
        this.timeout = timeout;
    }

    @Override
    public Listing fetch() throws UnavailableException {
        try {
            HttpResponse response = client.send(address, HttpRequest.get("/v1/hosts"), timeout);
            if (response.status() != OK) {
                throw unavailable(Responses.describe(response), null);
            }
            Map<String, byte[]> fields = JsonParts.fields(response.body());
            Checks.require(fields.containsKey("asOf") && fields.containsKey("hosts"), "asOf or hosts is missing");
            List<Worker> workers = JsonParts.elements(fields.get("hosts")).stream()
                    .map(HttpHostList::readWorker)
                    .flatMap(Optional::stream)
                    .toList();
            return new Listing(Instant.ofEpochMilli(Json.number(fields.get("asOf"), "asOf")), workers);
        } catch (NotRunException | OutcomeUnknownException | IllegalArgumentException e) {
            throw unavailable(e.getMessage(), e);
        }
    }

    private static Optional<Worker> readWorker(byte[] entry) {
        try {
            return Optional.of(worker(Json.parse(entry)));
        } catch (IllegalArgumentException e) {
            log.log(Level.WARNING, () -> "event=host-ignored reason=\"" + e.getMessage() + "\"");
            return Optional.empty();
        }
    }

    private static Worker worker(JsonNode node) {
        String state = Json.text(node, "state");
        Checks.require(state.equals("LIVE") || state.equals("LEAVING"), "state must be LIVE or LEAVING");
        return new Worker(
                new WorkerId(Json.text(node, "id")),
                new AvailabilityZone(Json.text(node, "availabilityZone")),
                Json.text(node, "rack"),
                Json.address(node, "control"),
                Json.address(node, "endpoint"),
                state.equals("LEAVING"),
                Json.resources(Json.child(node, "capacity")));
    }

    private UnavailableException unavailable(String reason, Exception cause) {
        return new UnavailableException(
                "cannot fetch the host list from " + address + ": " + reason, "fetch it again later", cause);
    }
}
