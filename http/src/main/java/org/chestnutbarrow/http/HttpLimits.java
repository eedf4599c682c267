package org.chestnutbarrow.http;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Limits that protect a server from large requests, slow clients and too many connections.
 *
 * @param maxHeaderBytes maximum size of the header fields
 * @param maxBodyBytes maximum size of a request body; a larger one is rejected with status 413
 * @param maxConnections maximum number of open connections; further ones are closed immediately
 * @param receiveTimeout maximum time between the first and the last byte of a request
 * @param idleTimeout maximum time that a connection may be idle between requests
 */
public record HttpLimits(
        int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration receiveTimeout, Duration idleTimeout) {
    /** Limits suitable for a small entry host. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(16 * 1024, 1024 * 1024, 4096, Duration.ofSeconds(10), Duration.ofMinutes(1));

    public HttpLimits {
        Checks.require(maxHeaderBytes > 0 && maxBodyBytes >= 0 && maxConnections > 0, "limits must be positive");
        Checks.require(receiveTimeout.isPositive() && idleTimeout.isPositive(), "timeouts must be positive");
    }
}
