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
import org.chestnutbarrow.placement.FakeDaemons.Lease;
import org.chestnutbarrow.placement.FakeWorker.Run;
import org.chestnutbarrow.placement.PlacementEvent.StartResult;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.Assert;

/** A seeded simulation of owners, workers, a log and a lossy network; throws if an invariant is violated. */
final class Simulation {
    private static final long SECOND = 1_000_000_000L;

    /** Age from which a holder refuses a start; {@code WorkerTasks} does not enforce it. */
    private static final long MAX_COMMAND_AGE = 2 * SECOND;

    final Map<String, Integer> eventCounts = new TreeMap<>();
    private final Random random;
    private final ManualTime time = new ManualTime();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final Map<JobId, Job> jobs = new TreeMap<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final Set<JobId> badJobs = new HashSet<>();
    private final Map<JobId, BitSet> finished = new HashMap<>();
    private final Map<TaskId, TaskEnd> loggedEnds = new HashMap<>();
    private final Map<TaskId, Run> newestRuns = new HashMap<>();
    private final Set<TaskId> unknownEnds = new HashSet<>();
    private final Set<AvailabilityZone> zonesOut = new HashSet<>();
    private final FakeNetwork network;
    private final FakeDaemons daemons;
    private long epoch;
    private long claimedAt;
    private Owner owner;

    Simulation(long seed) {
        random = new Random(seed);
        network = new FakeNetwork(time, random);
        workers.addAll(FakeWorker.createWorkers());
        workers.get(0).faulty = random.nextInt(3) == 0;
        daemons = new FakeDaemons(time, random, network, workers);
        takeOver();
    }

    /** A daemon that owns all job shards, or assumes that it does. */
    private final class Owner {
        private final JobShards shards = new JobShards(time, worker -> 0);
        private final long ownEpoch = epoch;
        private final int daemon;
        private final long readAt = now();
        private final LeaseExpiryRule expiry = new LeaseExpiryRule();
        private final Map<WorkerId, Integer> fencedBy = new HashMap<>();
        private final Map<WorkerId, Long> lastHeldAt = new HashMap<>();
        private final Set<WorkerId> fenced = new HashSet<>();
        private final Set<WorkerId> fencing = new HashSet<>();
        private boolean acceptsStarts;
        private boolean alive = true;
        private long pausedUntil;

        Owner(int daemon) {
            this.daemon = daemon;
        }

        /** Reports the held workers, fences unfenced workers and allows starts as soon as that is safe. */
        void tick() {
            if (!alive || pausedUntil - now() > 0) {
                return;
            }
            Map<WorkerId, Lease> leases = daemons.leases(daemon);
            Connectivity connectivity = daemons.connectivity(daemon);
            count("connectivity " + connectivity);
            apply(new PlacementEvent.WorkersChanged(
                    leases.values().stream().map(Lease::free).toList(), connectivity));
            expiry.sample(connectivity, now());
            leases.keySet().forEach(id -> lastHeldAt.put(id, now()));
            // A worker may have restarted before the same daemon acquired its lease again.
            fencedBy.keySet().retainAll(leases.keySet());
            List<Lease> unfenced = leases.values().stream()
                    .filter(h -> !Objects.equals(
                            h.holder(), fencedBy.get(h.free().worker().id())))
                    .toList();
            unfenced.stream().filter(h -> fencing.add(h.free().worker().id())).forEach(h -> fence(this, h));
            if (unfenced.isEmpty() && !acceptsStarts) {
                acceptStartsIfAllowed();
            }
            apply(new PlacementEvent.Tick());
        }

        private void acceptStartsIfAllowed() {
            boolean allFenced = fenced.size() == workers.size();
            boolean unfencedExpired = workers.stream()
                    .map(worker -> worker.worker.id())
                    .filter(id -> !fenced.contains(id))
                    .allMatch(id -> expiry.expired(Math.max(readAt, lastHeldAt.getOrDefault(id, readAt)), now()));
            if (unfencedExpired) {
                acceptsStarts = true;
                count(allFenced ? "takeover" : "takeover with unfenced workers");
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
                network.schedule(pausedUntil - now(), () -> apply(event));
                return;
            }
            shards.apply(event).forEach(effect -> execute(this, effect));
        }
    }

