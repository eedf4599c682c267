package org.chestnutbarrow.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.batch.HealthRecord;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.batch.StalledRun;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the estimates of an owner. Stateless.
 *
 * <p>Nodes of earlier builds write and read only the sensitivities, or these, the health without its evidence and the
 * stalled runs. What follows is omitted when it is empty.
 */
final class EstimatesCodec {
    /** Encodes that there is no quarantine. */
    private static final long NOT_QUARANTINED = 0;

    /**
     * Maximum size of encoded sensitivities, which an owner stores every 2 s and each node reads: an eighth of the
     * slowest supported link. Some 260 pairs of images whose names have a digest fit, or 1,300 with names of ten characters.
     */
    static final int MAX_SENSITIVITY_BYTES = 64 * 1024;

    /** Maximum size of the head of a string and of a number. */
    private static final int MAX_STRING_HEAD_BYTES = 5;

    private static final int MAX_NUMBER_BYTES = 9;

    private EstimatesCodec() {}

    /**
     * Encodes as many sensitivities as fit into {@code maxBytes} and {@link #MAX_SENSITIVITY_BYTES}; the first ones are the
     * most useful.
     */
    static byte[] encodeFirst(List<Sensitivity> sensitivities, int maxBytes) {
        int limit = Math.min(maxBytes, MAX_SENSITIVITY_BYTES);
        // The format number and the number of sensitivities.
        int bytes = 2 * MAX_STRING_HEAD_BYTES;
        int count = 0;
        while (count < sensitivities.size()) {
            bytes += maxBytes(sensitivities.get(count));
            if (bytes > limit) {
                break;
            }
            count++;
        }
        return encode(new Estimates(sensitivities.subList(0, count), List.of(), List.of()));
    }

    /**
     * Encodes health and stalled runs in at most {@code maxBytes}; if there are too many, the last ones are left out, which
     * are the least useful.
     */
    static byte[] encodeHealth(Estimates estimates, int maxBytes) {
        Estimates kept = estimates.withoutSensitivities();
        byte[] record = encode(kept);
        while (record.length > maxBytes
                && !(kept.health().isEmpty() && kept.stalledRuns().isEmpty())) {
            kept = new Estimates(List.of(), firstHalf(kept.health()), firstHalf(kept.stalledRuns()));
            record = encode(kept);
        }
        return record;
    }

    private static <T> List<T> firstHalf(List<T> list) {
        return list.subList(0, list.size() / 2);
    }

    private static int maxBytes(Sensitivity sensitivity) {
        return maxBytes(sensitivity.bestEffortImage())
                + maxBytes(sensitivity.latencyCriticalImage())
                + 2 * MAX_NUMBER_BYTES;
    }

    private static int maxBytes(String text) {
        return MAX_STRING_HEAD_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
    }

    static byte[] encode(Estimates estimates) {
        return StateCodec.encodeRecord(packer -> {
            packer.packArrayHeader(estimates.sensitivities().size());
            for (Sensitivity sensitivity : estimates.sensitivities()) {
                packer.packString(sensitivity.bestEffortImage()).packString(sensitivity.latencyCriticalImage());
                packer.packDouble(sensitivity.weight()).packDouble(sensitivity.variance());
            }
            boolean hasEvidence =
                    estimates.health().stream().anyMatch(health -> health.evidence() != 0 || health.onProbation());
            boolean hasStalledRuns = !estimates.stalledRuns().isEmpty();
            if (!estimates.health().isEmpty() || hasStalledRuns) {
                writeHealth(packer, estimates.health());
            }
            if (hasStalledRuns || hasEvidence) {
                writeStalledRuns(packer, estimates.stalledRuns());
            }
            if (hasEvidence) {
                writeEvidence(packer, estimates.health());
            }
        });
    }

