package org.chestnutbarrow.soak;

import java.time.Duration;

/** Something that a worker or a client saw, at a time since the start of the play. Immutable. */
sealed interface Observation {
    /** Returns when it was seen. */
    Duration at();

    /**
     * One life of a worker.
     *
     * @param worker id of the worker
     * @param born start of this life, Unix ms
     */
    record Incarnation(String worker, long born) {
        @Override
        public String toString() {
            return worker + "/" + born;
        }
    }

    /** How a run ended; the names in lower case are those that workers report. */
    enum EndKind {
        DONE,
        FAILED,
        STOPPED,
        LAPSED
    }

    /** What a client was told about a job; {@code UNKNOWN} if the job does not exist. */
    enum JobState {
        QUEUED,
        RUNNING,
        COMPLETED,
        FAILED,
        CANCELLED,
        UNKNOWN;

        boolean isFinal() {
            return this == COMPLETED || this == FAILED || this == CANCELLED;
        }
    }

    /** A run started. */
    record Started(Duration at, Incarnation on, TaskKey task, int run) implements Observation {}

    /** A run ended and got a number among the ends of its worker incarnation. */
    record Ended(Duration at, Incarnation on, long number, TaskKey task, int run, EndKind how) implements Observation {}

    /** A call of an owner made the worker discard ends, all those with numbers up to {@code upTo}. */
    record Acknowledged(Duration at, Incarnation on, long upTo) implements Observation {}

    /** The lease of a worker incarnation ran out, which ended all its runs. */
    record LeaseExpired(Duration at, Incarnation on) implements Observation {}

    /** A worker incarnation went down with all its runs. */
    record WentDown(Duration at, Incarnation on) implements Observation {}

    /** A client was told that its job is accepted. */
    record Accepted(Duration at, String job, String node) implements Observation {}

    /** A client was told that its cancellation is stored. */
    record CancelAccepted(Duration at, String job, String node) implements Observation {}

    /** A client was told the state of a job; {@code at} is when the answer arrived. */
    record Shown(Duration at, Duration sentAt, String job, String node, JobState state) implements Observation {}
}
