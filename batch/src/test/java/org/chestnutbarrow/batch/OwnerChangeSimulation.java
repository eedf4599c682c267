package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.ChaosOwner.Answer;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.testkit.ManualTime;

/**
 * Workers, jobs and a store over a series of owners, with faults of all of them at random moments and a calm time at the
 * end. Owners know until when leases last; how they know it is tested in the node. Not thread-safe.
 *
 * <p>Invariants that are checked at each start: no other live run of the task, no result that was taken note of, and all
 * dependencies finished.
 */
final class OwnerChangeSimulation implements ChaosOwner.Port {
    static final Duration TICK = Duration.ofMillis(100);
    private static final int WORKERS = 20;
    private static final long MAX_SILENCE_NS = Duration.ofMillis(800).toNanos();
    private static final long LEASE_MARGIN_NS = Duration.ofMillis(200).toNanos();
    private static final int FORMER_OWNER_TICKS = 8;

    final ManualTime time = new ManualTime();
    final List<String> violations = new ArrayList<>();
    private final Random random;
    final Map<WorkerIncarnation, ChaosWorker> current = new LinkedHashMap<>();
    final Map<JobId, JobSpec> specs = new LinkedHashMap<>();
    final Map<JobId, JobProgress> progress = new HashMap<>();
    final Set<JobId> cancelled = new HashSet<>();
    final Map<TaskName, Long> lastStarts = new HashMap<>();
    private final Map<JobId, Long> visibleAt = new HashMap<>();
    private final Map<WorkerIncarnation, Long> leases = new HashMap<>();
    final Set<TaskName> done = new HashSet<>();
    private final Set<TaskName> noted = new HashSet<>();
    private final Set<AvailabilityZone> evacuated = new HashSet<>();
    private final Map<ChaosOwner, Integer> formerOwners = new HashMap<>();
    private Estimates estimates = Estimates.NONE;
    /** Null while no node is the owner. */
    ChaosOwner owner;

    private long ownerDue;
    private long token;
    private int names;
    private boolean chaos = true;
    private final ChaosJobs jobs;

    OwnerChangeSimulation(long seed) {
        random = new Random(seed);
        jobs = new ChaosJobs(random, WORKERS * (long) ChaosWorker.CAPACITY.milliCores());
        for (int i = 0; i < WORKERS; i++) {
            addWorker("w" + i, 1);
        }
    }

    private void addWorker(String id, long incarnation) {
        ChaosWorker worker = new ChaosWorker(id, incarnation, Math.floorMod(id.hashCode(), 12));
        current.put(worker.key(), worker);
    }

    /** Ends all faults; silent workers answer, lost ones stay away. */
    void calm() {
        chaos = false;
        evacuated.clear();
        for (ChaosWorker worker : current.values()) {
            worker.draining = false;
            worker.listed = worker.up;
            worker.silentUntil = Long.MIN_VALUE;
            worker.failingUntil = Long.MIN_VALUE;
        }
    }

    void tick() {
        time.advance(TICK);
        if (chaos) {
            disturb();
        }
        current.values().stream().filter(worker -> worker.up).forEach(worker -> worker.advance(time.nanos()));
        collectDone();
        formerOwners.replaceAll((_, ticks) -> ticks - 1);
        formerOwners.values().removeIf(ticks -> ticks < 0);
        formerOwners.keySet().forEach(former -> {
            hold(former);
            former.deliver(upWorkers(), lossRate());
        });
        if (owner == null && time.nanos() >= ownerDue) {
            takeOver();
        }
        if (owner != null) {
            runOwner();
        }
    }

