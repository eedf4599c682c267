package org.chestnutbarrow.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;

/**
 * The header fields of a message in order of transmission; names are case-insensitive. Immutable.
 *
 * <pre>{@code
 * Headers headers = Headers.of("Content-Type", "text/plain").with("Retry-After", "1");
 * }</pre>
 *
 * @param fields all fields; a name may occur more than once
 */
public record Headers(List<Field> fields) {
    /** No fields. */
    public static final Headers EMPTY = new Headers(List.of());

    public Headers {
        fields = Collections.unmodifiableList(new ArrayList<>(fields));
    }

    /** Creates headers with a single field. */
    public static Headers of(String name, String value) {
        return new Headers(List.of(new Field(name, value)));
    }

    /** Returns the value of the first field with the name. */
    public Optional<String> first(String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /** Returns a copy in which one field replaces all fields of the same name. */
    public Headers with(String name, String value) {
        List<Field> result = new ArrayList<>(without(name).fields);
        result.add(new Field(name, value));
        return new Headers(result);
    }

    /** Returns a copy without the fields of the name. */
    public Headers without(String name) {
        List<Field> result = new ArrayList<>(fields);
        result.removeIf(field -> field.name().equalsIgnoreCase(name));
        return new Headers(result);
    }

    /**
     * One header field.
     *
     * @param name field name
     * @param value field value
     */
    public record Field(String name, String value) {
        public Field {
            Checks.require(name != null && !name.isEmpty(), "header name must not be empty");
            Checks.require(value != null, "header " + name + " must have a value");
        }
    }
}
