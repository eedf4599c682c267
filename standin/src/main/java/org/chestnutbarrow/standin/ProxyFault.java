package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What a pair of the proxy does to its connections; one at a time, for example {@code {"fault":"delay","ms":50}}. */
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
    /** Passes everything on; frozen connections continue. */
    record None() implements ProxyFault {}

    /** Passes everything on later, in both directions. */
    record Delay(long ms) implements ProxyFault {}

    /** Closes all connections, and new ones at once. */
    record Cut() implements ProxyFault {}

    /** Accepts connections and passes nothing on until another fault is set. */
    record Freeze() implements ProxyFault {}

    /** Discards what goes in one direction. */
    record Drop(Direction direction) implements ProxyFault {}

    /** Ends one direction of the connections that are open now; new connections are not affected. */
    record HalfClose(Direction direction) implements ProxyFault {}

    /** Closes each connection after it carried some bytes towards the caller since this was set. */
    record CutAfter(long bytes) implements ProxyFault {}

    /** Passes each piece read from the target on twice; an answer of up to 64 KiB sent at once is one piece. */
    record Duplicate() implements ProxyFault {}

    /** Direction of bytes on a connection. */
    enum Direction {
        TO_TARGET,
        TO_CALLER
    }
}
