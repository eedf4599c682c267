package org.chestnutbarrow.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.Map;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/** JSON encoding of the platform's protocol. Stateless. */
final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private Json() {}

    static <T> T parse(HttpRequest request, Class<T> type) throws JsonProcessingException {
        T value = MAPPER.readValue(request.text(), type);
        if (value == null) {
            throw new IllegalArgumentException("request body must not be null");
        }
        return value;
    }

    static String serialize(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize " + value.getClass() + " as JSON", e);
        }
    }

    static HttpResponse response(int status, Object value) {
        return HttpResponse.json(status, serialize(value));
    }

    static HttpResponse ok() {
        return response(200, Map.of());
    }

    static HttpResponse error(int status, String error) {
        return response(status, Map.of("error", error));
    }

    /** Wraps a handler so that malformed input yields status 400 instead of 500. */
    static HttpHandler rejectMalformedInput(HttpHandler handler) {
        return request -> {
            try {
                return handler.handle(request);
            } catch (JsonProcessingException e) {
                return error(400, "malformed request body: " + e.getOriginalMessage());
            } catch (IllegalArgumentException e) {
                return error(400, String.valueOf(e.getMessage()));
            }
        };
    }

    static void sleep(Duration time) throws InterruptedException {
        if (time.isPositive()) {
            Thread.sleep(time);
        }
    }
}
