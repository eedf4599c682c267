package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.chestnutbarrow.model.TimeSource;

/** Assigns waiting tasks to workers, most urgent jobs first. Guarded by the lock of its {@link BatchScheduler}. */
final class TaskPlacer {
    private static final int FULL_SPEED_PERCENT = 100;
    /**
     * Delay in the job order for each unfinished task, so that under overload small jobs are completed first instead of
     * all jobs being started.
     */
    private static final Duration UNFINISHED_TASK_DELAY = Duration.ofMillis(400);

    /**
     * A long-running task that failed this often before it was ready is placed in the order of jobs, since it would
     * otherwise take starts and room from all others again and again.
     */
    private static final int MAX_FAILED_STARTS = 3;

    /**
     * Time after a placement at full speed within which tasks with equal requirements come last among the slow starts,
     * because the next of them may be placed at full speed too.
     */
    private static final Duration RECENT_PLACEMENT = Duration.ofMillis(500);

    private final JobTable jobTable;
    private final WorkerSelector workerSelector;
    private final RoomClaims roomClaims;
    private final StarvedJobs starvedJobs;
    private final SlowStarts slowStarts;
    private final WideTasks wideTasks;
    private final AccountUsage accountUsage;
    private final WorkerIndex index;
    private final TimeSource time;
    /** Services in which first runs of long-running tasks wait, because a lost task awaits a claim. */
    private final Set<String> servicesWithLostTasks = new HashSet<>();
    /** Services in which the current plan has started tasks that take the room of wide ones. */
    private final Set<String> servicesWithNarrowStarts = new HashSet<>();
    /** Number of tasks that the current plan may still start. */
    private int startsLeft;

    /** A job with a task that may be placeable, and its rank in the job order in ms since the epoch. */
    private record Candidate(JobEntry job, int priority, boolean overdue, long rankMs)
            implements Comparable<Candidate> {
        @Override
        public int compareTo(Candidate other) {
            if (priority != other.priority) {
                return Integer.compare(priority, other.priority);
            }
            return overdue == other.overdue
                    ? Long.compare(rankMs, other.rankMs)
                    : Boolean.compare(overdue, other.overdue);
        }
    }

    TaskPlacer(
            JobTable jobTable,
            WorkerSelector workerSelector,
            RoomClaims roomClaims,
            WorkerIndex index,
            TimeSource time) {
        this.jobTable = jobTable;
        this.workerSelector = workerSelector;
        this.roomClaims = roomClaims;
        this.index = index;
        this.starvedJobs = new StarvedJobs(jobTable, index);
        this.slowStarts = new SlowStarts(workerSelector, index);
        this.wideTasks = new WideTasks(jobTable, index, time);
        this.accountUsage = jobTable.accountUsage();
        this.time = time;
    }

    /**
     * Assigns the tasks that can be placed, at most {@code maxStarts}, and adds the orders that start them. A job that
     * causes an unexpected error is set aside, so that it does not keep the tasks of all other jobs from being placed.
     */
    void place(long now, int maxStarts) {
        startsLeft = maxStarts;
        servicesWithNarrowStarts.clear();
        slowStarts.beginPlan(now);
        jobTable.endBackOffs(now);
        placeRestarted(now);
        int starvedShare = placeStarved(now, StarvedJobs.startShare(maxStarts));
        List<StarvedJobs.OverdueStep> overdueSteps = starvedJobs.overdueBestEffortSteps(now);
        // Slow starts come after the other tasks, which take the room at full speed first, but keep their starts.
        int slowShare = overdueSteps.isEmpty() ? 0 : Math.min(startsLeft, starvedShare);
        startsLeft -= slowShare;
        List<Candidate> candidates = candidates(now);
        if (accountUsage.hasAccounts()) {
            placeWithinShares(candidates, now);
        }
        place(candidates, accountUsage::permitsStart, now);
        boolean startsUsedUp = startsLeft == 0;
        startsLeft += slowShare;
        placeSlowly(overdueSteps, slowShare, now);
        if (startsUsedUp && startsLeft > 0) {
            place(candidates, accountUsage::permitsStart, now);
        }
        claimForWideTasks(now);
    }

    /** Keeps later room for the wide tasks that this plan could not place beside the narrower ones that it has placed. */
    private void claimForWideTasks(long now) {
        for (TaskEntry task : wideTasks.waiting(servicesWithNarrowStarts, now)) {
            try {
                if (accountUsage.permitsStart(task)) {
                    roomClaims.claimForWideTask(task, now);
                }
            } catch (RuntimeException e) {
                jobTable.setAside(task.job, e);
            }
        }
    }

    /**
     * Places the tasks that leave their accounts within their shares before all others, so that a burst of one account
     * takes only room that the others leave.
     */
    private void placeWithinShares(List<Candidate> candidates, long now) {
        Set<String> accounts = new HashSet<>();
        candidates.forEach(candidate -> accounts.add(candidate.job().spec.account()));
        AccountUsage.FairShares shares = accountUsage.shares(accounts, index.capacity());
        place(
                candidates,
                task -> accountUsage.permitsStart(task)
                        && shares.covers(task, accountUsage.usage(task.job.spec.account())),
                now);
    }

