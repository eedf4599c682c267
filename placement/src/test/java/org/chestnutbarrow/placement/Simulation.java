package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.ModelWorker.Run;
import org.chestnutbarrow.placement.PlacementEvent.StartAnswer;
import org.chestnutbarrow.placement.PlacementEvent.WorkerRoom;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.Assert;

/** One seeded run of owners, workers, a log and a lossy network; throws when an invariant is broken. */
final class Simulation {
    private static final long SECOND = 1_000_000_000L;

    final Map<String, Integer> counts = new TreeMap<>();
    private final Random random;
    private final ManualTime time = new ManualTime();
    private final List<ModelWorker> workers = new ArrayList<>();
    private final Map<JobId, Job> jobs = new TreeMap<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final Set<JobId> badJobs = new HashSet<>();
    private final Map<JobId, BitSet> finished = new HashMap<>();
    private final Map<TaskId, TaskEnd> ends = new HashMap<>();
    private final Map<TaskId, Run> newest = new HashMap<>();
    private final Set<TaskId> excused = new HashSet<>();
    private final Set<AvailabilityZone> out = new HashSet<>();
    private final ModelNetwork network;
    private long epoch;
    private long claimed;
    private Owner owner;

    Simulation(long seed) {
        random = new Random(seed);
        network = new ModelNetwork(time, random);
        workers.addAll(ModelWorker.fleet());
        workers.get(0).bad = random.nextInt(3) == 0;
        takeOver();
    }

    /** A daemon that owns, or believes to own, all job shards. */
    private final class Owner {
        private final JobShards shards = new JobShards(time, worker -> 0);
        private final long ownEpoch = epoch;
        private boolean alive = true;
        private long pausedUntil;

        void apply(PlacementEvent event) {
            if (!alive) {
                return;
            }
            if (pausedUntil - now() > 0) {
                network.post(pausedUntil - now(), () -> apply(event));
                return;
            }
            shards.apply(event).forEach(effect -> execute(this, effect));
        }
    }

    /** Runs a faulty phase and then a quiet one in which all that can end must end. */
    void run() {
        for (int i = 0; i < 250; i++) {
            fault();
            step(random.nextInt(100) + 50);
        }
        network.chaos = false;
        workers.forEach(worker -> worker.bad = false);
        out.clear();
        workers.stream().filter(worker -> !worker.held).forEach(this::takeWorker);
        owner.apply(new PlacementEvent.ConfigurationChanged(ModelChecks.configuration(workers, out)));
        for (int i = 0; i < 4_000 && !allEnded(); i++) {
            step(500);
        }
        Assert.assertTrue(allEnded(), "jobs did not end: " + unfinished());
    }

    private List<JobId> open() {
        return jobs.keySet().stream()
                .filter(id -> !cancelled.contains(id) && !badJobs.contains(id))
                .filter(id -> finished.get(id).cardinality() < jobs.get(id).tasks())
                .toList();
    }

    private boolean allEnded() {
        boolean stopped = newest.values().stream()
                .noneMatch(run -> run.state == TaskState.RUNNING
                        && cancelled.contains(run.start.task().job()));
        return stopped && open().isEmpty();
    }

    private List<JobExplanation> unfinished() {
        return open().stream()
                .map(owner.shards::explain)
                .flatMap(Optional::stream)
                .toList();
    }

    private void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    private void fault() {
        switch (random.nextInt(24)) {
            case 0, 1, 2 -> submit();
            case 3 -> {
                if (random.nextInt(3) == 0) {
                    count("owner crash");
                    owner.alive = false;
                    takeOver();
                }
            }
            case 4 -> {
                if (random.nextInt(4) == 0) {
                    count("owner pause");
                    Owner old = owner;
                    old.pausedUntil = now() + random.nextLong(12 * SECOND);
                    network.post(14 * SECOND, () -> old.alive = false);
                    takeOver();
                }
            }
            case 5 ->
                pick().ifPresent(worker -> {
                    if (random.nextBoolean()) {
                        count("worker crash");
                        worker.runs.values().forEach(run -> excused.add(run.start.task()));
                        worker.crash();
                    }
                    loseWorker(worker);
                });
            case 6 -> {
                AvailabilityZone zone = new AvailabilityZone("z" + random.nextInt(3));
                count("zone change");
                if (!out.remove(zone) && out.size() < 2) {
                    out.add(zone);
                }
                owner.apply(new PlacementEvent.ConfigurationChanged(ModelChecks.configuration(workers, out)));
            }
            case 7 ->
                jobs.keySet().stream().skip(random.nextInt(8)).findFirst().ifPresent(id -> {
                    if (random.nextInt(4) == 0 && cancelled.add(id)) {
                        count("cancel");
                        owner.apply(new PlacementEvent.JobCancelled(id));
                    }
                });
            default -> {}
        }
    }

