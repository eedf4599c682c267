package org.chestnutbarrow.peer;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.WorkerId;

/** One or more samples of each message type, with optional fields present and absent. */
final class SampleMessages {
    private static final WorkerId WORKER = new WorkerId("worker-1");
    private static final TaskId TASK = new TaskId(new JobId("job"), 70_000);
    private static final Attempt ATTEMPT = new Attempt(3, Long.MAX_VALUE);
    private static final Resources DEMAND = new Resources(1, 2, 300, 1L << 40, 5);
    private static final Optional<CheckpointId> CHECKPOINT = Optional.of(new CheckpointId("cp:1"));
    private static final byte[] BODY = "body \u00e9".getBytes(StandardCharsets.UTF_8);
    private static final TaskStatus RUNNING = status(TaskState.RUNNING, Optional.empty());
    private static final TaskStatus ENDED = status(TaskState.CHECKPOINTED, CHECKPOINT);

    static final List<PeerMessage> ALL = List.of(
            new PeerMessage.Heartbeat(
                    new DaemonId("a"),
                    -5,
                    true,
                    -1,
                    Optional.of(Duration.ofNanos(1)),
                    true,
                    9,
                    List.of(new PeerMessage.WorkerCapacity(WORKER, DEMAND, 7)),
                    Set.of(new DaemonId("b")),
                    Map.of("team", DEMAND)),
            new PeerMessage.Heartbeat(
                    new DaemonId("a"),
                    Long.MIN_VALUE,
                    false,
                    0,
                    Optional.empty(),
                    false,
                    -1,
                    List.of(),
                    Set.of(),
                    Map.of()),
            new PeerMessage.ForwardRequest(
                    "front",
                    "1-2",
                    true,
                    Duration.ofMillis(50),
                    "POST",
                    "/a?b=\u00e9",
                    List.of("A", "", "B", "c"),
                    BODY),
            new PeerMessage.ForwardResponse("ran", "", "worker-1", 200, List.of("A", "b"), BODY),
            new PeerMessage.ForwardResponse("not-run", "no room", "", 503, List.of(), new byte[0]),
            new PeerMessage.StartTask(WORKER, 7, TASK, "batch", 63, ATTEMPT, DEMAND, Duration.ZERO, CHECKPOINT),
            new PeerMessage.StartTask(
                    WORKER, 7, TASK, "batch", 0, ATTEMPT, DEMAND, Duration.ofDays(30), Optional.empty()),
            new PeerMessage.ControlTask(WORKER, TASK, ATTEMPT, PeerMessage.TaskAction.FORGET),
            new PeerMessage.TaskResult(PeerMessage.CommandResult.DONE, "", Optional.of(ENDED)),
            new PeerMessage.TaskResult(PeerMessage.CommandResult.NOT_HOLDER, "why", Optional.empty()),
            new PeerMessage.TasksChanged(WORKER, List.of(RUNNING, ENDED)),
            new PeerMessage.FenceShard(63, 1L << 50),
            new PeerMessage.ShardTasks(
                    1, 2, Map.of(WORKER, List.of(ENDED, RUNNING), new WorkerId("worker-2"), List.of())),
            new PeerMessage.FetchCatalog(),
            new PeerMessage.CatalogSnapshot(77, new byte[100_000]),
            new PeerMessage.ConfirmPosition(-1),
            new PeerMessage.Position(Long.MAX_VALUE),
            new PeerMessage.Explain("job-1"),
            new PeerMessage.Explanation(List.of("state: waiting", "")),
            new PeerMessage.Custom(new byte[] {1, 2, 3}),
            new PeerMessage.Failure("reason \u00e9"));

    private SampleMessages() {}

    private static TaskStatus status(TaskState state, Optional<CheckpointId> checkpoint) {
        return new TaskStatus(TASK, "batch", 63, ATTEMPT, state, checkpoint, DEMAND, Duration.ofMillis(1));
    }
}
