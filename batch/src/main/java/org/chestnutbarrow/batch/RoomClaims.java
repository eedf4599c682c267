package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.Set;
import org.chestnutbarrow.model.Resources;

/**
 * Keeps room on workers for tasks that run again soon: long-running ones without a worker or on a draining one, and
 * best-effort ones that were stopped because they disturb others; and for wide tasks that wait, see {@link WideTasks}.
 * Without a claim, short tasks take each piece of room
 * that gets free, and a task that needs several pieces waits until the load falls. Guarded by the lock of its
 * {@link BatchScheduler}.
 *
 * <p>Invariants: a task has at most one claim, on a worker that accepts it; the claims on a worker and its long-running
 * tasks that go on fit its capacity together when a claim is made and each time the claims are reviewed; claims of
 * waiting tasks beyond the room that is free now hold a bounded share of their service, or are one, and so do those of
 * tasks that move. While claims and long-running tasks leave little to short tasks, that share is smaller, and only tasks
 * for which a second worker could keep room claim any.
 */
final class RoomClaims {
    /**
     * Share of the CPU capacity of a service that claims of waiting tasks may hold, so that the loss of many workers
     * does not keep all short tasks waiting. A single claim may hold more.
     */
    private static final double MAX_CLAIMED_SHARE = 0.125;
    /** The same for tasks that move, whose runs still go on; counted apart, since their notice is short. */
    private static final double MAX_CLAIMED_SHARE_FOR_MOVES = MAX_CLAIMED_SHARE / 2;
    /** The same for waiting tasks while less than {@link #SHORT_TASK_SHARE} is left to short tasks. */
    private static final double MAX_CLAIMED_SHARE_OF_FULL_SERVICE = MAX_CLAIMED_SHARE / 2;
    /** The same for wide tasks; the room of a claim stays unused until the last run before it has ended. */
    private static final double MAX_CLAIMED_SHARE_FOR_WIDE_TASKS = MAX_CLAIMED_SHARE / 4;
    /** Share of the CPU capacity of a service below which long-running tasks and claims leave little to short tasks. */
    private static final double SHORT_TASK_SHARE = 0.08;
    /** Run times are estimates, so a better worker may be found for a claim of this age. */
    private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(2);
    /** Bound on the searches for each plan; each examines all workers of a service. */
    private static final int MAX_SEARCHES = 16;
    /** The same for tasks that move, whose claims are made between two plans. */
    private static final int MAX_SEARCHES_FOR_MOVES = 4;
    /** The same for wide tasks. */
    private static final int MAX_SEARCHES_FOR_WIDE_TASKS = 4;

    private static final int FINISHED_PERCENT = 100;

    private final WorkerSelector workerSelector;
    private final WorkerIndex index;
    /** Claims by task, earliest made first. */
    private final SequencedMap<TaskEntry, Claim> claims = new LinkedHashMap<>();

    private final Map<ClaimantGroup, Long> claimedMilliCores = new HashMap<>();
    /** Services with a task that waits until claims of others have been met. */
    private final Set<String> servicesAtBound = new HashSet<>();

    /** Whether a second worker could take the tasks with a requirement, as found since the last claim of this plan. */
    private final Map<Requirement, Boolean> leavesPlaceByRequirement = new HashMap<>();

    private final List<Plan.Claim> newClaims = new ArrayList<>();
    /** Searches that the current plan may still make. */
    private final Map<Kind, Integer> searchesLeft = new EnumMap<>(Kind.class);

    /**
     * A claim for the run that follows {@code run}; {@code searchedAt} is when its worker was last chosen, in ns.
     */
    private record Claim(WorkerNode worker, int run, Kind kind, long searchedAt) {}

    /** Why room is kept for a task. */
    private enum Kind {
        /** A long-running task must run again. */
        RESTART,
        /** The earlier run went on when the claim was made. */
        MOVE,
        /** A task that ends by itself needs more room than other tasks leave. */
        WIDE_TASK
    }

    /** The claims of one kind on the workers of a service, which share a bound. */
    private record ClaimantGroup(String service, Kind kind) {}

    RoomClaims(WorkerSelector workerSelector, WorkerIndex index) {
        this.workerSelector = workerSelector;
        this.index = index;
        resetSearches();
    }

    private void resetSearches() {
        for (Kind kind : Kind.values()) {
            searchesLeft.put(kind, maxSearches(kind));
        }
    }

