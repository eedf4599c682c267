package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides when an owner offers its role to the other members because it cannot do its work; does no I/O. Not safe for use
 * by several threads.
 *
 * <p>Invariant: a role is offered only by an owner whom the store has confirmed all the while. An owner whose
 * confirmations fail as well may share the fault with all members, and loses its membership if it does not.
 */
final class HandoverPolicy {
    /** Maximum age of an ability of an owner that can do its work; nothing is started from older inputs. */
    static final Duration MAX_AGE = Duration.ofSeconds(2);
    /**
     * Time for which an ability must be missing beyond {@link #MAX_AGE}. A takeover takes about 1 s and up to 1.5 s
     * more for each rank, so a shorter fault is over sooner than a change of the owner.
     */
    static final Duration PATIENCE = Duration.ofMillis(3500);
    /** Maximum age of a confirmation; one is requested after 2 to 2.5 s and answered within 0.9 s. */
    static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(3500);

    /** Since when an ability has been missing in a confirmed term, ns. */
    private OptionalLong lackingSince = OptionalLong.empty();

    /** Returns the missing ability for which the role is to be offered; {@code now} is in ns. */
    Optional<OwnerAbilities.Lack> decide(OwnerAbilities abilities, long now) {
        Optional<OwnerAbilities.Lack> lack = abilities.lacking(MAX_AGE);
        if (lack.isEmpty() || abilities.confirmationAge().compareTo(MAX_CONFIRMATION_AGE) >= 0) {
            lackingSince = OptionalLong.empty();
            return Optional.empty();
        }
        if (lackingSince.isEmpty()) {
            lackingSince = OptionalLong.of(now);
        }
        return lack.filter(_ -> now - lackingSince.getAsLong() >= PATIENCE.toNanos());
    }
}
