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

/** Fields of the messages about tasks and job shards. Stateless. */
final class TaskCodec {
    static final int START_FIELDS = 9;
    static final int CONTROL_FIELDS = 4;
    static final int RESULT_FIELDS = 3;
    static final int CHANGED_FIELDS = 2;
    static final int FENCE_FIELDS = 2;
    static final int SHARD_FIELDS = 3;
    private static final int STATUS_FIELDS = 8;

    private TaskCodec() {}

    static void write(FieldWriter to, StartTask message) {
        to.text(message.worker().value()).number(message.leaseEpoch());
        to.text(message.task().toString()).text(message.workClass());
        to.number(message.shard());
        attempt(to, message.attempt());
        to.resources(message.demand()).duration(message.runTime());
        to.optional(message.resumeFrom(), TaskCodec::checkpoint);
    }

    static StartTask startTask(FieldReader from) throws FrameException {
        return new StartTask(
                worker(from),
                from.number(),
                TaskId.parse(from.text()),
                from.text(),
                from.smallNumber(),
                attempt(from),
                from.resources(),
                from.duration(),
                from.optional(TaskCodec::checkpoint));
    }

    static void write(FieldWriter to, ControlTask message) {
        to.text(message.worker().value()).text(message.task().toString());
        attempt(to, message.attempt());
        to.name(message.action());
    }

    static ControlTask controlTask(FieldReader from) throws FrameException {
        return new ControlTask(worker(from), TaskId.parse(from.text()), attempt(from), from.name(TaskAction.class));
    }

    static void write(FieldWriter to, TaskResult message) {
        to.name(message.result()).text(message.reason()).optional(message.status(), TaskCodec::status);
    }

    static TaskResult taskResult(FieldReader from) throws FrameException {
        return new TaskResult(from.name(CommandResult.class), from.text(), from.optional(TaskCodec::status));
    }

    static void write(FieldWriter to, TasksChanged message) {
        to.text(message.worker().value()).list(message.tasks(), TaskCodec::status);
    }

    static TasksChanged tasksChanged(FieldReader from) throws FrameException {
        return new TasksChanged(worker(from), from.list(TaskCodec::status));
    }

    static void write(FieldWriter to, FenceShard message) {
        to.number(message.shard()).number(message.shardEpoch());
    }

    static FenceShard fenceShard(FieldReader from) throws FrameException {
        return new FenceShard(from.smallNumber(), from.number());
    }

    static void write(FieldWriter to, ShardTasks message) {
        to.number(message.shard()).number(message.shardEpoch());
        to.list(
                message.tasks().entrySet(),
                (writer, entry) ->
                        writer.array(2).text(entry.getKey().value()).list(entry.getValue(), TaskCodec::status));
    }

    static ShardTasks shardTasks(FieldReader from) throws FrameException {
        int shard = from.smallNumber();
        long epoch = from.number();
        int workers = from.array();
        Map<WorkerId, List<TaskStatus>> tasks = new HashMap<>();
        for (int i = 0; i < workers; i++) {
            from.array(2);
            if (tasks.put(worker(from), List.copyOf(from.list(TaskCodec::status))) != null) {
                throw new FrameException("a worker is listed twice");
            }
        }
        return new ShardTasks(shard, epoch, tasks);
    }

    private static void status(FieldWriter to, TaskStatus status) {
        to.array(STATUS_FIELDS).text(status.task().toString()).text(status.workClass());
        to.number(status.shard());
        attempt(to, status.attempt());
        to.name(status.state()).optional(status.checkpoint(), TaskCodec::checkpoint);
        to.resources(status.demand()).duration(status.leaseRemaining());
    }

    private static TaskStatus status(FieldReader from) throws FrameException {
        from.array(STATUS_FIELDS);
        return new TaskStatus(
                TaskId.parse(from.text()),
                from.text(),
                from.smallNumber(),
                attempt(from),
                from.name(TaskState.class),
                from.optional(TaskCodec::checkpoint),
                from.resources(),
                from.duration());
    }

    private static void attempt(FieldWriter to, Attempt attempt) {
        to.array(2).number(attempt.epoch()).number(attempt.sequence());
    }

    private static Attempt attempt(FieldReader from) throws FrameException {
        from.array(2);
        return new Attempt(from.number(), from.number());
    }

    private static void checkpoint(FieldWriter to, CheckpointId checkpoint) {
        to.text(checkpoint.value());
    }

    private static CheckpointId checkpoint(FieldReader from) throws FrameException {
        return new CheckpointId(from.text());
    }

    private static WorkerId worker(FieldReader from) throws FrameException {
        return new WorkerId(from.text());
    }
}