    private static void writeHealth(MessageBufferPacker packer, List<HealthRecord> records) throws IOException {
        packer.packArrayHeader(records.size());
        for (HealthRecord health : records) {
            packer.packString(health.worker().worker().value())
                    .packLong(health.worker().incarnation());
            packer.packLong(health.quarantinedUntil().map(Instant::toEpochMilli).orElse(NOT_QUARANTINED));
            packer.packLong(health.nextQuarantine().toMillis());
            packer.packArrayHeader(health.failures().size());
            for (HealthRecord.Failure failure : health.failures()) {
                packer.packLong(failure.at().toEpochMilli())
                        .packString(failure.job().value());
            }
        }
    }

    /** Writes the part of the health that earlier builds ignore, in the order of the records. */
    private static void writeEvidence(MessageBufferPacker packer, List<HealthRecord> records) throws IOException {
        packer.packArrayHeader(records.size());
        for (HealthRecord health : records) {
            packer.packDouble(health.evidence()).packBoolean(health.onProbation());
        }
    }

    private static void writeStalledRuns(MessageBufferPacker packer, List<StalledRun> runs) throws IOException {
        packer.packArrayHeader(runs.size());
        for (StalledRun run : runs) {
            packer.packString(run.task().job().value());
            packer.packInt(run.task().step()).packInt(run.task().index()).packInt(run.run());
            packer.packLong(run.incarnation()).packInt(run.progressPercent());
            packer.packLong(run.observed().toMillis());
        }
    }

    static Estimates decode(byte[] bytes) throws InvalidInputException {
        return StateCodec.decodeRecord(bytes, (_, unpacker) -> {
            List<Sensitivity> sensitivities = readSensitivities(unpacker);
            List<HealthRecord> health = unpacker.hasNext() ? readHealth(unpacker) : List.of();
            List<StalledRun> stalledRuns = unpacker.hasNext() ? readStalledRuns(unpacker) : List.of();
            return new Estimates(
                    sensitivities, unpacker.hasNext() ? withEvidence(health, unpacker) : health, stalledRuns);
        });
    }

    private static List<HealthRecord> withEvidence(List<HealthRecord> records, MessageUnpacker unpacker)
            throws IOException {
        List<HealthRecord> result = new ArrayList<>(records);
        int count = Math.min(records.size(), unpacker.unpackArrayHeader());
        for (int i = 0; i < count; i++) {
            result.set(i, records.get(i).with(unpacker.unpackDouble(), unpacker.unpackBoolean()));
        }
        return result;
    }

    private static List<Sensitivity> readSensitivities(MessageUnpacker unpacker) throws IOException {
        List<Sensitivity> sensitivities = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            sensitivities.add(new Sensitivity(
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackDouble(),
                    unpacker.unpackDouble()));
        }
        return sensitivities;
    }

    private static List<HealthRecord> readHealth(MessageUnpacker unpacker) throws IOException {
        List<HealthRecord> records = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            TaskRecord.WorkerIncarnation worker =
                    new TaskRecord.WorkerIncarnation(new WorkerId(unpacker.unpackString()), unpacker.unpackLong());
            long untilMs = unpacker.unpackLong();
            Duration next = Duration.ofMillis(unpacker.unpackLong());
            List<HealthRecord.Failure> failures = new ArrayList<>();
            int failureCount = unpacker.unpackArrayHeader();
            for (int failure = 0; failure < failureCount; failure++) {
                failures.add(new HealthRecord.Failure(
                        Instant.ofEpochMilli(unpacker.unpackLong()), new JobId(unpacker.unpackString())));
            }
            Optional<Instant> until =
                    untilMs == NOT_QUARANTINED ? Optional.empty() : Optional.of(Instant.ofEpochMilli(untilMs));
            records.add(new HealthRecord(worker, failures, until, next));
        }
        return records;
    }

    private static List<StalledRun> readStalledRuns(MessageUnpacker unpacker) throws IOException {
        List<StalledRun> runs = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            TaskName task =
                    new TaskName(new JobId(unpacker.unpackString()), unpacker.unpackInt(), unpacker.unpackInt());
            runs.add(new StalledRun(
                    task,
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    unpacker.unpackInt(),
                    Duration.ofMillis(unpacker.unpackLong())));
        }
        return runs;
    }
}