    private static int maxSearches(Kind kind) {
        return switch (kind) {
            case RESTART -> MAX_SEARCHES;
            case MOVE -> MAX_SEARCHES_FOR_MOVES;
            case WIDE_TASK -> MAX_SEARCHES_FOR_WIDE_TASKS;
        };
    }

    /**
     * Releases the claims that are no longer needed or can no longer be met, of several on one worker the latest first.
     * Called at the start of each plan.
     */
    void review(long now) {
        resetSearches();
        servicesAtBound.clear();
        leavesPlaceByRequirement.clear();
        List.copyOf(claims.sequencedKeySet().reversed()).forEach(task -> validClaim(task, now));
    }

    /**
     * Returns whether a task that waits comes before short tasks: it has a claim, its last run was not lost with its
     * worker, so that it left room or was stopped to move it, or it may claim room. Tasks are asked about in the order of
     * their waits, so that one beyond the bound keeps later ones from passing it.
     */
    boolean comesFirst(TaskEntry task, long now) {
        if (task.endedInTouch || claims.containsKey(task) || leavesShortTaskShare(task)) {
            return true;
        }
        String service = task.job.policy.service();
        if (servicesAtBound.contains(service) || !workerSelector.mayClaim(task, now)) {
            return false;
        }
        if (!isWithinBound(task, service)) {
            servicesAtBound.add(service);
            return false;
        }
        return leavesPlace(task, now);
    }

    /** Returns whether a second worker could keep room for a task, so that the task leaves as much to short tasks. */
    private boolean leavesPlace(TaskEntry task, long now) {
        Requirement requirement = workerSelector.requirement(task);
        Boolean known = leavesPlaceByRequirement.get(requirement);
        if (known != null || searchesLeft(task) == 0) {
            return Boolean.TRUE.equals(known);
        }
        countSearch(task);
        int places = 0;
        for (WorkerNode worker : index.pool(task.job.policy.service()).all()) {
            places += workerSelector.couldClaim(task, worker, now) ? 1 : 0;
            if (places > 1) {
                break;
            }
        }
        leavesPlaceByRequirement.put(requirement, places > 1);
        return places > 1;
    }

    /**
     * Returns whether a task was lost with its worker and waits for room that a worker can free for it and that is not
     * kept for it yet.
     */
    boolean awaitsClaimAfterLoss(TaskEntry task, long now) {
        return task.step.longRunning()
                && task.assignedNode == null
                && !task.endedInTouch
                && !claims.containsKey(task)
                && workerSelector.mayClaim(task, now);
    }

    private boolean leavesShortTaskShare(TaskEntry task) {
        WorkerIndex.Pool pool = index.pool(task.job.policy.service());
        long lasting = pool.lastingMilliCores() + task.step.reservation().milliCores();
        return lasting <= (1 - SHORT_TASK_SHARE) * pool.capacityMilliCores();
    }

    /** Returns a worker that has room for the task now, its claimed one first, or null if there is none. */
    WorkerNode workerWithRoom(TaskEntry task, long now) {
        Claim claim = validClaim(task, now);
        if (claim != null && claim.worker().hasRoomForClaim(task)) {
            return claim.worker();
        }
        return task.assignedNode == null ? workerSelector.select(task, now) : workerSelector.selectElsewhere(task, now);
    }

    /** Keeps room for the next run of a task on a worker that {@link #workerWithRoom} has returned. */
    void claim(TaskEntry task, WorkerNode worker, long now) {
        Claim claim = claims.get(task);
        if (claim == null || claim.worker() != worker) {
            put(task, worker, now);
        }
    }

    /** Keeps room for the next run of a task on another worker that has it now, and returns whether there is one. */
    boolean claimElsewhere(TaskEntry task, long now) {
        WorkerNode worker = workerSelector.selectElsewhere(task, now);
        if (worker == null) {
            return false;
        }
        claim(task, worker, now);
        return true;
    }

    /** Returns the tasks without a worker for which room is kept, those with the earliest claims first. */
    List<TaskEntry> waitingClaimants() {
        return claims.keySet().stream()
                .filter(task -> task.assignedNode == null)
                .toList();
    }

    /**
     * Makes sure that a task for which no worker has room now has a claim on the one that is expected to have room
     * first, as far as the bounds on claims allow.
     */
    void claimLaterRoom(TaskEntry task, long now) {
        Claim claim = validClaim(task, now);
        if (claim == null && kind(task) == Kind.WIDE_TASK) {
            claimForWideTask(task, now);
        } else if (claim == null) {
            addClaim(task, now);
        } else if (now - claim.searchedAt() >= REVIEW_INTERVAL.toNanos()) {
            moveIfSooner(task, claim, now);
        }
    }

