package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.model.TimeSource;

/**
 * Decides when a worker is suspected because its runs fail more often than they would elsewhere: by the cumulative
 * log-likelihood ratio (CUSUM) of a worker that additionally fails half of its runs. Guarded by the lock of its
 * {@link BatchScheduler}.
 *
 * <p>Invariant: stored evidence begins no quarantine by itself, and a stored quarantine lasts for at most
 * {@link #MAX_QUARANTINE} after it is restored, whatever the clocks show.
 */
final class WorkerHealth {
    /** Probability with which a faulty worker fails a run that would have ended well elsewhere. */
    private static final double FAULTY_RATE = 0.5;
    /**
     * Evidence that makes a worker suspected: three failures in a row where other workers fail none, four where they
     * fail one run in twenty, since three occur there by chance more than once in 10,000 runs. There, a sound worker is
     * suspected about 0.2 times in 10,000 runs.
     */
    private static final double THRESHOLD = 9;

    private static final double SUCCESS_WEIGHT = -Math.log(1 - FAULTY_RATE);
    /** Duration of the first quarantine, doubled each time up to {@link #MAX_QUARANTINE}. */
    private static final Duration INITIAL_QUARANTINE = Duration.ofSeconds(4);

    private static final Duration MAX_QUARANTINE = Duration.ofSeconds(16);
    /** Failures in the records of earlier builds count for this time. */
    private static final Duration STORED_FAILURE_WINDOW = Duration.ofSeconds(5);

    /** Whether the worker gets tasks. */
    sealed interface State {}

    /** The worker is fully used; {@code evidence} that it is faulty is between 0 and the threshold. */
    record Sound(double evidence) implements State {}

    /** The worker gets no tasks until {@code until}, in ns, and is on probation then. */
    record Quarantined(long until) implements State {}

    /** The worker gets one run at a time, and only for tasks for which no sound worker has room. */
    record OnProbation() implements State {}

    private State state = new Sound(0);
    private Duration nextQuarantine = INITIAL_QUARANTINE;
    private boolean changed;

    State state() {
        return state;
    }

    boolean isSound() {
        return state instanceof Sound;
    }

    /**
     * Records a failed or stuck run, which fails with probability {@code expectedRate} on a sound worker, and returns
     * whether the state has changed to another kind or a quarantine has begun. {@code mayQuarantine} decides whether a
     * suspected worker is quarantined; otherwise it is on probation at once.
     */
    boolean recordFailure(long now, double expectedRate, BooleanSupplier mayQuarantine) {
        boolean suspected = switch (state) {
            case Sound(double evidence) -> {
                double sum = evidence + failureWeight(expectedRate);
                setState(new Sound(Math.min(sum, THRESHOLD)));
                yield sum >= THRESHOLD;
            }
            // Such a run was started before the quarantine.
            case Quarantined _ -> false;
            // A failure of a job that fails elsewhere too says nothing about the worker.
            case OnProbation _ -> expectedRate <= FailureRates.MAX_RATE;
        };
        if (!suspected) {
            return false;
        }
        if (mayQuarantine.getAsBoolean()) {
            setState(new Quarantined(now + nextQuarantine.toNanos()));
            nextQuarantine = shorter(nextQuarantine.multipliedBy(2), MAX_QUARANTINE);
            return true;
        }
        boolean wasSound = isSound();
        setState(new OnProbation());
        return wasSound;
    }

    private static double failureWeight(double expectedRate) {
        return Math.log1p(FAULTY_RATE * (1 - expectedRate) / expectedRate);
    }

    /** Records a run that has ended well or got ready, and returns whether this ends a probation. */
    boolean recordSuccess() {
        switch (state) {
            case Sound(double evidence) -> {
                if (evidence == 0 && !nextQuarantine.equals(INITIAL_QUARANTINE)) {
                    nextQuarantine = INITIAL_QUARANTINE;
                    changed = true;
                }
                setState(new Sound(Math.max(0, evidence - SUCCESS_WEIGHT)));
                return false;
            }
            case Quarantined _ -> {
                return false;
            }
            case OnProbation _ -> {
                return endProbation();
            }
        }
    }

    /** Ends the probation, if the worker is on probation, and returns whether it has ended. */
    boolean endProbation() {
        if (!(state instanceof OnProbation)) {
            return false;
        }
        setState(new Sound(0));
        return true;
    }

    /** Begins the probation if the worker is quarantined and the time has come, and returns whether it has begun. */
    boolean endQuarantine(long now) {
        return state instanceof Quarantined(long until) && now - until >= 0 && cutQuarantineShort();
    }

    /** Begins the probation if the worker is quarantined, and returns whether it has begun. */
    boolean cutQuarantineShort() {
        if (!(state instanceof Quarantined)) {
            return false;
        }
        setState(new OnProbation());
        return true;
    }

    private void setState(State newState) {
        changed |= !state.equals(newState);
        state = newState;
    }

    /** Returns whether the health has changed since the last call. */
    boolean takeChange() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /** Returns what the next owner has to know; empty if it is the same as for a new worker. */
    Optional<HealthRecord> toRecord(TaskRecord.WorkerIncarnation worker, TimeSource time) {
        Optional<Instant> until = state instanceof Quarantined(long nanos)
                ? Optional.of(time.now().plusNanos(nanos - time.nanos()))
                : Optional.empty();
        double evidence = state instanceof Sound(double sum) ? sum : 0;
        boolean onProbation = state instanceof OnProbation;
        return until.isEmpty() && evidence == 0 && !onProbation && nextQuarantine.equals(INITIAL_QUARANTINE)
                ? Optional.empty()
                : Optional.of(new HealthRecord(worker, List.of(), until, nextQuarantine, evidence, onProbation));
    }

    /** Restores what an earlier owner stored. Values that it cannot have observed are ignored. */
    void restore(HealthRecord stored, TimeSource time) {
        nextQuarantine = shorter(longer(stored.nextQuarantine(), INITIAL_QUARANTINE), MAX_QUARANTINE);
        Instant wallTime = time.now();
        Optional<Duration> left = stored.quarantinedUntil()
                .map(until -> Duration.between(wallTime, until))
                .filter(duration -> duration.abs().compareTo(MAX_QUARANTINE) <= 0);
        if (left.isPresent()) {
            state = left.get().isPositive()
                    ? new Quarantined(time.nanos() + left.get().toNanos())
                    : new OnProbation();
        } else if (stored.onProbation()) {
            state = new OnProbation();
        } else {
            state = new Sound(storedEvidence(stored, wallTime));
        }
    }

    private static double storedEvidence(HealthRecord stored, Instant wallTime) {
        double evidence = stored.evidence();
        if (evidence > 0 && evidence <= THRESHOLD) {
            return evidence;
        }
        // Earlier builds store the latest failures of distinct jobs instead.
        long failures = stored.failures().stream()
                .filter(failure ->
                        Duration.between(failure.at(), wallTime).abs().compareTo(STORED_FAILURE_WINDOW) <= 0)
                .map(HealthRecord.Failure::job)
                .distinct()
                .count();
        return Math.min(THRESHOLD, failures * failureWeight(FailureRates.PRIOR_RATE));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
