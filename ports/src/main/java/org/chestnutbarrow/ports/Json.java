package org.chestnutbarrow.ports;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.Function;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;

/**
 * Reads and writes the JSON bodies of the platform's services. Stateless. Malformed bodies cause an
 * {@link IllegalArgumentException} that names the field.
 */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String write(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    static JsonNode parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            Checks.require(node != null && node.isObject(), "body is not a JSON object");
            return node;
        } catch (IOException e) {
            throw new IllegalArgumentException("body is not JSON", e);
        }
    }

    /** Parses a text that is an integer only. */
    static long number(byte[] text, String name) {
        try {
            JsonNode value = MAPPER.readTree(text);
            Checks.require(value.isIntegralNumber() && value.canConvertToLong(), name + " is not an integer");
            return value.longValue();
        } catch (IOException e) {
            throw new IllegalArgumentException(name + " is not JSON", e);
        }
    }

    static String text(JsonNode node, String name) {
        JsonNode value = field(node, name);
        Checks.require(value.isTextual(), name + " is not a string");
        return value.textValue();
    }

    static long number(JsonNode node, String name) {
        JsonNode value = field(node, name);
        Checks.require(value.isIntegralNumber() && value.canConvertToLong(), name + " is not an integer");
        return value.longValue();
    }

    static int intNumber(JsonNode node, String name) {
        long value = number(node, name);
        Checks.require(value == (int) value, name + " is out of range");
        return (int) value;
    }

    static double decimal(JsonNode node, String name) {
        JsonNode value = field(node, name);
        Checks.require(value.isNumber(), name + " is not a number");
        return value.doubleValue();
    }

    static byte[] binary(JsonNode node, String name) {
        return Base64.getDecoder().decode(text(node, name));
    }

    static Address address(JsonNode node, String name) {
        return Address.parse(text(node, name));
    }

    static JsonNode child(JsonNode node, String name) {
        JsonNode value = field(node, name);
        Checks.require(value.isObject(), name + " is not an object");
        return value;
    }

    static <T> List<T> list(JsonNode node, String name, Function<JsonNode, T> parser) {
        JsonNode values = field(node, name);
        Checks.require(values.isArray(), name + " is not an array");
        List<T> result = new ArrayList<>(values.size());
        values.forEach(value -> result.add(parser.apply(value)));
        return result;
    }

    static Resources resources(JsonNode node) {
        return new Resources(
                intNumber(node, "slots"),
                intNumber(node, "connections"),
                intNumber(node, "milliCores"),
                number(node, "memoryMiB"),
                intNumber(node, "accelerators"));
    }

    static ObjectNode write(Resources resources) {
        return object().put("slots", resources.slots())
                .put("connections", resources.connections())
                .put("milliCores", resources.milliCores())
                .put("memoryMiB", resources.memoryMiB())
                .put("accelerators", resources.accelerators());
    }

    private static JsonNode field(JsonNode node, String name) {
        JsonNode value = node.get(name);
        Checks.require(value != null && !value.isNull(), name + " is missing");
        return value;
    }
}
