package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.ModelDaemons.Held;
import org.chestnutbarrow.placement.ModelWorker.Run;
import org.chestnutbarrow.placement.PlacementEvent.StartAnswer;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.Assert;

/** One seeded run of owners, workers, a log and a lossy network; throws when an invariant is broken. */
final class Simulation {
    private static final long SECOND = 1_000_000_000L;

    /** Age from which a holder refuses a start; {@code WorkerTasks} does not enforce it yet. */
    private static final long COMMAND_LIFE = 2 * SECOND;

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
    private final ModelDaemons daemons;
    private long epoch;
    private long claimed;
    private Owner owner;

    Simulation(long seed) {
        random = new Random(seed);
        network = new ModelNetwork(time, random);
        workers.addAll(ModelWorker.fleet());
        workers.get(0).bad = random.nextInt(3) == 0;
        daemons = new ModelDaemons(time, random, network, workers);
        takeOver();
    }

    /** A daemon that owns, or believes to own, all job shards. */
    private final class Owner {
        private final JobShards shards = new JobShards(time, worker -> 0);
        private final long ownEpoch = epoch;
        private final int daemon;
        private final long claimRead = now();
        private final LapseRule lapse = new LapseRule();
        private final Map<WorkerId, Integer> fencedAt = new HashMap<>();
        private final Map<WorkerId, Long> lastHeld = new HashMap<>();
        private final Set<WorkerId> fenced = new HashSet<>();
        private final Set<WorkerId> fencing = new HashSet<>();
        private boolean opened;
        private boolean alive = true;
        private long pausedUntil;

        Owner(int daemon) {
            this.daemon = daemon;
        }

        /** Reports the held workers, fences what is not fenced and opens the shards when that is allowed. */
        void tick() {
            if (!alive || pausedUntil - now() > 0) {
                return;
            }
            Map<WorkerId, Held> held = daemons.held(daemon);
            Contact contact = daemons.contact(daemon);
            count("contact " + contact);
            apply(new PlacementEvent.WorkersChanged(
                    held.values().stream().map(Held::room).toList(), contact));
            lapse.sample(contact, now());
            held.keySet().forEach(id -> lastHeld.put(id, now()));
            // The same daemon may hold a worker again that has restarted meanwhile.
            fencedAt.keySet().retainAll(held.keySet());
            List<Held> unfenced = held.values().stream()
                    .filter(h -> !Objects.equals(
                            h.holder(), fencedAt.get(h.room().worker().id())))
                    .toList();
            unfenced.stream().filter(h -> fencing.add(h.room().worker().id())).forEach(h -> fence(this, h));
            if (unfenced.isEmpty() && !opened) {
                open();
            }
            apply(new PlacementEvent.Tick());
        }

