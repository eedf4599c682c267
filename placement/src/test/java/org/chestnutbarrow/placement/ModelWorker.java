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

/** A worker together with what the holder of its lease knows of it, as {@link Simulation} needs them. */
final class ModelWorker {
    final Worker worker;
    final Map<TaskId, Run> runs = new HashMap<>();
    final Map<Integer, Long> fences = new HashMap<>();
    final Set<Attempt> refused = new HashSet<>();
    /** Number of the daemon that holds its lease; -1 for none. */
    int holder;

    int lostBy;
    long heldSince;
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
        /** When its lease runs out because it is no longer renewed. */
        long lapsesAt = Long.MAX_VALUE;

        /** Whether the worker has lost it and only its last holder knows of it. */
        boolean lost;

        Run(PlacementEffect.Start start, long endsAt) {
            this.start = start;
            this.endsAt = endsAt;
        }

        void checkpoint() {
            TaskId task = start.task();
            state = TaskState.CHECKPOINTED;
            checkpoint = Optional.of(new CheckpointId(task.job() + "-" + task.index() + "-" + start.attempt()));
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
            workers.get(i).holder = i % ModelDaemons.COUNT;
        }
        return workers;
    }

    /** A daemon acquires the lease; it does not know what earlier holders have refused. */
    void take(int daemon, long now) {
        holder = daemon;
        heldSince = now;
        refused.clear();
        runs.values().removeIf(run -> run.lost && daemon != lostBy);
    }

    /** Ends attempts whose lease has run out. */
    void lapse(long now) {
        boolean all = holder < 0 && now - unheldSince >= 3_500_000_000L;
        runs.values().stream()
                .filter(run -> !run.state.ended() && (all || run.lapsesAt - now <= 0))
                .forEach(run -> run.state = TaskState.LAPSED);
    }

    /** Loses all attempts; a holder that acquires the lease again reports the running ones as lapsed. */
    void crash() {
        runs.values().removeIf(run -> run.state.ended());
        runs.values().forEach(run -> {
            run.state = TaskState.LAPSED;
            run.lost = true;
        });
        lostBy = holder;
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
            if (run.start.shard() == shard && !run.lost) {
                list.add(run.status());
            }
        }
        return list;
    }
}
