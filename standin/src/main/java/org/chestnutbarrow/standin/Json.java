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

/** JSON bodies of the platform's protocol. Stateless. */
final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private Json() {}

    static <T> T read(HttpRequest request, Class<T> type) throws JsonProcessingException {
        T value = MAPPER.readValue(request.text(), type);
        if (value == null) {
            throw new IllegalArgumentException("the body must not be null");
        }
        return value;
    }

    static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass() + " as JSON", e);
        }
    }

    static HttpResponse answer(int status, Object value) {
        return HttpResponse.json(status, write(value));
    }

    static HttpResponse ok() {
        return answer(200, Map.of());
    }

    static HttpResponse error(int status, String error) {
        return answer(status, Map.of("error", error));
    }

    /** The handler with malformed input answered by 400 instead of 500. */
    static HttpHandler checked(HttpHandler handler) {
        return request -> {
            try {
                return handler.handle(request);
            } catch (JsonProcessingException e) {
                return error(400, "malformed body: " + e.getOriginalMessage());
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
