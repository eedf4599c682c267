package org.chestnutbarrow.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.SchedulerException;

/** Builds the HTTP responses of the API for operators and job submitters. Stateless. */
final class ApiResponses {
    private ApiResponses() {}

    /** Returns a new, empty JSON object. */
    static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Returns a response whose body is the given JSON tree followed by a newline. */
    static HttpResponse json(int status, JsonNode body) {
        try {
            return HttpResponse.json(status, Json.MAPPER.writeValueAsString(body) + "\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be serialized", e);
        }
    }

    /** Returns an error response; {@code result} is for programs, and {@code message} is the reason for people. */
    static HttpResponse error(int status, String result, String message) {
        return json(status, newObject().put("result", result).put("message", message));
    }

    /** Returns the response to a request with invalid input. */
    static HttpResponse invalidInput(SchedulerException e) {
        return error(400, "not-applied", e.getMessage());
    }

    /** Returns the response to a request that certainly had no effect. */
    static HttpResponse notApplied(SchedulerException e) {
        return error(503, "not-applied", e.getMessage());
    }

    /** Returns the response to a request that may or may not have taken effect. */
    static HttpResponse outcomeUnknown(SchedulerException e) {
        return error(504, "unknown", e.getMessage());
    }
}