    private void place(List<Candidate> candidates, Predicate<TaskEntry> mayStart, long now) {
        for (Candidate candidate : candidates) {
            if (startsLeft == 0) {
                return;
            }
            try {
                place(candidate.job(), mayStart, now);
            } catch (RuntimeException e) {
                jobTable.setAside(candidate.job(), e);
            }
        }
    }

    /**
     * Places the long-running tasks that must run again and come first, or claims room for them, and the other tasks for
     * which room is kept, before any task of a more urgent job. The others come in the order of the jobs. First runs of
     * long-running tasks wait for those that were lost with their worker, which would otherwise find less room.
     */
    private void placeRestarted(long now) {
        roomClaims.review(now);
        servicesWithLostTasks.clear();
        Set<TaskEntry> tasks = new LinkedHashSet<>(jobTable.restartedTasks());
        tasks.addAll(roomClaims.waitingClaimants());
        for (TaskEntry task : tasks) {
            if (startsLeft == 0) {
                return;
            }
            try {
                placeRestarted(task, now);
            } catch (RuntimeException e) {
                jobTable.setAside(task.job, e);
            }
        }
    }

    private void placeRestarted(TaskEntry task, long now) {
        if (!task.job.isReady(task.name.step())
                || task.failedStarts >= MAX_FAILED_STARTS
                || !accountUsage.permitsStart(task)) {
            roomClaims.release(task);
            return;
        }
        if (roomClaims.comesFirst(task, now)) {
            startOrClaim(task, now);
        }
        if (roomClaims.awaitsClaimAfterLoss(task, now)) {
            servicesWithLostTasks.add(task.job.policy.service());
        }
    }

    private void startOrClaim(TaskEntry task, long now) {
        WorkerNode node = roomClaims.workerWithRoom(task, now);
        if (node == null) {
            roomClaims.claimLaterRoom(task, now);
        } else {
            startTask(task.job, task, node, now);
        }
    }

    /**
     * Places one task of each starved job, at most {@code maxStarts}, before the tasks of more urgent jobs. Returns how
     * many of these starts are left.
     */
    private int placeStarved(long now, int maxStarts) {
        int startsOfOthers = startsLeft - Math.min(startsLeft, maxStarts);
        for (TaskEntry task : starvedJobs.tasks(now)) {
            if (startsLeft <= startsOfOthers) {
                return 0;
            }
            if (!accountUsage.permitsStart(task)) {
                continue;
            }
            try {
                WorkerNode node = workerSelector.select(task, now);
                if (node != null) {
                    startTask(task.job, task, node, now);
                } else if (task.step.behaviour().bestEffort()) {
                    startSlowly(task, SlowStarts.Kind.FIRST_TASK, now);
                }
            } catch (RuntimeException e) {
                jobTable.setAside(task.job, e);
            }
        }
        return startsLeft - startsOfOthers;
    }

    /**
     * Starts at most {@code maxStarts} of the tasks that no worker can take at nearly full speed, one of each step in
     * turn. Tasks with requirements for which a worker was found lately come last and leave some workers to the others.
     */
    private void placeSlowly(List<StarvedJobs.OverdueStep> steps, int maxStarts, long now) {
        Deque<StarvedJobs.OverdueStep> turns = new ArrayDeque<>();
        Deque<StarvedJobs.OverdueStep> lastTurns = new ArrayDeque<>();
        for (StarvedJobs.OverdueStep step : steps) {
            try {
                (workerSelector.wasPlacedWithin(step.first(), RECENT_PLACEMENT, now) ? lastTurns : turns).add(step);
            } catch (RuntimeException e) {
                jobTable.setAside(step.job(), e);
            }
        }
        int startsOfOthers = startsLeft - maxStarts;
        placeSlowly(turns, SlowStarts.Kind.FURTHER_TASK, startsOfOthers, now);
        placeSlowly(lastTurns, SlowStarts.Kind.RECENTLY_PLACED, startsOfOthers, now);
    }

    private void placeSlowly(Deque<StarvedJobs.OverdueStep> turns, SlowStarts.Kind kind, int startsOfOthers, long now) {
        while (!turns.isEmpty() && startsLeft > startsOfOthers) {
            StarvedJobs.OverdueStep step = turns.removeFirst();
            try {
                if (placeSlowly(step.take(now), kind, now)) {
                    turns.addLast(step);
                }
            } catch (RuntimeException e) {
                jobTable.setAside(step.job(), e);
            }
        }
    }

    /** Returns whether further tasks of the step may be placed. */
    private boolean placeSlowly(TaskEntry task, SlowStarts.Kind kind, long now) {
        if (task == null) {
            return false;
        }
        boolean placedMeanwhile = task.assignedNode != null;
        return placedMeanwhile
                || (task.job.isPlaceable()
                        && accountUsage.permitsStart(task)
                        && !workerSelector.mayFit(task, now)
                        && startSlowly(task, kind, now));
    }

    private void place(JobEntry job, Predicate<TaskEntry> mayStart, long now) {
        for (int step = 0; step < job.tasksByStep.size(); step++) {
            if (job.isReady(step)) {
                place(job, step, mayStart, now);
            }
        }
    }

