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
 * Sends commands to the first daemon that can be reached. Used by one thread.
 *
 * <p>Invariant: a command that changes something goes to another daemon only if the last one certainly did not take it.
 */
final class DaemonClient implements AutoCloseable {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http = new HttpClient(MAX_ANSWER_BYTES);
    private final List<Address> daemons;
    private final Duration timeout;

    DaemonClient(List<Address> daemons, Duration timeout) {
        this.daemons = List.copyOf(daemons);
        this.timeout = timeout;
    }

    /** Reads from the first daemon that answers. */
    Answer get(String target) throws NotRunException {
        NotRunException last = new NotRunException("no daemon is given", "use --daemon IP:PORT");
        for (Address daemon : daemons) {
            try {
                return answer(http.send(daemon, HttpRequest.get(target), timeout));
            } catch (NotRunException e) {
                last = e;
            } catch (OutcomeUnknownException e) {
                last = new NotRunException(daemon + " did not answer", "try again or use another daemon", e);
            }
        }
        throw last;
    }

    /** Sends a change to the first daemon that takes it. */
    Answer post(String target, JsonNode body) throws NotRunException, OutcomeUnknownException {
        HttpRequest request = HttpRequest.json("POST", target, body.toString());
        NotRunException last = new NotRunException("no daemon is given", "use --daemon IP:PORT");
        for (int i = 0; i < daemons.size(); i++) {
            try {
                Answer answer = answer(http.send(daemons.get(i), request, timeout));
                boolean refused =
                        answer.status() == UNAVAILABLE && answer.text("result").equals("not-applied");
                if (!refused || i == daemons.size() - 1) {
                    return answer;
                }
            } catch (NotRunException e) {
                last = e;
            }
        }
        throw last;
    }

    private static Answer answer(HttpResponse response) {
        try {
            JsonNode body = Json.MAPPER.readTree(response.body());
            if (body != null && body.isObject()) {
                return new Answer(response.status(), body);
            }
        } catch (IOException e) {
            return new Answer(response.status(), message(response.text()));
        }
        return new Answer(response.status(), message(response.text()));
    }

    private static JsonNode message(String text) {
        return JsonNodeFactory.instance.objectNode().put("message", text.strip());
    }

    @Override
    public void close() {
        http.close();
    }
}
