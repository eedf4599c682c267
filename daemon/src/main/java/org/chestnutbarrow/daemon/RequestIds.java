package org.chestnutbarrow.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;

/**
 * The ids of requests: {@code <epochMillis>-<random>}. Stateless; safe for use by several threads.
 *
 * <p>The time lets a daemon refuse an id whose receipt may have expired.
 */
final class RequestIds {
    /** How long receipts are kept. */
    static final Duration RECEIPT_LIFETIME = Duration.ofMinutes(15);

    /** How far a caller's clock may be ahead. */
    private static final Duration CLOCK_SKEW = Duration.ofMinutes(1);

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int RANDOM_BYTES = 8;

    private RequestIds() {}

    /** A new id. */
    static String next(Instant now) {
        byte[] random = new byte[RANDOM_BYTES];
        RANDOM.nextBytes(random);
        return now.toEpochMilli() + "-" + HexFormat.of().formatHex(random);
    }

    /**
     * Checks an id that a caller chose for a non-idempotent request.
     *
     * @return the time in it
     * @throws InvalidInputException if it has another form, is older than receipts are kept, or lies in the future
     */
    static Instant check(String id, Instant now) throws InvalidInputException {
        Instant made = parse(id);
        if (made.isBefore(now.minus(RECEIPT_LIFETIME))) {
            throw new InvalidInputException(
                    "request id " + id + " is older than receipts are kept",
                    "ask the service whether it ran; a new id makes it a new request");
        }
        if (made.isAfter(now.plus(CLOCK_SKEW))) {
            throw new InvalidInputException("request id " + id + " lies in the future", "set the caller's clock");
        }
        return made;
    }

    private static Instant parse(String id) throws InvalidInputException {
        try {
            Checks.identifier("request id", id);
            int dash = id.indexOf('-');
            Checks.require(dash > 0 && dash < id.length() - 1, "request id needs a dash");
            return Instant.ofEpochMilli(Long.parseLong(id.substring(0, dash)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(
                    "malformed request id", "use the form <epochMillis>-<random>, for example 1767225600000-4f1c", e);
        }
    }
}
