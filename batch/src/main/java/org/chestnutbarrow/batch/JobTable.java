package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SequencedSet;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;

/**
 * The jobs of a scheduler, together with the changes to store and the orders to send since the last plan. Guarded by
 * the lock of its {@link BatchScheduler}.
 */
final class JobTable {
    /** A stop takes up to 0.9 s, so a run that is listed this long after its stop was ordered has not received it. */
    private static final Duration STOP_REPEAT_INTERVAL = Duration.ofMillis(1200);

    /** The ends of runs of jobs beyond this number are acknowledged later, see {@link EndNumbers#MAX_WITHHOLDING}. */
    private static final int MAX_TERMINATED_JOBS = 20_000;

    private final TimeSource time;
    private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();
    private final Set<JobEntry> changedJobs = new LinkedHashSet<>();
    private final Set<WorkerNode> processedWorkers = new LinkedHashSet<>();
    private final List<Order> orders = new ArrayList<>();
    private final List<Plan.SetAsideJob> setAsideJobs = new ArrayList<>();
    private final Set<JobEntry> waitingJobs = new LinkedHashSet<>();
    /** Long-running tasks that must run again, and possibly some that have been placed since. */
    private final SequencedSet<TaskEntry> restartedTasks = new LinkedHashSet<>();

    /** Tasks in back-off, and possibly some that have been placed since. */
    private final Set<TaskEntry> tasksInBackOff = new LinkedHashSet<>();

    /** Jobs that have ended and have no runs left, the latest last. */
    private final SequencedSet<JobId> terminatedJobs = new LinkedHashSet<>();

    private final AccountUsage accountUsage = new AccountUsage();
    private Map<String, Queue> queues = Map.of();

    JobTable(TimeSource time) {
        this.time = time;
    }

    void configure(Map<String, Queue> newQueues) {
        queues = Map.copyOf(newQueues);
        jobs.values().forEach(job -> job.setPolicy(policy(job.spec)));
    }

    AccountUsage accountUsage() {
        return accountUsage;
    }

    /** Returns the policy in force for a job, which is the one at submission if its queue no longer exists. */
    private Queue policy(JobSpec spec) {
        return queues.getOrDefault(spec.queue().key(), spec.queue());
    }

    /** Adds a job that is not known yet. */
    JobEntry add(JobSpec spec) {
        JobEntry job = new JobEntry(spec, policy(spec), waitingJobs, accountUsage);
        job.markReadySteps(time);
        jobs.put(spec.id(), job);
        return job;
    }

    /** Returns the jobs with a task that has neither finished nor been placed. */
    Collection<JobEntry> waitingJobs() {
        return waitingJobs;
    }

    /** Returns all jobs that have not ended or have runs left. */
    Collection<JobEntry> jobs() {
        return jobs.values();
    }

    /** Returns the job, or null if it is unknown. */
    JobEntry job(JobId id) {
        return jobs.get(id);
    }

    /** Returns the task, or null if it is unknown. */
    TaskEntry task(TaskName name) {
        JobEntry job = jobs.get(name.job());
        if (job == null || name.step() >= job.tasksByStep.size()) {
            return null;
        }
        List<TaskEntry> tasks = job.tasksByStep.get(name.step());
        return name.index() < tasks.size() ? tasks.get(name.index()) : null;
    }

    /** Records that a job has ended and has no runs left, so that the ends of its runs have no further effect. */
    void markTerminated(JobId id) {
        terminatedJobs.addLast(id);
        if (terminatedJobs.size() > MAX_TERMINATED_JOBS) {
            terminatedJobs.removeFirst();
        }
    }

    /** Returns whether a job is known to have ended without any run left. */
    boolean isTerminated(JobId id) {
        return terminatedJobs.contains(id);
    }

    /** Marks a job whose progress must be stored. */
    void markChanged(JobEntry job) {
        changedJobs.add(job);
    }

    /** Marks a worker whose listed ends can be acknowledged once the changes are stored. */
    void markProcessed(WorkerNode node) {
        processedWorkers.add(node);
    }

    void addOrder(Order order) {
        orders.add(order);
    }

    /** Orders a stop of an assigned run, and orders it again once the last stop must have taken effect. */
    void stop(TaskEntry task, String reason) {
        long now = time.nanos();
        if (task.assignedNode == null) {
            return;
        }
        if (!task.stopOrdered || now - task.stopOrderedAt >= STOP_REPEAT_INTERVAL.toNanos()) {
            task.setStopOrdered(true);
            task.stopOrderedAt = now;
            orders.add(new Order.Stop(
                    task.name, task.run, task.assignedNode.id(), task.assignedNode.incarnation(), reason));
        }
    }

