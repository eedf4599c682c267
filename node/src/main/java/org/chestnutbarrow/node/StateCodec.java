package org.chestnutbarrow.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes stored records as MessagePack: a format number, then the fields in a fixed order. Stateless. */
final class StateCodec {
    private static final int CURRENT_FORMAT = 1;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final String REMEDY = "upgrade this node: the record was written by another version of the program";

    /** Largest size of the format number and the head of an array. */
    private static final int MAX_HEAD_BYTES = 10;
    /** Size of the head of a string of up to 255 bytes. */
    private static final int MAX_ID_HEAD_BYTES = 2;

    private static final int MAX_NUMBER_BYTES = 9;

    private StateCodec() {}

    /** Writes the fields after the format number. */
    interface FieldWriter {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /** Reads the fields after the format number. */
    interface FieldReader<T> {
        T read(int format, MessageUnpacker unpacker) throws IOException;
    }

    static byte[] encode(JobSpec job) {
        return encodeRecord(packer -> {
            packer.packString(job.id().value())
                    .packLong(job.submitted().toEpochMilli())
                    .packString(job.payload());
            Queue queue = job.queue();
            packer.packString(queue.host()).packString(queue.prefix()).packString(queue.service());
            packer.packInt(queue.priority()).packInt(queue.maxAttempts());
            packer.packDouble(queue.stretch()).packLong(queue.allowance().toMillis());
            packer.packArrayHeader(job.steps().size());
            for (Step step : job.steps()) {
                writeStep(packer, step);
            }
            // Nodes of earlier builds ignore what follows.
            if (!job.account().isEmpty()) {
                packer.packString(job.account());
            }
        });
    }

    private static void writeStep(MessageBufferPacker packer, Step step) throws IOException {
        packer.packInt(step.count()).packInt(step.demand().milliCores());
        packer.packLong(step.demand().memoryMiB()).packInt(step.demand().accelerators());
        packer.packLong(step.estimate().toMillis());
        packer.packArrayHeader(step.dependencies().size());
        for (int prerequisite : step.dependencies()) {
            packer.packInt(prerequisite);
        }
        packer.packString(step.constraints().label().orElse(""));
        packer.packString(step.constraints().rack().orElse(""));
        packer.packInt(step.constraints().maxPerWorker());
        Step.Behaviour behaviour = step.behaviour();
        packer.packString(behaviour.image());
        packer.packBoolean(behaviour.checkpointing())
                .packBoolean(behaviour.longRunning())
                .packBoolean(behaviour.bestEffort());
        packer.packInt(behaviour.latencyTargetMs()).packInt(behaviour.maxUnavailable());
    }

    static JobSpec decodeJob(byte[] bytes) throws InvalidInputException {
        return decodeRecord(bytes, (_, unpacker) -> {
            JobId id = new JobId(unpacker.unpackString());
            Instant submitted = Instant.ofEpochMilli(unpacker.unpackLong());
            String payload = unpacker.unpackString();
            Queue queue = new Queue(
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    unpacker.unpackDouble(),
                    Duration.ofMillis(unpacker.unpackLong()));
            List<Step> steps = new ArrayList<>();
            int count = unpacker.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                steps.add(readStep(unpacker));
            }
            String account = unpacker.hasNext() ? unpacker.unpackString() : "";
            return new JobSpec(id, queue, account, submitted, payload, steps);
        });
    }

