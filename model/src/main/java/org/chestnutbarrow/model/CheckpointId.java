package org.chestnutbarrow.model;

/**
 * Identifies a checkpoint that the platform stores for a task.
 *
 * @param value 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record CheckpointId(String value) implements Comparable<CheckpointId> {
    public CheckpointId {
        Checks.identifier("checkpoint id", value);
    }

    @Override
    public int compareTo(CheckpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
