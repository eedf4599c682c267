package org.chestnutbarrow.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;

/**
 * The fields of a message in the order they were sent; names are compared without case. Immutable.
 *
 * <pre>{@code
 * Headers headers = Headers.of("Content-Type", "text/plain").with("Retry-After", "1");
 * }</pre>
 *
 * @param fields all fields, a name may occur more than once
 */
public record Headers(List<Field> fields) {
    /** No fields. */
    public static final Headers NONE = new Headers(List.of());

    public Headers {
        fields = Collections.unmodifiableList(new ArrayList<>(fields));
    }

    /** A single field. */
    public static Headers of(String name, String value) {
        return new Headers(List.of(new Field(name, value)));
    }

    /** The first value of that name. */
    public Optional<String> first(String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /** These fields with all fields of that name replaced by one. */
    public Headers with(String name, String value) {
        List<Field> result = new ArrayList<>(without(name).fields);
        result.add(new Field(name, value));
        return new Headers(result);
    }

    /** These fields without those of that name. */
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
            Checks.require(name != null && !name.isEmpty(), "header needs a name");
            Checks.require(value != null, "header " + name + " needs a value");
        }
    }
}
