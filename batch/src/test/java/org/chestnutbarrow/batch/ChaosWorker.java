package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * One incarnation of a worker of {@link OwnerChangeSimulation}. It keeps its fencing token, its leases, its runs and the
 * ends that were not acknowledged, as a worker process does. Not thread-safe.
 */
final class ChaosWorker {
    static final Resources CAPACITY = new Resources(0, 0, 8000, 16000, 0);

    /** A run in progress; short ones end at {@code endsAt} ns, others have {@link Long#MAX_VALUE}. */
    record Run(TaskName task, int run, Step step, long startedAt, long endsAt, boolean fails) {}

    /** A result that no owner has taken note of yet. */
    record Result(TaskName task, long sequence, long at) {}

    final WorkerId id;
    final long incarnation;
    final AvailabilityZone zone;
    final String rack;
    final Map<TaskName, Run> runs = new HashMap<>();
    final List<WorkerReport.Ended> ends = new ArrayList<>();
    final List<Result> results = new ArrayList<>();
    private final Map<TaskName, Integer> settledRuns = new HashMap<>();
    boolean up = true;
    boolean listed = true;
    boolean draining;
    long silentUntil = Long.MIN_VALUE;
    long failingUntil = Long.MIN_VALUE;
    /** When the leases of the runs are over; an owner that knows all calls has the same bound. */
    long leaseUntil = Long.MIN_VALUE;

    long token;
    private long lastSequence;

    ChaosWorker(String id, long incarnation, int place) {
        this.id = new WorkerId(id);
        this.incarnation = incarnation;
        this.zone = new AvailabilityZone("zone-" + place % 3);
        this.rack = "rack-" + place % 4;
    }

    WorkerIncarnation key() {
        return new WorkerIncarnation(id, incarnation);
    }

    boolean answers(long now) {
        return up && now >= silentUntil;
    }

    WorkerRegistration registration() {
        return new WorkerRegistration(
                id, incarnation, new Address("127.0.0.1", 1), "service", zone, Set.of(rack), CAPACITY, draining);
    }

    Resources reserved() {
        return runs.values().stream().map(run -> run.step().reservation()).reduce(Resources.NONE, Resources::plus);
    }

    /** Returns whether a start of a run, or of a later one of its task, would come too late. */
    boolean isSettled(TaskName task, int run) {
        return settledRuns.getOrDefault(task, 0) >= run;
    }

    void start(Run run) {
        runs.put(run.task(), run);
    }

    /** Stops a run, or keeps it from being started later. */
    void stop(TaskName task, int run) {
        settledRuns.merge(task, run, Math::max);
        Run current = runs.get(task);
        if (current != null && current.run() <= run) {
            end(current, EndKind.INTERRUPTED, 0);
        }
    }

    /** Ends the runs that are over at {@code now}, or all once the leases have expired. */
    void advance(long now) {
        boolean lapsed = now >= leaseUntil;
        for (Run run : List.copyOf(runs.values())) {
            if (lapsed) {
                end(run, EndKind.INTERRUPTED, now);
            } else if (now >= run.endsAt()) {
                end(run, run.fails() ? EndKind.FAILED : EndKind.DONE, now);
            }
        }
        if (lapsed) {
            results.clear();
        }
    }

    private void end(Run run, EndKind kind, long now) {
        runs.remove(run.task());
        settledRuns.merge(run.task(), run.run(), Math::max);
        ends.add(new WorkerReport.Ended(++lastSequence, run.task(), run.run(), kind, ""));
        if (kind == EndKind.DONE) {
            results.add(new Result(run.task(), lastSequence, now));
        }
    }

    /** Discards acknowledged ends and returns the results among them. */
    List<Result> acknowledge(long sequence) {
        ends.removeIf(end -> end.sequence() <= sequence);
        List<Result> noted =
                results.stream().filter(end -> end.sequence() <= sequence).toList();
        results.removeAll(noted);
        return noted;
    }

    WorkerReport report(long now) {
        List<WorkerReport.Running> running = runs.values().stream()
                .map(run -> new WorkerReport.Running(run.task(), run.run(), progress(run, now), 5))
                .toList();
        return new WorkerReport(id, incarnation, running, ends);
    }

    private static int progress(Run run, long now) {
        long length = run.step().longRunning() ? 1_000_000_000L : run.endsAt() - run.startedAt();
        return Math.clamp(
                100 * (now - run.startedAt()) / Math.max(1, length),
                0,
                run.step().longRunning() ? 100 : 99);
    }

    Optional<Run> run(TaskName task) {
        return Optional.ofNullable(runs.get(task));
    }
}
