package org.chestnutbarrow.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Failure rates of the runs of each service on the workers that are not suspected. Guarded by the lock of its
 * {@link BatchScheduler}.
 */
final class FailureRates {
    /** Failure rate that is assumed before runs have ended. */
    static final double PRIOR_RATE = 0.05;
    /** Highest expected failure rate of a service, so that many faulty workers do not hide each other. */
    static final double MAX_RATE = 0.25;
    /** Lowest expected failure rate, with which three failures in a row make a worker suspected. */
    private static final double MIN_RATE = 0.02;
    /** Weight of {@link #PRIOR_RATE}, in runs. */
    private static final double PRIOR_RUNS = 10;

    private final Map<String, Outcomes> outcomesByService = new HashMap<>();

    /** Records the end of a run on a worker that is not suspected. */
    void record(WorkerNode worker, boolean failed, long now) {
        outcomesByService.merge(
                worker.registration.service(),
                Outcomes.NONE.plus(failed, now),
                (outcomes, _) -> outcomes.plus(failed, now));
        worker.outcomes = worker.outcomes.plus(failed, now);
    }

    /** Returns the expected failure rate of runs on the other workers of the service of a worker. */
    double ofOtherWorkers(WorkerNode worker, long now) {
        Outcomes others = outcomesByService
                .getOrDefault(worker.registration.service(), Outcomes.NONE)
                .minus(worker.outcomes, now);
        double rate = (others.failures() + PRIOR_RUNS * PRIOR_RATE) / (others.runs() + PRIOR_RUNS);
        return Math.clamp(rate, MIN_RATE, MAX_RATE);
    }

    /** Returns the expected failure rate of a run of a job on a worker, if the worker is sound. */
    double expected(WorkerNode worker, JobEntry job, long now) {
        double serviceRate = ofOtherWorkers(worker, now);
        return Math.max(serviceRate, job.outcomes.expectedFailureRate(serviceRate));
    }
}
