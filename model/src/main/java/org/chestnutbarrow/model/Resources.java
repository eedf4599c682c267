package org.chestnutbarrow.model;

/**
 * An amount of each kind of resource: the capacity of a worker, or the demand of a request or task.
 *
 * @param slots requests that an endpoint serves concurrently
 * @param connections open connections to an endpoint
 * @param milliCores processor time in thousandths of a core
 * @param memoryMiB memory in mebibytes
 * @param accelerators whole accelerators
 */
public record Resources(int slots, int connections, int milliCores, long memoryMiB, int accelerators) {
    /** Zero of every kind. */
    public static final Resources NONE = new Resources(0, 0, 0, 0, 0);

    /** The resources that one interactive request holds while it runs: one slot and one connection. */
    public static final Resources ONE_REQUEST = new Resources(1, 1, 0, 0, 0);

    /**
     * No host has more and no task can use more. The sum of two amounts within this bound is exact; amounts beyond it
     * are refused where they are read.
     */
    public static final Resources MAX_PER_HOST =
            new Resources(1_000_000, 1_000_000, 1_000_000_000, 1_000_000_000_000L, 1_000_000);

    public Resources {
        Checks.require(slots >= 0, "slots must not be negative");
        Checks.require(connections >= 0, "connections must not be negative");
        Checks.require(milliCores >= 0, "milliCores must not be negative");
        Checks.require(memoryMiB >= 0, "memoryMiB must not be negative");
        Checks.require(accelerators >= 0, "accelerators must not be negative");
    }

    /** Returns the sum of each kind, at most the largest value of its field. */
    public Resources plus(Resources other) {
        return new Resources(
                sum(slots, other.slots),
                sum(connections, other.connections),
                sum(milliCores, other.milliCores),
                memoryMiB > Long.MAX_VALUE - other.memoryMiB ? Long.MAX_VALUE : memoryMiB + other.memoryMiB,
                sum(accelerators, other.accelerators));
    }

    private static int sum(int a, int b) {
        return (int) Math.min(Integer.MAX_VALUE, (long) a + b);
    }

    /** Returns the difference of each kind, at least zero. */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, slots - other.slots),
                Math.max(0, connections - other.connections),
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMiB - other.memoryMiB),
                Math.max(0, accelerators - other.accelerators));
    }

    /** Returns this amount multiplied by {@code factor}, which must not be negative. */
    public Resources times(int factor) {
        return new Resources(
                slots * factor, connections * factor, milliCores * factor, memoryMiB * factor, accelerators * factor);
    }

    /** Returns whether no kind of this amount exceeds {@code available}. */
    public boolean fitsIn(Resources available) {
        return slots <= available.slots
                && connections <= available.connections
                && milliCores <= available.milliCores
                && memoryMiB <= available.memoryMiB
                && accelerators <= available.accelerators;
    }
}
