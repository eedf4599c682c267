package org.chestnutbarrow.node;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the progress of a job as the value of a record whose key is the id of the job. Stateless.
 *
 * <p>A record is written on each change of a job and read by every node, so it is kept small: each worker incarnation
 * is written once, equal consecutive tasks are written once with a count, and the checkpoint and the failure count of
 * a finished task are omitted because no later run needs them. Since when tasks have waited follows as an optional
 * section, which nodes of earlier builds ignore.
 */
final class ProgressCodec {
    /** Format 1, which is still read, contains the job id and one record per task. */
    private static final int CURRENT_FORMAT = 2;
    /** States by their codes in format 2; new states may only be appended. */
    private static final List<JobState> STATES =
            List.of(JobState.QUEUED, JobState.RUNNING, JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED);

    /** Bounds the memory that a node allocates for a corrupt record. */
    private static final int MAX_TASKS_PER_STEP = 1 << 20;

    private static final int FLAG_DONE = 1;
    private static final int FLAG_PLACED = 1 << 1;
    private static final int FLAG_REPEATED = 1 << 2;
    private static final int FLAG_FAILURES = 1 << 3;
    private static final int FLAG_CHECKPOINT = 1 << 4;
    /** The checkpoint consists of 16 hexadecimal digits and is written as a 64-bit integer. */
    private static final int FLAG_HEX_CHECKPOINT = 1 << 5;

    private static final int HEX_DIGITS = 16;
    /** Limits on checkpoints that are tried in turn until a record is small enough. */
    private static final int[] MAX_CHECKPOINT_LENGTHS = {Integer.MAX_VALUE, 1024, 256, 64, HEX_DIGITS, 0};

    private ProgressCodec() {}

    /**
     * Encodes progress in at most {@code maxBytes} if possible: without the times of waiting, which are estimates, and then
     * without long checkpoints, so that the next owner starts these tasks from the beginning.
     */
    static byte[] encode(JobProgress progress, int maxBytes) {
        byte[] full = encode(progress);
        if (full.length <= maxBytes) {
            return full;
        }
        for (int maxCheckpointLength : MAX_CHECKPOINT_LENGTHS) {
            byte[] shortened = encode(shortened(progress, maxCheckpointLength));
            if (shortened.length <= maxBytes) {
                Events.warn(
                        "progress-shortened",
                        "job",
                        progress.id(),
                        "bytes",
                        full.length,
                        "limit",
                        maxBytes,
                        "maxCheckpointLength",
                        maxCheckpointLength);
                return shortened;
            }
        }
        return full;
    }

    /** Omits the times of waiting and the checkpoints with more characters than {@code maxCheckpointLength}. */
    private static JobProgress shortened(JobProgress progress, int maxCheckpointLength) {
        return new JobProgress(
                progress.id(),
                progress.state(),
                progress.changedAt(),
                progress.steps().stream()
                        .map(tasks -> tasks.stream()
                                .map(task -> shortened(task, maxCheckpointLength))
                                .toList())
                        .toList());
    }

    private static TaskRecord shortened(TaskRecord task, int maxCheckpointLength) {
        String checkpoint = task.checkpoint().length() <= maxCheckpointLength ? task.checkpoint() : "";
        return new TaskRecord(task.done(), task.run(), task.failures(), checkpoint, task.placedOn());
    }

    static byte[] encode(JobProgress progress) {
        return StateCodec.encodeRecord(CURRENT_FORMAT, packer -> {
            packer.packInt(STATES.indexOf(progress.state()));
            packer.packLong(progress.changedAt().toEpochMilli());
            packer.packInt(progress.steps().size());
            if (!progress.steps().isEmpty()) {
                Map<TaskRecord.WorkerIncarnation, Integer> incarnations = indexIncarnations(progress);
                writeIncarnations(packer, incarnations);
                for (List<TaskRecord> tasks : progress.steps()) {
                    writeTasks(packer, tasks, incarnations);
                }
                WaitSection.write(packer, progress);
            }
        });
    }

    /** Assigns an index in the record to each worker incarnation that has tasks. */
    private static Map<TaskRecord.WorkerIncarnation, Integer> indexIncarnations(JobProgress progress) {
        Map<TaskRecord.WorkerIncarnation, Integer> incarnations = new LinkedHashMap<>();
        for (List<TaskRecord> tasks : progress.steps()) {
            for (TaskRecord task : tasks) {
                task.placedOn().ifPresent(at -> incarnations.putIfAbsent(at, incarnations.size()));
            }
        }
        return incarnations;
    }

