package org.chestnutbarrow.placement;

import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/** A task with at least one attempt. Not safe for use by several threads; guarded by its shard's lock. */
final class TaskEntry {
    final JobEntry job;
    final TaskId id;
    Phase phase = Phase.WAITING;
    Attempt attempt;
    WorkerId worker;
    /** Where the attempt counts in the job's spread; null if its worker is not known. */
    Worker place;

    Optional<CheckpointId> resume = Optional.empty();
    Attempt resumeWriter;
    int failures;
    long since;
    boolean measured;
    /** Whether one of its attempts finished although it had been given up; and whether the log has that end. */
    boolean finished;

    boolean finishLogged;
    boolean stopping;
    boolean moving;
    /** Whether an answer left it open if the attempt has started. */
    boolean uncertain;

    PlacementEffect.Start command;

    TaskEntry(JobEntry job, TaskId id) {
        this.job = job;
        this.id = id;
    }

    boolean active() {
        return phase == Phase.STARTING || phase == Phase.RUNNING;
    }

    /** Keeps the checkpoint of the newest attempt that wrote one. */
    void keepCheckpoint(Attempt writer, Optional<CheckpointId> checkpoint) {
        if (checkpoint.isPresent() && (resumeWriter == null || writer.compareTo(resumeWriter) > 0)) {
            resume = checkpoint;
            resumeWriter = writer;
        }
    }

    /** Stage of the task's newest attempt. */
    enum Phase {
        /** No attempt runs; the next one may start when the job's turn comes. */
        WAITING,
        /** A start was sent and its result is not known. */
        STARTING,
        /** The worker confirmed that it runs. */
        RUNNING,
        /** Needs no further attempt. */
        DONE
    }

    @Override
    public String toString() {
        String text = id + " " + phase;
        text += attempt == null ? "" : " attempt " + attempt + " on " + worker;
        text += resume.map(checkpoint -> " resumes from " + checkpoint).orElse("");
        text += failures == 0 ? "" : " failed " + failures + " times";
        return text + (uncertain ? " outcome unknown" : "") + (stopping || moving ? " being stopped" : "");
    }
}
