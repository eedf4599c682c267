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
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the progress of jobs for their keys, which name the jobs. Stateless.
 *
 * <p>A record is written at each change of a job and read by every node, so it is kept small: each life of a worker is
 * named once, equal tasks in a row are written once, and of a finished task its checkpoint and its failures are left out,
 * which no later run needs.
 */
final class ProgressCodec {
    /** Format 1 has the id of the job and a row for each task. */
    private static final int FORMAT = 2;
    /** By their codes in records of format 2; more may be added at the end only. */
    private static final List<JobState> STATES =
            List.of(JobState.QUEUED, JobState.RUNNING, JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED);

    /** Bounds what a damaged record can make a node allocate. */
    private static final int MOST_TASKS = 1 << 20;

    private static final int DONE = 1;
    private static final int PLACED = 1 << 1;
    private static final int REPEATED = 1 << 2;
    private static final int FAILURES = 1 << 3;
    private static final int CHECKPOINT = 1 << 4;
    /** The checkpoint is written as the number that its 16 hexadecimal digits stand for. */
    private static final int HEX_CHECKPOINT = 1 << 5;

    private static final int HEX_DIGITS = 16;

    private ProgressCodec() {}

    static byte[] encode(JobProgress progress) {
        return StateCodec.pack(FORMAT, to -> {
            to.packInt(STATES.indexOf(progress.state()));
            to.packLong(progress.changedAt().toEpochMilli());
            to.packInt(progress.steps().size());
            if (!progress.steps().isEmpty()) {
                Map<TaskRecord.WorkerIncarnation, Integer> lives = lives(progress);
                write(to, lives);
                for (List<TaskRecord> tasks : progress.steps()) {
                    write(to, tasks, lives);
                }
            }
        });
    }

    /** The lives at which tasks are placed, with their numbers in the record. */
    private static Map<TaskRecord.WorkerIncarnation, Integer> lives(JobProgress progress) {
        Map<TaskRecord.WorkerIncarnation, Integer> lives = new LinkedHashMap<>();
        for (List<TaskRecord> tasks : progress.steps()) {
            for (TaskRecord task : tasks) {
                task.placedOn().ifPresent(at -> lives.putIfAbsent(at, lives.size()));
            }
        }
        return lives;
    }

    /** Births are written as differences from the one before, since machines often start together. */
    private static void write(MessageBufferPacker to, Map<TaskRecord.WorkerIncarnation, Integer> lives)
            throws IOException {
        to.packInt(lives.size());
        long before = 0;
        for (TaskRecord.WorkerIncarnation life : lives.keySet()) {
            to.packString(life.worker().value()).packLong(life.incarnation() - before);
            before = life.incarnation();
        }
    }

    private static void write(
            MessageBufferPacker to, List<TaskRecord> tasks, Map<TaskRecord.WorkerIncarnation, Integer> lives)
            throws IOException {
        to.packInt(tasks.size());
        int begin = 0;
        while (begin < tasks.size()) {
            TaskRecord task = needed(tasks.get(begin));
            int end = begin + 1;
            while (end < tasks.size() && needed(tasks.get(end)).equals(task)) {
                end++;
            }
            write(to, task, end - begin, lives);
            begin = end;
        }
    }

    /** What a later owner needs of a task. */
    private static TaskRecord needed(TaskRecord task) {
        return task.done() ? new TaskRecord(true, task.run(), 0, "", task.placedOn()) : task;
    }

    private static void write(
            MessageBufferPacker to, TaskRecord task, int count, Map<TaskRecord.WorkerIncarnation, Integer> lives)
            throws IOException {
        boolean hex = isHex(task.checkpoint());
        to.packInt((task.done() ? DONE : 0)
                | (task.placedOn().isPresent() ? PLACED : 0)
                | (count > 1 ? REPEATED : 0)
                | (task.failures() > 0 ? FAILURES : 0)
                | (hex ? HEX_CHECKPOINT : task.checkpoint().isEmpty() ? 0 : CHECKPOINT));
        to.packInt(task.run());
        if (count > 1) {
            to.packInt(count);
        }
        if (task.placedOn().isPresent()) {
            to.packInt(lives.get(task.placedOn().get()));
        }
        if (task.failures() > 0) {
            to.packInt(task.failures());
        }
        if (hex) {
            to.packLong(HexFormat.fromHexDigitsToLong(task.checkpoint()));
        } else if (!task.checkpoint().isEmpty()) {
            to.packString(task.checkpoint());
        }
    }

    private static boolean isHex(String text) {
        return text.length() == HEX_DIGITS
                && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }

