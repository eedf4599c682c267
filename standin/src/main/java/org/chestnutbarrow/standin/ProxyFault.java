package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Fault of a proxy pair, of which one is active at a time; for example {@code {"fault":"delay","ms":50}}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ProxyFault.None.class, name = "none"),
    @JsonSubTypes.Type(value = ProxyFault.Delay.class, name = "delay"),
    @JsonSubTypes.Type(value = ProxyFault.Cut.class, name = "cut"),
    @JsonSubTypes.Type(value = ProxyFault.Freeze.class, name = "freeze"),
    @JsonSubTypes.Type(value = ProxyFault.Drop.class, name = "drop"),
    @JsonSubTypes.Type(value = ProxyFault.HalfClose.class, name = "half-close"),
    @JsonSubTypes.Type(value = ProxyFault.CutAfter.class, name = "cut-after"),
    @JsonSubTypes.Type(value = ProxyFault.Duplicate.class, name = "duplicate")
})
public sealed interface ProxyFault {
    /** Forwards all data; frozen connections resume. */
    record None() implements ProxyFault {}

    /** Forwards all data with a delay, in both directions. */
    record Delay(long ms) implements ProxyFault {}

    /** Closes all connections and closes new ones immediately. */
    record Cut() implements ProxyFault {}

    /** Accepts connections but forwards nothing until another fault is set. */
    record Freeze() implements ProxyFault {}

    /** Discards all data in one direction. */
    record Drop(Direction direction) implements ProxyFault {}

    /** Half-closes the connections that are currently open in one direction; new connections are not affected. */
    record HalfClose(Direction direction) implements ProxyFault {}

    /** Closes each connection after it has forwarded this many bytes to the caller since the fault was set. */
    record CutAfter(long bytes) implements ProxyFault {}

    /** Forwards each chunk read from the target twice; a response of up to 64 KiB written at once is one chunk. */
    record Duplicate() implements ProxyFault {}

    /** Direction of data on a connection. */
    enum Direction {
        TO_TARGET,
        TO_CALLER
    }
}
