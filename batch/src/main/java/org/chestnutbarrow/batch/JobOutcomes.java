package org.chestnutbarrow.batch;

/**
 * Ends of the runs of one job, from which follows how often its next run fails if the worker is sound: either as often
 * as the runs of its service, or the job itself is at fault and any rate is equally likely. Guarded by the lock of its
 * {@link BatchScheduler}.
 *
 * <p>Invariant: there are at least as many runs as failures, and at most {@link #MAX_RUNS}.
 */
final class JobOutcomes {
    /** Share of jobs that are assumed to be at fault themselves. */
    private static final double FAULTY_SHARE = 0.03;
    /** Earlier runs count for half as much each time that there are more, because a job may begin to fail. */
    private static final double MAX_RUNS = 64;
    /** Bounds the certainty, so that a few ends in a row can change it. */
    private static final double MAX_LOG_ODDS = 6;
    /** Few enough that the failures of a single job do not make its worker suspected. */
    private static final int MAX_FAILURES_AS_ONE = 4;

    private double runs;
    private double failures;
    /** Logarithm of the odds that the job itself is at fault. */
    private double logOdds = Math.log(FAULTY_SHARE / (1 - FAULTY_SHARE));
    /** Worker of the last failure; null before the first. */
    private WorkerNode failedOn;
    /** Number of latest failures that were on that worker. */
    private int failuresInRow;

    /** Records a run that has ended well or got ready, given the failure rate of the service. */
    void recordSuccess(double serviceRate) {
        record(false, serviceRate);
    }

    /**
     * Records a failed run, given the failure rate of the service. A few failures in a row on one worker count as one,
     * because a faulty worker fails all runs of a job.
     */
    void recordFailure(WorkerNode worker, double serviceRate) {
        failuresInRow = worker == failedOn ? failuresInRow + 1 : 1;
        failedOn = worker;
        if (failuresInRow == 1 || failuresInRow > MAX_FAILURES_AS_ONE) {
            record(true, serviceRate);
        }
    }

    private void record(boolean failed, double serviceRate) {
        double soundRate = rateOfSoundJob(serviceRate);
        double ratio = failed ? rateOfFaultyJob() / soundRate : (1 - rateOfFaultyJob()) / (1 - soundRate);
        logOdds = Math.clamp(logOdds + Math.log(ratio), -MAX_LOG_ODDS, MAX_LOG_ODDS);
        if (runs + 1 > MAX_RUNS) {
            runs /= 2;
            failures /= 2;
        }
        runs++;
        failures += failed ? 1 : 0;
    }

    /** Records what is known of the runs of a task under earlier owners: whether most of them failed. */
    void restore(TaskRecord task) {
        boolean mostFailed = task.failures() > task.run() / 2;
        if (mostFailed || task.done()) {
            record(mostFailed, FailureRates.PRIOR_RATE);
        }
    }

    /** Returns the expected failure rate of the next run on a sound worker, given the rate of the service. */
    double expectedFailureRate(double serviceRate) {
        double faulty = 1 / (1 + Math.exp(-logOdds));
        return faulty * rateOfFaultyJob() + (1 - faulty) * rateOfSoundJob(serviceRate);
    }

    /** Returns the failure rate of jobs that are not at fault, so that the first run of any job fails at the rate of all. */
    private static double rateOfSoundJob(double serviceRate) {
        return Math.max(serviceRate / 4, (serviceRate - FAULTY_SHARE / 2) / (1 - FAULTY_SHARE));
    }

    private double rateOfFaultyJob() {
        return (failures + 1) / (runs + 2);
    }
}