    /** Releases a task from its worker. */
    void release(TaskEntry task) {
        WorkerNode node = task.assignedNode;
        task.endedInTouch = node != null && node.listed() && !node.isUnresponsive(time.nanos());
        task.release();
        task.waitStart = WaitStart.now(time);
        markChanged(task.job);
        markRestarted(task);
    }

    /** Records that a task without a worker has run before. */
    void markRestarted(TaskEntry task) {
        if (task.step.longRunning() && task.run > 0) {
            restartedTasks.addLast(task);
        }
    }

    /** Keeps a waiting task from being placed for a time that grows with its failed starts. */
    void backOff(TaskEntry task) {
        task.beginBackOff(time.nanos());
        if (task.isInBackOff()) {
            restartedTasks.remove(task);
            tasksInBackOff.add(task);
        }
    }

    /** Lets the tasks be placed again whose back-off has ended. */
    void endBackOffs(long now) {
        tasksInBackOff.removeIf(task -> {
            boolean wasInBackOff = task.isInBackOff();
            task.endBackOff(now);
            if (wasInBackOff && !task.isInBackOff()) {
                markRestarted(task);
            }
            return !task.isInBackOff();
        });
    }

    /**
     * Returns the long-running tasks of ready steps that have run before and wait for a worker, those that have waited
     * longest first, also under earlier owners.
     */
    List<TaskEntry> restartedTasks() {
        restartedTasks.removeIf(task -> task.done || task.assignedNode != null || !task.job.isPlaceable());
        long now = time.nanos();
        return restartedTasks.stream()
                .filter(task -> task.job.isReady(task.name.step()))
                .sorted(Comparator.comparing((TaskEntry task) -> task.job.waited(task, now))
                        .reversed())
                .toList();
    }

    /** Marks a job as running because a worker has confirmed or listed one of its runs. */
    void markRunning(JobEntry job) {
        if (job.state == JobState.QUEUED) {
            job.setState(JobState.RUNNING, time.now());
            markChanged(job);
        }
    }

    /** Marks a task as finished and completes its job if it was the last one. */
    void finishTask(TaskEntry task) {
        if (task.assignedNode != null) {
            stop(task, "finished-elsewhere");
        }
        task.job.taskFinished(task);
        task.job.markReadySteps(time);
        markChanged(task.job);
        if (task.job.allTasksFinished() && !task.job.state.isFinal()) {
            task.job.setState(JobState.COMPLETED, time.now());
        }
    }

    /** Ends a job and stops its runs. */
    void endJob(JobEntry job, JobState state, String reason) {
        job.setState(state, time.now());
        markChanged(job);
        for (List<TaskEntry> tasks : job.tasksByStep) {
            for (TaskEntry task : tasks) {
                stop(task, reason);
            }
        }
    }

    /** Returns and clears the progress to store, and forgets jobs that have ended and have no runs left. */
    List<JobProgress> takeChanges() {
        List<JobProgress> changes = new ArrayList<>();
        for (JobEntry job : changedJobs) {
            // The stored progress may name runs that were not restored, which a later owner must not start again.
            if (job.hasUnknownRuns()) {
                continue;
            }
            changes.add(job.progress());
            if (job.isTerminated()) {
                jobs.remove(job.spec.id());
                markTerminated(job.spec.id());
            }
        }
        changedJobs.clear();
        return changes;
    }

    /** Excludes a job of which only part of the stored progress was restored because of an unexpected error. */
    void setAsidePartlyRestored(JobEntry job, RuntimeException cause) {
        job.setAsidePartlyRestored();
        job.markReadySteps(time);
        setAsideJobs.add(new Plan.SetAsideJob(job.spec.id(), cause));
    }

    /** Excludes a job whose tasks cannot be placed because of an unexpected error. */
    void setAside(JobEntry job, RuntimeException cause) {
        job.setAside();
        setAsideJobs.add(new Plan.SetAsideJob(job.spec.id(), cause));
    }

    /** Returns and clears the jobs set aside since the last call. */
    List<Plan.SetAsideJob> takeSetAside() {
        List<Plan.SetAsideJob> result = List.copyOf(setAsideJobs);
        setAsideJobs.clear();
        return result;
    }

    /** Returns and clears the orders added since the last call. */
    List<Order> takeOrders() {
        List<Order> result = List.copyOf(orders);
        orders.clear();
        return result;
    }

    /** Returns and clears the workers with ends that were processed since the last call. */
    List<WorkerNode> takeProcessed() {
        List<WorkerNode> result = List.copyOf(processedWorkers);
        processedWorkers.clear();
        return result;
    }
}
