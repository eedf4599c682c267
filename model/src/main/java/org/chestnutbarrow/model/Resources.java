package org.chestnutbarrow.model;

/**
 * An amount of each kind of resource: the capacity of a worker, or the demand of a request or task.
 *
 * @param slots concurrent requests that an endpoint serves
 * @param connections open connections to an endpoint
 * @param milliCores processor time in thousandths of a core
 * @param memoryMiB memory in mebibytes
 * @param accelerators whole accelerators
 */
public record Resources(int slots, int connections, int milliCores, long memoryMiB, int accelerators) {
    /** Nothing of any kind. */
    public static final Resources NONE = new Resources(0, 0, 0, 0, 0);

    /** What one interactive request holds while it runs: one slot and one connection. */
    public static final Resources ONE_REQUEST = new Resources(1, 1, 0, 0, 0);

    public Resources {
        Checks.require(slots >= 0, "slots must not be negative");
        Checks.require(connections >= 0, "connections must not be negative");
        Checks.require(milliCores >= 0, "milliCores must not be negative");
        Checks.require(memoryMiB >= 0, "memoryMiB must not be negative");
        Checks.require(accelerators >= 0, "accelerators must not be negative");
    }

    /** The sum, kind by kind. */
    public Resources plus(Resources other) {
        return new Resources(
                slots + other.slots,
                connections + other.connections,
                milliCores + other.milliCores,
                memoryMiB + other.memoryMiB,
                accelerators + other.accelerators);
    }

    /** The difference, kind by kind, never below zero. */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, slots - other.slots),
                Math.max(0, connections - other.connections),
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMiB - other.memoryMiB),
                Math.max(0, accelerators - other.accelerators));
    }

    /** This amount {@code factor} times; {@code factor} must not be negative. */
    public Resources times(int factor) {
        return new Resources(
                slots * factor, connections * factor, milliCores * factor, memoryMiB * factor, accelerators * factor);
    }

    /** Whether this amount is no larger than {@code room} in any kind. */
    public boolean fitsIn(Resources room) {
        return slots <= room.slots
                && connections <= room.connections
                && milliCores <= room.milliCores
                && memoryMiB <= room.memoryMiB
                && accelerators <= room.accelerators;
    }
}
