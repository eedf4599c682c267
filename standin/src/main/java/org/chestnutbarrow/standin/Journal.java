package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Resources;

/**
 * What happened on a worker, in order. Guarded by the lock of {@link WorkerState}.
 *
 * <p>Invariant: an event number is never used twice, and {@code dropped} says how many of the oldest are gone.
 */
final class Journal {
    /** Bounds the memory of long benches; tests stay far below it. */
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

    Page from(long number) {
        return new Page(
                dropped,
                dropped + events.size(),
                events.stream().skip(Math.max(0, number - dropped)).toList());
    }

    /**
     * The answer to {@code GET /v1/journal}.
     *
     * @param dropped events that are no longer kept
     * @param next number of the next event, to be passed as {@code from}
     */
    record Page(long dropped, long next, List<Event> events) {}

    /**
     * What is in use on the worker right after the event.
     *
     * @param demand demand of the running tasks plus one slot for each request that is served
     */
    record Use(int slots, int connections, Resources demand) {}

    /** One event; {@code atMs} is wall-clock time. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Lease.class, name = "lease"),
        @JsonSubTypes.Type(value = TaskStart.class, name = "task-start"),
        @JsonSubTypes.Type(value = TaskEnd.class, name = "task-end"),
        @JsonSubTypes.Type(value = RequestStart.class, name = "request-start"),
        @JsonSubTypes.Type(value = RequestEnd.class, name = "request-end")
    })
    sealed interface Event {}

    /** The lease on the worker changed; renewals are not recorded. */
    record Lease(long atMs, String holder, long epoch, LeaseChange change) implements Event {}

    /** How a lease changed. */
    enum LeaseChange {
        GRANTED,
        RELEASED,
        EXPIRED,
        CRASHED
    }

    /** An attempt started; {@code doneMs} is the work that its checkpoint already held. */
    record TaskStart(
            long atMs, String task, String workClass, int shard, Attempt attempt, long epoch, long doneMs, Use use)
            implements Event {}

    /** An attempt ended; the state is that of the protocol or {@code CRASHED}. */
    record TaskEnd(long atMs, String task, Attempt attempt, String state, long doneMs, Use use) implements Event {}

    /** The endpoint began to serve a request. */
    record RequestStart(long atMs, long number, String requestId, String workClass, String path, long epoch, Use use)
            implements Event {}

    /** The endpoint ended a request; {@code served} is false if the worker crashed meanwhile. */
    record RequestEnd(long atMs, long number, String requestId, String workClass, long epoch, boolean served, Use use)
            implements Event {}
}
