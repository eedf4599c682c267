package org.chestnutbarrow.batch;

/**
 * Moves long-running tasks from draining workers to others before everything on these ends. Tasks with a result stay,
 * because most end within the notice. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariants: a run is stopped only while its task has a claim on another worker whose room is free, and while fewer
 * tasks of its step are away than may be unavailable at a time.
 */
final class DrainController {
    private final JobTable jobTable;
    private final RoomClaims roomClaims;

    DrainController(JobTable jobTable, RoomClaims roomClaims) {
        this.jobTable = jobTable;
        this.roomClaims = roomClaims;
    }

    /**
     * Claims room for the long-running tasks of a worker and stops those that can move now. Has no effect unless the
     * worker is draining.
     */
    void drain(WorkerNode node, long now) {
        if (!node.isDraining() || !node.listed()) {
            return;
        }
        for (TaskEntry task : node.tasks) {
            if (!task.step.longRunning() || !task.confirmed || !task.job.isPlaceable()) {
                continue;
            }
            if (task.stopOrdered || mayStop(task)) {
                move(task, now);
            }
        }
    }

    private void move(TaskEntry task, long now) {
        WorkerNode destination = roomClaims.workerWithRoom(task, now);
        if (destination == null) {
            roomClaims.claimLaterRoom(task, now);
            return;
        }
        roomClaims.claim(task, destination, now);
        if (!task.stopOrdered) {
            jobTable.stop(task, "worker-draining");
        }
    }

    private static boolean mayStop(TaskEntry task) {
        return awayTasks(task) < Math.max(1, task.step.behaviour().maxUnavailable());
    }

    /** Returns the number of tasks of a task's step that have been stopped or wait for their next run. */
    private static long awayTasks(TaskEntry task) {
        return task.job.tasksByStep.get(task.name.step()).stream()
                .filter(other -> !other.done && other.run > 0 && (other.assignedNode == null || other.stopOrdered))
                .count();
    }
}
