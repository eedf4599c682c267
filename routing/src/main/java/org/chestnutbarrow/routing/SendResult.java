package org.chestnutbarrow.routing;

import java.time.Duration;

/** The result of sending a request to a worker. Immutable. */
public sealed interface SendResult {
    /** A complete response arrived after the given time. */
    record Answered(Duration latency, int status) implements SendResult {}

    /** No byte of the request was written. */
    record NotSent() implements SendResult {}

    /** The request was at least partly written, and no complete response arrived within the given time. */
    record Lost(Duration latency) implements SendResult {}
}
