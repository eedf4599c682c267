package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Places the tasks of the jobs of one owner on its workers. Events come in by the methods; {@link #plan} says what to
 * store and to order. Safe for use by several threads; all state is guarded by the monitor of this object, which is held
 * for a decision only and never while waiting.
 *
 * <p>Invariants: a run is ordered only after it was stored with its worker; a task has at most one run that is not known
 * to have ended; a worker is charged for a run from before its order until its end is listed or its lease has expired; a
 * finished task is never started.
 */
public final class Cell {
    /** A run whose progress stands still for this time is stopped; reports come at least every 600 ms. */
    private static final Duration STUCK = Duration.ofMillis(1800);
    /** A lasting task has this time from its start until it is at work. */
    private static final Duration WARM_UP = Duration.ofSeconds(4);

    /** A stop takes up to 0.9 s; a run that is not listed this long after its last order is over. */
    private static final Duration SETTLE = Duration.ofMillis(1200);

    private static final int FULL = 100;
    /** Filling tasks that would be slowed to this share are moved, if they can resume. */
    private static final int EVICTED_PERCENT = 20;
    /** Filling tasks whose image has less than this part of the highest weight on the worker are not slowed down. */
    private static final double PACED_PART = 0.4;
    /** A worker lists at most this many ends at a time. */
    private static final int FULL_LIST = 500;

    private final TimeSource time;
    private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();
    private final Fleet fleet = new Fleet();
    private final Disturbance disturbance = new Disturbance();
    private final Chooser chooser = new Chooser(disturbance);
    private final Set<JobEntry> dirty = new LinkedHashSet<>();
    private final List<Order> orders = new ArrayList<>();
    private Map<String, Queue> queues = Map.of();
    private Set<AvailabilityZone> out = Set.of();

    /** Creates a cell without jobs and workers. */
    public Cell(TimeSource time) {
        this.time = time;
    }

    /** Replaces the queues in force, by their keys. */
    public synchronized void configure(Map<String, Queue> inForce) {
        queues = Map.copyOf(inForce);
    }

    /** Replaces the zones that are out of service. */
    public synchronized void zonesOut(Set<AvailabilityZone> zones) {
        out = Set.copyOf(zones);
    }

    /** Adds a job; {@code stored} is its progress if an earlier owner has left some. Repeats have no effect. */
    public synchronized void addJob(JobSpec spec, Optional<JobProgress> stored) {
        if (jobs.containsKey(spec.id())) {
            return;
        }
        if (stored.isPresent()
                && stored.get().state().isFinal()
                && stored.get().steps().isEmpty()) {
            return;
        }
        JobEntry job = new JobEntry(spec);
        jobs.put(spec.id(), job);
        stored.ifPresent(progress -> restore(job, progress));
    }

    private void restore(JobEntry job, JobProgress progress) {
        job.state = progress.state();
        job.changed = progress.changed();
        for (int s = 0; s < Math.min(progress.steps().size(), job.steps.size()); s++) {
            List<TaskRecord> records = progress.steps().get(s);
            for (int i = 0; i < Math.min(records.size(), job.steps.get(s).size()); i++) {
                restore(job, job.steps.get(s).get(i), records.get(i));
            }
        }
    }

    private void restore(JobEntry job, TaskEntry task, TaskRecord stored) {
        task.run = stored.run();
        task.failures = stored.failures();
        task.checkpoint = stored.checkpoint();
        if (stored.done()) {
            job.finish(task);
        }
        stored.at().ifPresent(at -> {
            fleet.nodeOf(at).add(task);
            task.inherited = true;
            task.progressedAt = time.nanos();
        });
    }

    /** Cancels a job; unknown and finished jobs are left as they are. */
    public synchronized void cancelJob(JobId id) {
        JobEntry job = jobs.get(id);
        if (job == null || job.state.isFinal()) {
            return;
        }
        end(job, JobState.CANCELLED, "cancelled");
    }

    /** Takes the current list of workers; a worker that is missing gets nothing new. */
    public synchronized void updateWorkers(Collection<WorkerEntry> entries) {
        fleet.update(entries, time.nanos()).forEach(this::touch);
    }

    /** All runs of this life are over, because its leases have expired. */
    public synchronized void expired(TaskRecord.Location life) {
        fleet.expired(life).forEach(this::touch);
    }

    /** Lives that may run something and were not listed when the jobs were added. */
    public synchronized List<TaskRecord.Location> unlisted() {
        return fleet.unlisted();
    }

    /** Takes a worker's answer; {@code sentAt} is the time before the call was sent, ns. */
    public synchronized void report(WorkerReport report, long sentAt) {
        WorkerNode node = fleet.find(report.worker());
        if (node == null || node.born() != report.born()) {
            return;
        }
        long now = time.nanos();
        node.heardAt = now;
        for (WorkerReport.Ended end : report.ended()) {
            if (end.number() > node.processed) {
                ended(node, end, now);
                node.processed = end.number();
            }
        }
        Set<TaskEntry> listed = new HashSet<>();
        double worst = 0;
        for (WorkerReport.Running run : report.running()) {
            TaskEntry task = running(node, run, now);
            if (task != null) {
                listed.add(task);
                int target = task.step.service().targetMs();
                if (target > 0) {
                    worst = Math.max(worst, task.tailRatio());
                }
            }
        }
        if (!node.held) {
            settleInherited(node, listed);
            node.held = true;
        }
        if (report.ended().size() < FULL_LIST) {
            settleMissing(node, listed, sentAt);
        }
        pace(node, now, worst);
    }

    /** The first answer under this owner's token is complete: what it does not list never started or was settled. */
    private void settleInherited(WorkerNode node, Set<TaskEntry> listed) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            if (task.inherited && !listed.contains(task)) {
                task.release();
                touch(task.job);
            }
            task.inherited = false;
        }
    }

    private TaskEntry running(WorkerNode node, WorkerReport.Running run, long now) {
        TaskEntry task = find(run.task());
        if (task == null || task.on != node || task.run != run.run()) {
            if (task != null && !task.done && task.on == null && task.run == run.run()) {
                // A run that was given up and lives after all takes its place again.
                node.add(task);
                touch(task.job);
            } else {
                orders.add(new Order.Stop(run.task(), run.run(), node.id(), node.born(), "unknown-run"));
                return null;
            }
        }
        if (!task.seen || run.percent() != task.percent || task.pace < 100) {
            task.progressedAt = now;
        }
        task.seen = true;
        task.percent = run.percent();
        task.load = run.load();
        if (task.job.state.isFinal()) {
            stop(task, "job-ended");
        } else if (!task.stopping && stuck(task, now)) {
            node.health.failed(now, task.name.job());
            stop(task, "stuck");
        }
        return task;
    }

    private static boolean stuck(TaskEntry task, long now) {
        long still = now - task.progressedAt;
        if (task.step.lasting()) {
            return task.percent < 100 && still > WARM_UP.toNanos();
        }
        return task.percent < 100 && still > STUCK.toNanos();
    }

    private void ended(WorkerNode node, WorkerReport.Ended end, long now) {
        TaskEntry task = find(end.task());
        if (task == null || task.run != end.run() || (task.on != null && task.on != node)) {
            if (task != null && end.how() == WorkerReport.EndKind.DONE && !task.done) {
                finished(task);
            }
            return;
        }
        if (task.done) {
            return;
        }
        boolean stuckStop = task.stopping;
        task.release();
        touch(task.job);
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
        }
        if (end.how() == WorkerReport.EndKind.DONE) {
            node.health.finished(now);
            if (!task.step.lasting()) {
                finished(task);
            }
        } else if (end.how() == WorkerReport.EndKind.FAILED) {
            failed(node, task, stuckStop, now);
        }
    }

    private void failed(WorkerNode node, TaskEntry task, boolean ownStop, long now) {
        task.failures++;
        if (!ownStop) {
            node.health.failed(now, task.name.job());
        }
        int most = queue(task.job).maxAttempts();
        if (!task.step.lasting() && task.failures >= most && !task.job.state.isFinal()) {
            end(task.job, JobState.FAILED, "attempts");
        }
    }

    private void finished(TaskEntry task) {
        if (task.on != null) {
            stop(task, "finished-elsewhere");
        }
        task.job.finish(task);
        touch(task.job);
        if (task.job.allDone() && !task.job.state.isFinal()) {
            task.job.move(JobState.COMPLETED, time.now());
        }
    }

    private void end(JobEntry job, JobState state, String reason) {
        job.move(state, time.now());
        touch(job);
        for (List<TaskEntry> tasks : job.steps) {
            for (TaskEntry task : tasks) {
                stop(task, reason);
            }
        }
    }

    private void stop(TaskEntry task, String reason) {
        if (task.on != null && !task.stopping) {
            task.stopping = true;
            orders.add(new Order.Stop(task.name, task.run, task.on.id(), task.on.born(), reason));
        }
    }

    private void pace(WorkerNode node, long now, double worst) {
        if (node.serving() > 0) {
            disturbance.observe(node);
        }
        node.pacing.observe(now, worst);
        double share = node.pacing.percent() < FULL ? disturbance.highest(node) * PACED_PART : 0;
        for (TaskEntry task : node.tasks) {
            boolean heavy = disturbance.weight(node, task) >= share;
            int percent = heavy ? node.pacing.percent() : FULL;
            if (percent <= EVICTED_PERCENT
                    && task.step.service().fills()
                    && task.step.service().checkpoints()) {
                stop(task, "disturbs-serving");
            } else if (task.step.service().fills() && task.seen && task.pace != percent) {
                task.pace = percent;
                orders.add(new Order.Pace(task.name, task.run, node.id(), node.born(), percent));
            }
        }
    }

    /** The worker has confirmed the start of a run. */
    public synchronized void started(TaskName name, int run) {
        TaskEntry task = find(name);
        if (task != null && task.run == run && task.on != null) {
            task.seen = true;
            task.settledAt = Math.max(1, time.nanos());
            task.progressedAt = time.nanos();
        }
    }

    /** The worker has certainly not started the run and never will; {@code unhealthy} if it says so of itself. */
    public synchronized void refused(TaskName name, int run, boolean unhealthy) {
        TaskEntry task = find(name);
        if (task != null && task.run == run && task.on != null && !task.seen) {
            if (unhealthy) {
                task.on.health.failed(time.nanos(), name.job());
            }
            task.release();
            touch(task.job);
        }
    }

    /**
     * No order for the run can take effect any more; whether it runs or has ended is settled by a later report of the
     * worker.
     */
    public synchronized void abandoned(TaskName name, int run) {
        TaskEntry task = find(name);
        if (task != null && task.run == run && task.on != null && task.settledAt == 0) {
            task.settledAt = Math.max(1, time.nanos());
        }
    }

    /** Frees runs that the worker does not list although no order for them is on its way. */
    private void settleMissing(WorkerNode node, Set<TaskEntry> listed, long sentAt) {
        for (TaskEntry task : List.copyOf(node.tasks)) {
            if (!listed.contains(task) && task.settledAt != 0 && sentAt - task.settledAt > SETTLE.toNanos()) {
                task.release();
                touch(task.job);
            }
        }
    }

    /** Places what can be placed and says what to store and to order. */
    public synchronized Plan plan() {
        long now = time.nanos();
        place(now);
        List<JobProgress> changes = new ArrayList<>();
        for (JobEntry job : dirty) {
            changes.add(job.progress());
            if (job.state.isFinal() && changes.getLast().steps().isEmpty()) {
                jobs.remove(job.spec.id());
            }
        }
        dirty.clear();
        Map<WorkerId, Long> acknowledge = new HashMap<>();
        for (WorkerNode node : fleet.all()) {
            if (node.processed > node.acknowledged) {
                node.acknowledged = node.processed;
                acknowledge.put(node.id(), node.processed);
            }
        }
        Plan plan = new Plan(changes, orders, acknowledge);
        orders.clear();
        return plan;
    }

    private void place(long now) {
        List<JobEntry> waiting = new ArrayList<>();
        for (JobEntry job : jobs.values()) {
            if (!job.state.isFinal()) {
                waiting.add(job);
            }
        }
        Instant at = time.now();
        for (JobEntry job : waiting) {
            job.due = job.spec.due(queue(job));
            job.late = job.due.isBefore(at);
        }
        waiting.sort(Comparator.<JobEntry>comparingInt(job -> queue(job).priority())
                .thenComparing(job -> job.late)
                .thenComparing(job -> job.due));
        for (JobEntry job : waiting) {
            for (int s = 0; s < job.steps.size(); s++) {
                if (job.ready(s)) {
                    placeStep(job, job.steps.get(s), now);
                }
            }
        }
    }

    private void placeStep(JobEntry job, List<TaskEntry> tasks, long now) {
        String service = queue(job).service();
        for (TaskEntry task : tasks) {
            if (!task.waiting()) {
                continue;
            }
            WorkerNode node = chooser.choose(task, service, fleet.all(), out, now);
            if (node == null) {
                return;
            }
            task.run++;
            task.pace = 100;
            task.progressedAt = now;
            node.add(task);
            if (job.state == JobState.QUEUED) {
                job.move(JobState.RUNNING, time.now());
            }
            touch(job);
            String checkpoint = task.step.service().checkpoints() ? task.checkpoint : "";
            orders.add(new Order.Start(task.name, task.run, node.id(), node.born(), job.spec.payload(), checkpoint));
        }
    }

    private Queue queue(JobEntry job) {
        return queues.getOrDefault(job.spec.queue().key(), job.spec.queue());
    }

    private void touch(JobEntry job) {
        job.dirty = true;
        dirty.add(job);
    }

    private TaskEntry find(TaskName name) {
        JobEntry job = jobs.get(name.job());
        if (job == null || name.step() >= job.steps.size()) {
            return null;
        }
        List<TaskEntry> tasks = job.steps.get(name.step());
        return name.index() < tasks.size() ? tasks.get(name.index()) : null;
    }
}
