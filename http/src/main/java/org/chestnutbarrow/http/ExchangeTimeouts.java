package org.chestnutbarrow.http;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Timeouts of one exchange. A total or idle timeout that is not positive expires immediately.
 *
 * @param total maximum time for connecting, sending and receiving
 * @param responseDelay time for which the server may delay the response, as in long polling; the idle timeout starts
 *     afterwards, or with the first byte received
 * @param idle maximum time without receiving a byte; also limits the time for connecting
 */
public record ExchangeTimeouts(Duration total, Duration responseDelay, Duration idle) {
    public ExchangeTimeouts {
        Checks.require(!responseDelay.isNegative(), "response delay must not be negative");
    }

    /** Creates a single timeout for the whole exchange. */
    public static ExchangeTimeouts total(Duration total) {
        return new ExchangeTimeouts(total, Duration.ZERO, total);
    }
}
