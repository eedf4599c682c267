package org.chestnutbarrow.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Sensitivity;
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

/** Encodes records as MessagePack, fields in a fixed order after a format number. Stateless. */
final class StateCodec {
    private static final int FORMAT = 1;
    private static final String REMEDY = "upgrade this node: another version of the program wrote the record";

    private StateCodec() {}

    /** Writes what follows the format number. */
    interface Fields {
        void write(MessageBufferPacker to) throws IOException;
    }

    /** Reads what follows the format number. */
    interface Parser<T> {
        T read(int format, MessageUnpacker from) throws IOException;
    }

    static byte[] encode(JobSpec job) {
        return pack(to -> {
            to.packString(job.id().value())
                    .packLong(job.submitted().toEpochMilli())
                    .packString(job.payload());
            Queue queue = job.queue();
            to.packString(queue.host()).packString(queue.prefix()).packString(queue.service());
            to.packInt(queue.priority()).packInt(queue.maxAttempts());
            to.packDouble(queue.stretch()).packLong(queue.allowance().toMillis());
            to.packArrayHeader(job.steps().size());
            for (Step step : job.steps()) {
                write(to, step);
            }
        });
    }

    private static void write(MessageBufferPacker to, Step step) throws IOException {
        to.packInt(step.count()).packInt(step.demand().milliCores());
        to.packLong(step.demand().memoryMiB()).packInt(step.demand().accelerators());
        to.packLong(step.estimate().toMillis());
        to.packArrayHeader(step.dependencies().size());
        for (int before : step.dependencies()) {
            to.packInt(before);
        }
        to.packString(step.constraints().label().orElse(""));
        to.packString(step.constraints().rack().orElse(""));
        to.packInt(step.constraints().maxPerWorker());
        Step.Behaviour service = step.behaviour();
        to.packString(service.image());
        to.packBoolean(service.checkpointing())
                .packBoolean(service.longRunning())
                .packBoolean(service.bestEffort());
        to.packInt(service.latencyTargetMs()).packInt(service.maxUnavailable());
    }

    static JobSpec job(byte[] bytes) throws InvalidInputException {
        return parse(bytes, (_, from) -> {
            JobId id = new JobId(from.unpackString());
            Instant submitted = Instant.ofEpochMilli(from.unpackLong());
            String payload = from.unpackString();
            Queue queue = new Queue(
                    from.unpackString(),
                    from.unpackString(),
                    from.unpackString(),
                    from.unpackInt(),
                    from.unpackInt(),
                    from.unpackDouble(),
                    Duration.ofMillis(from.unpackLong()));
            List<Step> steps = new ArrayList<>();
            int count = from.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                steps.add(step(from));
            }
            return new JobSpec(id, queue, submitted, payload, steps);
        });
    }

    private static Step step(MessageUnpacker from) throws IOException {
        int count = from.unpackInt();
        Resources demand = new Resources(0, 0, from.unpackInt(), from.unpackLong(), from.unpackInt());
        Duration estimate = Duration.ofMillis(from.unpackLong());
        List<Integer> after = new ArrayList<>();
        int edges = from.unpackArrayHeader();
        for (int i = 0; i < edges; i++) {
            after.add(from.unpackInt());
        }
        Step.Constraints placement =
                new Step.Constraints(text(from.unpackString()), text(from.unpackString()), from.unpackInt());
        Step.Behaviour service = new Step.Behaviour(
                from.unpackString(),
                from.unpackBoolean(),
                from.unpackBoolean(),
                from.unpackBoolean(),
                from.unpackInt(),
                from.unpackInt());
        return new Step(count, demand, estimate, after, placement, service);
    }

    static byte[] encode(List<Sensitivity> learned) {
        return pack(to -> {
            to.packArrayHeader(learned.size());
            for (Sensitivity one : learned) {
                to.packString(one.bestEffortImage()).packString(one.latencyCriticalImage());
                to.packDouble(one.weight()).packDouble(one.variance());
            }
        });
    }

    static List<Sensitivity> learned(byte[] bytes) throws InvalidInputException {
        return parse(bytes, (_, from) -> {
            List<Sensitivity> learned = new ArrayList<>();
            int count = from.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                learned.add(new Sensitivity(
                        from.unpackString(), from.unpackString(), from.unpackDouble(), from.unpackDouble()));
            }
            return learned;
        });
    }

    static byte[] encode(OwnerRecord owner) {
        return pack(to -> to.packString(owner.member()).packLong(owner.token()));
    }

    static OwnerRecord owner(byte[] bytes) throws InvalidInputException {
        return parse(bytes, (_, from) -> new OwnerRecord(from.unpackString(), from.unpackLong()));
    }

    static byte[] encode(Map<TaskRecord.WorkerIncarnation, Duration> silent) {
        return pack(to -> {
            to.packArrayHeader(silent.size());
            for (Map.Entry<TaskRecord.WorkerIncarnation, Duration> one : silent.entrySet()) {
                to.packString(one.getKey().worker().value())
                        .packLong(one.getKey().incarnation())
                        .packLong(one.getValue().toMillis());
            }
        });
    }

    static Map<TaskRecord.WorkerIncarnation, Duration> silent(byte[] bytes) throws InvalidInputException {
        return parse(bytes, (_, from) -> {
            Map<TaskRecord.WorkerIncarnation, Duration> silent = new HashMap<>();
            int count = from.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                TaskRecord.WorkerIncarnation life =
                        new TaskRecord.WorkerIncarnation(new WorkerId(from.unpackString()), from.unpackLong());
                silent.put(life, Duration.ofMillis(from.unpackLong()));
            }
            return silent;
        });
    }

    private static Optional<String> text(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    private static byte[] pack(Fields fields) {
        return pack(FORMAT, fields);
    }

    static byte[] pack(int format, Fields fields) {
        try (MessageBufferPacker to = MessagePack.newDefaultBufferPacker()) {
            to.packInt(format);
            fields.write(to);
            return to.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
    }

    private static <T> T parse(byte[] bytes, Parser<T> parser) throws InvalidInputException {
        return parse(bytes, FORMAT, parser);
    }

    /** Reads a record of a format up to {@code newest}. */
    static <T> T parse(byte[] bytes, int newest, Parser<T> parser) throws InvalidInputException {
        try (MessageUnpacker from = MessagePack.newDefaultUnpacker(bytes)) {
            int format = from.unpackInt();
            if (format < 1 || format > newest) {
                throw new InvalidInputException("stored record has format " + format, REMEDY);
            }
            return parser.read(format, from);
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new InvalidInputException("stored record cannot be read: " + e.getMessage(), REMEDY, e);
        }
    }
}
