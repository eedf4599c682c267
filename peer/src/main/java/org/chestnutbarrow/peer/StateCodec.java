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
import org.chestnutbarrow.peer.PeerMessage.WorkerRoom;

/** Fields of heartbeats, forwarded requests and catalog snapshots. Stateless. */
final class StateCodec {
    static final int HEARTBEAT_FIELDS = 10;
    static final int REQUEST_FIELDS = 8;
    static final int RESPONSE_FIELDS = 6;
    static final int SNAPSHOT_FIELDS = 2;

    /** Most names and values of header fields; a text takes far more memory than the two bytes that it may have here. */
    private static final int MAX_HEADER_TEXTS = 8 * 1024;

    private StateCodec() {}

    private static List<String> headers(FieldReader from) throws FrameException {
        List<String> texts = from.list(FieldReader::text, MAX_HEADER_TEXTS);
        if (texts.size() % 2 != 0) {
            throw new FrameException("a header field has no value");
        }
        return texts;
    }

    static void write(FieldWriter to, Heartbeat message) {
        to.text(message.daemon().value())
                .number(message.incarnation())
                .flag(message.leaving())
                .number(message.position())
                .optional(message.logAge(), FieldWriter::duration)
                .flag(message.readsLog())
                .number(message.version())
                .list(
                        message.workers(),
                        (writer, room) -> writer.array(3)
                                .text(room.worker().value())
                                .resources(room.free())
                                .number(room.epoch()))
                .list(message.silent(), (writer, daemon) -> writer.text(daemon.value()))
                .list(
                        message.teamUse().entrySet(),
                        (writer, use) -> writer.array(2).text(use.getKey()).resources(use.getValue()));
    }

    static Heartbeat heartbeat(FieldReader from) throws FrameException {
        return new Heartbeat(
                new DaemonId(from.text()),
                from.number(),
                from.flag(),
                from.number(),
                from.optional(FieldReader::duration),
                from.flag(),
                from.number(),
                from.list(StateCodec::room),
                new HashSet<>(from.list(reader -> new DaemonId(reader.text()))),
                teamUse(from));
    }

    private static Map<String, Resources> teamUse(FieldReader from) throws FrameException {
        Map<String, Resources> teamUse = new HashMap<>();
        int size = from.array();
        for (int i = 0; i < size; i++) {
            from.array(2);
            teamUse.put(from.text(), from.resources());
        }
        return teamUse;
    }

    private static WorkerRoom room(FieldReader from) throws FrameException {
        from.array(3);
        return new WorkerRoom(new WorkerId(from.text()), from.resources(), from.number());
    }

    static void write(FieldWriter to, ForwardRequest message) {
        to.text(message.workClass())
                .text(message.requestId())
                .flag(message.idempotent())
                .duration(message.deadline())
                .text(message.method())
                .text(message.target())
                .list(message.headers(), FieldWriter::text)
                .bytes(message.body());
    }

    static ForwardRequest forwardRequest(FieldReader from) throws FrameException {
        return new ForwardRequest(
                from.text(),
                from.text(),
                from.flag(),
                from.duration(),
                from.text(),
                from.text(),
                headers(from),
                from.bytes());
    }

    static void write(FieldWriter to, ForwardResponse message) {
        to.text(message.outcome())
                .text(message.reason())
                .text(message.worker())
                .number(message.status())
                .list(message.headers(), FieldWriter::text)
                .bytes(message.body());
    }

    static ForwardResponse forwardResponse(FieldReader from) throws FrameException {
        return new ForwardResponse(
                from.text(), from.text(), from.text(), from.smallNumber(), headers(from), from.bytes());
    }

    static void write(FieldWriter to, CatalogSnapshot message) {
        to.number(message.position()).bytes(message.snapshot());
    }

    static CatalogSnapshot snapshot(FieldReader from) throws FrameException {
        return new CatalogSnapshot(from.number(), from.bytes());
    }
}
