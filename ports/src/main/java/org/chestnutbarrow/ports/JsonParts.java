package org.chestnutbarrow.ports;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.Checks;

/**
 * Splits a JSON text into the texts of its parts, which are parsed one by one, so that a part that exceeds a limit of the
 * parser does not hide the others. Stateless.
 *
 * <p>Invariant: stack and memory do not grow with the nesting of a part.
 */
final class JsonParts {
    private JsonParts() {}

    /** Returns the texts of the values of an object by name; of equal names the last one. */
    static Map<String, byte[]> fields(byte[] object) {
        Map<String, byte[]> fields = new HashMap<>();
        for (byte[] field : split(object, '{', '}')) {
            int nameStart = skipSpace(field, 0);
            Checks.require(nameStart < field.length && field[nameStart] == '"', "a field has no name");
            int nameEnd = endOfString(field, nameStart);
            int colon = skipSpace(field, nameEnd + 1);
            Checks.require(colon < field.length && field[colon] == ':', "a field has no value");
            String name = new String(field, nameStart + 1, nameEnd - nameStart - 1, StandardCharsets.UTF_8);
            fields.put(name, Arrays.copyOfRange(field, colon + 1, field.length));
        }
        return fields;
    }

    /** Returns the texts of the elements of an array. */
    static List<byte[]> elements(byte[] array) {
        return split(array, '[', ']');
    }

    private static List<byte[]> split(byte[] text, char open, char close) {
        int start = skipSpace(text, 0);
        Checks.require(start < text.length && text[start] == open, "the text does not begin with " + open);
        List<byte[]> parts = new ArrayList<>();
        int partStart = start + 1;
        int depth = 0;
        for (int i = start + 1; i < text.length; i++) {
            switch (text[i]) {
                case '"' -> i = endOfString(text, i);
                case '[', '{' -> depth++;
                case ',' -> {
                    if (depth == 0) {
                        parts.add(Arrays.copyOfRange(text, partStart, i));
                        partStart = i + 1;
                    }
                }
                case ']', '}' -> {
                    depth--;
                    if (depth < 0) {
                        Checks.require(text[i] == close, "the text does not end with " + close);
                        Checks.require(skipSpace(text, i + 1) == text.length, "text after the end");
                        if (!parts.isEmpty() || skipSpace(text, partStart) < i) {
                            parts.add(Arrays.copyOfRange(text, partStart, i));
                        }
                        return parts;
                    }
                }
                default -> {}
            }
        }
        throw new IllegalArgumentException("the text does not end with " + close);
    }

    /** Returns the index of the quote that ends the string that begins at {@code start}. */
    private static int endOfString(byte[] text, int start) {
        for (int i = start + 1; i < text.length; i++) {
            if (text[i] == '\\') {
                i++;
            } else if (text[i] == '"') {
                return i;
            }
        }
        throw new IllegalArgumentException("a string is not closed");
    }

    private static int skipSpace(byte[] text, int start) {
        int i = start;
        while (i < text.length && (text[i] == ' ' || text[i] == '\t' || text[i] == '\n' || text[i] == '\r')) {
            i++;
        }
        return i;
    }
}