    private Optional<ModelWorker> pick() {
        ModelWorker worker = workers.get(random.nextInt(workers.size()));
        return worker.held ? Optional.of(worker) : Optional.empty();
    }

    private void submit() {
        JobId id = new JobId("j" + jobs.size());
        Job job = ModelChecks.job(id, random, time.now());
        jobs.put(id, job);
        finished.put(id, new BitSet());
        if (random.nextInt(12) == 0) {
            badJobs.add(id);
        }
        owner.apply(new PlacementEvent.JobAdded(LoggedJob.fresh(job)));
    }

    /** A new owner claims all shards and fences them, while the old one may still be at work. */
    private void takeOver() {
        epoch++;
        claimed = now();
        owner = new Owner();
        Owner mine = owner;
        mine.apply(new PlacementEvent.ConfigurationChanged(ModelChecks.configuration(workers, out)));
        mine.apply(rooms());
        Map<Integer, List<LoggedJob>> byShard = new HashMap<>();
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            byShard.put(shard, new ArrayList<>());
        }
        for (Job job : jobs.values()) {
            List<TaskEnd> jobEnds = ends.values().stream()
                    .filter(end -> end.task().job().equals(job.id()))
                    .toList();
            byShard.get(Job.shardOf(job.id()))
                    .add(new LoggedJob(job, cancelled.contains(job.id()), finished.get(job.id()), jobEnds));
        }
        byShard.forEach((shard, list) -> mine.apply(new PlacementEvent.ShardGained(shard, mine.ownEpoch, list)));
        boolean all = workers.stream().allMatch(worker -> worker.held);
        workers.stream().filter(worker -> worker.held).forEach(this::fence);
        if (!all) {
            count("takeover with unfenced workers");
        }
        long delay = all ? 2 * SECOND + 1 : Timing.UNHELD_LAPSE;
        network.post(delay, () -> {
            for (int shard = 0; shard < Job.SHARDS; shard++) {
                mine.apply(new PlacementEvent.WorkersFenced(shard, mine.ownEpoch, now()));
            }
        });
    }

    /** Fences all shards at a worker for the present owner; the answer may be late but is not lost. */
    private void fence(ModelWorker worker) {
        Owner mine = owner;
        long asked = now();
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            worker.fences.put(shard, mine.ownEpoch);
            PlacementEvent found = new PlacementEvent.AttemptsFound(
                    shard, mine.ownEpoch, worker.worker.id(), asked, worker.list(shard));
            network.post(random.nextLong(2 * SECOND), () -> mine.apply(found));
        }
    }

    private void loseWorker(ModelWorker worker) {
        count("worker without holder");
        worker.held = false;
        worker.unheldSince = now();
        worker.runs.values().forEach(run -> excused.add(run.start.task()));
        owner.apply(rooms());
        network.post(random.nextLong(9 * SECOND), () -> takeWorker(worker));
    }

    private void takeWorker(ModelWorker worker) {
        if (!worker.held) {
            lapse(worker);
            worker.held = true;
            fence(worker);
        }
    }

    private void lapse(ModelWorker worker) {
        if (!worker.held && now() - worker.unheldSince >= 3_500_000_000L) {
            worker.runs.values().stream()
                    .filter(run -> !run.state.ended())
                    .forEach(run -> run.state = TaskState.LAPSED);
        }
    }

    private PlacementEvent rooms() {
        return new PlacementEvent.WorkersChanged(workers.stream()
                .filter(worker -> worker.held)
                .map(worker -> new WorkerRoom(worker.worker, worker.free()))
                .toList());
    }

    private void step(int millis) {
        long target = now() + millis * 1_000_000L;
        network.deliver(target);
        time.advance(Duration.ofNanos(target - now()));
        for (ModelWorker worker : workers) {
            lapse(worker);
            List.copyOf(worker.runs.values()).stream()
                    .filter(run -> !run.state.ended() && run.endsAt <= now())
                    .forEach(run -> finish(worker, run));
        }
        owner.apply(rooms());
        owner.apply(new PlacementEvent.Tick());
    }

    private void finish(ModelWorker worker, Run run) {
        boolean fails =
                worker.bad || badJobs.contains(run.start.task().job()) || (network.chaos && random.nextInt(20) == 0);
        run.state = fails ? TaskState.FAILED : TaskState.FINISHED;
        count(run.state.toString());
        report(worker, run);
    }

    /** Reports an attempt's state to the owner until the worker has been told to forget it. */
    private void report(ModelWorker worker, Run run) {
        if (worker.runs.get(run.start.task()) == run) {
            if (worker.held) {
                PlacementEvent changed = new PlacementEvent.TaskChanged(worker.worker.id(), run.status());
                network.send(() -> owner.apply(changed));
            }
            network.post(3 * SECOND, () -> report(worker, run));
        }
    }

    private void execute(Owner from, PlacementEffect effect) {
        switch (effect) {
            case PlacementEffect.Start start -> {
                long asked = now();
                network.send(() -> start(from, start, asked));
            }
            case PlacementEffect.Stop stop ->
                network.send(() -> control(from, stop.worker(), stop.task(), stop, stop.attempt()));
            case PlacementEffect.Checkpoint move ->
                network.send(() -> control(from, move.worker(), move.task(), move, move.attempt()));
            case PlacementEffect.Forget forget ->
                network.send(() -> control(from, forget.worker(), forget.task(), forget, forget.attempt()));
            case PlacementEffect.AppendEnd append -> network.post(random.nextLong(SECOND), () -> append(from, append));
            case PlacementEffect.Unplaceable unplaceable -> count("unplaceable");
        }
    }

    private void append(Owner from, PlacementEffect.AppendEnd append) {
        TaskEnd end = append.end();
        if (append.epoch() != epoch) {
            return;
        }
        if (end.state() == TaskState.FINISHED) {
            finished.get(end.task().job()).set(end.task().index());
        }
        ends.merge(end.task(), end, (a, b) -> a.attempt().compareTo(b.attempt()) > 0 ? a : b);
        PlacementEvent logged = new PlacementEvent.EndsLogged(append.shard(), List.of(end));
        network.post(random.nextLong(SECOND), () -> from.apply(logged));
    }

    private ModelWorker worker(WorkerId id) {
        return workers.stream()
                .filter(w -> w.worker.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void start(Owner from, PlacementEffect.Start start, long asked) {
        ModelWorker worker = worker(start.worker());
        StartAnswer answer = worker.held ? begin(worker, start) : new StartAnswer.NotHolder();
        network.send(() -> from.apply(
                new PlacementEvent.StartAnswered(start.worker(), start.task(), start.attempt(), asked, answer)));
    }

    private StartAnswer begin(ModelWorker worker, PlacementEffect.Start start) {
        Run same = worker.run(start.task(), start.attempt());
        if (same != null) {
            return new StartAnswer.Done(same.status());
        }
        // The holder knows a claim of the shard at the latest when its view of the log must be renewed.
        boolean superseded = start.attempt().epoch() < epoch && now() - claimed >= 2 * SECOND;
        Run other = worker.runs.get(start.task());
        boolean older = other != null && other.start.attempt().compareTo(start.attempt()) > 0;
        boolean refused = superseded
                || older
                || worker.refused.contains(start.attempt())
                || worker.fences.getOrDefault(start.shard(), 0L)
                        > start.attempt().epoch()
                || out.contains(worker.worker.zone())
                || !start.demand().fitsIn(worker.free());
        if (refused) {
            worker.refused.add(start.attempt());
            return new StartAnswer.Refused("refused");
        }
        Run run = new Run(start, now() + start.runTime().toNanos());
        Run before = newest.get(start.task());
        boolean known = !excused.contains(start.task());
        workers.forEach(this::lapse);
        ModelChecks.start(workers, run, before, known, finished.get(start.task().job()));
        if (start.resumeFrom().isPresent()) {
            count("resume");
        }
        worker.runs.put(start.task(), run);
        newest.put(start.task(), run);
        ModelChecks.quota(workers, jobs, jobs.get(start.task().job()).team());
        count("start");
        report(worker, run);
        return new StartAnswer.Done(run.status());
    }

    private void control(Owner from, WorkerId id, TaskId task, PlacementEffect effect, Attempt attempt) {
        ModelWorker worker = worker(id);
        Run run = worker.run(task, attempt);
        if (!worker.held || run == null) {
            if (worker.held && effect instanceof PlacementEffect.Stop) {
                worker.refused.add(attempt);
                StartAnswer refused = new StartAnswer.Refused("unknown attempt");
                network.send(() -> from.apply(new PlacementEvent.StartAnswered(id, task, attempt, now(), refused)));
            }
            return;
        }
        if (effect instanceof PlacementEffect.Forget) {
            // The holder refuses a late duplicate of a start that it has been told to forget.
            worker.refused.add(attempt);
            worker.runs.remove(task, run);
            return;
        }
        if (!run.state.ended()) {
            run.state = effect instanceof PlacementEffect.Stop ? TaskState.STOPPED : TaskState.CHECKPOINTED;
            if (run.state == TaskState.CHECKPOINTED) {
                run.checkpoint = Optional.of(new CheckpointId(task.job() + "-" + task.index() + "-" + attempt));
            }
            report(worker, run);
        }
    }

    private long now() {
        return time.nanos();
    }
}
