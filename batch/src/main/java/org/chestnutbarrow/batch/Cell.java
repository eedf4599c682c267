package org.chestnutbarrow.batch;

import java.util.Collection;
import java.util.HashMap;
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
    private final TimeSource time;
    private final Ledger ledger;
    private final Fleet fleet = new Fleet();
    private final Disturbance disturbance = new Disturbance();
    private final Reports reports;
    private final Sharing sharing;
    private final Placement placement;
    private final Chooser chooser;

    /** Creates a cell without jobs and workers. */
    public Cell(TimeSource time) {
        this.time = time;
        ledger = new Ledger(time);
        reports = new Reports(ledger);
        sharing = new Sharing(ledger, disturbance);
        chooser = new Chooser(disturbance, fleet.index());
        placement = new Placement(ledger, chooser, time);
    }

    /** Replaces the queues in force, by their keys. */
    public synchronized void configure(Map<String, Queue> inForce) {
        ledger.configure(inForce);
    }

    /** Replaces the zones that are out of service. */
    public synchronized void zonesOut(Set<AvailabilityZone> zones) {
        fleet.zonesOut(zones);
    }

    /** Goes on from what an earlier owner learned about disturbance. */
    public synchronized void restore(List<Sensitivity> learned) {
        disturbance.restore(learned);
    }

    /** What was learned about disturbance so far. */
    public synchronized List<Sensitivity> learned() {
        return disturbance.learned();
    }

    /** Adds a job; {@code stored} is its progress if an earlier owner has left some. Repeats have no effect. */
    public synchronized void addJob(JobSpec spec, Optional<JobProgress> stored) {
        if (ledger.job(spec.id()) != null) {
            return;
        }
        if (stored.isPresent()
                && stored.get().state().isFinal()
                && stored.get().steps().isEmpty()) {
            return;
        }
        JobEntry job = ledger.add(spec);
        stored.ifPresent(progress -> restore(job, progress));
    }

    private void restore(JobEntry job, JobProgress progress) {
        job.move(progress.state(), progress.changed());
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
        JobEntry job = ledger.job(id);
        if (job != null && !job.state.isFinal()) {
            ledger.end(job, JobState.CANCELLED, "cancelled");
        }
    }

    /** Takes the current list of workers; a worker that is missing gets nothing new. */
    public synchronized void updateWorkers(Collection<WorkerEntry> entries) {
        fleet.update(entries, time.nanos()).forEach(ledger::touch);
    }

    /** All runs of this life are over, because its leases have expired. */
    public synchronized void expired(TaskRecord.Location life) {
        fleet.expired(life).forEach(ledger::touch);
    }

    /** Lives that may run something for an earlier owner, because they have not answered since. */
    public synchronized Set<TaskRecord.Location> inherited() {
        return fleet.inherited();
    }

    /** Takes a worker's answer; {@code sentAt} is the time before the call was sent, ns. */
    public synchronized void report(WorkerReport report, long sentAt) {
        WorkerNode node = fleet.find(report.worker());
        if (node == null || node.born() != report.born()) {
            return;
        }
        long now = time.nanos();
        reports.take(node, report, sentAt, now);
        disturbance.observe(node, now);
        sharing.adjust(node, now, task -> chooser.fitsElsewhere(task, now));
    }

    /** Whether the run of an order is charged to the life that receives the order. */
    public synchronized boolean charged(Order order) {
        TaskEntry task = ledger.task(order.task());
        return task != null && task.run == order.run() && task.on != null && task.on.receives(order);
    }

    /** Whether a start or a pace is still wanted: nothing stops the run, and the worker of a start gets new tasks. */
    public synchronized boolean wanted(Order order) {
        if (!charged(order)) {
            return false;
        }
        TaskEntry task = ledger.task(order.task());
        boolean goesOn = !task.stopping && !task.done && !task.job.state.isFinal();
        return goesOn && (!(order instanceof Order.Start) || task.on.offered());
    }

    /** The worker has confirmed the start of a run. */
    public synchronized void started(TaskName name, int run) {
        TaskEntry task = ledger.task(name);
        if (task != null && task.run == run && task.on != null) {
            task.seen = true;
            ledger.begun(task.job);
            task.settledAt = Math.max(1, time.nanos());
            task.progressedAt = time.nanos();
        }
    }

    /** The worker has certainly not started the run and never will; {@code unhealthy} if it says so of itself. */
    public synchronized void refused(TaskName name, int run, boolean unhealthy) {
        TaskEntry task = ledger.task(name);
        if (task != null && task.run == run && task.on != null && !task.seen) {
            if (unhealthy) {
                task.on.failed(time.nanos(), name.job());
            }
            ledger.release(task);
        }
    }

    /**
     * No order for the run can take effect any more; whether it runs or has ended is settled by a later report of the
     * worker.
     */
    public synchronized void abandoned(TaskName name, int run) {
        TaskEntry task = ledger.task(name);
        if (task != null && task.run == run && task.on != null && task.settledAt == 0) {
            task.settledAt = Math.max(1, time.nanos());
        }
    }

    /** As {@link #plan(boolean)} with starts. */
    public Plan plan() {
        return plan(true);
    }

    /** Says what to store and to order; places what can be placed if {@code starts} holds. */
    public synchronized Plan plan(boolean starts) {
        if (starts) {
            long now = time.nanos();
            fleet.index().endAvoidance(now);
            placement.place(now);
        }
        List<JobProgress> changes = ledger.takeChanges();
        Map<WorkerId, Long> acknowledge = new HashMap<>();
        for (WorkerNode node : ledger.takeProcessed()) {
            if (fleet.find(node.id()) == node) {
                acknowledge.put(node.id(), node.processed);
            }
        }
        return new Plan(changes, ledger.takeOrders(), acknowledge);
    }

    /** Workers that decisions have looked at so far, a measure of their cost. */
    synchronized long examined() {
        return chooser.examined();
    }
}