    private double lossRate() {
        return chaos ? 0.15 : 0;
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private List<ChaosWorker> upWorkers() {
        return current.values().stream().filter(worker -> worker.up).toList();
    }

    List<ChaosWorker> listedWorkers() {
        return current.values().stream().filter(worker -> worker.listed).toList();
    }

    private void collectDone() {
        for (ChaosWorker worker : current.values()) {
            worker.results.forEach(result -> done.add(result.task()));
        }
    }

    // Faults.

    private void disturb() {
        if (chance(0.12)) {
            submit();
        }
        if (chance(0.01) && !specs.isEmpty()) {
            cancel(pick(List.copyOf(specs.keySet())));
        }
        if (chance(0.02)) {
            evacuated.clear();
            if (chance(0.5)) {
                evacuated.add(new AvailabilityZone("zone-" + random.nextInt(3)));
            }
        }
        if (chance(0.25)) {
            disturb(pick(List.copyOf(current.values())));
        }
        if (owner != null && chance(0.025)) {
            endOwner();
        }
    }

    private <T> T pick(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private long later(int minMs, int maxMs) {
        return time.nanos() + Duration.ofMillis(random.nextInt(minMs, maxMs)).toNanos();
    }

    private void disturb(ChaosWorker worker) {
        switch (random.nextInt(8)) {
            case 0 -> worker.silentUntil = later(300, 6000);
            case 1, 2 -> worker.draining = !worker.draining;
            case 3 -> lose(worker);
            case 4 -> restart(worker);
            case 5 -> worker.listed = !worker.listed;
            case 6 -> worker.failingUntil = later(1000, 6000);
            default -> addWorker("n" + names++, 1);
        }
    }

    /** Ends a worker process; its entry stays in the list at first in half of the cases. */
    private void lose(ChaosWorker worker) {
        if (upWorkers().size() > WORKERS * 3 / 4) {
            end(worker);
            worker.listed = chance(0.5);
        }
    }

    private void end(ChaosWorker worker) {
        worker.up = false;
        worker.runs.clear();
        worker.results.clear();
    }

    private void restart(ChaosWorker worker) {
        if (worker.up) {
            end(worker);
            current.remove(worker.key());
            ChaosWorker next = new ChaosWorker(
                    worker.id.value(),
                    worker.incarnation + 1,
                    Math.floorMod(worker.id.value().hashCode(), 12));
            next.token = 0;
            current.put(next.key(), next);
        }
    }

    // Jobs.

    private void submit() {
        JobSpec spec = jobs.next(time.now());
        specs.put(spec.id(), spec);
        visibleAt.put(spec.id(), chance(0.7) ? time.nanos() : later(0, 1500));
    }

    private void cancel(JobId id) {
        cancelled.add(id);
        if (owner != null) {
            owner.scheduler.cancelJob(id);
        }
    }

    // Owners.

    private void endOwner() {
        if (chance(0.5)) {
            formerOwners.put(owner, FORMER_OWNER_TICKS);
        }
        owner = null;
        ownerDue = later(0, chance(0.1) ? 8000 : 1500);
    }

    private void takeOver() {
        owner = new ChaosOwner(++token, time, random, this);
        owner.scheduler.configure(Map.of(ChaosJobs.QUEUE.key(), ChaosJobs.QUEUE));
        owner.scheduler.setEvacuatedZones(evacuated);
        owner.scheduler.restore(chance(0.8) ? estimates : Estimates.NONE);
        updateWorkers();
        specs.values().forEach(this::addIfVisible);
        // The list may change between the first reading and the first contact.
        updateWorkers();
        // As the lease tracker of a node, also those to which a start was stored and never sent.
        owner.scheduler.unconfirmedIncarnations().forEach(key -> leases.putIfAbsent(key, time.nanos()));
        leases.keySet().forEach(key -> owner.lastAnswers.put(key, time.nanos()));
    }

    private void addIfVisible(JobSpec spec) {
        if (visibleAt.get(spec.id()) <= time.nanos()) {
            owner.scheduler.addJob(spec, Optional.ofNullable(progress.get(spec.id())), cancelled.contains(spec.id()));
        }
    }

    private void updateWorkers() {
        List<ChaosWorker> listed = listedWorkers();
        owner.scheduler.updateWorkers(
                listed.stream().map(ChaosWorker::registration).toList());
        owner.updateLinks(listed);
    }

    private void runOwner() {
        specs.values().stream()
                .filter(spec -> visibleAt.get(spec.id()) <= time.nanos()
                        && visibleAt.get(spec.id()) > time.nanos() - 10 * TICK.toNanos())
                .forEach(this::addIfVisible);
        if (!chaos || chance(0.3)) {
            owner.scheduler.setEvacuatedZones(evacuated);
            updateWorkers();
        }
        hold(owner);
        expireLeases();
        Plan plan = owner.scheduler.plan(maxStarts());
        boolean ends = chaos && chance(0.02);
        if (ends && chance(0.3)) {
            endOwner();
            return;
        }
        plan.changes().forEach(change -> progress.put(change.id(), change));
        if (chance(0.3)) {
            estimates = owner.scheduler.estimates();
        }
        plan.acknowledgements().forEach((key, sequence) -> owner.acknowledgements.merge(key, sequence, Math::max));
        int sent =
                ends ? random.nextInt(plan.orders().size() + 1) : plan.orders().size();
        plan.orders().subList(0, sent).forEach(owner::dispatch);
        owner.deliver(upWorkers(), lossRate());
        if (ends) {
            endOwner();
        } else if (owner.fenced) {
            owner = null;
        }
    }

    private int maxStarts() {
        if (!chaos || chance(0.8)) {
            return 512;
        }
        return chance(0.5) ? 0 : random.nextInt(4);
    }

    private void hold(ChaosOwner holder) {
        for (WorkerIncarnation key : holder.links()) {
            WorkerReport delayed = holder.delayedReports.remove(key);
            if (delayed != null) {
                answered(holder, key, delayed, time.nanos() - TICK.toNanos());
                continue;
            }
            ChaosWorker worker = current.values().stream()
                    .filter(candidate -> candidate.id.equals(key.worker()))
                    .findFirst()
                    .orElseThrow();
            if (!worker.answers(time.nanos())) {
                continue;
            }
            if (worker.incarnation != key.incarnation()) {
                holder.replaced.add(key);
                continue;
            }
            hold(holder, key, worker);
        }
    }

    private void hold(ChaosOwner holder, WorkerIncarnation key, ChaosWorker worker) {
        if (worker.token > holder.token) {
            holder.fenced = true;
            return;
        }
        worker.token = holder.token;
        leaseSent(key, worker, time.nanos() + ChaosOwner.LEASE.toNanos());
        worker.acknowledge(holder.acknowledgements.getOrDefault(key, 0L)).forEach(this::resultNoted);
        if (chaos && chance(0.05)) {
            return;
        }
        WorkerReport report = worker.report(time.nanos());
        if (chance(0.15)) {
            holder.delayedReports.put(key, report);
        } else {
            answered(holder, key, report, time.nanos());
        }
    }

    private void answered(ChaosOwner holder, WorkerIncarnation key, WorkerReport report, long sentAt) {
        holder.lastAnswers.put(key, time.nanos());
        holder.expired.remove(key);
        holder.scheduler.report(report, sentAt);
    }

    private void resultNoted(ChaosWorker.Result result) {
        noted.add(result.task());
        if (lastStarts.getOrDefault(result.task(), Long.MIN_VALUE) > result.at()) {
            violations.add("started after its result: " + result.task());
        }
    }

    private void expireLeases() {
        long now = time.nanos();
        for (WorkerIncarnation key : List.copyOf(leases.keySet())) {
            boolean silent = now - owner.lastAnswers.getOrDefault(key, now) > MAX_SILENCE_NS;
            if (silent && now > leases.get(key) + LEASE_MARGIN_NS && owner.expired.add(key)) {
                owner.scheduler.expireLeases(key);
                if (listedWorkers().stream().noneMatch(worker -> worker.key().equals(key))) {
                    owner.closeLink(key);
                }
            }
        }
    }

    // Calls.

    @Override
    public void leaseSent(WorkerIncarnation incarnation, ChaosWorker receiver, long leaseUntil) {
        receiver.leaseUntil = Math.max(receiver.leaseUntil, leaseUntil);
        leases.merge(receiver.key(), receiver.leaseUntil, Math::max);
        leases.merge(incarnation, leaseUntil, Math::max);
    }

    @Override
    public Answer send(ChaosWorker worker, Order order, long senderToken, long leaseUntil) {
        if (worker.token > senderToken) {
            return Answer.FENCED;
        }
        worker.token = senderToken;
        return switch (order) {
            case Order.Start start -> start(worker, start, leaseUntil);
            case Order.Stop stop -> {
                worker.stop(stop.task(), stop.run());
                yield Answer.DONE;
            }
            case Order.SetCpuLimit _ -> Answer.DONE;
        };
    }

    private Answer start(ChaosWorker worker, Order.Start order, long leaseUntil) {
        if (time.nanos() >= leaseUntil) {
            return Answer.LATE;
        }
        if (worker.isSettled(order.task(), order.run())) {
            return Answer.OLD_RUN;
        }
        Optional<ChaosWorker.Run> running = worker.run(order.task());
        if (running.isPresent()) {
            return running.get().run() == order.run() ? Answer.DONE : Answer.OLD_RUN;
        }
        Step step = specs.get(order.task().job()).steps().get(order.task().step());
        if (!worker.reserved().plus(step.reservation()).fitsIn(ChaosWorker.CAPACITY)) {
            return Answer.REJECTED;
        }
        checkStart(worker, order.task(), step);
        lastStarts.put(order.task(), time.nanos());
        boolean fails = time.nanos() < worker.failingUntil || (chaos && !step.longRunning() && chance(0.03));
        long length = step.estimate()
                .multipliedBy(50 + random.nextInt(100))
                .dividedBy(100)
                .toNanos();
        long endsAt = step.longRunning() && !fails ? Long.MAX_VALUE : time.nanos() + length;
        worker.start(new ChaosWorker.Run(order.task(), order.run(), step, time.nanos(), endsAt, fails));
        return Answer.DONE;
    }

    private void checkStart(ChaosWorker worker, TaskName task, Step step) {
        if (noted.contains(task)) {
            violations.add("started after a result that was taken note of: " + task);
        }
        for (ChaosWorker other : upWorkers()) {
            if (other != worker && other.run(task).isPresent()) {
                violations.add("runs twice: " + task + " on " + worker.key() + " and " + other.key());
            }
        }
        for (int dependency : step.dependencies()) {
            int count = specs.get(task.job()).steps().get(dependency).count();
            for (int index = 0; index < count; index++) {
                if (!done.contains(new TaskName(task.job(), dependency, index))) {
                    violations.add("started before its dependencies: " + task);
                }
            }
        }
    }

    boolean runs(TaskName task) {
        return upWorkers().stream().anyMatch(worker -> worker.run(task).isPresent());
    }
}