    /**
     * Writes incarnations, which are start times, as differences to the previous one. The differences are small because
     * machines often start together.
     */
    private static void writeIncarnations(
            MessageBufferPacker packer, Map<TaskRecord.WorkerIncarnation, Integer> incarnations) throws IOException {
        packer.packInt(incarnations.size());
        long previousIncarnation = 0;
        for (TaskRecord.WorkerIncarnation incarnation : incarnations.keySet()) {
            packer.packString(incarnation.worker().value()).packLong(incarnation.incarnation() - previousIncarnation);
            previousIncarnation = incarnation.incarnation();
        }
    }

    private static void writeTasks(
            MessageBufferPacker packer, List<TaskRecord> tasks, Map<TaskRecord.WorkerIncarnation, Integer> incarnations)
            throws IOException {
        packer.packInt(tasks.size());
        int start = 0;
        while (start < tasks.size()) {
            TaskRecord task = withoutUnneededFields(tasks.get(start));
            int end = start + 1;
            while (end < tasks.size() && withoutUnneededFields(tasks.get(end)).equals(task)) {
                end++;
            }
            writeRepeatedTask(packer, task, end - start, incarnations);
            start = end;
        }
    }

    /** Returns the task without the fields that a later owner does not need. */
    private static TaskRecord withoutUnneededFields(TaskRecord task) {
        return task.done()
                ? new TaskRecord(true, task.run(), 0, "", task.placedOn())
                : task.withWaitingSince(Optional.empty());
    }

    private static void writeRepeatedTask(
            MessageBufferPacker packer,
            TaskRecord task,
            int count,
            Map<TaskRecord.WorkerIncarnation, Integer> incarnations)
            throws IOException {
        boolean hexCheckpoint = isHex(task.checkpoint());
        packer.packInt((task.done() ? FLAG_DONE : 0)
                | (task.placedOn().isPresent() ? FLAG_PLACED : 0)
                | (count > 1 ? FLAG_REPEATED : 0)
                | (task.failures() > 0 ? FLAG_FAILURES : 0)
                | (hexCheckpoint ? FLAG_HEX_CHECKPOINT : task.checkpoint().isEmpty() ? 0 : FLAG_CHECKPOINT));
        packer.packInt(task.run());
        if (count > 1) {
            packer.packInt(count);
        }
        if (task.placedOn().isPresent()) {
            packer.packInt(incarnations.get(task.placedOn().get()));
        }
        if (task.failures() > 0) {
            packer.packInt(task.failures());
        }
        if (hexCheckpoint) {
            packer.packLong(HexFormat.fromHexDigitsToLong(task.checkpoint()));
        } else if (!task.checkpoint().isEmpty()) {
            packer.packString(task.checkpoint());
        }
    }

    private static boolean isHex(String text) {
        return text.length() == HEX_DIGITS
                && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }

    /** Decodes the state without reading the tasks. */
    static JobState decodeState(byte[] bytes) throws InvalidInputException {
        return StateCodec.decodeRecord(bytes, CURRENT_FORMAT, ProgressCodec::readState);
    }

    private static JobState readState(int format, MessageUnpacker unpacker) throws IOException {
        if (format == 1) {
            unpacker.unpackString();
            return JobState.valueOf(unpacker.unpackString());
        }
        return STATES.get(unpacker.unpackInt());
    }

    /** Returns whether the record has no steps; false if it is unreadable. */
    static boolean hasNoTasks(byte[] bytes) {
        try {
            return StateCodec.decodeRecord(bytes, CURRENT_FORMAT, (format, unpacker) -> {
                readState(format, unpacker);
                unpacker.unpackLong();
                return (format == 1 ? unpacker.unpackArrayHeader() : unpacker.unpackInt()) == 0;
            });
        } catch (InvalidInputException e) {
            return false;
        }
    }

