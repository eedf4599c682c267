package org.chestnutbarrow.batch;

import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import org.chestnutbarrow.model.Checks;

/** Why no task of a job has been placed. A rack is only preferred and therefore never a reason. Immutable. */
public sealed interface WaitReason {
    /** The job caused an unexpected error and is not placed by this owner. */
    record SetAside() implements WaitReason {}

    /** Only part of the job's stored progress was restored, so that some of its runs may be unknown. */
    record UnknownRuns() implements WaitReason {}

    /** The plan allowed no further start. */
    record StartWindow() implements WaitReason {}

    /** The cap of the client account permits no further task. */
    record AccountCap(String account) implements WaitReason {}

    /** No worker of the service is listed. */
    record NoWorkers(String service) implements WaitReason {}

    /** No listed worker of the service has the label. */
    record NoLabel(String label) implements WaitReason {}

    /** None of the listed workers that have the label, if one is needed, has room beside its runs. */
    record NoRoom(int workers) implements WaitReason {}

    /** Workers can take the task, and the plan allowed further starts. */
    record NotPlaced(int workers) implements WaitReason {}

    /** Workers have room beside their runs, but none of them can take the task; by cause, the number of workers. */
    record Excluded(Map<Exclusion, Integer> workers) implements WaitReason {
        public Excluded {
            Checks.require(!workers.isEmpty(), "an exclusion needs at least one worker");
            workers = Collections.unmodifiableMap(new EnumMap<>(workers));
        }

        /** Returns the cause that excludes most workers; of equally frequent ones the first. */
        public Exclusion mostFrequent() {
            return Collections.max(
                            workers.entrySet(),
                            Map.Entry.<Exclusion, Integer>comparingByValue()
                                    .thenComparing(Map.Entry.comparingByKey(Comparator.reverseOrder())))
                    .getKey();
        }
    }

    /** Why a worker with room cannot take a task; a worker with several causes counts for the first. */
    enum Exclusion {
        /** The worker has not received the fencing token of this owner. */
        UNCONFIRMED,
        DRAINING,
        /** Its availability zone is evacuated. */
        EVACUATED,
        UNRESPONSIVE,
        /** It is quarantined, or on probation with a trial run. */
        QUARANTINED,
        /** It has restarted, and a call meant for its earlier incarnation may make it discard results. */
        RESTARTED,
        /** It has as many tasks of the step as it may have. */
        SPREAD,
        /** Its room is kept for tasks that must run again. */
        CLAIMED,
        /** The first run of a long-running task would use up the reserve for short tasks. */
        RESERVE,
        /** A best-effort task would run too slowly or disturb latency-critical tasks. */
        INTERFERENCE
    }
}