    private boolean mayStartFirstRuns(JobEntry job, int step) {
        return !job.spec.steps().get(step).longRunning() || !servicesWithLostTasks.contains(job.policy.service());
    }

    /** Returns the jobs with a task that some worker may be able to take, most urgent first. */
    private List<Candidate> candidates(long now) {
        long nowMs = time.now().toEpochMilli();
        List<Candidate> candidates = new ArrayList<>();
        for (JobEntry job : List.copyOf(jobTable.waitingJobs())) {
            try {
                if (hasPlaceableTask(job, now)) {
                    long rankMs = job.deadlineMs + UNFINISHED_TASK_DELAY.toMillis() * job.unfinishedTasks();
                    candidates.add(new Candidate(job, job.policy.priority(), job.deadlineMs < nowMs, rankMs));
                }
            } catch (RuntimeException e) {
                jobTable.setAside(job, e);
            }
        }
        Collections.sort(candidates);
        return candidates;
    }

    private boolean hasPlaceableTask(JobEntry job, long now) {
        for (int step = 0; step < job.tasksByStep.size(); step++) {
            if (job.isReady(step) && hasPlaceableTask(job, step, now)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasPlaceableTask(JobEntry job, int step, long now) {
        TaskEntry first = nextWaiting(job, step, 0, mayStartFirstRuns(job, step));
        if (first == null || !accountUsage.permitsStart(first)) {
            return false;
        }
        if (workerSelector.mayFit(first, now)) {
            return true;
        }
        if (!mayNeedMoreRoomThanOthers(first)) {
            return false;
        }
        TaskEntry restarted = nextWaiting(job, step, first.name.index() + 1, false);
        return restarted != null && workerSelector.mayFit(restarted, now);
    }

    private void place(JobEntry job, int step, Predicate<TaskEntry> mayStart, long now) {
        boolean firstRunsFit = mayStartFirstRuns(job, step);
        for (TaskEntry task = nextWaiting(job, step, 0, firstRunsFit);
                task != null && startsLeft > 0;
                task = nextWaiting(job, step, task.name.index() + 1, firstRunsFit)) {
            if (!mayStart.test(task)) {
                return;
            }
            WorkerNode node = workerSelector.select(task, now);
            if (node != null) {
                startTask(job, task, node, now);
            } else if (mayNeedMoreRoomThanOthers(task)) {
                firstRunsFit = false;
            } else {
                return;
            }
        }
    }

    /**
     * Returns whether other tasks of the step may fit although this one does not: first runs of long-running tasks may
     * need double room, later runs never do.
     */
    private static boolean mayNeedMoreRoomThanOthers(TaskEntry task) {
        return task.step.longRunning() && task.run == 0;
    }

    /**
     * Returns the first waiting task of a step at or after an index, or null if there is none; {@code firstRuns} is set
     * if it may be one that has never been started.
     */
    private static TaskEntry nextWaiting(JobEntry job, int step, int from, boolean firstRuns) {
        BitSet waiting = job.waitingTaskIndexes(step);
        for (int index = waiting.nextSetBit(from); index >= 0; index = waiting.nextSetBit(index + 1)) {
            TaskEntry task = job.tasksByStep.get(step).get(index);
            if (firstRuns || task.run > 0) {
                return task;
            }
        }
        return null;
    }

    /** Starts a best-effort task although no worker can run it at nearly full speed; returns whether it has. */
    private boolean startSlowly(TaskEntry task, SlowStarts.Kind kind, long now) {
        WorkerNode node = slowStarts.select(task, kind, now);
        if (node == null) {
            return false;
        }
        int cpuLimitPercent = slowStarts.cpuLimitPercent(task, node);
        task.slowStart = true;
        startTask(task.job, task, node, cpuLimitPercent, now);
        return true;
    }

    private void startTask(JobEntry job, TaskEntry task, WorkerNode node, long now) {
        startTask(job, task, node, workerSelector.initialCpuLimitPercent(task, node), now);
    }

    private void startTask(JobEntry job, TaskEntry task, WorkerNode node, int cpuLimitPercent, long now) {
        startsLeft--;
        if (wideTasks.isNarrow(task)) {
            servicesWithNarrowStarts.add(job.policy.service());
        }
        roomClaims.release(task);
        Duration waited = job.waited(task, now);
        task.run++;
        task.progressedAt = now;
        task.placedAt = now;
        task.cpuLimitPercent = cpuLimitPercent;
        node.add(task);
        node.taskStarted(task, now);
        jobTable.markChanged(job);
        String checkpoint = task.step.behaviour().checkpointing() ? task.checkpoint : "";
        jobTable.addOrder(new Order.Start(
                task.name,
                task.run,
                node.id(),
                node.incarnation(),
                job.spec.payload(),
                checkpoint,
                task.step.demand().milliCores(),
                waited));
        if (cpuLimitPercent < FULL_SPEED_PERCENT) {
            jobTable.addOrder(
                    new Order.SetCpuLimit(task.name, task.run, node.id(), node.incarnation(), cpuLimitPercent));
        }
    }
}
