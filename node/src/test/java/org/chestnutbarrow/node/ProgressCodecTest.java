package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Guards progress against loss of what a later owner needs, and its volume. */
public class ProgressCodecTest {
    private static final JobId ID = new JobId("5c0e7a21d94b36f8");
    private static final Instant CHANGED = Instant.ofEpochMilli(1_760_000_000_000L);
    private static final int TASKS = 20;
    private static final List<JobState> STATES = List.of(JobState.values());

    private static JobProgress progress(JobState state, List<List<TaskRecord>> steps) {
        return new JobProgress(ID, state, CHANGED, steps);
    }

    private static Optional<TaskRecord.WorkerIncarnation> at(int worker) {
        return Optional.of(new TaskRecord.WorkerIncarnation(
                new WorkerId("srv-%08x".formatted(worker * 7919)), CHANGED.toEpochMilli() - 40_000 + worker));
    }

    private static TaskRecord running(int worker, String checkpoint) {
        return new TaskRecord(false, 1, 0, checkpoint, at(worker));
    }

    private static TaskRecord done() {
        return new TaskRecord(true, 1, 0, "", Optional.empty());
    }

    /** As format 1 was written. */
    private static byte[] first(JobProgress progress) throws IOException {
        try (MessageBufferPacker to = MessagePack.newDefaultBufferPacker()) {
            to.packInt(1)
                    .packString(progress.id().value())
                    .packString(progress.state().name());
            to.packLong(progress.changedAt().toEpochMilli());
            to.packArrayHeader(progress.steps().size());
            for (List<TaskRecord> tasks : progress.steps()) {
                to.packArrayHeader(tasks.size());
                for (TaskRecord task : tasks) {
                    to.packBoolean(task.done()).packInt(task.run()).packInt(task.failures());
                    to.packString(task.checkpoint());
                    if (task.placedOn().isPresent()) {
                        to.packString(task.placedOn().get().worker().value())
                                .packLong(task.placedOn().get().incarnation());
                    } else {
                        to.packNil();
                    }
                }
            }
            return to.toByteArray();
        }
    }

    private static JobProgress random(Random random) {
        List<List<TaskRecord>> steps = new ArrayList<>();
        int count = random.nextInt(4);
        for (int s = 0; s < count; s++) {
            List<TaskRecord> tasks = new ArrayList<>();
            int width = 1 + random.nextInt(30);
            for (int i = 0; i < width; i++) {
                tasks.add(task(random));
            }
            steps.add(tasks);
        }
        return progress(STATES.get(random.nextInt(STATES.size())), steps);
    }

    private static TaskRecord task(Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> TaskRecord.NEW;
            case 1 -> done();
            default ->
                new TaskRecord(
                        false,
                        random.nextInt(300),
                        random.nextInt(3),
                        List.of("", "saved", "00000bb87a21d94b", "F0000bb87a21d94b", "é0000bb87a21d94b")
                                .get(random.nextInt(5)),
                        random.nextBoolean() ? at(random.nextInt(10)) : Optional.empty());
        };
    }

    /** Guards against a takeover that goes on from other runs, places, checkpoints or failures than were stored. */
    @Test
    public void progressIsReadAsWritten() throws InvalidInputException {
        Random random = new Random(3);
        for (int i = 0; i < 2000; i++) {
            JobProgress progress = random(random);
            byte[] record = ProgressCodec.encode(progress);
            assertEquals(ProgressCodec.progress(ID, record), progress);
            assertEquals(ProgressCodec.state(record), progress.state());
        }
    }

    @Test
    public void finishedTasksKeepTheirRunsAndPlaces() throws InvalidInputException {
        TaskRecord stopping = new TaskRecord(true, 2, 1, "saved", at(3));
        JobProgress read = ProgressCodec.progress(
                ID, ProgressCodec.encode(progress(JobState.RUNNING, List.of(List.of(stopping)))));
        assertEquals(read.steps(), List.of(List.of(new TaskRecord(true, 2, 0, "", at(3)))));
    }

    /** Guards against jobs that start anew after an upgrade, because their records cannot be read any more. */
    @Test
    public void theFirstFormatIsStillRead() throws InvalidInputException, IOException {
        Random random = new Random(4);
        for (int i = 0; i < 200; i++) {
            JobProgress progress = random(random);
            assertEquals(ProgressCodec.progress(ID, first(progress)), progress);
            assertEquals(ProgressCodec.state(first(progress)), progress.state());
        }
    }

    /** Guards against a crash or unbounded memory by damaged records. */
    @Test
    public void damagedRecordsAreReported() {
        Random random = new Random(1);
        for (int i = 0; i < 5000; i++) {
            byte[] damaged = ProgressCodec.encode(random(random));
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            try {
                ProgressCodec.progress(ID, damaged);
            } catch (InvalidInputException e) {
                assertTrue(e.getMessage().contains("stored record"), e.getMessage());
            }
        }
        assertThrows(InvalidInputException.class, () -> ProgressCodec.progress(ID, new byte[0]));
    }

    /** Guards against volume that grows back: each change of a job is read by every node. */
    @Test
    public void recordsOfTypicalJobsAreSmall() throws IOException {
        List<TaskRecord> allRun = new ArrayList<>();
        List<TaskRecord> halfDone = new ArrayList<>();
        List<TaskRecord> resumable = new ArrayList<>();
        List<TaskRecord> waiting = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            allRun.add(running(i, ""));
            halfDone.add(i % 2 == 0 ? done() : running(i, ""));
            resumable.add(running(i / 2, "00000bb87a21d9%02x".formatted(i)));
            waiting.add(TaskRecord.NEW);
        }
        requireAtMost("20 running on 20 workers", 0.65, allRun);
        requireAtMost("10 done, 10 running on 10 workers", 0.65, halfDone);
        requireAtMost("20 resumable running on 10 workers", 0.5, resumable);
        requireAtMost("20 waiting", 0.25, waiting);
    }

    private static void requireAtMost(String what, double share, List<TaskRecord> tasks) throws IOException {
        JobProgress progress = progress(JobState.RUNNING, List.of(tasks));
        int before = first(progress).length;
        int now = ProgressCodec.encode(progress).length;
        Reporter.log(what + ": " + before + " bytes in format 1, " + now + " in format 2", true);
        assertTrue(now <= share * before, what + ": " + now + " of " + before + " bytes");
    }
}
