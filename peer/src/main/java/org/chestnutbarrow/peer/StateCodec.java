package org.chestnutbarrow.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.CatalogSnapshot;
import org.chestnutbarrow.peer.PeerMessage.ForwardRequest;
import org.chestnutbarrow.peer.PeerMessage.ForwardResponse;
import org.chestnutbarrow.peer.PeerMessage.Heartbeat;
import org.chestnutbarrow.peer.PeerMessage.WorkerCapacity;

/** Encodes and decodes the fields of heartbeats, forwarded requests and catalog snapshots. Stateless. */
final class StateCodec {
    static final int HEARTBEAT_FIELDS = 10;
    static final int REQUEST_FIELDS = 8;
    static final int RESPONSE_FIELDS = 6;
    static final int SNAPSHOT_FIELDS = 2;

    /**
     * Limits header names and values; a decoded string takes far more memory than its minimal encoding of two bytes.
     */
    private static final int MAX_HEADER_STRINGS = 8 * 1024;

    private StateCodec() {}

    private static List<String> headers(FieldReader reader) throws FrameException {
        List<String> strings = reader.readList(FieldReader::readString, MAX_HEADER_STRINGS);
        if (strings.size() % 2 != 0) {
            throw new FrameException("header name without a value");
        }
        return strings;
    }

    static void write(FieldWriter writer, Heartbeat message) {
        writer.writeString(message.daemon().value())
                .writeLong(message.incarnation())
                .writeBoolean(message.leaving())
                .writeLong(message.position())
                .writeOptional(message.logAge(), FieldWriter::writeDuration)
                .writeBoolean(message.logReadable())
                .writeLong(message.configurationVersion())
                .writeList(
                        message.workers(),
                        (element, worker) -> element.writeArrayHeader(3)
                                .writeString(worker.worker().value())
                                .writeResources(worker.free())
                                .writeLong(worker.epoch()))
                .writeList(message.suspectedDaemons(), (element, daemon) -> element.writeString(daemon.value()))
                .writeList(
                        message.teamUsage().entrySet(),
                        (element, usage) -> element.writeArrayHeader(2)
                                .writeString(usage.getKey())
                                .writeResources(usage.getValue()));
    }

    static Heartbeat heartbeat(FieldReader reader) throws FrameException {
        return new Heartbeat(
                new DaemonId(reader.readString()),
                reader.readLong(),
                reader.readBoolean(),
                reader.readLong(),
                reader.readOptional(FieldReader::readDuration),
                reader.readBoolean(),
                reader.readLong(),
                reader.readList(StateCodec::workerCapacity),
                new HashSet<>(reader.readList(element -> new DaemonId(element.readString()))),
                teamUsage(reader));
    }

    private static Map<String, Resources> teamUsage(FieldReader reader) throws FrameException {
        Map<String, Resources> teamUsage = new HashMap<>();
        int size = reader.readArrayHeader();
        for (int i = 0; i < size; i++) {
            reader.expectArrayHeader(2);
            teamUsage.put(reader.readString(), reader.readResources());
        }
        return teamUsage;
    }

    private static WorkerCapacity workerCapacity(FieldReader reader) throws FrameException {
        reader.expectArrayHeader(3);
        return new WorkerCapacity(new WorkerId(reader.readString()), reader.readResources(), reader.readLong());
    }

    static void write(FieldWriter writer, ForwardRequest message) {
        writer.writeString(message.workClass())
                .writeString(message.requestId())
                .writeBoolean(message.idempotent())
                .writeDuration(message.timeout())
                .writeString(message.method())
                .writeString(message.target())
                .writeList(message.headers(), FieldWriter::writeString)
                .writeBytes(message.body());
    }

    static ForwardRequest forwardRequest(FieldReader reader) throws FrameException {
        return new ForwardRequest(
                reader.readString(),
                reader.readString(),
                reader.readBoolean(),
                reader.readDuration(),
                reader.readString(),
                reader.readString(),
                headers(reader),
                reader.readBytes());
    }

    static void write(FieldWriter writer, ForwardResponse message) {
        writer.writeString(message.outcome())
                .writeString(message.reason())
                .writeString(message.worker())
                .writeLong(message.status())
                .writeList(message.headers(), FieldWriter::writeString)
                .writeBytes(message.body());
    }

    static ForwardResponse forwardResponse(FieldReader reader) throws FrameException {
        return new ForwardResponse(
                reader.readString(),
                reader.readString(),
                reader.readString(),
                reader.readInt(),
                headers(reader),
                reader.readBytes());
    }

    static void write(FieldWriter writer, CatalogSnapshot message) {
        writer.writeLong(message.position()).writeBytes(message.snapshot());
    }

    static CatalogSnapshot catalogSnapshot(FieldReader reader) throws FrameException {
        return new CatalogSnapshot(reader.readLong(), reader.readBytes());
    }
}
