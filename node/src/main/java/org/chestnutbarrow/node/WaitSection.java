package org.chestnutbarrow.node;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.logging.Events;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes since when the tasks of a job have waited, as the last section of its progress. Stateless.
 *
 * <p>Consecutive tasks of a step that have waited since the same time are written once, relative to the latest change of
 * the job's state. The section is omitted if it would be empty.
 */
final class WaitSection {
    /** Consecutive tasks of one step that have waited since the same time, in ms since the epoch. */
    private record Range(int step, int first, int count, long sinceMs) {}

    private WaitSection() {}

    static void write(MessageBufferPacker packer, JobProgress progress) throws IOException {
        List<Range> ranges = new ArrayList<>();
        for (int step = 0; step < progress.steps().size(); step++) {
            addRanges(step, progress.steps().get(step), ranges);
        }
        if (ranges.isEmpty()) {
            return;
        }
        packer.packInt(ranges.size());
        for (Range range : ranges) {
            packer.packInt(range.step()).packInt(range.first()).packInt(range.count());
            packer.packLong(range.sinceMs() - progress.changedAt().toEpochMilli());
        }
    }

    private static void addRanges(int step, List<TaskRecord> tasks, List<Range> ranges) {
        int first = 0;
        while (first < tasks.size()) {
            Optional<Long> sinceMs = sinceMs(tasks.get(first));
            int end = first + 1;
            while (end < tasks.size() && sinceMs(tasks.get(end)).equals(sinceMs)) {
                end++;
            }
            if (sinceMs.isPresent()) {
                ranges.add(new Range(step, first, end - first, sinceMs.get()));
            }
            first = end;
        }
    }

    private static Optional<Long> sinceMs(TaskRecord task) {
        return task.waitingSince().map(Instant::toEpochMilli);
    }

    /**
     * Reads the section and sets the times in {@code steps}, whose lists must be mutable. An unreadable rest is ignored,
     * because the times are only estimates and the tasks before them are complete.
     */
    static void read(MessageUnpacker unpacker, Instant changedAt, List<List<TaskRecord>> steps) {
        try {
            int rangeCount = unpacker.unpackInt();
            for (int i = 0; i < rangeCount; i++) {
                List<TaskRecord> tasks = steps.get(unpacker.unpackInt());
                int first = unpacker.unpackInt();
                int count = unpacker.unpackInt();
                Instant since = Instant.ofEpochMilli(changedAt.toEpochMilli() + unpacker.unpackLong());
                tasks.subList(first, first + count).replaceAll(task -> task.withWaitingSince(Optional.of(since)));
            }
        } catch (IOException | MessagePackException | IndexOutOfBoundsException | IllegalArgumentException e) {
            Events.warn("task-waits-unreadable", "cause", e.getMessage());
        }
    }
}