    /**
     * Keeps room for a waiting task that needs more than other tasks leave, on the worker that is expected to have it
     * first, as far as the bound on claims of wide tasks allows.
     */
    void claimForWideTask(TaskEntry task, long now) {
        if (validClaim(task, now) != null
                || searchesLeft(task) == 0
                || !isWithinBound(task, task.job.policy.service())
                || !workerSelector.mayClaim(task, now)) {
            return;
        }
        LaterRoom room = soonestRoom(task, now);
        if (room == null) {
            workerSelector.markUnclaimable(task);
        } else {
            putOnLaterRoom(task, room.worker(), now);
        }
    }

    /** Releases the claim of a task. Has no effect if it has none. */
    void release(TaskEntry task) {
        Claim claim = claims.remove(task);
        if (claim != null) {
            addClaimed(claim, -task.step.reservation().milliCores());
            claim.worker().removeClaim(task);
        }
    }

    /** Returns and clears the claims on room that is not free yet that were made since the last call. */
    List<Plan.Claim> takeNewClaims() {
        List<Plan.Claim> result = List.copyOf(newClaims);
        newClaims.clear();
        return result;
    }

    /** Returns the worker on which room is kept for a task, by task. */
    Map<TaskEntry, WorkerNode> workers() {
        Map<TaskEntry, WorkerNode> workers = new HashMap<>();
        claims.forEach((task, claim) -> workers.put(task, claim.worker()));
        return workers;
    }

    private void put(TaskEntry task, WorkerNode worker, long now) {
        release(task);
        Claim claim = new Claim(worker, task.run, kind(task), now);
        claims.put(task, claim);
        leavesPlaceByRequirement.clear();
        addClaimed(claim, task.step.reservation().milliCores());
        worker.addClaim(task);
    }

    private void putOnLaterRoom(TaskEntry task, WorkerNode worker, long now) {
        put(task, worker, now);
        Duration waited = task.assignedNode == null ? task.job.waited(task, now) : Duration.ZERO;
        newClaims.add(new Plan.Claim(task.name, worker.id(), task.step.demand().milliCores(), waited));
    }

    private void addClaimed(Claim claim, long milliCores) {
        ClaimantGroup group = new ClaimantGroup(claim.worker().registration.service(), claim.kind());
        claimedMilliCores.merge(group, milliCores, Long::sum);
    }

    /** Returns the claim of a task, or null if it has none or its claim had to be released. */
    private Claim validClaim(TaskEntry task, long now) {
        Claim claim = claims.get(task);
        if (claim != null && !isValid(task, claim, now)) {
            release(task);
            return null;
        }
        return claim;
    }

    private boolean isValid(TaskEntry task, Claim claim, long now) {
        return task.run == claim.run()
                && needsRoom(task, now)
                && workerSelector.acceptsClaimOf(task, claim.worker(), now)
                && claim.worker()
                        .lastingReservation()
                        .fitsIn(claim.worker().registration.capacity());
    }

    /**
     * Returns whether a task waits for a worker, or will once a stop that was ordered takes effect, or may move from a
     * draining worker that still answers.
     */
    private static boolean needsRoom(TaskEntry task, long now) {
        if (task.done || task.isInBackOff() || !task.job.isPlaceable()) {
            return false;
        }
        WorkerNode node = task.assignedNode;
        return node == null || task.stopOrdered || (node.isDraining() && node.listed() && !node.isUnresponsive(now));
    }

    private void addClaim(TaskEntry task, long now) {
        String service = task.job.policy.service();
        boolean waits = task.assignedNode == null;
        boolean withinBound = isWithinBound(task, service);
        if (searchesLeft(task) == 0
                || (waits && servicesAtBound.contains(service))
                || (!withinBound && !waits)
                || !workerSelector.mayClaim(task, now)
                || (!leavesShortTaskShare(task) && !leavesPlace(task, now))) {
            return;
        }
        LaterRoom room = soonestRoom(task, now);
        if (room == null) {
            workerSelector.markUnclaimable(task);
        } else if (withinBound) {
            putOnLaterRoom(task, room.worker(), now);
        } else {
            // Smaller tasks that come later must not use up the share that this one waits for.
            servicesAtBound.add(service);
        }
    }

