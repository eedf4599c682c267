package org.chestnutbarrow.model;

/**
 * Identifies a job; the id is chosen by the caller.
 *
 * @param value 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record JobId(String value) implements Comparable<JobId> {
    public JobId {
        Checks.identifier("job id", value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
