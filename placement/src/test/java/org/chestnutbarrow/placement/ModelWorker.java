package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/** A worker together with the daemon that holds its lease, as {@link Simulation} needs them. */
final class ModelWorker {
    final Worker worker;
    final Map<TaskId, Run> runs = new HashMap<>();
    final Map<Integer, Long> fences = new HashMap<>();
    final Set<Attempt> refused = new HashSet<>();
    boolean held = true;
    boolean bad;
    long unheldSince;

    ModelWorker(Worker worker) {
        this.worker = worker;
    }

    /** One attempt at the worker. */
    static final class Run {
        final PlacementEffect.Start start;
        final long endsAt;
        TaskState state = TaskState.RUNNING;
        Optional<CheckpointId> checkpoint = Optional.empty();

        Run(PlacementEffect.Start start, long endsAt) {
            this.start = start;
            this.endsAt = endsAt;
        }

        TaskStatus status() {
            return new TaskStatus(
                    start.task(),
                    start.workClass(),
                    start.shard(),
                    start.attempt(),
                    state,
                    checkpoint,
                    start.demand(),
                    Duration.ZERO);
        }
    }

    /** Eight workers in three zones, two to a rack. */
    static List<ModelWorker> fleet() {
        Address address = Address.parse("127.0.0.1:1");
        List<ModelWorker> workers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % 3);
            Resources capacity = new Resources(8, 64, 4_000, 16_000, i % 4 == 0 ? 1 : 0);
            workers.add(new ModelWorker(
                    new Worker(new WorkerId("w" + i), zone, "r" + i / 2, address, address, false, capacity)));
        }
        return workers;
    }

    /** Loses all attempts. */
    void crash() {
        runs.values().stream().filter(run -> !run.state.ended()).forEach(run -> run.state = TaskState.LAPSED);
        runs.clear();
    }

    Resources free() {
        Resources used = Resources.NONE;
        for (Run run : runs.values()) {
            used = run.state.ended() ? used : used.plus(run.start.demand());
        }
        return worker.capacity().minus(used);
    }

    Run run(TaskId task, Attempt attempt) {
        Run run = runs.get(task);
        return run != null && run.start.attempt().equals(attempt) ? run : null;
    }

    List<TaskStatus> list(int shard) {
        List<TaskStatus> list = new ArrayList<>();
        for (Run run : runs.values()) {
            if (run.start.shard() == shard) {
                list.add(run.status());
            }
        }
        return list;
    }
}
