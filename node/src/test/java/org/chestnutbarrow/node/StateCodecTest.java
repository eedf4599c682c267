package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.testng.annotations.Test;

/** Tests that stored records are read as written and that unreadable records are reported. */
public class StateCodecTest {
    private static final JobSpec JOB = new JobSpec(
            new JobId("a"),
            new Queue("host", "/q/", "service", 2, 3, 1.5, Duration.ofMillis(250)),
            Instant.ofEpochMilli(7),
            "payload",
            List.of(
                    new Step(
                            2,
                            new Resources(0, 0, 1, 2, 3),
                            Duration.ofMillis(4),
                            List.of(),
                            new Step.Constraints(Optional.of("label"), Optional.empty(), 5),
                            new Step.Behaviour("image", true, false, true, 6, 7)),
                    new Step(
                            1,
                            Resources.NONE,
                            Duration.ZERO,
                            List.of(0),
                            Step.Constraints.NONE,
                            Step.Behaviour.PLAIN)));

    @Test
    public void recordsAreReadAsWritten() throws InvalidInputException {
        assertEquals(StateCodec.decodeJob(StateCodec.encode(JOB)), JOB);
        OwnerRecord owner = new OwnerRecord("node", 7);
        assertEquals(StateCodec.decodeOwner(StateCodec.encode(owner)), owner);
        Map<TaskRecord.WorkerIncarnation, Duration> silences =
                Map.of(new TaskRecord.WorkerIncarnation(new WorkerId("w"), 9), Duration.ofMillis(5));
        assertEquals(StateCodec.decodeSilences(StateCodec.encode(silences)), silences);
    }

    /** Guards against an owner's record that nodes of an earlier build cannot read, or whose leases are cut short. */
    @Test
    public void ownersAreReadAcrossBuilds() throws InvalidInputException, IOException {
        TaskRecord.WorkerIncarnation incarnation = new TaskRecord.WorkerIncarnation(new WorkerId("w"), 9);
        OwnerRecord closed = new OwnerRecord("node", 7, "key", Map.of(incarnation, Duration.ofMillis(4380)));
        assertEquals(StateCodec.decodeOwner(StateCodec.encode(closed)), closed);
        // An earlier build reads a format number from 1 to 1 and the first three fields.
        try (MessageUnpacker earlier = MessagePack.newDefaultUnpacker(StateCodec.encode(closed))) {
            assertEquals(earlier.unpackInt(), 1);
            assertEquals(earlier.unpackString(), "node");
            assertEquals(earlier.unpackLong(), 7);
            assertEquals(earlier.unpackString(), "key");
        }
        byte[] withoutLeases = StateCodec.encodeRecord(
                1, packer -> packer.packString("node").packLong(7).packString("key"));
        assertEquals(StateCodec.decodeOwner(withoutLeases), new OwnerRecord("node", 7, "key"));
        byte[] withoutKey =
                StateCodec.encodeRecord(1, packer -> packer.packString("node").packLong(7));
        assertEquals(StateCodec.decodeOwner(withoutKey), new OwnerRecord("node", 7));
    }

    /** Guards against a next owner that waits a fraction of a millisecond too briefly. */
    @Test
    public void remainingLeasesAreRoundedUpAndSilencesDown() throws InvalidInputException {
        TaskRecord.WorkerIncarnation incarnation = new TaskRecord.WorkerIncarnation(new WorkerId("w"), 9);
        OwnerRecord closed = new OwnerRecord("node", 7, "", Map.of(incarnation, Duration.ofNanos(1_000_001)));
        assertEquals(
                StateCodec.decodeOwner(StateCodec.encode(closed)).remainingLeases(),
                Map.of(incarnation, Duration.ofMillis(2)));
        for (long nanos : List.of(1_999_999L, -1L)) {
            byte[] silences = StateCodec.encode(Map.of(incarnation, Duration.ofNanos(nanos)));
            assertEquals(
                    StateCodec.decodeSilences(silences),
                    Map.of(incarnation, Duration.ofMillis(Math.floorDiv(nanos, 1_000_000L))));
        }
    }

    /** Corrupt bytes must not cause a crash: they are either reported or decoded as another record. */
    @Test
    public void damagedRecordsAreReported() {
        Random random = new Random(1);
        byte[] intact = StateCodec.encode(JOB);
        for (int i = 0; i < 2000; i++) {
            byte[] damaged = intact.clone();
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            try {
                StateCodec.decodeJob(damaged);
            } catch (InvalidInputException e) {
                assertEquals(e.getMessage().contains("stored record"), true, e.getMessage());
            }
        }
        assertThrows(InvalidInputException.class, () -> StateCodec.decodeJob(new byte[0]));
    }
}
