package org.chestnutbarrow.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.node.WorkerPort;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes calls and results as MessagePack, each with the number of its type first. Stateless. */
final class RelayCodec {
    private static final int HOLD = 1;
    private static final int START = 2;
    private static final int STOP = 3;
    private static final int SET_CPU_LIMIT = 4;

    private static final int DONE = 1;
    private static final int REFUSED = 2;
    private static final int STATUS_REPORT = 3;
    private static final int NOT_SENT = 4;
    private static final int UNANSWERED = 5;

    private static final String REMEDY = "run the same build on all nodes";

    private interface Encoding {
        void write(MessagePacker packer) throws IOException;
    }

    private interface Decoding<T> {
        T read(MessageUnpacker unpacker) throws IOException, InvalidInputException;
    }

    private RelayCodec() {}

    static byte[] encode(RelayCall call) {
        return pack(packer -> {
            packer.packInt(typeOf(call));
            RelayCall.Target target = call.target();
            packer.packString(target.worker().value()).packLong(target.incarnation());
            packer.packString(target.address().ip()).packInt(target.address().port());
            packer.packLong(call.token())
                    .packLong(call.leaseUntilMs())
                    .packLong(call.timeout().toMillis());
            switch (call) {
                case RelayCall.Hold hold ->
                    packer.packLong(hold.acknowledged())
                            .packLong(hold.answerDelay().toMillis());
                case RelayCall.Deliver deliver -> writeOrder(packer, deliver.order());
            }
        });
    }

    private static int typeOf(RelayCall call) {
        return switch (call) {
            case RelayCall.Hold _ -> HOLD;
            case RelayCall.Deliver deliver ->
                switch (deliver.order()) {
                    case Order.Start _ -> START;
                    case Order.Stop _ -> STOP;
                    case Order.SetCpuLimit _ -> SET_CPU_LIMIT;
                };
        };
    }

    private static void writeOrder(MessagePacker packer, Order order) throws IOException {
        writeTask(packer, order.task()).packInt(order.run());
        switch (order) {
            case Order.Start start -> packer.packString(start.checkpoint());
            case Order.Stop stop -> packer.packString(stop.reason());
            case Order.SetCpuLimit limit -> packer.packInt(limit.percent());
        }
    }

    private static MessagePacker writeTask(MessagePacker packer, TaskName task) throws IOException {
        return packer.packString(task.job().value()).packInt(task.step()).packInt(task.index());
    }

    /**
     * Decodes a call.
     *
     * @throws InvalidInputException if the bytes are not a call
     */
    static RelayCall decodeCall(byte[] bytes) throws InvalidInputException {
        return unpack(bytes, unpacker -> {
            int type = unpacker.unpackInt();
            RelayCall.Target target = new RelayCall.Target(
                    new WorkerId(unpacker.unpackString()),
                    unpacker.unpackLong(),
                    new Address(unpacker.unpackString(), unpacker.unpackInt()));
            long token = unpacker.unpackLong();
            long leaseUntilMs = unpacker.unpackLong();
            Duration timeout = Duration.ofMillis(unpacker.unpackLong());
            if (type == HOLD) {
                long acknowledged = unpacker.unpackLong();
                Duration answerDelay = Duration.ofMillis(unpacker.unpackLong());
                return new RelayCall.Hold(target, token, leaseUntilMs, acknowledged, answerDelay, timeout);
            }
            return new RelayCall.Deliver(target, readOrder(unpacker, type, target), token, leaseUntilMs, timeout);
        });
    }

    private static Order readOrder(MessageUnpacker unpacker, int type, RelayCall.Target target)
            throws IOException, InvalidInputException {
        TaskName task = readTask(unpacker);
        int run = unpacker.unpackInt();
        WorkerId worker = target.worker();
        long incarnation = target.incarnation();
        return switch (type) {
            case START -> new Order.Start(task, run, worker, incarnation, "", unpacker.unpackString());
            case STOP -> new Order.Stop(task, run, worker, incarnation, unpacker.unpackString());
            case SET_CPU_LIMIT -> new Order.SetCpuLimit(task, run, worker, incarnation, unpacker.unpackInt());
            default -> throw new InvalidInputException("unknown type of call " + type, REMEDY);
        };
    }