    private static Step readStep(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        Resources demand = new Resources(0, 0, unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackInt());
        Duration estimate = Duration.ofMillis(unpacker.unpackLong());
        List<Integer> after = new ArrayList<>();
        int prerequisiteCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < prerequisiteCount; i++) {
            after.add(unpacker.unpackInt());
        }
        Step.Constraints placement = new Step.Constraints(
                emptyToOptional(unpacker.unpackString()),
                emptyToOptional(unpacker.unpackString()),
                unpacker.unpackInt());
        Step.Behaviour behaviour = new Step.Behaviour(
                unpacker.unpackString(),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                unpacker.unpackInt(),
                unpacker.unpackInt());
        return new Step(count, demand, estimate, after, placement, behaviour);
    }

    static byte[] encode(OwnerRecord owner) {
        return encodeRecord(packer -> {
            packer.packString(owner.member()).packLong(owner.token()).packString(owner.relayKey());
            // Rounded up, so that the next owner does not wait too briefly.
            writeDurations(
                    packer,
                    owner.remainingLeases(),
                    lease -> lease.plusMillis(1).minusNanos(1));
        });
    }

    static OwnerRecord decodeOwner(byte[] bytes) throws InvalidInputException {
        // Nodes of earlier builds store no key or no leases.
        return decodeRecord(
                bytes,
                (_, unpacker) -> new OwnerRecord(
                        unpacker.unpackString(),
                        unpacker.unpackLong(),
                        unpacker.hasNext() ? unpacker.unpackString() : "",
                        unpacker.hasNext() ? readDurations(unpacker) : Map.of()));
    }

    static byte[] encode(Map<TaskRecord.WorkerIncarnation, Duration> silences) {
        return encodeRecord(packer -> writeDurations(packer, silences, silence -> silence));
    }

    /**
     * Returns the first of some durations, in an order, that fit into a record of {@code maxBytes} beside {@code
     * otherBytes} of other fields.
     */
    static Map<TaskRecord.WorkerIncarnation, Duration> fitting(
            Map<TaskRecord.WorkerIncarnation, Duration> durations,
            Comparator<Duration> order,
            int otherBytes,
            int maxBytes) {
        int headBytes = MAX_HEAD_BYTES + otherBytes;
        long bytes = headBytes;
        for (TaskRecord.WorkerIncarnation incarnation : durations.keySet()) {
            bytes += maxBytes(incarnation);
        }
        if (bytes <= maxBytes) {
            return durations;
        }
        Map<TaskRecord.WorkerIncarnation, Duration> result = new HashMap<>();
        bytes = headBytes;
        for (Map.Entry<TaskRecord.WorkerIncarnation, Duration> entry : durations.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(order))
                .toList()) {
            bytes += maxBytes(entry.getKey());
            if (bytes > maxBytes) {
                break;
            }
            result.put(entry.getKey(), entry.getValue());
        }
        return result;
    }

    /** Returns the largest size of an incarnation, whose id is in ASCII, with its duration. */
    private static int maxBytes(TaskRecord.WorkerIncarnation incarnation) {
        return MAX_ID_HEAD_BYTES + incarnation.worker().value().length() + 2 * MAX_NUMBER_BYTES;
    }

    /** Writes durations in whole milliseconds, rounded down after {@code rounding}. */
    private static void writeDurations(
            MessageBufferPacker packer,
            Map<TaskRecord.WorkerIncarnation, Duration> durations,
            UnaryOperator<Duration> rounding)
            throws IOException {
        packer.packArrayHeader(durations.size());
        for (Map.Entry<TaskRecord.WorkerIncarnation, Duration> entry : durations.entrySet()) {
            long nanos = rounding.apply(entry.getValue()).toNanos();
            packer.packString(entry.getKey().worker().value())
                    .packLong(entry.getKey().incarnation())
                    .packLong(Math.floorDiv(nanos, NANOS_PER_MS));
        }
    }

    static Map<TaskRecord.WorkerIncarnation, Duration> decodeSilences(byte[] bytes) throws InvalidInputException {
        return decodeRecord(bytes, (_, unpacker) -> readDurations(unpacker));
    }

    private static Map<TaskRecord.WorkerIncarnation, Duration> readDurations(MessageUnpacker unpacker)
            throws IOException {
        Map<TaskRecord.WorkerIncarnation, Duration> durations = new HashMap<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            TaskRecord.WorkerIncarnation incarnation =
                    new TaskRecord.WorkerIncarnation(new WorkerId(unpacker.unpackString()), unpacker.unpackLong());
            durations.put(incarnation, Duration.ofMillis(unpacker.unpackLong()));
        }
        return durations;
    }

    private static Optional<String> emptyToOptional(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    static byte[] encodeRecord(FieldWriter writer) {
        return encodeRecord(CURRENT_FORMAT, writer);
    }

    static byte[] encodeRecord(int format, FieldWriter writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(format);
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode the record", e);
        }
    }

    static <T> T decodeRecord(byte[] bytes, FieldReader<T> reader) throws InvalidInputException {
        return decodeRecord(bytes, CURRENT_FORMAT, reader);
    }

    /** Decodes a record of a format from 1 to {@code newestFormat}. */
    static <T> T decodeRecord(byte[] bytes, int newestFormat, FieldReader<T> reader) throws InvalidInputException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int format = unpacker.unpackInt();
            if (format < 1 || format > newestFormat) {
                throw new InvalidInputException("stored record has format " + format, REMEDY);
            }
            return reader.read(format, unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new InvalidInputException("stored record cannot be read: " + e.getMessage(), REMEDY, e);
        }
    }
}
