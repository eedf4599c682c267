package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.batch.HealthRecord;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.batch.StalledRun;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessagePack;
import org.testng.annotations.Test;

/** Tests that estimates are read as written, and that nodes of earlier builds and later ones read each other's. */
public class EstimatesCodecTest {
    private static final List<Sensitivity> SENSITIVITIES = List.of(new Sensitivity("a", "b", 1.5, 0.25));
    private static final Instant NOW = Instant.ofEpochMilli(1_760_000_000_000L);
    private static final TaskRecord.WorkerIncarnation INCARNATION =
            new TaskRecord.WorkerIncarnation(new WorkerId("w"), 9);
    private static final List<HealthRecord> HEALTH = List.of(
            new HealthRecord(INCARNATION, List.of(), Optional.of(NOW), Duration.ofSeconds(8)),
            new HealthRecord(
                    INCARNATION,
                    List.of(new HealthRecord.Failure(NOW, new JobId("j"))),
                    Optional.empty(),
                    Duration.ofSeconds(4)));
    private static final List<HealthRecord> HEALTH_WITH_EVIDENCE = List.of(
            new HealthRecord(INCARNATION, List.of(), Optional.empty(), Duration.ofSeconds(4)).with(4.5, false),
            new HealthRecord(INCARNATION, List.of(), Optional.of(NOW), Duration.ofSeconds(8)),
            new HealthRecord(INCARNATION, List.of(), Optional.empty(), Duration.ofSeconds(8)).with(0, true));
    private static final List<StalledRun> STALLED =
            List.of(new StalledRun(new TaskName(new JobId("j"), 1, 2), 3, 9, 40, Duration.ofMillis(700)));

    @Test
    public void estimatesAreReadAsWritten() throws InvalidInputException {
        for (Estimates estimates : List.of(
                Estimates.NONE,
                new Estimates(SENSITIVITIES, List.of(), List.of()),
                new Estimates(List.of(), HEALTH, List.of()),
                new Estimates(SENSITIVITIES, List.of(), STALLED),
                new Estimates(SENSITIVITIES, HEALTH, STALLED),
                new Estimates(List.of(), HEALTH_WITH_EVIDENCE, List.of()),
                new Estimates(SENSITIVITIES, HEALTH_WITH_EVIDENCE, STALLED))) {
            assertEquals(EstimatesCodec.decode(EstimatesCodec.encode(estimates)), estimates);
        }
    }

    /** Nodes of earlier builds ignore what follows the sensitivities, and their records are read. */
    @Test
    public void otherEstimatesFollowTheEarlierLayout() throws Exception {
        byte[] earlier;
        try (var packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(1).packArrayHeader(1);
            packer.packString("a").packString("b").packDouble(1.5).packDouble(0.25);
            earlier = packer.toByteArray();
        }
        assertEquals(EstimatesCodec.encode(new Estimates(SENSITIVITIES, List.of(), List.of())), earlier);
        assertEquals(EstimatesCodec.decode(earlier), new Estimates(SENSITIVITIES, List.of(), List.of()));
        byte[] record = EstimatesCodec.encode(new Estimates(SENSITIVITIES, HEALTH, STALLED));
        assertEquals(Arrays.copyOf(record, earlier.length), earlier);
    }

    /** Nodes of builds without evidence ignore what follows the stalled runs. */
    @Test
    public void evidenceFollowsTheLayoutWithoutIt() {
        List<HealthRecord> withoutEvidence = HEALTH_WITH_EVIDENCE.stream()
                .map(health -> health.with(0, false))
                .toList();
        byte[] earlier = EstimatesCodec.encode(new Estimates(SENSITIVITIES, withoutEvidence, STALLED));
        byte[] record = EstimatesCodec.encode(new Estimates(SENSITIVITIES, HEALTH_WITH_EVIDENCE, STALLED));
        assertEquals(Arrays.copyOf(record, earlier.length), earlier);
        assertTrue(record.length > earlier.length);
    }

    /** A damaged record must not end the thread that follows the store. */
    @Test
    public void damagedRecordsAreReported() {
        Random random = new Random(7);
        for (int i = 0; i < 10_000; i++) {
            byte[] record = EstimatesCodec.encode(
                    new Estimates(SENSITIVITIES, i % 2 == 0 ? HEALTH : HEALTH_WITH_EVIDENCE, STALLED));
            byte[] damaged = Arrays.copyOf(record, 1 + random.nextInt(record.length));
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            try {
                EstimatesCodec.decode(damaged);
            } catch (InvalidInputException e) {
                assertEquals(e.getMessage().startsWith("stored record"), true, e.getMessage());
            }
        }
    }

    /** Guards against a record that grows with the number and the names of the images until the store refuses it. */
    @Test
    public void encodedSensitivitiesAreBounded() throws InvalidInputException {
        for (int nameLength : new int[] {1, 100, 30_000, 300_000}) {
            String name = "\u00e4".repeat(nameLength);
            List<Sensitivity> sensitivities = IntStream.range(0, 5000)
                    .mapToObj(i -> new Sensitivity(name, "image-" + i, i, 1))
                    .toList();
            byte[] record = EstimatesCodec.encodeFirst(sensitivities, Integer.MAX_VALUE);
            assertTrue(record.length <= EstimatesCodec.MAX_SENSITIVITY_BYTES, record.length + " bytes");
            List<Sensitivity> read = EstimatesCodec.decode(record).sensitivities();
            assertEquals(read, sensitivities.subList(0, read.size()));
            assertEquals(read.isEmpty(), nameLength > 32_000, read.size() + " of length " + nameLength);
            assertTrue(EstimatesCodec.encodeFirst(sensitivities, 1000).length <= 1000);
        }
    }

    /** Guards against evidence on workers that is not stored at all because the store does not accept all of it. */
    @Test
    public void encodedHealthIsBounded() throws InvalidInputException {
        List<HealthRecord> health = IntStream.range(0, 100)
                .mapToObj(i -> new HealthRecord(INCARNATION, List.of(), Optional.empty(), Duration.ofSeconds(4))
                        .with(i + 1, false))
                .toList();
        Estimates all = new Estimates(SENSITIVITIES, health, STALLED);
        assertEquals(
                EstimatesCodec.decode(EstimatesCodec.encodeHealth(all, 100_000)),
                new Estimates(List.of(), health, STALLED));
        byte[] record = EstimatesCodec.encodeHealth(all, 1000);
        assertTrue(record.length <= 1000, record.length + " bytes");
        List<HealthRecord> read = EstimatesCodec.decode(record).health();
        assertTrue(read.size() >= 20, read.size() + " records");
        assertEquals(read, health.subList(0, read.size()));
    }
}
