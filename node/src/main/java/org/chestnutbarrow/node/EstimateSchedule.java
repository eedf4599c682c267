package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.model.TimeSource;

/**
 * Decides when an owner stores its estimates for the next one. Accessed only by the planning thread.
 *
 * <p>Invariant: a change of the health of a worker is stored within {@link #HEALTH_INTERVAL}, and before the term is
 * closed. Runs without recent progress are stored only then.
 */
final class EstimateSchedule {
    /** Time between two writes of sensitivities; a new owner can measure them again in a few seconds. */
    private static final Duration SENSITIVITY_INTERVAL = Duration.ofSeconds(2);
    /** Time between two writes of changed health, in which a faulty worker may fail some runs. */
    private static final Duration HEALTH_INTERVAL = Duration.ofMillis(500);

    private final BatchScheduler scheduler;
    private final TimeSource time;
    private long sensitivitiesStoredAt;
    private long healthStoredAt;
    private boolean healthChanged;
    /** Whether restored health is to be stored; a change soon after it does not wait for {@link #HEALTH_INTERVAL}. */
    private boolean restoredHealthDue;

    EstimateSchedule(BatchScheduler scheduler, TimeSource time) {
        this.scheduler = scheduler;
        this.time = time;
        this.sensitivitiesStoredAt = time.nanos() - SENSITIVITY_INTERVAL.toNanos();
        this.healthStoredAt = time.nanos() - HEALTH_INTERVAL.toNanos();
    }

    /** Notes that health was restored; nodes of earlier builds store it in a record that this owner replaces. */
    void healthRestored() {
        restoredHealthDue = true;
    }

    /**
     * Returns the estimates on workers and runs if they are to be stored now. They are small and belong to the ends of
     * runs that are stored with them: an owner that stored only the ends would leave none of the evidence in them.
     *
     * @param closing whether the term is being closed
     */
    Optional<Estimates> dueHealth(boolean closing) {
        healthChanged |= scheduler.takeHealthChange();
        long now = time.nanos();
        boolean changeDue = healthChanged && now - healthStoredAt >= HEALTH_INTERVAL.toNanos();
        if (!closing && !changeDue && !restoredHealthDue) {
            return Optional.empty();
        }
        if (healthChanged) {
            healthStoredAt = now;
            healthChanged = false;
        }
        restoredHealthDue = false;
        Estimates estimates = scheduler.estimates().withoutSensitivities();
        return Optional.of(closing ? estimates : estimates.withoutStalledRuns());
    }

    /** Returns the sensitivities if they are to be stored now, which they are beside changes of jobs only. */
    Optional<List<Sensitivity>> dueSensitivities(boolean jobsChanged) {
        long now = time.nanos();
        if (!jobsChanged || now - sensitivitiesStoredAt < SENSITIVITY_INTERVAL.toNanos()) {
            return Optional.empty();
        }
        sensitivitiesStoredAt = now;
        return Optional.of(scheduler.estimates().sensitivities());
    }
}