    /** Runs a phase with faults, then one without, in which every job that can end must end. */
    void run() {
        for (int i = 0; i < 250; i++) {
            injectFault();
            step(random.nextInt(100) + 50);
        }
        network.lossy = false;
        workers.forEach(worker -> worker.faulty = false);
        zonesOut.clear();
        daemons.repairAll();
        workers.forEach(worker -> daemons.acquireLease(worker, 0));
        owner.apply(new PlacementEvent.ConfigurationChanged(Invariants.configuration(workers, zonesOut)));
        for (int i = 0; i < 4_000 && !allEnded(); i++) {
            step(500);
        }
        Assert.assertTrue(allEnded(), "jobs did not end: " + explainUnfinished());
    }

    private List<JobId> unfinishedJobs() {
        return jobs.keySet().stream()
                .filter(id -> !cancelled.contains(id) && !badJobs.contains(id))
                .filter(id -> finished.get(id).cardinality() < jobs.get(id).tasks())
                .toList();
    }

    private boolean allEnded() {
        boolean cancelledStopped = newestRuns.values().stream()
                .noneMatch(run -> run.state == TaskState.RUNNING
                        && cancelled.contains(run.start.task().job()));
        return cancelledStopped && unfinishedJobs().isEmpty();
    }

    private List<JobExplanation> explainUnfinished() {
        return unfinishedJobs().stream()
                .map(owner.shards::explain)
                .flatMap(Optional::stream)
                .toList();
    }

    private void count(String event) {
        eventCounts.merge(event, 1, Integer::sum);
    }

