package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.SchedulerException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.FenceShard;
import org.chestnutbarrow.peer.PeerMessage.ShardTasks;
import org.chestnutbarrow.placement.Connectivity;
import org.chestnutbarrow.placement.LeaseExpiryRule;
import org.chestnutbarrow.placement.LoggedJob;
import org.chestnutbarrow.placement.PlacementEvent;

/**
 * Claims the job shards for which this daemon is the preferred live owner, and fences them on the workers of every
 * lease holder. Safe for use by several threads: the state of each owned shard is guarded by its own monitor, which is
 * not held during remote calls.
 *
 * <p>Invariant: attempts of a shard are allowed only once every worker with a lease holder has been fenced and, if some
 * worker of the host list is neither held nor fenced, all task leases on it have expired by {@link LeaseExpiryRule}.
 */
final class ShardClaims {
    private static final int MAX_CONCURRENT_CLAIMS = 4;
    private static final Duration RECLAIM_DELAY = Duration.ofSeconds(15);

    private final DaemonId self;
    private final TimeSource time;
    private final JobLog log;
    private final Supplier<Collection<DaemonId>> liveDaemons;
    private final Supplier<List<HeldWorker>> heldWorkers;
    private final Supplier<Collection<WorkerId>> allWorkers;
    private final Supplier<Connectivity> connectivity;
    private final ShardFencer fencer;
    private final Executor executor;
    private final Consumer<PlacementEvent> events;
    private final Semaphore claimPermits = new Semaphore(MAX_CONCURRENT_CLAIMS);
    private final Map<Integer, Shard> shards = new ConcurrentHashMap<>();
    private final LeaseExpiryRule leaseExpiry = new LeaseExpiryRule();
    private final Map<WorkerId, Long> lastHeldAt = new ConcurrentHashMap<>();
    private final Map<Integer, Long> lostAt = new ConcurrentHashMap<>();
    private final Set<Integer> claiming = ConcurrentHashMap.newKeySet();

    ShardClaims(
            DaemonId self,
            TimeSource time,
            JobLog log,
            Supplier<Collection<DaemonId>> liveDaemons,
            Supplier<List<HeldWorker>> heldWorkers,
            Supplier<Collection<WorkerId>> allWorkers,
            Supplier<Connectivity> connectivity,
            ShardFencer fencer,
            Executor executor,
            Consumer<PlacementEvent> events) {
        this.self = self;
        this.time = time;
        this.log = log;
        this.liveDaemons = liveDaemons;
        this.heldWorkers = heldWorkers;
        this.allWorkers = allWorkers;
        this.connectivity = connectivity;
        this.fencer = fencer;
        this.executor = executor;
        this.events = events;
    }

    /** Fences a shard on all workers whose leases a daemon holds. */
    interface ShardFencer {
        /**
         * Fences the shard and returns its attempts by worker; workers that did not respond are missing from the
         * result.
         *
         * @throws SchedulerException if there is no result, so that it is unknown whether any worker was fenced
         */
        ShardTasks fence(DaemonId holder, FenceShard fence) throws SchedulerException;
    }

    /** An owned shard and the workers on which it has been fenced. */
    private static final class Shard {
        private final long epoch;
        private final long claimReadAt;
        private final Map<WorkerId, DaemonId> fencedHolders = new HashMap<>();
        private final Set<WorkerId> fencedWorkers = new HashSet<>();
        private boolean attemptsAllowed;
        private boolean fencing;

        Shard(long epoch, long claimReadAt) {
            this.epoch = epoch;
            this.claimReadAt = claimReadAt;
        }
    }

    /** Returns the daemon that should own a shard, by rendezvous hashing over the live daemons. */
    static DaemonId preferredOwner(int shard, Collection<DaemonId> daemons, DaemonId self) {
        DaemonId best = self;
        for (DaemonId daemon : daemons) {
            int comparison = Long.compare(score(shard, daemon), score(shard, best));
            best = comparison > 0 || (comparison == 0 && daemon.compareTo(best) < 0) ? daemon : best;
        }
        return best;
    }

    private static long score(int shard, DaemonId daemon) {
        return Hashing.rendezvous("shard-" + shard, daemon.value());
    }

    /** Starts claiming and fencing where needed. Remote calls run on the executor, so this method does not block. */
    void tick() {
        Collection<DaemonId> daemons = liveDaemons.get();
        List<HeldWorker> workers = heldWorkers.get();
        long now = time.nanos();
        leaseExpiry.sample(connectivity.get(), now);
        workers.forEach(worker -> lastHeldAt.put(worker.worker().id(), now));
        for (int i = 0; i < Job.SHARDS; i++) {
            int shard = i;
            boolean preferredHere = preferredOwner(shard, daemons, self).equals(self);
            if (preferredHere && !shards.containsKey(shard) && !lostRecently(shard, now) && claimPermits.tryAcquire()) {
                if (claiming.add(shard)) {
                    executor.execute(() -> claim(shard));
                } else {
                    claimPermits.release();
                }
            }
        }
        shards.forEach((shard, state) -> fence(shard, state, workers));
    }

