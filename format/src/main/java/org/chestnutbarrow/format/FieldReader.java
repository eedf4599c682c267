package org.chestnutbarrow.format;

import com.fasterxml.jackson.core.JsonToken;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the fields of an object by name and reports missing, malformed and unknown ones. A field with a reported
 * problem is returned as empty, so that the caller continues with the other fields. Not safe for use by several
 * threads.
 */
final class FieldReader {
    private final Node.ObjectNode node;
    private final Problems problems;
    private final Set<String> requested = new HashSet<>();

    private FieldReader(Node.ObjectNode node, Problems problems) {
        this.node = node;
        this.problems = problems;
    }

    /** Returns a reader of the node; if the node is not an object, reports this and returns empty. */
    static Optional<FieldReader> of(Node node, Problems problems) {
        if (node instanceof Node.ObjectNode fields) {
            return Optional.of(new FieldReader(fields, problems));
        }
        problems.add(node, "expected an object", "write { ... }");
        return Optional.empty();
    }

    Node node() {
        return node;
    }

    /** Returns an optional field. */
    Optional<Node> optional(String name) {
        requested.add(name);
        return Optional.ofNullable(node.fields().get(name));
    }

    /** Returns a required field; if it is missing, the reported remedy contains {@code example}. */
    Optional<Node> required(String name, String example) {
        Optional<Node> value = optional(name);
        if (value.isEmpty()) {
            String path = node.path().isEmpty() ? name : node.path() + "." + name;
            problems.add(node.line(), path, "the field is missing", "add \"" + name + "\": " + example);
        }
        return value;
    }

    /** Parses a scalar; {@code expected} describes the allowed format or range with its unit. */
    <T> Optional<T> parse(Optional<Node> value, String expected, Function<String, T> parse) {
        return value.flatMap(found -> parse(found, expected, parse, problems));
    }

    static <T> Optional<T> parse(Node value, String expected, Function<String, T> parse, Problems problems) {
        if (!(value instanceof Node.ScalarNode scalar) || scalar.token() == JsonToken.VALUE_NULL) {
            problems.add(value, "value has the wrong type", "write " + expected);
            return Optional.empty();
        }
        try {
            return Optional.of(parse.apply(scalar.text()));
        } catch (RuntimeException e) {
            problems.add(value, "\"" + scalar.text() + "\" is not valid", "write " + expected);
            return Optional.empty();
        }
    }

    Optional<Integer> number(Optional<Node> value, int min, int max, String unit) {
        String expected = "a number from " + min + " to " + max + (unit.isEmpty() ? "" : " " + unit);
        return parse(value, expected, text -> {
            int number = Integer.parseInt(text);
            if (number < min || number > max) {
                throw new IllegalArgumentException(expected);
            }
            return number;
        });
    }

    /** Returns the fields of an object whose field names are not predefined. */
    Map<String, Node> entries(Optional<Node> value) {
        Map<String, Node> entries = new LinkedHashMap<>();
        value.flatMap(found -> of(found, problems)).ifPresent(reader -> entries.putAll(reader.node.fields()));
        return entries;
    }

    /** Returns the elements of an array. */
    List<Node> items(Optional<Node> value) {
        if (value.isEmpty()) {
            return List.of();
        }
        if (value.get() instanceof Node.ArrayNode items) {
            return items.items();
        }
        problems.add(value.get(), "expected a list", "write [ ... ]");
        return List.of();
    }

    /** Reports all fields that were not requested from this reader. */
    void rejectUnknownFields() {
        node.fields().forEach((name, value) -> {
            if (!requested.contains(name)) {
                String knownFields =
                        String.join(", ", requested.stream().sorted().toList());
                problems.add(value, "unknown field", "remove it; the fields here are " + knownFields);
            }
        });
    }
}
