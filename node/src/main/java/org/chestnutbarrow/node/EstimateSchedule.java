package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.model.TimeSource;

/**
 * Decides when an owner stores its estimates for the next one. Accessed only by the planning thread.
 *
 * <p>Invariant: a change of the health of a worker is stored within {@link #HEALTH_INTERVAL}, and before the term is
 * closed. Runs without recent progress are stored only then.
 */
final class EstimateSchedule {
    /** Time between two writes beside other changes; a new owner can measure sensitivities again in a few seconds. */
    private static final Duration INTERVAL = Duration.ofSeconds(2);
    /** Time between two writes of changed health, in which a faulty worker may fail some runs. */
    private static final Duration HEALTH_INTERVAL = Duration.ofMillis(500);

    private final BatchScheduler scheduler;
    private final TimeSource time;
    private long storedAt;
    private long healthStoredAt;
    private boolean healthChanged;

    EstimateSchedule(BatchScheduler scheduler, TimeSource time) {
        this.scheduler = scheduler;
        this.time = time;
        this.storedAt = time.nanos() - INTERVAL.toNanos();
        this.healthStoredAt = storedAt;
    }

    /**
     * Returns the estimates if they are to be stored now.
     *
     * @param othersStored whether other entries are stored now
     * @param closing whether the term is being closed
     */
    Optional<Estimates> due(boolean othersStored, boolean closing) {
        healthChanged |= scheduler.takeHealthChange();
        long now = time.nanos();
        boolean due = closing
                || (othersStored && now - storedAt >= INTERVAL.toNanos())
                || (healthChanged && now - healthStoredAt >= HEALTH_INTERVAL.toNanos());
        if (!due) {
            return Optional.empty();
        }
        storedAt = now;
        if (healthChanged) {
            healthStoredAt = now;
            healthChanged = false;
        }
        Estimates estimates = scheduler.estimates();
        return Optional.of(closing ? estimates : estimates.withoutStalledRuns());
    }
}