    private static TaskName readTask(MessageUnpacker unpacker) throws IOException {
        return new TaskName(new JobId(unpacker.unpackString()), unpacker.unpackInt(), unpacker.unpackInt());
    }

    static byte[] encode(RelayResult result) {
        return pack(packer -> {
            switch (result) {
                case RelayResult.Answered(WorkerPort.Answer answer) -> writeAnswer(packer, answer);
                case RelayResult.NotSent(String reason) ->
                    packer.packInt(NOT_SENT).packString(reason);
                case RelayResult.Unanswered(String reason) ->
                    packer.packInt(UNANSWERED).packString(reason);
            }
        });
    }

    private static void writeAnswer(MessagePacker packer, WorkerPort.Answer answer) throws IOException {
        switch (answer) {
            case WorkerPort.Done done -> packer.packInt(DONE).packLong(done.clockMs());
            case WorkerPort.Refused refused ->
                packer.packInt(REFUSED).packString(refused.reason().name());
            case WorkerPort.StatusReport(WorkerReport report, long clockMs) -> {
                packer.packInt(STATUS_REPORT).packLong(clockMs);
                packer.packString(report.worker().value()).packLong(report.incarnation());
                packer.packArrayHeader(report.running().size());
                for (WorkerReport.Running running : report.running()) {
                    writeTask(packer, running.task()).packInt(running.run());
                    packer.packInt(running.progressPercent()).packInt(running.loadMetric());
                }
                packer.packArrayHeader(report.ended().size());
                for (WorkerReport.Ended ended : report.ended()) {
                    packer.packLong(ended.sequence());
                    writeTask(packer, ended.task()).packInt(ended.run());
                    packer.packString(ended.kind().name()).packString(ended.checkpoint());
                }
            }
        }
    }

    /**
     * Decodes a result.
     *
     * @throws InvalidInputException if the bytes are not a result
     */
    static RelayResult decodeResult(byte[] bytes) throws InvalidInputException {
        return unpack(bytes, unpacker -> {
            int type = unpacker.unpackInt();
            return switch (type) {
                case DONE -> new RelayResult.Answered(new WorkerPort.Done(unpacker.unpackLong()));
                case REFUSED ->
                    new RelayResult.Answered(
                            new WorkerPort.Refused(WorkerPort.Refusal.valueOf(unpacker.unpackString())));
                case STATUS_REPORT -> new RelayResult.Answered(readStatusReport(unpacker));
                case NOT_SENT -> new RelayResult.NotSent(unpacker.unpackString());
                case UNANSWERED -> new RelayResult.Unanswered(unpacker.unpackString());
                default -> throw new InvalidInputException("unknown type of result " + type, REMEDY);
            };
        });
    }

    private static WorkerPort.StatusReport readStatusReport(MessageUnpacker unpacker) throws IOException {
        long clockMs = unpacker.unpackLong();
        WorkerId worker = new WorkerId(unpacker.unpackString());
        long incarnation = unpacker.unpackLong();
        List<WorkerReport.Running> running = new ArrayList<>();
        int runningCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < runningCount; i++) {
            running.add(new WorkerReport.Running(
                    readTask(unpacker), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt()));
        }
        List<WorkerReport.Ended> ended = new ArrayList<>();
        int endedCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < endedCount; i++) {
            ended.add(new WorkerReport.Ended(
                    unpacker.unpackLong(),
                    readTask(unpacker),
                    unpacker.unpackInt(),
                    WorkerReport.EndKind.valueOf(unpacker.unpackString()),
                    unpacker.unpackString()));
        }
        return new WorkerPort.StatusReport(new WorkerReport(worker, incarnation, running, ended), clockMs);
    }

    private static byte[] pack(Encoding encoding) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            encoding.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a message", e);
        }
    }

    private static <T> T unpack(byte[] bytes, Decoding<T> decoding) throws InvalidInputException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return decoding.read(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new InvalidInputException("message cannot be read: " + e.getMessage(), REMEDY, e);
        }
    }
}