        private void open() {
            boolean all = fenced.size() == workers.size();
            boolean lapsed = workers.stream()
                    .map(worker -> worker.worker.id())
                    .filter(id -> !fenced.contains(id))
                    .allMatch(id -> lapse.lapsed(Math.max(claimRead, lastHeld.getOrDefault(id, claimRead)), now()));
            if (lapsed) {
                opened = true;
                count(all ? "takeover" : "takeover with unfenced workers");
                for (int shard = 0; shard < Job.SHARDS; shard++) {
                    apply(new PlacementEvent.WorkersFenced(shard, ownEpoch, now()));
                }
            }
        }

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
        daemons.repair();
        workers.forEach(worker -> daemons.take(worker, 0));
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
        switch (random.nextInt(26)) {
            case 0, 1, 2 -> submit();
            case 3 -> {
                if (random.nextInt(3) == 0) {
                    count("daemon crash");
                    stopDaemon(random.nextBoolean() ? owner.daemon : random.nextInt(ModelDaemons.COUNT), true);
                }
            }
            case 4 -> {
                if (random.nextInt(4) == 0) {
                    count("daemon pause");
                    stopDaemon(random.nextBoolean() ? owner.daemon : random.nextInt(ModelDaemons.COUNT), false);
                }
            }
            case 8 -> {
                if (random.nextInt(3) == 0) {
                    count("links break");
                    daemons.breakLinks(owner.daemon);
                }
            }
            case 9 -> {
                if (random.nextInt(12) == 0) {
                    count("takeover from a live owner");
                    Owner old = owner;
                    takeOver();
                    network.post(random.nextLong(2 * SECOND), () -> old.alive = false);
                }
            }
            case 5 ->
                daemons.pick().ifPresent(worker -> {
                    if (random.nextBoolean()) {
                        count("worker crash");
                        worker.runs.values().forEach(run -> excused.add(run.start.task()));
                        worker.crash();
                    }
                    daemons.lose(worker);
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

    /** A daemon dies or pauses and so loses its workers; the owner is replaced, or goes on after a short pause. */
    private void stopDaemon(int daemon, boolean dies) {
        long duration = SECOND + random.nextLong((dies ? 5 : 12) * SECOND);
        daemons.stop(daemon, duration, dies);
        workers.stream().filter(worker -> worker.holder == daemon).forEach(daemons::lose);
        if (daemon == owner.daemon) {
            Owner old = owner;
            old.alive = !dies;
            old.pausedUntil = now() + duration;
            if (dies || duration > 2 * SECOND) {
                network.post(14 * SECOND, () -> old.alive = false);
                takeOver();
            }
        }
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
        int next = daemons.runningFrom(random.nextInt(ModelDaemons.COUNT));
        if (next < 0) {
            network.post(SECOND, this::takeOver);
            return;
        }
        epoch++;
        claimed = now();
        Owner mine = new Owner(next);
        owner = mine;
        mine.apply(new PlacementEvent.ConfigurationChanged(ModelChecks.configuration(workers, out)));
        Map<Integer, List<LoggedJob>> byShard = new HashMap<>();
        IntStream.range(0, Job.SHARDS).forEach(shard -> byShard.put(shard, new ArrayList<>()));
        for (Job job : jobs.values()) {
            List<TaskEnd> jobEnds = ends.values().stream()
                    .filter(end -> end.task().job().equals(job.id()))
                    .toList();
            byShard.get(Job.shardOf(job.id()))
                    .add(new LoggedJob(job, cancelled.contains(job.id()), finished.get(job.id()), jobEnds));
        }
        byShard.forEach((shard, list) -> mine.apply(new PlacementEvent.ShardGained(shard, mine.ownEpoch, list)));
        mine.tick();
    }

    /** Fences all shards at a worker; the command or its answer may be lost. */
    private void fence(Owner from, Held held) {
        WorkerId id = held.room().worker().id();
        long asked = now();
        network.post(SECOND * 5 / 2, () -> from.fencing.remove(id));
        network.post(random.nextLong(SECOND), () -> {
            ModelWorker worker = daemons.worker(id);
            if (worker.holder != held.holder() || !daemons.up(from.daemon, held.holder())) {
                return;
            }
            List<PlacementEvent> found = new ArrayList<>();
            for (int shard = 0; shard < Job.SHARDS; shard++) {
                worker.fences.merge(shard, from.ownEpoch, Math::max);
                found.add(new PlacementEvent.AttemptsFound(shard, from.ownEpoch, id, asked, worker.list(shard)));
            }
            network.post(random.nextLong(SECOND), () -> {
                if (daemons.up(held.holder(), from.daemon)) {
                    found.forEach(from::apply);
                    from.fencedAt.put(id, held.holder());
                    from.fenced.add(id);
                }
            });
        });
    }

    private void step(int millis) {
        long target = now() + millis * 1_000_000L;
        network.deliver(target);
        time.advance(Duration.ofNanos(target - now()));
        daemons.beat();
        Set<WorkerId> held = daemons.held(owner.daemon).keySet();
        for (ModelWorker worker : workers) {
            worker.lapse(now());
            List.copyOf(worker.runs.values()).stream()
                    .filter(run -> !run.state.ended() && run.endsAt <= now())
                    .forEach(run -> finish(worker, run));
            if (!held.contains(worker.worker.id())) {
                worker.runs.values().forEach(run -> excused.add(run.start.task()));
            }
        }
        if (now() - claimed >= 2 * SECOND) {
            daemons.stopCutOff(owner.daemon, this::stopAtHolder);
        }
        owner.tick();
    }

    /** A holder stops an attempt of an owner that it is cut off from, or at least renews its lease no more. */
    private void stopAtHolder(ModelWorker worker, Run run) {
        count("stop by a holder without contact");
        excused.add(run.start.task());
        if (random.nextBoolean()) {
            run.lapsesAt = Math.min(run.lapsesAt, now() + SECOND * 7 / 2);
        } else {
            run.checkpoint();
            report(worker, run);
        }
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
            if (worker.holder >= 0 && daemons.up(worker.holder, owner.daemon)) {
                PlacementEvent changed = new PlacementEvent.TaskChanged(worker.worker.id(), run.status());
                network.send(() -> owner.apply(changed));
            }
            network.post(3 * SECOND, () -> report(worker, run));
        }
    }

    private void execute(Owner from, PlacementEffect effect) {
        switch (effect) {
            case PlacementEffect.Start start -> start(from, start);
            case PlacementEffect.Stop stop -> control(from, stop.worker(), stop.task(), stop, stop.attempt());
            case PlacementEffect.Checkpoint move -> control(from, move.worker(), move.task(), move, move.attempt());
            case PlacementEffect.Forget forget ->
                control(from, forget.worker(), forget.task(), forget, forget.attempt());
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

    /** Sends a command to the daemon that the owner believes to hold the worker; on a broken link it may be kept. */
    private void command(Owner from, WorkerId id, BiConsumer<ModelWorker, Held> action) {
        Held held = daemons.held(from.daemon).get(id);
        if (held != null) {
            network.send(() -> {
                if (daemons.up(from.daemon, held.holder())) {
                    action.accept(daemons.worker(id), held);
                } else if (random.nextBoolean()) {
                    network.post(random.nextLong(20 * SECOND), () -> action.accept(daemons.worker(id), held));
                }
            });
        }
    }

    private void answer(Owner from, Held held, PlacementEvent answer) {
        if (daemons.up(held.holder(), from.daemon)) {
            network.send(() -> from.apply(answer));
        }
    }

    private void start(Owner from, PlacementEffect.Start start) {
        long asked = now();
        command(from, start.worker(), (worker, held) -> {
            StartAnswer answer =
                    worker.holder == held.holder() ? begin(worker, start, held.sent()) : new StartAnswer.NotHolder();
            answer(
                    from,
                    held,
                    new PlacementEvent.StartAnswered(start.worker(), start.task(), start.attempt(), asked, answer));
        });
    }

    private StartAnswer begin(ModelWorker worker, PlacementEffect.Start start, long reported) {
        Run same = worker.run(start.task(), start.attempt());
        if (same != null) {
            return new StartAnswer.Done(same.status());
        }
        boolean late = reported - worker.heldSince < 0 || now() - reported >= COMMAND_LIFE;
        // The holder knows a claim of the shard at the latest when its view of the log must be renewed.
        boolean superseded = start.attempt().epoch() < epoch && now() - claimed >= 2 * SECOND;
        Run other = worker.runs.get(start.task());
        boolean older = other != null && other.start.attempt().compareTo(start.attempt()) > 0;
        boolean cutOff = now() - claimed >= 2 * SECOND && daemons.cutOff(worker.holder, owner.daemon);
        boolean refused = superseded
                || late
                || cutOff
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
        workers.forEach(w -> w.lapse(now()));
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
        command(from, id, (worker, held) -> {
            if (worker.holder == held.holder()) {
                control(from, worker, held, worker.run(task, attempt), effect, task, attempt);
            }
        });
    }

    private void control(
            Owner from, ModelWorker worker, Held held, Run run, PlacementEffect effect, TaskId task, Attempt attempt) {
        if (run == null) {
            if (effect instanceof PlacementEffect.Stop) {
                worker.refused.add(attempt);
                StartAnswer refused = new StartAnswer.Refused("unknown attempt");
                WorkerId id = worker.worker.id();
                answer(from, held, new PlacementEvent.StartAnswered(id, task, attempt, now(), refused));
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
            if (effect instanceof PlacementEffect.Stop) {
                run.state = TaskState.STOPPED;
            } else {
                run.checkpoint();
            }
            report(worker, run);
        }
    }

    private long now() {
        return time.nanos();
    }
}
