package org.chestnutbarrow.http;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Bounds that protect a server from large, slow or many callers.
 *
 * @param headerBytes most bytes of request line and header fields
 * @param bodyBytes most bytes of a body; a larger one gets 413
 * @param connections most open connections; further ones are closed at once
 * @param receive longest time from the first byte of a request to its last
 * @param idle longest time that a connection may wait between requests
 */
public record HttpLimits(int headerBytes, int bodyBytes, int connections, Duration receive, Duration idle) {
    /** Bounds that suit a small entry host. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(16 * 1024, 1024 * 1024, 4096, Duration.ofSeconds(10), Duration.ofMinutes(1));

    public HttpLimits {
        Checks.require(headerBytes > 0 && bodyBytes >= 0 && connections > 0, "limits must be positive");
        Checks.require(receive.isPositive() && idle.isPositive(), "times must be positive");
    }
}
