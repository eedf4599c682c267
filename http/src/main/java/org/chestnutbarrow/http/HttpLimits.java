package org.chestnutbarrow.http;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Limits that protect a server from large requests, slow clients and too many connections.
 *
 * @param maxHeaderBytes maximum size of the header fields
 * @param maxHeaderFields maximum number of header fields; a request with more is rejected with status 400
 * @param maxBodyBytes maximum size of a request body; a larger one is rejected with status 413
 * @param maxHeldBytes maximum size of all requests that are being received or handled; beyond it the request that has
 *     been received for longest is refused with status 503
 * @param maxConnections maximum number of open connections; further ones are closed immediately
 * @param evictsSilent whether instead of a further connection the one is closed that has been open longest without a
 *     complete request, if there is one
 * @param receiveTimeout maximum time between the first and the last byte of a request
 * @param idleTimeout maximum time that a connection may be idle between requests
 */
public record HttpLimits(
        int maxHeaderBytes,
        int maxHeaderFields,
        int maxBodyBytes,
        long maxHeldBytes,
        int maxConnections,
        boolean evictsSilent,
        Duration receiveTimeout,
        Duration idleTimeout) {
    /** Each field takes about 150 bytes as objects; clients send fewer than 50. */
    private static final int DEFAULT_HEADER_FIELDS = 128;
    /** A request takes up to three times its size: as received, as body and as what the handler makes of it. */
    private static final int HEAP_FRACTION = 16;

    /** Limits suitable for a small entry host. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(16 * 1024, 1024 * 1024, 4096, Duration.ofSeconds(10), Duration.ofMinutes(1));

    public HttpLimits {
        Checks.require(
                maxHeaderBytes > 0 && maxHeaderFields > 0 && maxBodyBytes >= 0 && maxConnections > 0,
                "limits must be positive");
        Checks.require(
                maxHeldBytes >= (long) maxHeaderBytes + maxBodyBytes,
                "the bytes of all requests must be at least those of one");
        Checks.require(receiveTimeout.isPositive() && idleTimeout.isPositive(), "timeouts must be positive");
    }

    /** Creates limits that hold a sixteenth of the heap in requests, or two of the largest requests if that is more. */
    public HttpLimits(
            int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration receiveTimeout, Duration idleTimeout) {
        this(
                maxHeaderBytes,
                DEFAULT_HEADER_FIELDS,
                maxBodyBytes,
                Math.max(Runtime.getRuntime().maxMemory() / HEAP_FRACTION, 2 * ((long) maxHeaderBytes + maxBodyBytes)),
                maxConnections,
                false,
                receiveTimeout,
                idleTimeout);
    }

    /**
     * Returns these limits with another maximum number of connections, for clients that are not trusted: connections
     * without a request make way for new ones.
     */
    public HttpLimits forUntrustedClients(int connections) {
        return new HttpLimits(
                maxHeaderBytes,
                maxHeaderFields,
                maxBodyBytes,
                maxHeldBytes,
                connections,
                true,
                receiveTimeout,
                idleTimeout);
    }
}
