package org.chestnutbarrow.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;

/** Sends statuses of attempts to the owners of their job shards. Safe for use by several threads; does not block. */
final class TaskStatusRelay {
    /** Maximum number of attempts in a message, which keeps it well below the frame size limit. */
    private static final int MAX_PER_MESSAGE = 500;

    private final DaemonId self;
    private final IntFunction<Optional<DaemonId>> shardOwner;
    private final PeerLink link;
    private volatile PlacementExecutor localJobs;

    TaskStatusRelay(DaemonId self, IntFunction<Optional<DaemonId>> shardOwner, PeerLink link) {
        this.self = self;
        this.shardOwner = shardOwner;
        this.link = link;
    }

    /** Sets the receiver of statuses for this daemon's own shards. */
    void setLocalJobs(PlacementExecutor local) {
        localJobs = local;
    }

    /** Sends changed statuses; a shard without an owner learns of its attempts later, when it is fenced. */
    void statusChanged(WorkerId worker, List<TaskStatus> tasks) {
        Map<DaemonId, List<TaskStatus>> byOwner = new HashMap<>();
        for (TaskStatus task : tasks) {
            shardOwner
                    .apply(task.shard())
                    .ifPresent(owner -> byOwner.computeIfAbsent(owner, _ -> new ArrayList<>())
                            .add(task));
        }
        byOwner.forEach((owner, list) -> send(worker, owner, list));
    }

    private void send(WorkerId worker, DaemonId owner, List<TaskStatus> tasks) {
        PlacementExecutor local = localJobs;
        if (owner.equals(self)) {
            if (local != null) {
                local.onTasksChanged(worker, tasks);
            }
            return;
        }
        for (int start = 0; start < tasks.size(); start += MAX_PER_MESSAGE) {
            int end = Math.min(tasks.size(), start + MAX_PER_MESSAGE);
            link.send(owner, new PeerMessage.TasksChanged(worker, tasks.subList(start, end)));
        }
    }
}
