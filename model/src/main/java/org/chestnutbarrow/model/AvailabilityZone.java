package org.chestnutbarrow.model;

/**
 * Identifies an availability zone: a set of racks that fail, or are taken out of service, together.
 *
 * @param value 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    public AvailabilityZone {
        Checks.identifier("availability zone", value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
