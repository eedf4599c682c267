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

/** Sends states of attempts to the owners of their job shards. Safe for use by several threads; does not block. */
final class TaskRelay {
    /** Attempts in one message, so that it stays well under the limit of a frame. */
    private static final int MAX_PER_MESSAGE = 500;

    private final DaemonId self;
    private final IntFunction<Optional<DaemonId>> owner;
    private final PeerLink link;
    private volatile PlacementExecutor jobs;

    TaskRelay(DaemonId self, IntFunction<Optional<DaemonId>> owner, PeerLink link) {
        this.self = self;
        this.owner = owner;
        this.link = link;
    }

    /** Sets where states for this daemon's own shards go. */
    void open(PlacementExecutor own) {
        jobs = own;
    }

    /** Takes states that have changed; those of shards without an owner are found later by fencing. */
    void changed(WorkerId worker, List<TaskStatus> tasks) {
        Map<DaemonId, List<TaskStatus>> byOwner = new HashMap<>();
        for (TaskStatus task : tasks) {
            owner.apply(task.shard())
                    .ifPresent(daemon -> byOwner.computeIfAbsent(daemon, _ -> new ArrayList<>())
                            .add(task));
        }
        byOwner.forEach((daemon, list) -> send(worker, daemon, list));
    }

    private void send(WorkerId worker, DaemonId daemon, List<TaskStatus> tasks) {
        PlacementExecutor own = jobs;
        if (daemon.equals(self)) {
            if (own != null) {
                own.onTasksChanged(worker, tasks);
            }
            return;
        }
        for (int from = 0; from < tasks.size(); from += MAX_PER_MESSAGE) {
            int to = Math.min(tasks.size(), from + MAX_PER_MESSAGE);
            link.send(daemon, new PeerMessage.TasksChanged(worker, tasks.subList(from, to)));
        }
    }
}
