package org.chestnutbarrow.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.CommandResult;
import org.chestnutbarrow.peer.PeerMessage.ControlTask;
import org.chestnutbarrow.peer.PeerMessage.FenceShard;
import org.chestnutbarrow.peer.PeerMessage.ShardTasks;
import org.chestnutbarrow.peer.PeerMessage.StartTask;
import org.chestnutbarrow.peer.PeerMessage.TaskAction;
import org.chestnutbarrow.peer.PeerMessage.TaskResult;
import org.chestnutbarrow.peer.PeerMessage.TasksChanged;

/** Encodes and decodes the fields of messages about tasks and job shards. Stateless. */
final class TaskCodec {
    static final int START_FIELDS = 9;
    static final int CONTROL_FIELDS = 4;
    static final int RESULT_FIELDS = 3;
    static final int CHANGED_FIELDS = 2;
    static final int FENCE_FIELDS = 2;
    static final int SHARD_FIELDS = 3;
    private static final int STATUS_FIELDS = 8;

    private TaskCodec() {}

    static void write(FieldWriter writer, StartTask message) {
        writer.writeString(message.worker().value()).writeLong(message.leaseEpoch());
        writer.writeString(message.task().toString()).writeString(message.workClass());
        writer.writeLong(message.shard());
        attempt(writer, message.attempt());
        writer.writeResources(message.demand()).writeDuration(message.runTime());
        writer.writeOptional(message.resumeFrom(), TaskCodec::checkpoint);
    }

    static StartTask startTask(FieldReader reader) throws FrameException {
        return new StartTask(
                worker(reader),
                reader.readLong(),
                TaskId.parse(reader.readString()),
                reader.readString(),
                reader.readInt(),
                attempt(reader),
                reader.readResources(),
                reader.readDuration(),
                reader.readOptional(TaskCodec::checkpoint));
    }

    static void write(FieldWriter writer, ControlTask message) {
        writer.writeString(message.worker().value()).writeString(message.task().toString());
        attempt(writer, message.attempt());
        writer.writeEnum(message.action());
    }

    static ControlTask controlTask(FieldReader reader) throws FrameException {
        return new ControlTask(
                worker(reader), TaskId.parse(reader.readString()), attempt(reader), reader.readEnum(TaskAction.class));
    }

    static void write(FieldWriter writer, TaskResult message) {
        writer.writeEnum(message.result())
                .writeString(message.reason())
                .writeOptional(message.status(), TaskCodec::status);
    }

    static TaskResult taskResult(FieldReader reader) throws FrameException {
        return new TaskResult(
                reader.readEnum(CommandResult.class), reader.readString(), reader.readOptional(TaskCodec::status));
    }

    static void write(FieldWriter writer, TasksChanged message) {
        writer.writeString(message.worker().value()).writeList(message.tasks(), TaskCodec::status);
    }

    static TasksChanged tasksChanged(FieldReader reader) throws FrameException {
        return new TasksChanged(worker(reader), reader.readList(TaskCodec::status));
    }

    static void write(FieldWriter writer, FenceShard message) {
        writer.writeLong(message.shard()).writeLong(message.shardEpoch());
    }

    static FenceShard fenceShard(FieldReader reader) throws FrameException {
        return new FenceShard(reader.readInt(), reader.readLong());
    }

    static void write(FieldWriter writer, ShardTasks message) {
        writer.writeLong(message.shard()).writeLong(message.shardEpoch());
        writer.writeList(
                message.tasks().entrySet(),
                (element, entry) -> element.writeArrayHeader(2)
                        .writeString(entry.getKey().value())
                        .writeList(entry.getValue(), TaskCodec::status));
    }

    static ShardTasks shardTasks(FieldReader reader) throws FrameException {
        int shard = reader.readInt();
        long epoch = reader.readLong();
        int workerCount = reader.readArrayHeader();
        Map<WorkerId, List<TaskStatus>> tasks = new HashMap<>();
        for (int i = 0; i < workerCount; i++) {
            reader.expectArrayHeader(2);
            if (tasks.put(worker(reader), List.copyOf(reader.readList(TaskCodec::status))) != null) {
                throw new FrameException("duplicate worker in the list of shard tasks");
            }
        }
        return new ShardTasks(shard, epoch, tasks);
    }

    private static void status(FieldWriter writer, TaskStatus status) {
        writer.writeArrayHeader(STATUS_FIELDS)
                .writeString(status.task().toString())
                .writeString(status.workClass());
        writer.writeLong(status.shard());
        attempt(writer, status.attempt());
        writer.writeEnum(status.state()).writeOptional(status.checkpoint(), TaskCodec::checkpoint);
        writer.writeResources(status.demand()).writeDuration(status.leaseRemaining());
    }

    private static TaskStatus status(FieldReader reader) throws FrameException {
        reader.expectArrayHeader(STATUS_FIELDS);
        return new TaskStatus(
                TaskId.parse(reader.readString()),
                reader.readString(),
                reader.readInt(),
                attempt(reader),
                reader.readEnum(TaskState.class),
                reader.readOptional(TaskCodec::checkpoint),
                reader.readResources(),
                reader.readDuration());
    }

    private static void attempt(FieldWriter writer, Attempt attempt) {
        writer.writeArrayHeader(2).writeLong(attempt.epoch()).writeLong(attempt.sequence());
    }

    private static Attempt attempt(FieldReader reader) throws FrameException {
        reader.expectArrayHeader(2);
        return new Attempt(reader.readLong(), reader.readLong());
    }

    private static void checkpoint(FieldWriter writer, CheckpointId checkpoint) {
        writer.writeString(checkpoint.value());
    }

    private static CheckpointId checkpoint(FieldReader reader) throws FrameException {
        return new CheckpointId(reader.readString());
    }

    private static WorkerId worker(FieldReader reader) throws FrameException {
        return new WorkerId(reader.readString());
    }
}
