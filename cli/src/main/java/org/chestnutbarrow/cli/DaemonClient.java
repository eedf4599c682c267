package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * Sends requests to the first daemon that is reachable. Not thread-safe.
 *
 * <p>Invariant: a modifying request is sent to another daemon only if it is certain that the previous one did not run
 * it.
 */
final class DaemonClient implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
    private static final int HTTP_UNAVAILABLE = 503;

    private final HttpClient http = new HttpClient(MAX_RESPONSE_BYTES);
    private final List<Address> daemons;
    private final Duration timeout;

    DaemonClient(List<Address> daemons, Duration timeout) {
        this.daemons = List.copyOf(daemons);
        this.timeout = timeout;
    }

    /** Sends a GET request to the daemons in order until one responds. */
    DaemonResponse get(String target) throws NotRunException {
        NotRunException lastFailure = new NotRunException("no daemon address specified", "use --daemon IP:PORT");
        for (Address daemon : daemons) {
            try {
                return parseResponse(http.send(daemon, HttpRequest.get(target), timeout));
            } catch (NotRunException e) {
                lastFailure = e;
            } catch (OutcomeUnknownException e) {
                lastFailure = new NotRunException(daemon + " did not respond", "retry or use another daemon", e);
            }
        }
        throw lastFailure;
    }

    /** Sends a POST request to the daemons in order until one accepts it. */
    DaemonResponse post(String target, JsonNode body) throws NotRunException, OutcomeUnknownException {
        HttpRequest request = HttpRequest.json("POST", target, body.toString());
        NotRunException lastFailure = new NotRunException("no daemon address specified", "use --daemon IP:PORT");
        for (int i = 0; i < daemons.size(); i++) {
            try {
                DaemonResponse response = parseResponse(http.send(daemons.get(i), request, timeout));
                boolean refused = response.status() == HTTP_UNAVAILABLE
                        && response.textField("result").equals("not-applied");
                if (!refused || i == daemons.size() - 1) {
                    return response;
                }
            } catch (NotRunException e) {
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    private static DaemonResponse parseResponse(HttpResponse response) {
        try {
            JsonNode body = Json.MAPPER.readTree(response.body());
            if (body != null && body.isObject()) {
                return new DaemonResponse(response.status(), body);
            }
        } catch (IOException e) {
            return new DaemonResponse(response.status(), textMessage(response.text()));
        }
        return new DaemonResponse(response.status(), textMessage(response.text()));
    }

    private static JsonNode textMessage(String text) {
        return JsonNodeFactory.instance.objectNode().put("message", text.strip());
    }

    @Override
    public void close() {
        http.close();
    }
}
