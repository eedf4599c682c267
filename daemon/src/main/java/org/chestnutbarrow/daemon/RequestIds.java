package org.chestnutbarrow.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;

/**
 * Generates and checks request ids of the form {@code <epochMillis>-<random>}. Stateless; safe for use by several
 * threads.
 *
 * <p>The time allows a daemon to refuse an id whose receipt may have expired.
 */
final class RequestIds {
    /** How long receipts are kept. */
    static final Duration RECEIPT_LIFETIME = Duration.ofMinutes(15);

    /** How far a caller's clock may be ahead of this daemon's. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(1);

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int RANDOM_BYTES = 8;

    private RequestIds() {}

    /** Generates a new id. */
    static String generate(Instant now) {
        byte[] random = new byte[RANDOM_BYTES];
        RANDOM.nextBytes(random);
        return now.toEpochMilli() + "-" + HexFormat.of().formatHex(random);
    }

    /**
     * Checks an id that a caller chose for a non-idempotent request.
     *
     * @return the time at which the id was created
     * @throws InvalidInputException if it is malformed, older than {@link #RECEIPT_LIFETIME}, or in the future
     */
    static Instant check(String id, Instant now) throws InvalidInputException {
        Instant createdAt = parse(id);
        if (createdAt.isBefore(now.minus(RECEIPT_LIFETIME))) {
            throw new InvalidInputException(
                    "request id " + id + " is older than the lifetime of receipts",
                    "ask the service whether it ran; a new id makes it a new request");
        }
        if (createdAt.isAfter(now.plus(MAX_CLOCK_SKEW))) {
            throw new InvalidInputException("request id " + id + " is in the future", "set the caller's clock");
        }
        return createdAt;
    }

    private static Instant parse(String id) throws InvalidInputException {
        try {
            Checks.identifier("request id", id);
            int separator = id.indexOf('-');
            Checks.require(
                    separator > 0 && separator < id.length() - 1,
                    "request id must have the form <epochMillis>-<random>");
            return Instant.ofEpochMilli(Long.parseLong(id.substring(0, separator)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(
                    "malformed request id", "use the form <epochMillis>-<random>, for example 1767225600000-4f1c", e);
        }
    }
}
