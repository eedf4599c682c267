package org.chestnutbarrow.routing;

import java.time.Duration;

/** What became of a request that was sent to a worker. Immutable. */
public sealed interface SendResult {
    /** A whole answer came after that time. */
    record Answered(Duration latency, int status) implements SendResult {}

    /** No byte was written. */
    record NotSent() implements SendResult {}

    /** Bytes were written and no whole answer came within that time. */
    record Lost(Duration latency) implements SendResult {}
}
