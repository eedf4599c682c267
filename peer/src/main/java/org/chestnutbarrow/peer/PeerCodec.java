package org.chestnutbarrow.peer;

import java.util.List;
import org.chestnutbarrow.peer.PeerMessage.CatalogSnapshot;
import org.chestnutbarrow.peer.PeerMessage.ConfirmPosition;
import org.chestnutbarrow.peer.PeerMessage.ControlTask;
import org.chestnutbarrow.peer.PeerMessage.Custom;
import org.chestnutbarrow.peer.PeerMessage.Explain;
import org.chestnutbarrow.peer.PeerMessage.Explanation;
import org.chestnutbarrow.peer.PeerMessage.Failure;
import org.chestnutbarrow.peer.PeerMessage.FenceShard;
import org.chestnutbarrow.peer.PeerMessage.FetchCatalog;
import org.chestnutbarrow.peer.PeerMessage.ForwardRequest;
import org.chestnutbarrow.peer.PeerMessage.ForwardResponse;
import org.chestnutbarrow.peer.PeerMessage.Heartbeat;
import org.chestnutbarrow.peer.PeerMessage.Position;
import org.chestnutbarrow.peer.PeerMessage.ShardTasks;
import org.chestnutbarrow.peer.PeerMessage.StartTask;
import org.chestnutbarrow.peer.PeerMessage.TaskResult;
import org.chestnutbarrow.peer.PeerMessage.TasksChanged;

/**
 * Encodes and decodes message frames: a MessagePack array of type, correlation id and fields. Stateless.
 *
 * <p>A correlation id of 0 marks a one-way message, which has no response.
 */
final class PeerCodec {
    /** Maximum size of a frame in bytes, without its length prefix. */
    static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    /** Correlation id of a one-way message. */
    static final long NO_RESPONSE = 0;

    private static final int HEADER_FIELDS = 2;

    /** Type numbers up to this one are reserved for the handshake and for control frames. */
    private static final int LAST_HANDSHAKE_TYPE = 9;

    private static final int MAX_EXPLANATION_LINES = 10_000;

    private PeerCodec() {}

    /** A message with the id that correlates a request with its response. */
    record Frame(long correlationId, PeerMessage message) {}

    /** Message types with their field counts; type numbers are part of the protocol and are never reassigned. */
    private enum Type {
        HEARTBEAT(10, StateCodec.HEARTBEAT_FIELDS),
        FORWARD_REQUEST(11, StateCodec.REQUEST_FIELDS),
        FORWARD_RESPONSE(12, StateCodec.RESPONSE_FIELDS),
        START_TASK(13, TaskCodec.START_FIELDS),
        CONTROL_TASK(14, TaskCodec.CONTROL_FIELDS),
        TASK_RESULT(15, TaskCodec.RESULT_FIELDS),
        TASKS_CHANGED(16, TaskCodec.CHANGED_FIELDS),
        FENCE_SHARD(17, TaskCodec.FENCE_FIELDS),
        SHARD_TASKS(18, TaskCodec.SHARD_FIELDS),
        FETCH_CATALOG(19, 0),
        CATALOG_SNAPSHOT(20, StateCodec.SNAPSHOT_FIELDS),
        CONFIRM_POSITION(21, 1),
        POSITION(22, 1),
        FAILURE(23, 1),
        EXPLAIN(24, 1),
        EXPLANATION(25, 1),
        CUSTOM(26, 1);

        private static final Type[] ALL = values();

        private final int number;
        private final int fields;

        Type(int number, int fields) {
            this.number = number;
            this.fields = fields;
        }

        static Type of(int number) throws FrameException {
            int index = number - LAST_HANDSHAKE_TYPE - 1;
            if (index < 0 || index >= ALL.length) {
                throw new FrameException("unknown message type " + number);
            }
            return ALL[index];
        }
    }

    static byte[] encode(long correlationId, PeerMessage message) {
        Type type = typeOf(message);
        FieldWriter writer = new FieldWriter();
        writer.writeArrayHeader(HEADER_FIELDS + type.fields)
                .writeLong(type.number)
                .writeLong(correlationId);
        writeFields(writer, message);
        return writer.toBytes();
    }