    static JobProgress decode(JobId id, byte[] bytes) throws InvalidInputException {
        return StateCodec.decodeRecord(bytes, CURRENT_FORMAT, (format, unpacker) -> {
            JobState state = readState(format, unpacker);
            Instant changed = Instant.ofEpochMilli(unpacker.unpackLong());
            if (format == 1) {
                return new JobProgress(id, state, changed, readStepsV1(unpacker));
            }
            List<List<TaskRecord>> steps = readSteps(unpacker);
            if (unpacker.hasNext()) {
                WaitSection.read(unpacker, changed, steps);
            }
            return new JobProgress(id, state, changed, steps);
        });
    }

    private static List<List<TaskRecord>> readSteps(MessageUnpacker unpacker) throws IOException {
        int stepCount = unpacker.unpackInt();
        List<List<TaskRecord>> steps = new ArrayList<>();
        List<TaskRecord.WorkerIncarnation> incarnations = stepCount == 0 ? List.of() : readIncarnations(unpacker);
        for (int step = 0; step < stepCount; step++) {
            int taskCount = checkCount(unpacker.unpackInt(), MAX_TASKS_PER_STEP);
            List<TaskRecord> tasks = new ArrayList<>();
            while (tasks.size() < taskCount) {
                readRepeatedTask(unpacker, incarnations, taskCount - tasks.size(), tasks);
            }
            steps.add(tasks);
        }
        return steps;
    }

    private static List<TaskRecord.WorkerIncarnation> readIncarnations(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        List<TaskRecord.WorkerIncarnation> incarnations = new ArrayList<>();
        long incarnation = 0;
        for (int index = 0; index < count; index++) {
            WorkerId worker = new WorkerId(unpacker.unpackString());
            incarnation += unpacker.unpackLong();
            incarnations.add(new TaskRecord.WorkerIncarnation(worker, incarnation));
        }
        return incarnations;
    }

    private static void readRepeatedTask(
            MessageUnpacker unpacker, List<TaskRecord.WorkerIncarnation> incarnations, int max, List<TaskRecord> tasks)
            throws IOException {
        int flags = unpacker.unpackInt();
        int run = unpacker.unpackInt();
        int count = (flags & FLAG_REPEATED) == 0 ? 1 : checkCount(unpacker.unpackInt(), max);
        Optional<TaskRecord.WorkerIncarnation> at =
                (flags & FLAG_PLACED) == 0 ? Optional.empty() : Optional.of(incarnations.get(unpacker.unpackInt()));
        int failures = (flags & FLAG_FAILURES) == 0 ? 0 : unpacker.unpackInt();
        String checkpoint = "";
        if ((flags & FLAG_HEX_CHECKPOINT) != 0) {
            checkpoint = HexFormat.of().toHexDigits(unpacker.unpackLong());
        } else if ((flags & FLAG_CHECKPOINT) != 0) {
            checkpoint = unpacker.unpackString();
        }
        TaskRecord task = new TaskRecord((flags & FLAG_DONE) != 0, run, failures, checkpoint, at);
        tasks.addAll(Collections.nCopies(count, task));
    }

    private static int checkCount(int value, int max) {
        if (value < 1 || value > max) {
            throw new IllegalArgumentException("task count " + value + " is not in the range 1 to " + max);
        }
        return value;
    }

    /** Reads the steps of a record of format 1. */
    private static List<List<TaskRecord>> readStepsV1(MessageUnpacker unpacker) throws IOException {
        List<List<TaskRecord>> steps = new ArrayList<>();
        int stepCount = unpacker.unpackArrayHeader();
        for (int step = 0; step < stepCount; step++) {
            List<TaskRecord> tasks = new ArrayList<>();
            int taskCount = unpacker.unpackArrayHeader();
            for (int index = 0; index < taskCount; index++) {
                tasks.add(readTaskV1(unpacker));
            }
            steps.add(tasks);
        }
        return steps;
    }

    private static TaskRecord readTaskV1(MessageUnpacker unpacker) throws IOException {
        boolean done = unpacker.unpackBoolean();
        int run = unpacker.unpackInt();
        int failures = unpacker.unpackInt();
        String checkpoint = unpacker.unpackString();
        Optional<TaskRecord.WorkerIncarnation> at = Optional.empty();
        if (!unpacker.tryUnpackNil()) {
            at = Optional.of(
                    new TaskRecord.WorkerIncarnation(new WorkerId(unpacker.unpackString()), unpacker.unpackLong()));
        }
        return new TaskRecord(done, run, failures, checkpoint, at);
    }
}
