package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;

/**
 * What an owner must be able to do to place tasks, with the time since it last could. Immutable. Answers of workers are
 * not listed, because no other member can show that it reaches the workers before it owns them.
 *
 * <p>Invariant: an ability counts as missing from its last success on, however many attempts have failed since.
 *
 * @param inputsAge age of the oldest copy among those of jobs, workers and declarations
 * @param writeAge time for which a write of progress has been waiting for its confirmation; zero if there is none
 * @param confirmationAge time since the store last confirmed the term
 */
record OwnerAbilities(Duration inputsAge, Duration writeAge, Duration confirmationAge) {
    /** The abilities that the confirmation of a term does not show. */
    enum Ability {
        READ_INPUTS,
        WRITE_PROGRESS
    }

    /**
     * An ability that an owner lacks.
     *
     * @param ability the ability
     * @param age time since the owner last had it
     */
    record Lack(Ability ability, Duration age) {}

    /** Returns the ability that has been missing for longest, if that is {@code maxAge} or more. */
    Optional<Lack> lacking(Duration maxAge) {
        Lack oldest = inputsAge.compareTo(writeAge) >= 0
                ? new Lack(Ability.READ_INPUTS, inputsAge)
                : new Lack(Ability.WRITE_PROGRESS, writeAge);
        return Optional.of(oldest).filter(lack -> lack.age().compareTo(maxAge) >= 0);
    }
}
