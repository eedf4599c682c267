package org.chestnutbarrow.format;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.chestnutbarrow.model.Resources;

/** Format of resources in files: {@code {"cores": "2 cores", "memory": "4GiB", "accelerators": 1}}. Stateless. */
final class ResourcesFormat {
    static final String EXAMPLE = "{\"cores\": \"2 cores\", \"memory\": \"4GiB\"}";

    private static final int MAX_ACCELERATORS = 1_000_000;

    private ResourcesFormat() {}

    /** Reads an amount of resources; omitted kinds are zero. */
    static Optional<Resources> read(Node node, Problems problems) {
        return FieldReader.of(node, problems).map(reader -> {
            int cores = reader.parse(reader.optional("cores"), Units.CORES_FORM, Units::milliCores)
                    .orElse(0);
            long memory = reader.parse(reader.optional("memory"), Units.MEMORY_FORM, Units::memoryMiB)
                    .orElse(0L);
            int accelerators = reader.number(reader.optional("accelerators"), 0, MAX_ACCELERATORS, "accelerators")
                    .orElse(0);
            reader.rejectUnknownFields();
            return new Resources(0, 0, cores, memory, accelerators);
        });
    }

    static ObjectNode write(Resources amount) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("cores", Units.cores(amount.milliCores()));
        json.put("memory", Units.memory(amount.memoryMiB()));
        json.put("accelerators", amount.accelerators());
        return json;
    }

    static String text(Resources amount) {
        String text = Units.cores(amount.milliCores()) + ", " + Units.memory(amount.memoryMiB());
        return amount.accelerators() == 0 ? text : text + ", " + amount.accelerators() + " accelerators";
    }
}
