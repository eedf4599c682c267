package org.chestnutbarrow.http;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * How long one exchange may take. A total or silence that is not positive has passed already.
 *
 * @param total longest time for connecting, sending and receiving together
 * @param held time for which the other side may hold the answer; silence counts from then on, or from the first byte
 * @param silence longest time without a received byte; also bounds the time for connecting
 */
public record Timeouts(Duration total, Duration held, Duration silence) {
    public Timeouts {
        Checks.require(!held.isNegative(), "the time of holding is negative");
    }

    /** One bound for the whole exchange. */
    public static Timeouts total(Duration total) {
        return new Timeouts(total, Duration.ZERO, total);
    }
}
