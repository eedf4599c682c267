package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Resources;

/**
 * Event history of a worker, in order of occurrence. Guarded by the lock of {@link WorkerState}.
 *
 * <p>Invariant: event numbers are never reused; {@code dropped} is the number of oldest events that were discarded.
 */
final class Journal {
    /** Bounds memory use in long benchmarks; tests stay far below it. */
    private static final int MAX_EVENTS = 500_000;

    private final Deque<Event> events = new ArrayDeque<>();
    private long dropped;

    void add(Event event) {
        if (events.size() == MAX_EVENTS) {
            events.remove();
            dropped++;
        }
        events.add(event);
    }

    Page pageFrom(long first) {
        return new Page(
                dropped,
                dropped + events.size(),
                events.stream().skip(Math.max(0, first - dropped)).toList());
    }

    /**
     * Response body of {@code GET /v1/journal}.
     *
     * @param dropped number of events that are no longer retained
     * @param next number of the next event, for use as {@code from} in the next request
     */
    record Page(long dropped, long next, List<Event> events) {}

    /**
     * Resources in use on the worker right after an event.
     *
     * @param demand demand of the running tasks plus one slot for each request in flight
     */
    record Use(int slots, int connections, Resources demand) {}

    /** A journal event; {@code atMs} is the wall-clock time in milliseconds. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Lease.class, name = "lease"),
        @JsonSubTypes.Type(value = TaskStart.class, name = "task-start"),
        @JsonSubTypes.Type(value = TaskEnd.class, name = "task-end"),
        @JsonSubTypes.Type(value = RequestStart.class, name = "request-start"),
        @JsonSubTypes.Type(value = RequestEnd.class, name = "request-end")
    })
    sealed interface Event {}

    /** A change of the lease on the worker; renewals are not recorded. */
    record Lease(long atMs, String holder, long epoch, LeaseChange change) implements Event {}

    /** Kinds of lease changes. */
    enum LeaseChange {
        GRANTED,
        RELEASED,
        EXPIRED,
        CRASHED
    }

    /** Start of a task attempt; {@code doneMs} is the work already completed according to its checkpoint. */
    record TaskStart(
            long atMs, String task, String workClass, int shard, Attempt attempt, long epoch, long doneMs, Use use)
            implements Event {}

    /** End of a task attempt; {@code state} is a task state of the protocol or {@code CRASHED}. */
    record TaskEnd(long atMs, String task, Attempt attempt, String state, long doneMs, Use use) implements Event {}

    /** Start of a request at the endpoint. */
    record RequestStart(long atMs, long number, String requestId, String workClass, String path, long epoch, Use use)
            implements Event {}

    /** End of a request at the endpoint; {@code served} is false if the request was interrupted by a crash. */
    record RequestEnd(long atMs, long number, String requestId, String workClass, long epoch, boolean served, Use use)
            implements Event {}
}
