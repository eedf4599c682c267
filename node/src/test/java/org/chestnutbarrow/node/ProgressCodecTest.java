package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Tests that encoded progress keeps what a later owner needs, and that it stays small. */
public class ProgressCodecTest {
    private static final JobId ID = new JobId("5c0e7a21d94b36f8");
    private static final Instant CHANGED = Instant.ofEpochMilli(1_760_000_000_000L);
    private static final int TASKS = 20;
    /** Four tasks, one of them placed, as 287024d has written them. */
    private static final String RECORD_OF_BUILD_BEFORE =
            "0201cf00000199c82cc0000101ac7372762d3030303035" + "636364cf00000199c82c23c3040101120100a57361766564040002";

    private static final List<JobState> STATES = List.of(JobState.values());

    private static JobProgress progress(JobState state, List<List<TaskRecord>> steps) {
        return new JobProgress(ID, state, CHANGED, steps);
    }

    private static Optional<TaskRecord.WorkerIncarnation> incarnation(int worker) {
        return Optional.of(new TaskRecord.WorkerIncarnation(
                new WorkerId("srv-%08x".formatted(worker * 7919)), CHANGED.toEpochMilli() - 40_000 + worker));
    }

    private static TaskRecord running(int worker, String checkpoint) {
        return new TaskRecord(false, 1, 0, checkpoint, incarnation(worker));
    }

    private static TaskRecord done() {
        return new TaskRecord(true, 1, 0, "", Optional.empty());
    }

