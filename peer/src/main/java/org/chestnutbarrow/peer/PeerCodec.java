package org.chestnutbarrow.peer;

import java.util.List;
import org.chestnutbarrow.peer.PeerMessage.CatalogSnapshot;
import org.chestnutbarrow.peer.PeerMessage.ConfirmPosition;
import org.chestnutbarrow.peer.PeerMessage.ControlTask;
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
 * Frames of messages: a MessagePack array of type, correlation id and fields. Stateless.
 *
 * <p>A correlation id of 0 marks a message without an answer.
 */
final class PeerCodec {
    /** Most bytes of a frame after its length. */
    static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    /** Correlation id of a message that needs no answer. */
    static final long NO_ANSWER = 0;

    private static final int HEADER_FIELDS = 2;

    /** Types up to this one belong to the handshake. */
    private static final int LAST_HANDSHAKE_TYPE = 9;

    private static final int MAX_LINES = 10_000;

    private PeerCodec() {}

    /** A message with the id that ties a request to its answer. */
    record Frame(long correlation, PeerMessage message) {}

    /** Type numbers and field counts; numbers are part of the protocol and are never used again for another message. */
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
        EXPLANATION(25, 1);

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
                throw new FrameException("message has the unknown type " + number);
            }
            return ALL[index];
        }
    }

    static byte[] encode(long correlation, PeerMessage message) {
        Type type = type(message);
        FieldWriter to = new FieldWriter();
        to.array(HEADER_FIELDS + type.fields).number(type.number).number(correlation);
        writeFields(to, message);
        return to.toBytes();
    }

    /**
     * The message in a frame.
     *
     * @throws FrameException if it has another form than the protocol says
     */
    static Frame decode(byte[] frame) throws FrameException {
        try {
            FieldReader from = new FieldReader(frame);
            int fields = from.array();
            Type type = Type.of(from.smallNumber());
            if (fields != HEADER_FIELDS + type.fields) {
                throw new FrameException(type + " has " + fields + " fields");
            }
            long correlation = from.number();
            PeerMessage message = readFields(from, type);
            from.end();
            return new Frame(correlation, message);
        } catch (IllegalArgumentException e) {
            throw new FrameException("field out of range: " + e.getMessage(), e);
        }
    }

    private static Type type(PeerMessage message) {
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
        };
    }

    private static void writeFields(FieldWriter to, PeerMessage message) {
        switch (message) {
            case Heartbeat heartbeat -> StateCodec.write(to, heartbeat);
            case ForwardRequest request -> StateCodec.write(to, request);
            case ForwardResponse response -> StateCodec.write(to, response);
            case StartTask start -> TaskCodec.write(to, start);
            case ControlTask control -> TaskCodec.write(to, control);
            case TaskResult result -> TaskCodec.write(to, result);
            case TasksChanged changed -> TaskCodec.write(to, changed);
            case FenceShard fence -> TaskCodec.write(to, fence);
            case ShardTasks tasks -> TaskCodec.write(to, tasks);
            case FetchCatalog() -> {}
            case CatalogSnapshot snapshot -> StateCodec.write(to, snapshot);
            case ConfirmPosition(long position) -> to.number(position);
            case Position(long position) -> to.number(position);
            case Failure(String reason) -> to.text(reason);
            case Explain(String id) -> to.text(id);
            case Explanation(List<String> lines) -> to.list(lines, FieldWriter::text);
        }
    }

    private static PeerMessage readFields(FieldReader from, Type type) throws FrameException {
        return switch (type) {
            case HEARTBEAT -> StateCodec.heartbeat(from);
            case FORWARD_REQUEST -> StateCodec.forwardRequest(from);
            case FORWARD_RESPONSE -> StateCodec.forwardResponse(from);
            case START_TASK -> TaskCodec.startTask(from);
            case CONTROL_TASK -> TaskCodec.controlTask(from);
            case TASK_RESULT -> TaskCodec.taskResult(from);
            case TASKS_CHANGED -> TaskCodec.tasksChanged(from);
            case FENCE_SHARD -> TaskCodec.fenceShard(from);
            case SHARD_TASKS -> TaskCodec.shardTasks(from);
            case FETCH_CATALOG -> new FetchCatalog();
            case CATALOG_SNAPSHOT -> StateCodec.snapshot(from);
            case CONFIRM_POSITION -> new ConfirmPosition(from.number());
            case POSITION -> new Position(from.number());
            case FAILURE -> new Failure(from.text());
            case EXPLAIN -> new Explain(from.text());
            case EXPLANATION -> new Explanation(from.list(FieldReader::text, MAX_LINES));
        };
    }
}
