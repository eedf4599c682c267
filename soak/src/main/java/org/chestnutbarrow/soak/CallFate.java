package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

/** What becomes of one call. Immutable. */
sealed interface CallFate {
    /** It takes effect after a delay and is answered. */
    record Answered(Duration delay) implements CallFate {}

    /** It takes effect after a delay and is not answered. */
    record AnswerLost(Duration delay) implements CallFate {}

    /** It has no effect and is not answered. */
    record Lost() implements CallFate {}

    /** It is refused without effect. */
    record Refused() implements CallFate {}

    CallFate NORMAL = new Answered(Duration.ZERO);

    /** Decides under the disturbances in force; the first one that takes the answer or the effect decides about it. */
    static CallFate decide(List<Disturbance> disturbances, RandomGenerator random) {
        Duration delay = Duration.ZERO;
        for (Disturbance disturbance : disturbances) {
            switch (disturbance) {
                case Disturbance.Slow slow -> delay = delay.plus(between(slow.min(), slow.max(), random));
                case Disturbance.Silent _ -> {
                    return new Lost();
                }
                case Disturbance.AnswersLost lost -> {
                    if (random.nextDouble() < lost.share()) {
                        return new AnswerLost(delay);
                    }
                }
                case Disturbance.Late late -> {
                    if (random.nextDouble() < late.share()) {
                        return new AnswerLost(delay.plus(late.delay()));
                    }
                }
                case Disturbance.Refusing refusing -> {
                    if (random.nextDouble() < refusing.share()) {
                        return new Refused();
                    }
                }
            }
        }
        return new Answered(delay);
    }

    private static Duration between(Duration min, Duration max, RandomGenerator random) {
        return Duration.ofMillis(random.nextLong(min.toMillis(), max.toMillis() + 1));
    }
}
