package org.chestnutbarrow.bench;

/** What a worker recorded. Times are wall-clock milliseconds. Immutable. */
public sealed interface Observation {
    /** Worker that recorded it. */
    String worker();

    /** When it happened. */
    long atMs();

    /** The worker was in use this much right after an event. */
    record InUse(String worker, long atMs, int slots, int connections, int milliCores, long memoryMiB, int accelerators)
            implements Observation {}

    /** An attempt started, with the work that its checkpoint already held. */
    record TaskStarted(String worker, long atMs, String task, String attempt, String workClass, long doneMs)
            implements Observation {}

    /** An attempt ended. */
    record TaskEnded(String worker, long atMs, String task, String attempt, String state, long doneMs)
            implements Observation {}

    /** The endpoint began to serve a request. */
    record RequestStarted(String worker, long atMs, String requestId, String workClass) implements Observation {}

    /** The worker granted its lease to a daemon; what starts from then on starts under this epoch. */
    record LeaseGranted(String worker, long atMs, String holder, long epoch) implements Observation {}
}
