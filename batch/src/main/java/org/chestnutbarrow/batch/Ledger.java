package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;

/**
 * The jobs of a cell with what changed and what is to be ordered since the last plan. Guarded by the lock of its
 * {@link Cell}.
 */
final class Ledger {
    private final TimeSource time;
    private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();
    private final Set<JobEntry> dirty = new LinkedHashSet<>();
    private final Set<WorkerNode> processed = new LinkedHashSet<>();
    private final List<Order> orders = new ArrayList<>();
    private final Set<JobEntry> waiting = new LinkedHashSet<>();
    private Map<String, Queue> queues = Map.of();

    Ledger(TimeSource time) {
        this.time = time;
    }

    void configure(Map<String, Queue> inForce) {
        queues = Map.copyOf(inForce);
        jobs.values().forEach(job -> job.policy(policy(job.spec)));
    }

    /** The policy in force for a job; the one of its submission if its queue is gone. */
    private Queue policy(JobSpec spec) {
        return queues.getOrDefault(spec.queue().key(), spec.queue());
    }

    /** Adds a job that is not known yet. */
    JobEntry add(JobSpec spec) {
        JobEntry job = new JobEntry(spec, policy(spec), waiting);
        jobs.put(spec.id(), job);
        return job;
    }

    /** Jobs with a task that has neither finished nor been placed. */
    Collection<JobEntry> waiting() {
        return waiting;
    }

    /** The job, or null if there is none. */
    JobEntry job(JobId id) {
        return jobs.get(id);
    }

    /** The task, or null if there is none. */
    TaskEntry task(TaskName name) {
        JobEntry job = jobs.get(name.job());
        if (job == null || name.step() >= job.steps.size()) {
            return null;
        }
        List<TaskEntry> tasks = job.steps.get(name.step());
        return name.index() < tasks.size() ? tasks.get(name.index()) : null;
    }

    /** Marks a job whose progress must be stored. */
    void touch(JobEntry job) {
        dirty.add(job);
    }

    /** Marks a worker with ends that can be acknowledged once the changes are stored. */
    void processed(WorkerNode node) {
        processed.add(node);
    }

    void order(Order order) {
        orders.add(order);
    }

    void stop(TaskEntry task, String reason) {
        if (task.on != null && !task.stopping) {
            task.stopping = true;
            orders.add(new Order.Stop(task.name, task.run, task.on.id(), task.on.born(), reason));
        }
    }

    /** Takes a task off its worker. */
    void release(TaskEntry task) {
        task.release();
        touch(task.job);
    }

    /** A worker has confirmed or listed a run of the job. */
    void begun(JobEntry job) {
        if (job.state == JobState.QUEUED) {
            job.move(JobState.RUNNING, time.now());
            touch(job);
        }
    }

    /** A run of the task finished. */
    void finish(TaskEntry task) {
        if (task.on != null) {
            stop(task, "finished-elsewhere");
        }
        task.job.finish(task);
        touch(task.job);
        if (task.job.allDone() && !task.job.state.isFinal()) {
            task.job.move(JobState.COMPLETED, time.now());
        }
    }

    /** Ends a job and stops what runs of it. */
    void end(JobEntry job, JobState state, String reason) {
        job.move(state, time.now());
        touch(job);
        for (List<TaskEntry> tasks : job.steps) {
            for (TaskEntry task : tasks) {
                stop(task, reason);
            }
        }
    }

    /** Takes the progress that must be stored; jobs that have ended with all their runs are forgotten. */
    List<JobProgress> takeChanges() {
        List<JobProgress> changes = new ArrayList<>();
        for (JobEntry job : dirty) {
            changes.add(job.progress());
            if (job.over()) {
                jobs.remove(job.spec.id());
            }
        }
        dirty.clear();
        return changes;
    }

    /** Takes the orders that were given since the last call. */
    List<Order> takeOrders() {
        List<Order> taken = List.copyOf(orders);
        orders.clear();
        return taken;
    }

    /** Takes the workers with ends that were processed since the last call. */
    List<WorkerNode> takeProcessed() {
        List<WorkerNode> taken = List.copyOf(processed);
        processed.clear();
        return taken;
    }
}
