package org.chestnutbarrow.soak;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/** How calls to a service are disturbed. Immutable. */
sealed interface Disturbance {
    /** Calls take effect and are answered later. */
    record Slow(Duration min, Duration max) implements Disturbance {
        public Slow {
            Checks.require(min.compareTo(max) <= 0, "the shortest delay must not exceed the longest");
        }
    }

    /** Calls have no effect and are not answered. */
    record Silent() implements Disturbance {}

    /** A share of the calls takes effect and is not answered. */
    record AnswersLost(double share) implements Disturbance {}

    /** A share of the calls is not answered and takes effect only after a delay. */
    record Late(double share, Duration delay) implements Disturbance {}

    /** A share of the calls is refused without effect. */
    record Refusing(double share) implements Disturbance {}
}
