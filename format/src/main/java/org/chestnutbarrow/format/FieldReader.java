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
 * Takes the fields of one object by name and reports what is missing, malformed or unknown. Used by one thread. A value
 * that was reported is empty, and the caller goes on with the other fields.
 */
final class FieldReader {
    private final Node.Fields node;
    private final Problems problems;
    private final Set<String> taken = new HashSet<>();

    private FieldReader(Node.Fields node, Problems problems) {
        this.node = node;
        this.problems = problems;
    }

    /** A reader of the node; if it is not an object, reports that and reads nothing. */
    static Optional<FieldReader> of(Node node, Problems problems) {
        if (node instanceof Node.Fields fields) {
            return Optional.of(new FieldReader(fields, problems));
        }
        problems.add(node, "an object is expected", "write { ... }");
        return Optional.empty();
    }

    Node node() {
        return node;
    }

    /** A field that may be left out. */
    Optional<Node> optional(String name) {
        taken.add(name);
        return Optional.ofNullable(node.fields().get(name));
    }

    /** A field that must be there; {@code example} is what the remedy tells to write. */
    Optional<Node> required(String name, String example) {
        Optional<Node> value = optional(name);
        if (value.isEmpty()) {
            String path = node.path().isEmpty() ? name : node.path() + "." + name;
            problems.add(node.line(), path, "the field is missing", "add \"" + name + "\": " + example);
        }
        return value;
    }

    /** Parses a scalar; {@code expected} names the allowed form or range with its unit. */
    <T> Optional<T> parse(Optional<Node> value, String expected, Function<String, T> parse) {
        return value.flatMap(found -> parse(found, expected, parse, problems));
    }

    static <T> Optional<T> parse(Node value, String expected, Function<String, T> parse, Problems problems) {
        if (!(value instanceof Node.Scalar scalar) || scalar.token() == JsonToken.VALUE_NULL) {
            problems.add(value, "value has the wrong kind", "write " + expected);
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

    /** The fields of an object whose names are chosen by the author. */
    Map<String, Node> entries(Optional<Node> value) {
        Map<String, Node> entries = new LinkedHashMap<>();
        value.flatMap(found -> of(found, problems)).ifPresent(reader -> entries.putAll(reader.node.fields()));
        return entries;
    }

    /** The elements of an array. */
    List<Node> items(Optional<Node> value) {
        if (value.isEmpty()) {
            return List.of();
        }
        if (value.get() instanceof Node.Items items) {
            return items.items();
        }
        problems.add(value.get(), "a list is expected", "write [ ... ]");
        return List.of();
    }

    /** Reports fields that nobody took. */
    void finish() {
        node.fields().forEach((name, value) -> {
            if (!taken.contains(name)) {
                String known = String.join(", ", taken.stream().sorted().toList());
                problems.add(value, "unknown field", "remove it; the fields here are " + known);
            }
        });
    }
}
