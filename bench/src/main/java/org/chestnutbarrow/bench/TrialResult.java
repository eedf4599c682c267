package org.chestnutbarrow.bench;

import java.util.List;

/**
 * What one policy did.
 *
 * @param batchFinished batch tasks that finished while requests were sent
 * @param batchPerSecond the same per second
 * @param batchWorkMs work that batch attempts did until they ended
 * @param throttles throttles and lifted limits that daemons counted
 * @param evictions evictions that daemons counted
 * @param checkpointed attempts that ended with a checkpoint, by the workers' journals
 * @param overCommits times at which a worker had more than it holds
 * @param droppedEvents events that the journals no longer had; 0 if the judgement is complete
 * @param machineLoad load average of the machine over the last minute, at the end
 */
record TrialResult(
        String policy,
        List<PhaseResult> phases,
        long batchFinished,
        double batchPerSecond,
        long batchWorkMs,
        long throttles,
        long evictions,
        long checkpointed,
        long overCommits,
        long droppedEvents,
        double machineLoad) {

    /**
     * Requests of one phase; latency in milliseconds from the intended time of sending.
     *
     * @param errors whole answers that were not the service's answer to the request, such as status 500
     * @param goodPerSecond answers of the service per second of the phase
     */
    record PhaseResult(
            String phase,
            long sent,
            long ran,
            long notRun,
            long unknown,
            long errors,
            double goodPerSecond,
            double p50,
            double p99,
            double p999) {
        static PhaseResult of(Scenario.Phase phase, LoadResult load) {
            return new PhaseResult(
                    phase.name(),
                    load.sent(),
                    load.count("ran"),
                    load.count("not-run"),
                    load.sent() - load.count("ran") - load.count("not-run"),
                    load.wrong(),
                    (load.count("ran") - load.wrong()) / phase.seconds(),
                    load.millis(50),
                    load.millis(99),
                    load.millis(99.9));
        }
    }
}