    /** Handles a claim read from the log; gives the shard up if the claim is newer than this daemon's own. */
    void onClaim(int shard, long epoch) {
        Shard state = shards.get(shard);
        if (state != null && epoch > state.epoch && shards.remove(shard, state)) {
            lostAt.put(shard, time.nanos());
            events.accept(new PlacementEvent.ShardLost(shard));
            Events.info("shard-lost", "shard", shard, "epoch", state.epoch, "newer", epoch);
        }
    }

    /**
     * Returns whether another daemon claimed the shard within the last {@link #RECLAIM_DELAY}. Two daemons that cannot
     * reach each other both consider themselves preferred; without the delay they would take the shard from each other
     * at every tick.
     */
    private boolean lostRecently(int shard, long now) {
        Long lostTime = lostAt.get(shard);
        return lostTime != null && now - lostTime < RECLAIM_DELAY.toNanos();
    }

    private void claim(int shard) {
        try {
            long epoch = log.latestClaim(shard).epoch() + 1;
            if (log.tryClaim(shard, epoch)) {
                acquire(shard, epoch);
            }
        } catch (SchedulerException e) {
            Events.warn("shard-not-claimed", "shard", shard, "reason", e.getMessage());
        } finally {
            claiming.remove(shard);
            claimPermits.release();
        }
    }

    private void acquire(int shard, long epoch) {
        long readAt = log.latestClaim(shard).readAt();
        events.accept(new PlacementEvent.ShardGained(shard, epoch, log.unfinishedJobs(shard)));
        // Events of jobs added or cancelled before the shard was gained have been ignored, so they are sent again.
        for (LoggedJob job : log.unfinishedJobs(shard)) {
            events.accept(new PlacementEvent.JobAdded(job));
            if (job.cancelled()) {
                events.accept(new PlacementEvent.JobCancelled(job.job().id()));
            }
        }
        shards.put(shard, new Shard(epoch, readAt));
        onClaim(shard, log.latestClaim(shard).epoch());
        Events.info("shard-gained", "shard", shard, "epoch", epoch);
    }

    /** Fences the shard on workers that were not yet fenced under their current lease holder. */
    private void fence(int shard, Shard state, List<HeldWorker> workers) {
        Set<DaemonId> holders = new HashSet<>();
        Set<WorkerId> heldIds = new HashSet<>();
        workers.forEach(worker -> heldIds.add(worker.worker().id()));
        synchronized (state) {
            // The same daemon may hold a worker again that restarted meanwhile, so its attempts must be listed again.
            state.fencedHolders.keySet().retainAll(heldIds);
            if (state.fencing) {
                return;
            }
            for (HeldWorker worker : workers) {
                if (!worker.holder()
                        .equals(state.fencedHolders.get(worker.worker().id()))) {
                    holders.add(worker.holder());
                }
            }
            if (holders.isEmpty()) {
                allowAttemptsIfFenced(shard, state, workers);
                return;
            }
            state.fencing = true;
        }
        executor.execute(() -> {
            try {
                holders.forEach(holder -> fenceAtHolder(holder, shard, state));
            } finally {
                synchronized (state) {
                    state.fencing = false;
                }
            }
        });
    }

    private void fenceAtHolder(DaemonId holder, int shard, Shard state) {
        long requestedAt = time.nanos();
        try {
            ShardTasks fenced = fencer.fence(holder, new FenceShard(shard, state.epoch));
            fenced.tasks()
                    .forEach((worker, tasks) -> events.accept(
                            new PlacementEvent.AttemptsListed(shard, state.epoch, worker, requestedAt, tasks)));
            synchronized (state) {
                fenced.tasks().keySet().forEach(worker -> state.fencedHolders.put(worker, holder));
                state.fencedWorkers.addAll(fenced.tasks().keySet());
            }
        } catch (SchedulerException e) {
            Events.warn("shard-not-fenced", "shard", shard, "holder", holder, "reason", e.getMessage());
        }
    }

    private boolean leaseExpired(WorkerId worker, Shard state) {
        long heldUntil = lastHeldAt.getOrDefault(worker, state.claimReadAt);
        return leaseExpiry.expired(heldUntil - state.claimReadAt > 0 ? heldUntil : state.claimReadAt, time.nanos());
    }

    private void allowAttemptsIfFenced(int shard, Shard state, List<HeldWorker> workers) {
        if (state.attemptsAllowed) {
            return;
        }
        Collection<WorkerId> listed = allWorkers.get();
        // The list is empty until the hosts were fetched for the first time.
        boolean allFenced = !listed.isEmpty() && state.fencedWorkers.containsAll(listed);
        // A worker that gets a new holder just before its task leases expire counts as held, so it is fenced before
        // this check passes.
        boolean allExpired = leaseExpiry.expired(state.claimReadAt, time.nanos())
                && listed.stream()
                        .allMatch(worker -> state.fencedWorkers.contains(worker) || leaseExpired(worker, state));
        if (!allFenced && !allExpired) {
            return;
        }
        state.attemptsAllowed = true;
        events.accept(new PlacementEvent.WorkersFenced(shard, state.epoch, time.nanos()));
        Events.info("shard-fenced", "shard", shard, "epoch", state.epoch, "workers", workers.size(), "all", allFenced);
    }
}
