package org.chestnutbarrow.model;

/**
 * Identifies a worker, the platform's agent that runs tasks on a host.
 *
 * @param value 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record WorkerId(String value) implements Comparable<WorkerId> {
    public WorkerId {
        Checks.identifier("worker id", value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
