package org.chestnutbarrow.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.SchedulerException;

/** Answers of the operators' and submitters' interface. Stateless. */
final class Answers {
    private Answers() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static HttpResponse json(int status, JsonNode body) {
        try {
            return HttpResponse.json(status, Json.MAPPER.writeValueAsString(body) + "\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree can always be written", e);
        }
    }

    /** An answer that says what was not done and why. */
    static HttpResponse refused(int status, String result, String message) {
        return json(status, object().put("result", result).put("message", message));
    }

    static HttpResponse invalid(SchedulerException e) {
        return refused(400, "not-applied", e.getMessage());
    }

    static HttpResponse notApplied(SchedulerException e) {
        return refused(503, "not-applied", e.getMessage());
    }

    static HttpResponse unknown(SchedulerException e) {
        return refused(504, "unknown", e.getMessage());
    }
}
