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

/** A worker in {@link Simulation}, together with the state that the holder of its lease keeps for it. */
final class FakeWorker {
    final Worker worker;
    final Map<TaskId, Run> runs = new HashMap<>();
    final Map<Integer, Long> fenceEpochs = new HashMap<>();
    final Set<Attempt> refusedAttempts = new HashSet<>();
    /** Index of the daemon that holds the worker's lease; -1 for none. */
    int holder;

    int holderAtCrash;
    long heldSince;
    boolean faulty;
    long unheldSince;

    FakeWorker(Worker worker) {
        this.worker = worker;
    }

    /** The run of an attempt at the worker. */
    static final class Run {
        final PlacementEffect.Start start;
        final long endsAt;
        TaskState state = TaskState.RUNNING;
        Optional<CheckpointId> checkpoint = Optional.empty();
        /** When the attempt's lease expires because it is no longer renewed. */
        long leaseExpiresAt = Long.MAX_VALUE;

        /** Whether the worker has lost the attempt, so that only the last holder knows it. */
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

    /** Creates eight workers in three zones, two in each rack. */
    static List<FakeWorker> createWorkers() {
        Address address = Address.parse("127.0.0.1:1");
        List<FakeWorker> workers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % 3);
            Resources capacity = new Resources(8, 64, 4_000, 16_000, i % 4 == 0 ? 1 : 0);
            workers.add(new FakeWorker(
                    new Worker(new WorkerId("w" + i), zone, "r" + i / 2, address, address, false, capacity)));
            workers.get(i).holder = i % FakeDaemons.COUNT;
        }
        return workers;
    }

    /** Gives the lease to a daemon, which does not know the starts that earlier holders have refused. */
    void acquireLease(int daemon, long now) {
        holder = daemon;
        heldSince = now;
        refusedAttempts.clear();
        runs.values().removeIf(run -> run.lost && daemon != holderAtCrash);
    }

    /** Ends attempts whose lease has expired. */
    void expireLeases(long now) {
        boolean holderLeaseExpired = holder < 0 && now - unheldSince >= 3_500_000_000L;
        runs.values().stream()
                .filter(run -> !run.state.ended() && (holderLeaseExpired || run.leaseExpiresAt - now <= 0))
                .forEach(run -> run.state = TaskState.LAPSED);
    }

    /** Loses all attempts; a holder that acquires the lease again reports the running ones as lapsed. */
    void crash() {
        runs.values().removeIf(run -> run.state.ended());
        runs.values().forEach(run -> {
            run.state = TaskState.LAPSED;
            run.lost = true;
        });
        holderAtCrash = holder;
    }

    Resources free() {
        Resources used = Resources.NONE;
        for (Run run : runs.values()) {
            used = run.state.ended() ? used : used.plus(run.start.demand());
        }
        return worker.capacity().minus(used);
    }

    Run findRun(TaskId task, Attempt attempt) {
        Run run = runs.get(task);
        return run != null && run.start.attempt().equals(attempt) ? run : null;
    }

    List<TaskStatus> listRuns(int shard) {
        List<TaskStatus> statuses = new ArrayList<>();
        for (Run run : runs.values()) {
            if (run.start.shard() == shard && !run.lost) {
                statuses.add(run.status());
            }
        }
        return statuses;
    }
}