    /** Encodes progress in format 1, which is no longer written. */
    private static byte[] encodeFormat1(JobProgress progress) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(1)
                    .packString(progress.id().value())
                    .packString(progress.state().name());
            packer.packLong(progress.changedAt().toEpochMilli());
            packer.packArrayHeader(progress.steps().size());
            for (List<TaskRecord> tasks : progress.steps()) {
                packer.packArrayHeader(tasks.size());
                for (TaskRecord task : tasks) {
                    packer.packBoolean(task.done()).packInt(task.run()).packInt(task.failures());
                    packer.packString(task.checkpoint());
                    if (task.placedOn().isPresent()) {
                        packer.packString(task.placedOn().get().worker().value())
                                .packLong(task.placedOn().get().incarnation());
                    } else {
                        packer.packNil();
                    }
                }
            }
            return packer.toByteArray();
        }
    }

    private static JobProgress randomProgress(Random random) {
        List<List<TaskRecord>> steps = new ArrayList<>();
        int stepCount = random.nextInt(4);
        for (int step = 0; step < stepCount; step++) {
            List<TaskRecord> tasks = new ArrayList<>();
            int taskCount = 1 + random.nextInt(30);
            for (int index = 0; index < taskCount; index++) {
                tasks.add(randomTask(random));
            }
            steps.add(tasks);
        }
        return progress(STATES.get(random.nextInt(STATES.size())), steps);
    }

    private static TaskRecord randomTask(Random random) {
        return switch (random.nextInt(5)) {
            case 0 -> TaskRecord.NEW;
            case 1 -> done();
            case 2 -> TaskRecord.NEW.withWaitingSince(waitingSince(random));
            default ->
                new TaskRecord(
                        false,
                        random.nextInt(300),
                        random.nextInt(3),
                        List.of("", "saved", "00000bb87a21d94b", "F0000bb87a21d94b", "é0000bb87a21d94b")
                                .get(random.nextInt(5)),
                        random.nextBoolean() ? incarnation(random.nextInt(10)) : Optional.empty());
        };
    }

    private static Optional<Instant> waitingSince(Random random) {
        return Optional.of(CHANGED.plusMillis(random.nextInt(-100, 100_000)));
    }

    private static JobProgress withoutWaits(JobProgress progress) {
        return progress(
                progress.state(),
                progress.steps().stream()
                        .map(tasks -> tasks.stream()
                                .map(task -> task.withWaitingSince(Optional.empty()))
                                .toList())
                        .toList());
    }

    /**
     * Nodes of the build before, which ignore what follows the tasks, must read the same tasks, and its records must be
     * read.
     */
    @Test
    public void waitsFollowTheEarlierLayout() throws InvalidInputException {
        Random random = new Random(5);
        for (int index = 0; index < 500; index++) {
            JobProgress progress = randomProgress(random);
            byte[] earlier = ProgressCodec.encode(withoutWaits(progress));
            byte[] record = ProgressCodec.encode(progress);
            assertEquals(Arrays.copyOf(record, earlier.length), earlier);
            assertEquals(record.length == earlier.length, progress.equals(withoutWaits(progress)));
            assertEquals(ProgressCodec.decode(ID, earlier), withoutWaits(progress));
        }
    }

    /** A fixed record of the build before, whose layout must stay a prefix of the current one. */
    @Test
    public void recordOfTheBuildBeforeIsRead() throws InvalidInputException {
        byte[] earlier = HexFormat.of().parseHex(RECORD_OF_BUILD_BEFORE);
        JobProgress progress = progress(
                JobState.RUNNING, List.of(List.of(done(), running(3, "saved"), TaskRecord.NEW, TaskRecord.NEW)));
        assertEquals(ProgressCodec.decode(ID, earlier), progress);
        assertEquals(ProgressCodec.encode(progress), earlier);
    }

    /** A job must not run again from the beginning because the times after its tasks cannot be read. */
    @Test
    public void damagedWaitsLeaveTheTasks() throws InvalidInputException {
        Random random = new Random(6);
        TaskRecord waiting = TaskRecord.NEW.withWaitingSince(waitingSince(random));
        JobProgress progress = progress(JobState.RUNNING, List.of(List.of(done(), waiting)));
        byte[] record = ProgressCodec.encode(progress);
        int end = ProgressCodec.encode(withoutWaits(progress)).length;
        for (int index = 0; index < 300; index++) {
            byte[] damaged = Arrays.copyOf(record, end + 1 + random.nextInt(record.length - end));
            damaged[end + random.nextInt(damaged.length - end)] = (byte) random.nextInt();
            assertEquals(withoutWaits(ProgressCodec.decode(ID, damaged)), withoutWaits(progress));
        }
    }

    /** After a takeover the runs, locations, checkpoints and failures must be those that were stored. */
    @Test
    public void progressIsReadAsWritten() throws InvalidInputException {
        Random random = new Random(3);
        for (int index = 0; index < 2000; index++) {
            JobProgress progress = randomProgress(random);
            byte[] record = ProgressCodec.encode(progress);
            assertEquals(ProgressCodec.decode(ID, record), progress);
            assertEquals(ProgressCodec.decodeState(record), progress.state());
        }
    }

    @Test
    public void finishedTasksKeepTheirRunsAndPlaces() throws InvalidInputException {
        TaskRecord stopping = new TaskRecord(true, 2, 1, "saved", incarnation(3));
        JobProgress read =
                ProgressCodec.decode(ID, ProgressCodec.encode(progress(JobState.RUNNING, List.of(List.of(stopping)))));
        assertEquals(read.steps(), List.of(List.of(new TaskRecord(true, 2, 0, "", incarnation(3)))));
    }

    /** Jobs must not be restarted after an upgrade because their records cannot be read. */
    @Test
    public void format1IsStillRead() throws InvalidInputException, IOException {
        Random random = new Random(4);
        for (int index = 0; index < 200; index++) {
            JobProgress progress = withoutWaits(randomProgress(random));
            assertEquals(ProgressCodec.decode(ID, encodeFormat1(progress)), progress);
            assertEquals(ProgressCodec.decodeState(encodeFormat1(progress)), progress.state());
        }
    }

    /** Corrupt records must cause neither a crash nor unbounded memory use. */
    @Test
    public void damagedRecordsAreReported() {
        Random random = new Random(1);
        for (int index = 0; index < 5000; index++) {
            byte[] damaged = ProgressCodec.encode(randomProgress(random));
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            try {
                ProgressCodec.decode(ID, damaged);
            } catch (InvalidInputException e) {
                assertTrue(e.getMessage().contains("stored record"), e.getMessage());
            }
        }
        assertThrows(InvalidInputException.class, () -> ProgressCodec.decode(ID, new byte[0]));
    }

    /** Records must stay small because every node reads each change of a job. */
    @Test
    public void recordsOfTypicalJobsAreSmall() throws IOException {
        List<TaskRecord> allRunning = new ArrayList<>();
        List<TaskRecord> halfDone = new ArrayList<>();
        List<TaskRecord> resumable = new ArrayList<>();
        List<TaskRecord> notStarted = new ArrayList<>();
        for (int index = 0; index < TASKS; index++) {
            allRunning.add(running(index, ""));
            halfDone.add(index % 2 == 0 ? done() : running(index, ""));
            resumable.add(running(index / 2, "00000bb87a21d9%02x".formatted(index)));
            notStarted.add(TaskRecord.NEW);
        }
        assertRelativeSize("20 running on 20 workers", 0.65, allRunning);
        assertRelativeSize("10 done, 10 running on 10 workers", 0.65, halfDone);
        assertRelativeSize("20 resumable running on 10 workers", 0.5, resumable);
        assertRelativeSize("20 waiting", 0.25, notStarted);
        List<TaskRecord> ready = Collections.nCopies(TASKS, TaskRecord.NEW.withWaitingSince(Optional.of(CHANGED)));
        assertRelativeSize("20 waiting since the same time", 0.3, ready);
    }

    private static void assertRelativeSize(String description, double maxRatio, List<TaskRecord> tasks)
            throws IOException {
        JobProgress progress = progress(JobState.RUNNING, List.of(tasks));
        int format1Bytes = encodeFormat1(progress).length;
        int format2Bytes = ProgressCodec.encode(progress).length;
        Reporter.log(description + ": " + format1Bytes + " bytes in format 1, " + format2Bytes + " in format 2", true);
        assertTrue(
                format2Bytes <= maxRatio * format1Bytes,
                description + ": " + format2Bytes + " of " + format1Bytes + " bytes");
    }

    /**
     * Guards against progress that the store refuses because its tasks have long checkpoints, or run on many workers, which
     * would hold back the owner: of a job with as many tasks as are accepted, all is kept that a later owner must know.
     */
    @Test
    public void longCheckpointsAreOmittedFromLargeProgress() throws InvalidInputException {
        List<TaskRecord> tasks = new ArrayList<>();
        for (int i = 0; i < JobSpec.MAX_TASKS; i++) {
            String checkpoint = i % 2 == 0 ? "saved/" + i + "/".repeat(200) : "%016x".formatted(i);
            tasks.add(new TaskRecord(false, 300 + i, 1, checkpoint, incarnation(i)));
        }
        JobProgress large = progress(JobState.RUNNING, List.of(tasks));
        int limit = StateStore.Limits.DEFAULT.maxValueBytes(ID.value());
        assertTrue(ProgressCodec.encode(large).length > limit);
        byte[] record = ProgressCodec.encode(large, limit);
        assertTrue(record.length <= limit, record.length + " bytes");
        List<TaskRecord> read = ProgressCodec.decode(ID, record).steps().getFirst();
        for (int i = 0; i < tasks.size(); i++) {
            TaskRecord task = tasks.get(i);
            String checkpoint = i % 2 == 0 ? "" : task.checkpoint();
            assertEquals(read.get(i), new TaskRecord(false, task.run(), 1, checkpoint, task.placedOn()));
        }
        JobProgress small = progress(JobState.RUNNING, List.of(tasks.subList(0, 10)));
        assertEquals(ProgressCodec.encode(small, limit), ProgressCodec.encode(small));
    }
}