    /**
     * Decodes a frame.
     *
     * @throws FrameException if the frame does not conform to the protocol
     */
    static Frame decode(byte[] frame) throws FrameException {
        try {
            FieldReader reader = new FieldReader(frame);
            int fields = reader.readArrayHeader();
            Type type = Type.of(reader.readInt());
            if (fields != HEADER_FIELDS + type.fields) {
                throw new FrameException(type + " has " + fields + " fields");
            }
            long correlationId = reader.readLong();
            PeerMessage message = readFields(reader, type);
            reader.expectEnd();
            return new Frame(correlationId, message);
        } catch (IllegalArgumentException e) {
            throw new FrameException("field out of range: " + e.getMessage(), e);
        }
    }

    private static Type typeOf(PeerMessage message) {
        return switch (message) {
            case Heartbeat _ -> Type.HEARTBEAT;
            case ForwardRequest _ -> Type.FORWARD_REQUEST;
            case ForwardResponse _ -> Type.FORWARD_RESPONSE;
            case StartTask _ -> Type.START_TASK;
            case ControlTask _ -> Type.CONTROL_TASK;
            case TaskResult _ -> Type.TASK_RESULT;
            case TasksChanged _ -> Type.TASKS_CHANGED;
            case FenceShard _ -> Type.FENCE_SHARD;
            case ShardTasks _ -> Type.SHARD_TASKS;
            case FetchCatalog _ -> Type.FETCH_CATALOG;
            case CatalogSnapshot _ -> Type.CATALOG_SNAPSHOT;
            case ConfirmPosition _ -> Type.CONFIRM_POSITION;
            case Position _ -> Type.POSITION;
            case Failure _ -> Type.FAILURE;
            case Explain _ -> Type.EXPLAIN;
            case Explanation _ -> Type.EXPLANATION;
            case Custom _ -> Type.CUSTOM;
        };
    }

    private static void writeFields(FieldWriter writer, PeerMessage message) {
        switch (message) {
            case Heartbeat heartbeat -> StateCodec.write(writer, heartbeat);
            case ForwardRequest request -> StateCodec.write(writer, request);
            case ForwardResponse response -> StateCodec.write(writer, response);
            case StartTask start -> TaskCodec.write(writer, start);
            case ControlTask control -> TaskCodec.write(writer, control);
            case TaskResult result -> TaskCodec.write(writer, result);
            case TasksChanged changed -> TaskCodec.write(writer, changed);
            case FenceShard fence -> TaskCodec.write(writer, fence);
            case ShardTasks tasks -> TaskCodec.write(writer, tasks);
            case FetchCatalog() -> {}
            case CatalogSnapshot snapshot -> StateCodec.write(writer, snapshot);
            case ConfirmPosition(long position) -> writer.writeLong(position);
            case Position(long position) -> writer.writeLong(position);
            case Failure(String reason) -> writer.writeString(reason);
            case Explain(String id) -> writer.writeString(id);
            case Explanation(List<String> lines) -> writer.writeList(lines, FieldWriter::writeString);
            case Custom(byte[] content) -> writer.writeBytes(content);
        }
    }

    private static PeerMessage readFields(FieldReader reader, Type type) throws FrameException {
        return switch (type) {
            case HEARTBEAT -> StateCodec.heartbeat(reader);
            case FORWARD_REQUEST -> StateCodec.forwardRequest(reader);
            case FORWARD_RESPONSE -> StateCodec.forwardResponse(reader);
            case START_TASK -> TaskCodec.startTask(reader);
            case CONTROL_TASK -> TaskCodec.controlTask(reader);
            case TASK_RESULT -> TaskCodec.taskResult(reader);
            case TASKS_CHANGED -> TaskCodec.tasksChanged(reader);
            case FENCE_SHARD -> TaskCodec.fenceShard(reader);
            case SHARD_TASKS -> TaskCodec.shardTasks(reader);
            case FETCH_CATALOG -> new FetchCatalog();
            case CATALOG_SNAPSHOT -> StateCodec.catalogSnapshot(reader);
            case CONFIRM_POSITION -> new ConfirmPosition(reader.readLong());
            case POSITION -> new Position(reader.readLong());
            case FAILURE -> new Failure(reader.readString());
            case EXPLAIN -> new Explain(reader.readString());
            case EXPLANATION -> new Explanation(reader.readList(FieldReader::readString, MAX_EXPLANATION_LINES));
            case CUSTOM -> new Custom(reader.readBytes());
        };
    }
}