    private boolean isWithinBound(TaskEntry task, String service) {
        Kind kind = kind(task);
        long claimed = claimedMilliCores.getOrDefault(new ClaimantGroup(service, kind), 0L);
        long wanted = claimed + task.step.reservation().milliCores();
        return claimed == 0
                || wanted <= maxClaimedShare(task, kind) * index.pool(service).capacityMilliCores();
    }

    private double maxClaimedShare(TaskEntry task, Kind kind) {
        return switch (kind) {
            case MOVE -> MAX_CLAIMED_SHARE_FOR_MOVES;
            case WIDE_TASK -> MAX_CLAIMED_SHARE_FOR_WIDE_TASKS;
            case RESTART -> leavesShortTaskShare(task) ? MAX_CLAIMED_SHARE : MAX_CLAIMED_SHARE_OF_FULL_SERVICE;
        };
    }

    private static Kind kind(TaskEntry task) {
        if (task.assignedNode != null) {
            return Kind.MOVE;
        }
        return WideTasks.mayBeWide(task.step) ? Kind.WIDE_TASK : Kind.RESTART;
    }

    private int searchesLeft(TaskEntry task) {
        return searchesLeft.get(kind(task));
    }

    private void countSearch(TaskEntry task) {
        searchesLeft.merge(kind(task), -1, Integer::sum);
    }

    private void moveIfSooner(TaskEntry task, Claim claim, long now) {
        if (searchesLeft(task) == 0) {
            return;
        }
        Optional<Duration> current = timeUntilRoom(claim.worker(), Resources.NONE, now);
        LaterRoom room = soonestRoom(task, now);
        if (room != null && (current.isEmpty() || room.time().compareTo(current.get()) < 0)) {
            putOnLaterRoom(task, room.worker(), now);
        } else {
            claims.put(task, new Claim(claim.worker(), claim.run(), claim.kind(), now));
        }
    }

    /** A worker and the expected time until it has the room. */
    private record LaterRoom(WorkerNode worker, Duration time) {}

    /** Returns the worker that is expected to have room for a task first, or null if none is. */
    private LaterRoom soonestRoom(TaskEntry task, long now) {
        countSearch(task);
        LaterRoom soonest = null;
        for (WorkerNode worker : index.pool(task.job.policy.service()).all()) {
            if (!workerSelector.couldClaim(task, worker, now)) {
                continue;
            }
            Optional<Duration> time = timeUntilRoom(worker, task.step.reservation(), now);
            if (time.isPresent() && (soonest == null || time.get().compareTo(soonest.time()) < 0)) {
                soonest = new LaterRoom(worker, time.get());
            }
        }
        return soonest;
    }

    /** Returns the expected time until a worker has room beside its claims, or empty if no end of a run makes it. */
    private static Optional<Duration> timeUntilRoom(WorkerNode worker, Resources demand, long now) {
        Resources held = worker.reservedAndClaimed().plus(demand);
        Resources capacity = worker.registration.capacity();
        if (held.fitsIn(capacity)) {
            return Optional.of(Duration.ZERO);
        }
        List<TaskEntry> ending = new ArrayList<>();
        for (TaskEntry task : worker.tasks) {
            if (!task.lasts()) {
                ending.add(task);
            }
        }
        ending.sort(Comparator.comparing(task -> remainingTime(task, now)));
        for (TaskEntry task : ending) {
            held = held.minus(task.step.reservation());
            if (held.fitsIn(capacity)) {
                return Optional.of(remainingTime(task, now));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the expected remaining time of a run that ends by itself or was stopped: by the estimate or, if that is
     * longer, by its progress so far.
     */
    private static Duration remainingTime(TaskEntry task, long now) {
        if (task.stopOrdered) {
            return Duration.ZERO;
        }
        int percent = Math.clamp(task.progressPercent, 0, FINISHED_PERCENT);
        int remainingPercent = FINISHED_PERCENT - percent;
        Duration byEstimate =
                task.step.estimate().multipliedBy(remainingPercent).dividedBy(FINISHED_PERCENT);
        if (percent == 0 || task.startSettledAt == 0) {
            return byEstimate;
        }
        Duration byProgress = Duration.ofNanos(now - task.startSettledAt)
                .multipliedBy(remainingPercent)
                .dividedBy(percent);
        return byProgress.compareTo(byEstimate) > 0 ? byProgress : byEstimate;
    }
}