    /** The state alone, without reading the tasks. */
    static JobState state(byte[] bytes) throws InvalidInputException {
        return StateCodec.parse(bytes, FORMAT, ProgressCodec::state);
    }

    private static JobState state(int format, MessageUnpacker from) throws IOException {
        if (format == 1) {
            from.unpackString();
            return JobState.valueOf(from.unpackString());
        }
        return STATES.get(from.unpackInt());
    }

    /** Whether the record has no steps; false if it cannot be read. */
    static boolean withoutTasks(byte[] bytes) {
        try {
            return StateCodec.parse(bytes, FORMAT, (format, from) -> {
                state(format, from);
                from.unpackLong();
                return (format == 1 ? from.unpackArrayHeader() : from.unpackInt()) == 0;
            });
        } catch (InvalidInputException e) {
            return false;
        }
    }

    static JobProgress progress(JobId id, byte[] bytes) throws InvalidInputException {
        return StateCodec.parse(bytes, FORMAT, (format, from) -> {
            JobState state = state(format, from);
            Instant changed = Instant.ofEpochMilli(from.unpackLong());
            return new JobProgress(id, state, changed, format == 1 ? rows(from) : steps(from));
        });
    }

    private static List<List<TaskRecord>> steps(MessageUnpacker from) throws IOException {
        int count = from.unpackInt();
        List<List<TaskRecord>> steps = new ArrayList<>();
        List<TaskRecord.WorkerIncarnation> lives = count == 0 ? List.of() : lives(from);
        for (int s = 0; s < count; s++) {
            int width = bounded(from.unpackInt(), MOST_TASKS);
            List<TaskRecord> tasks = new ArrayList<>();
            while (tasks.size() < width) {
                readTasks(from, lives, width - tasks.size(), tasks);
            }
            steps.add(tasks);
        }
        return steps;
    }

    private static List<TaskRecord.WorkerIncarnation> lives(MessageUnpacker from) throws IOException {
        int count = from.unpackInt();
        List<TaskRecord.WorkerIncarnation> lives = new ArrayList<>();
        long born = 0;
        for (int i = 0; i < count; i++) {
            WorkerId worker = new WorkerId(from.unpackString());
            born += from.unpackLong();
            lives.add(new TaskRecord.WorkerIncarnation(worker, born));
        }
        return lives;
    }

    private static void readTasks(
            MessageUnpacker from, List<TaskRecord.WorkerIncarnation> lives, int most, List<TaskRecord> tasks)
            throws IOException {
        int flags = from.unpackInt();
        int run = from.unpackInt();
        int count = (flags & REPEATED) == 0 ? 1 : bounded(from.unpackInt(), most);
        Optional<TaskRecord.WorkerIncarnation> at =
                (flags & PLACED) == 0 ? Optional.empty() : Optional.of(lives.get(from.unpackInt()));
        int failures = (flags & FAILURES) == 0 ? 0 : from.unpackInt();
        String checkpoint = "";
        if ((flags & HEX_CHECKPOINT) != 0) {
            checkpoint = HexFormat.of().toHexDigits(from.unpackLong());
        } else if ((flags & CHECKPOINT) != 0) {
            checkpoint = from.unpackString();
        }
        TaskRecord task = new TaskRecord((flags & DONE) != 0, run, failures, checkpoint, at);
        tasks.addAll(Collections.nCopies(count, task));
    }

    private static int bounded(int value, int most) {
        if (value < 1 || value > most) {
            throw new IllegalArgumentException("a number of tasks is " + value + " and not from 1 to " + most);
        }
        return value;
    }

    /** Steps of format 1. */
    private static List<List<TaskRecord>> rows(MessageUnpacker from) throws IOException {
        List<List<TaskRecord>> steps = new ArrayList<>();
        int count = from.unpackArrayHeader();
        for (int s = 0; s < count; s++) {
            List<TaskRecord> tasks = new ArrayList<>();
            int width = from.unpackArrayHeader();
            for (int i = 0; i < width; i++) {
                tasks.add(row(from));
            }
            steps.add(tasks);
        }
        return steps;
    }

    private static TaskRecord row(MessageUnpacker from) throws IOException {
        boolean done = from.unpackBoolean();
        int run = from.unpackInt();
        int failures = from.unpackInt();
        String checkpoint = from.unpackString();
        Optional<TaskRecord.WorkerIncarnation> at = Optional.empty();
        if (!from.tryUnpackNil()) {
            at = Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId(from.unpackString()), from.unpackLong()));
        }
        return new TaskRecord(done, run, failures, checkpoint, at);
    }
}
