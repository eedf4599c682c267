package org.chestnutbarrow.model;

/**
 * Identifies a daemon by the name in its settings.
 *
 * @param value 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record DaemonId(String value) implements Comparable<DaemonId> {
    public DaemonId {
        Checks.identifier("daemon id", value);
    }

    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