    private void injectFault() {
        switch (random.nextInt(26)) {
            case 0, 1, 2 -> submit();
            case 3 -> {
                if (random.nextInt(3) == 0) {
                    count("daemon crash");
                    stopDaemon(random.nextBoolean() ? owner.daemon : random.nextInt(FakeDaemons.COUNT), true);
                }
            }
            case 4 -> {
                if (random.nextInt(4) == 0) {
                    count("daemon pause");
                    stopDaemon(random.nextBoolean() ? owner.daemon : random.nextInt(FakeDaemons.COUNT), false);
                }
            }
            case 8 -> {
                if (random.nextInt(3) == 0) {
                    count("link failure");
                    daemons.breakLinks(owner.daemon);
                }
            }
            case 9 -> {
                if (random.nextInt(12) == 0) {
                    count("takeover from a live owner");
                    Owner previous = owner;
                    takeOver();
                    network.schedule(random.nextLong(2 * SECOND), () -> previous.alive = false);
                }
            }
            case 5 ->
                daemons.randomHeldWorker().ifPresent(worker -> {
                    if (random.nextBoolean()) {
                        count("worker crash");
                        worker.runs.values().forEach(run -> unknownEnds.add(run.start.task()));
                        worker.crash();
                    }
                    daemons.loseLease(worker);
                });
            case 6 -> {
                AvailabilityZone zone = new AvailabilityZone("z" + random.nextInt(3));
                count("zone change");
                if (!zonesOut.remove(zone) && zonesOut.size() < 2) {
                    zonesOut.add(zone);
                }
                owner.apply(new PlacementEvent.ConfigurationChanged(Invariants.configuration(workers, zonesOut)));
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

    /** Crashes or pauses a daemon, which loses its workers. An owner is replaced unless its pause is short. */
    private void stopDaemon(int daemon, boolean crashes) {
        long duration = SECOND + random.nextLong((crashes ? 5 : 12) * SECOND);
        daemons.stop(daemon, duration, crashes);
        workers.stream().filter(worker -> worker.holder == daemon).forEach(daemons::loseLease);
        if (daemon == owner.daemon) {
            Owner previous = owner;
            previous.alive = !crashes;
            previous.pausedUntil = now() + duration;
            if (crashes || duration > 2 * SECOND) {
                network.schedule(14 * SECOND, () -> previous.alive = false);
                takeOver();
            }
        }
    }

    private void submit() {
        JobId id = new JobId("j" + jobs.size());
        Job job = Invariants.randomJob(id, random, time.now());
        jobs.put(id, job);
        finished.put(id, new BitSet());
        if (random.nextInt(12) == 0) {
            badJobs.add(id);
        }
        owner.apply(new PlacementEvent.JobAdded(LoggedJob.newlyAccepted(job)));
    }

    /** A new owner claims and fences all shards while the previous owner may still be active. */
    private void takeOver() {
        int daemon = daemons.firstRunningFrom(random.nextInt(FakeDaemons.COUNT));
        if (daemon < 0) {
            network.schedule(SECOND, this::takeOver);
            return;
        }
        epoch++;
        claimedAt = now();
        Owner next = new Owner(daemon);
        owner = next;
        next.apply(new PlacementEvent.ConfigurationChanged(Invariants.configuration(workers, zonesOut)));
        Map<Integer, List<LoggedJob>> byShard = new HashMap<>();
        IntStream.range(0, Job.SHARDS).forEach(shard -> byShard.put(shard, new ArrayList<>()));
        for (Job job : jobs.values()) {
            List<TaskEnd> jobEnds = loggedEnds.values().stream()
                    .filter(end -> end.task().job().equals(job.id()))
                    .toList();
            byShard.get(Job.shardOf(job.id()))
                    .add(new LoggedJob(job, cancelled.contains(job.id()), finished.get(job.id()), jobEnds));
        }
        byShard.forEach((shard, list) -> next.apply(new PlacementEvent.ShardGained(shard, next.ownEpoch, list)));
        next.tick();
    }

    /** Fences all shards at a worker; the command or its response may be lost. */
    private void fence(Owner from, Lease held) {
        WorkerId id = held.free().worker().id();
        long sentAt = now();
        network.schedule(SECOND * 5 / 2, () -> from.fencing.remove(id));
        network.schedule(random.nextLong(SECOND), () -> {
            FakeWorker worker = daemons.worker(id);
            if (worker.holder != held.holder() || !daemons.reachable(from.daemon, held.holder())) {
                return;
            }
            List<PlacementEvent> lists = new ArrayList<>();
            for (int shard = 0; shard < Job.SHARDS; shard++) {
                worker.fenceEpochs.merge(shard, from.ownEpoch, Math::max);
                lists.add(new PlacementEvent.AttemptsListed(shard, from.ownEpoch, id, sentAt, worker.listRuns(shard)));
            }
            network.schedule(random.nextLong(SECOND), () -> {
                if (daemons.reachable(held.holder(), from.daemon)) {
                    lists.forEach(from::apply);
                    from.fencedBy.put(id, held.holder());
                    from.fenced.add(id);
                }
            });
        });
    }

    private void step(int millis) {
        long target = now() + millis * 1_000_000L;
        network.deliverUntil(target);
        time.advance(Duration.ofNanos(target - now()));
        daemons.sendHeartbeats();
        Set<WorkerId> held = daemons.leases(owner.daemon).keySet();
        for (FakeWorker worker : workers) {
            worker.expireLeases(now());
            List.copyOf(worker.runs.values()).stream()
                    .filter(run -> !run.state.ended() && run.endsAt <= now())
                    .forEach(run -> finish(worker, run));
            if (!held.contains(worker.worker.id())) {
                worker.runs.values().forEach(run -> unknownEnds.add(run.start.task()));
            }
        }
        if (now() - claimedAt >= 2 * SECOND) {
            daemons.stopCutOff(owner.daemon, this::stopByHolder);
        }
        owner.tick();
    }

    /** A holder stops an attempt of an owner that it is cut off from, or at least stops renewing its lease. */
    private void stopByHolder(FakeWorker worker, Run run) {
        count("stop by a cut-off holder");
        unknownEnds.add(run.start.task());
        if (random.nextBoolean()) {
            run.leaseExpiresAt = Math.min(run.leaseExpiresAt, now() + SECOND * 7 / 2);
        } else {
            run.checkpoint();
            report(worker, run);
        }
    }

    private void finish(FakeWorker worker, Run run) {
        boolean fails =
                worker.faulty || badJobs.contains(run.start.task().job()) || (network.lossy && random.nextInt(20) == 0);
        run.state = fails ? TaskState.FAILED : TaskState.FINISHED;
        count(run.state.toString());
        report(worker, run);
    }

    /** Reports an attempt's state to the owner repeatedly until the worker is allowed to drop the attempt. */
    private void report(FakeWorker worker, Run run) {
        if (worker.runs.get(run.start.task()) == run) {
            if (worker.holder >= 0 && daemons.reachable(worker.holder, owner.daemon)) {
                PlacementEvent changed = new PlacementEvent.TaskReported(worker.worker.id(), run.status());
                network.send(() -> owner.apply(changed));
            }
            network.schedule(3 * SECOND, () -> report(worker, run));
        }
    }

    private void execute(Owner from, PlacementEffect effect) {
        switch (effect) {
            case PlacementEffect.Start start -> start(from, start);
            case PlacementEffect.Stop stop -> control(from, stop.worker(), stop.task(), stop, stop.attempt());
            case PlacementEffect.Checkpoint save -> control(from, save.worker(), save.task(), save, save.attempt());
            case PlacementEffect.Forget forget ->
                control(from, forget.worker(), forget.task(), forget, forget.attempt());
            case PlacementEffect.AppendEnd end -> network.schedule(random.nextLong(SECOND), () -> append(from, end));
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
        loggedEnds.merge(end.task(), end, (a, b) -> a.attempt().compareTo(b.attempt()) > 0 ? a : b);
        PlacementEvent logged = new PlacementEvent.EndsLogged(append.shard(), List.of(end));
        network.schedule(random.nextLong(SECOND), () -> from.apply(logged));
    }

    /** Sends a command to the assumed holder of a worker; a broken link drops it or delivers it up to 20 s late. */
    private void sendCommand(Owner from, WorkerId id, BiConsumer<FakeWorker, Lease> action) {
        Lease held = daemons.leases(from.daemon).get(id);
        if (held != null) {
            network.send(() -> {
                if (daemons.reachable(from.daemon, held.holder())) {
                    action.accept(daemons.worker(id), held);
                } else if (random.nextBoolean()) {
                    network.schedule(random.nextLong(20 * SECOND), () -> action.accept(daemons.worker(id), held));
                }
            });
        }
    }

    private void sendResponse(Owner from, Lease held, PlacementEvent response) {
        if (daemons.reachable(held.holder(), from.daemon)) {
            network.send(() -> from.apply(response));
        }
    }

    private void start(Owner from, PlacementEffect.Start start) {
        long sent = now();
        sendCommand(from, start.worker(), (worker, held) -> {
            StartResult result =
                    worker.holder == held.holder() ? begin(worker, start, held.sentAt()) : new StartResult.NotHolder();
            sendResponse(
                    from,
                    held,
                    new PlacementEvent.StartReported(start.worker(), start.task(), start.attempt(), sent, result));
        });
    }

    private StartResult begin(FakeWorker worker, PlacementEffect.Start start, long reportedAt) {
        Run existing = worker.findRun(start.task(), start.attempt());
        if (existing != null) {
            return new StartResult.Done(existing.status());
        }
        boolean expired = reportedAt - worker.heldSince < 0 || now() - reportedAt >= MAX_COMMAND_AGE;
        // A holder learns of a claim at the latest when its view of the log has to be renewed, after 2 s.
        boolean superseded = start.attempt().epoch() < epoch && now() - claimedAt >= 2 * SECOND;
        Run other = worker.runs.get(start.task());
        boolean newerPresent = other != null && other.start.attempt().compareTo(start.attempt()) > 0;
        boolean cutOff = now() - claimedAt >= 2 * SECOND && daemons.cutOff(worker.holder, owner.daemon);
        boolean refused = superseded
                || expired
                || cutOff
                || newerPresent
                || worker.refusedAttempts.contains(start.attempt())
                || worker.fenceEpochs.getOrDefault(start.shard(), 0L)
                        > start.attempt().epoch()
                || zonesOut.contains(worker.worker.zone())
                || !start.demand().fitsIn(worker.free());
        if (refused) {
            worker.refusedAttempts.add(start.attempt());
            return new StartResult.Refused("refused");
        }
        Run run = new Run(start, now() + start.runTime().toNanos());
        Run last = newestRuns.get(start.task());
        boolean known = !unknownEnds.contains(start.task());
        workers.forEach(candidate -> candidate.expireLeases(now()));
        Invariants.checkRun(workers, run, last, known, finished.get(start.task().job()));
        if (start.resumeFrom().isPresent()) {
            count("resume");
        }
        worker.runs.put(start.task(), run);
        newestRuns.put(start.task(), run);
        Invariants.checkQuota(workers, jobs, jobs.get(start.task().job()).team());
        count("start");
        report(worker, run);
        return new StartResult.Done(run.status());
    }

    private void control(Owner from, WorkerId id, TaskId task, PlacementEffect effect, Attempt attempt) {
        sendCommand(from, id, (worker, held) -> {
            if (worker.holder == held.holder()) {
                control(from, worker, held, worker.findRun(task, attempt), effect, task, attempt);
            }
        });
    }

    private void control(
            Owner from, FakeWorker worker, Lease held, Run run, PlacementEffect effect, TaskId task, Attempt attempt) {
        if (run == null) {
            if (effect instanceof PlacementEffect.Stop) {
                worker.refusedAttempts.add(attempt);
                StartResult refused = new StartResult.Refused("unknown attempt");
                WorkerId id = worker.worker.id();
                sendResponse(from, held, new PlacementEvent.StartReported(id, task, attempt, now(), refused));
            }
            return;
        }
        if (effect instanceof PlacementEffect.Forget) {
            // The holder refuses a delayed duplicate of a start whose attempt it was allowed to drop.
            worker.refusedAttempts.add(attempt);
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
