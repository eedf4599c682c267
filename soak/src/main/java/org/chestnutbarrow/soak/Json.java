package org.chestnutbarrow.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.chestnutbarrow.http.HttpResponse;

/** Reads and writes JSON. Stateless. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new IllegalArgumentException("not valid JSON: " + e.getMessage(), e);
        }
    }

    static JsonNode parse(String text) {
        return parse(text.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("cannot serialize a JSON tree", e);
        }
    }

    static String text(JsonNode node) {
        return new String(bytes(node), StandardCharsets.UTF_8);
    }

    static HttpResponse response(int status, JsonNode node) {
        return HttpResponse.json(status, text(node));
    }
}
