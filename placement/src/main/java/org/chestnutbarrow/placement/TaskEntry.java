package org.chestnutbarrow.placement;

import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * The scheduling state of a task that has had at least one attempt. Not safe for use by several threads; guarded by its
 * shard's lock.
 */
final class TaskEntry {
    final JobEntry job;
    final TaskId id;
    Phase phase = Phase.WAITING;
    Attempt attempt;
    WorkerId worker;
    /** The worker that the attempt is counted at in the job's spread; null if the worker is not in the index. */
    Worker spreadWorker;

    Optional<CheckpointId> resumeFrom = Optional.empty();
    Attempt checkpointWriter;
    int failureCount;
    long phaseSince;
    boolean measureRunTime;
    /** Whether an attempt that had been given up turned out to have finished. */
    boolean finishedLate;

    /** Whether a finished end of the task was logged while another attempt was active. */
    boolean finishLogged;

    boolean stopping;
    boolean evacuating;
    /** Whether it is unknown if the start command took effect. */
    boolean outcomeUnknown;

    PlacementEffect.Start startCommand;

    TaskEntry(JobEntry job, TaskId id) {
        this.job = job;
        this.id = id;
    }

    boolean active() {
        return phase == Phase.STARTING || phase == Phase.RUNNING;
    }

    /** Records a checkpoint if no newer attempt has written one. */
    void keepCheckpoint(Attempt writer, Optional<CheckpointId> checkpoint) {
        if (checkpoint.isPresent() && (checkpointWriter == null || writer.compareTo(checkpointWriter) > 0)) {
            resumeFrom = checkpoint;
            checkpointWriter = writer;
        }
    }

    /** Phase of the task's newest attempt. */
    enum Phase {
        /** No attempt is active; the next one may be issued. */
        WAITING,
        /** A start command was sent and has no result yet. */
        STARTING,
        /** The worker has confirmed that the attempt runs. */
        RUNNING,
        /** No further attempt is needed. */
        DONE
    }

    @Override
    public String toString() {
        String text = id + " " + phase;
        text += attempt == null ? "" : " attempt " + attempt + " on " + worker;
        text += resumeFrom.map(checkpoint -> " resumes from " + checkpoint).orElse("");
        text += failureCount == 0 ? "" : " failed " + failureCount + " times";
        return text + (outcomeUnknown ? " outcome unknown" : "") + (stopping || evacuating ? " being stopped" : "");
    }
}
