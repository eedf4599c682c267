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
 * Claims the job shards of which this daemon is the preferred live owner, and fences them at every holder. Safe for use
 * by several threads: the state of a claim is guarded by its own monitor, which is not held across calls.
 *
 * <p>Invariant: attempts of a shard are allowed only when every held worker has been fenced and, if some worker of the
 * host list is neither held nor fenced, all leases there must have lapsed by {@link LeaseExpiryRule}.
 */
final class ShardClaims {
    private static final int CLAIMS_IN_FLIGHT = 4;
    private static final Duration CLAIM_PAUSE = Duration.ofSeconds(15);

    private final DaemonId self;
    private final TimeSource time;
    private final JobLog log;
    private final Supplier<Collection<DaemonId>> live;
    private final Supplier<List<HeldWorker>> held;
    private final Supplier<Collection<WorkerId>> allWorkers;
    private final Supplier<Connectivity> contact;
    private final Fences fences;
    private final Executor executor;
    private final Consumer<PlacementEvent> events;
    private final Semaphore claims = new Semaphore(CLAIMS_IN_FLIGHT);
    private final Map<Integer, Shard> shards = new ConcurrentHashMap<>();
    private final LeaseExpiryRule lapse = new LeaseExpiryRule();
    private final Map<WorkerId, Long> lastHeld = new ConcurrentHashMap<>();
    private final Map<Integer, Long> lostAt = new ConcurrentHashMap<>();
    private final Set<Integer> claiming = ConcurrentHashMap.newKeySet();

    ShardClaims(
            DaemonId self,
            TimeSource time,
            JobLog log,
            Supplier<Collection<DaemonId>> live,
            Supplier<List<HeldWorker>> held,
            Supplier<Collection<WorkerId>> allWorkers,
            Supplier<Connectivity> contact,
            Fences fences,
            Executor executor,
            Consumer<PlacementEvent> events) {
        this.self = self;
        this.time = time;
        this.log = log;
        this.live = live;
        this.held = held;
        this.allWorkers = allWorkers;
        this.contact = contact;
        this.fences = fences;
        this.executor = executor;
        this.events = events;
    }

    /** Fences a shard at all workers of a holder; an error means that some may not be fenced. */
    interface Fences {
        ShardTasks fence(DaemonId holder, FenceShard fence) throws SchedulerException;
    }

    /** An owned shard and where it has been fenced. */
    private static final class Shard {
        private final long epoch;
        private final long claimRead;
        private final Map<WorkerId, DaemonId> fencedAt = new HashMap<>();
        private final Set<WorkerId> fenced = new HashSet<>();
        private boolean opened;
        private boolean fencing;

        Shard(long epoch, long claimRead) {
            this.epoch = epoch;
            this.claimRead = claimRead;
        }
    }

    /** The daemon that should own a shard, by rendezvous hashing over the live ones. */
    static DaemonId preferred(int shard, Collection<DaemonId> daemons, DaemonId self) {
        DaemonId best = self;
        for (DaemonId daemon : daemons) {
            int order = Long.compare(score(shard, daemon), score(shard, best));
            best = order > 0 || (order == 0 && daemon.compareTo(best) < 0) ? daemon : best;
        }
        return best;
    }

    private static long score(int shard, DaemonId daemon) {
        return Hashing.rendezvous("shard-" + shard, daemon.value());
    }

    /** Claims and fences what is due; blocks in no call itself. */
    void tick() {
        Collection<DaemonId> daemons = live.get();
        List<HeldWorker> workers = held.get();
        long now = time.nanos();
        lapse.sample(contact.get(), now);
        workers.forEach(worker -> lastHeld.put(worker.worker().id(), now));
        for (int i = 0; i < Job.SHARDS; i++) {
            int shard = i;
            boolean mine = preferred(shard, daemons, self).equals(self);
            if (mine && !shards.containsKey(shard) && !lostLately(shard, now) && claims.tryAcquire()) {
                if (claiming.add(shard)) {
                    executor.execute(() -> claim(shard));
                } else {
                    claims.release();
                }
            }
        }
        shards.forEach((shard, state) -> fence(shard, state, workers));
    }

    /** A newer claim than ours was read: another daemon owns the shard. */
    void claimed(int shard, long epoch) {
        Shard state = shards.get(shard);
        if (state != null && epoch > state.epoch && shards.remove(shard, state)) {
            lostAt.put(shard, time.nanos());
            events.accept(new PlacementEvent.ShardLost(shard));
            Events.info("shard-lost", "shard", shard, "epoch", state.epoch, "newer", epoch);
        }
    }

    /**
     * Whether another daemon took the shard a short while ago. Two daemons that do not hear each other both believe to be
     * preferred, and without this pause they would take their shards from each other at every tick.
     */
    private boolean lostLately(int shard, long now) {
        Long lost = lostAt.get(shard);
        return lost != null && now - lost < CLAIM_PAUSE.toNanos();
    }

    private void claim(int shard) {
        try {
            long epoch = log.latestClaim(shard).epoch() + 1;
            if (log.tryClaim(shard, epoch)) {
                gain(shard, epoch);
            }
        } catch (SchedulerException e) {
            Events.warn("shard-not-claimed", "shard", shard, "reason", e.getMessage());
        } finally {
            claiming.remove(shard);
            claims.release();
        }
    }

    private void gain(int shard, long epoch) {
        long read = log.latestClaim(shard).readAt();
        events.accept(new PlacementEvent.ShardGained(shard, epoch, log.unfinishedJobs(shard)));
        // A job that was added or cancelled before the shard counted as gained was not taken as an event.
        for (LoggedJob job : log.unfinishedJobs(shard)) {
            events.accept(new PlacementEvent.JobAdded(job));
            if (job.cancelled()) {
                events.accept(new PlacementEvent.JobCancelled(job.job().id()));
            }
        }
        shards.put(shard, new Shard(epoch, read));
        claimed(shard, log.latestClaim(shard).epoch());
        Events.info("shard-gained", "shard", shard, "epoch", epoch);
    }

    /** Fences workers that were not fenced under their present holder. */
    private void fence(int shard, Shard state, List<HeldWorker> workers) {
        Set<DaemonId> holders = new HashSet<>();
        Set<WorkerId> heldIds = new HashSet<>();
        workers.forEach(worker -> heldIds.add(worker.worker().id()));
        synchronized (state) {
            // The same daemon may hold a worker again that has restarted meanwhile, so its attempts are listed again.
            state.fencedAt.keySet().retainAll(heldIds);
            if (state.fencing) {
                return;
            }
            for (HeldWorker worker : workers) {
                if (!worker.holder().equals(state.fencedAt.get(worker.worker().id()))) {
                    holders.add(worker.holder());
                }
            }
            if (holders.isEmpty()) {
                open(shard, state, workers);
                return;
            }
            state.fencing = true;
        }
        executor.execute(() -> {
            try {
                holders.forEach(holder -> fenceAt(holder, shard, state));
            } finally {
                synchronized (state) {
                    state.fencing = false;
                }
            }
        });
    }

    private void fenceAt(DaemonId holder, int shard, Shard state) {
        long asked = time.nanos();
        try {
            ShardTasks found = fences.fence(holder, new FenceShard(shard, state.epoch));
            found.tasks()
                    .forEach((worker, tasks) ->
                            events.accept(new PlacementEvent.AttemptsListed(shard, state.epoch, worker, asked, tasks)));
            synchronized (state) {
                found.tasks().keySet().forEach(worker -> state.fencedAt.put(worker, holder));
                state.fenced.addAll(found.tasks().keySet());
            }
        } catch (SchedulerException e) {
            Events.warn("shard-not-fenced", "shard", shard, "holder", holder, "reason", e.getMessage());
        }
    }

    private boolean lapsed(WorkerId worker, Shard state) {
        long since = lastHeld.getOrDefault(worker, state.claimRead);
        return lapse.expired(since - state.claimRead > 0 ? since : state.claimRead, time.nanos());
    }

    private void open(int shard, Shard state, List<HeldWorker> workers) {
        if (state.opened) {
            return;
        }
        Collection<WorkerId> listed = allWorkers.get();
        // An empty host list has not been read yet.
        boolean all = !listed.isEmpty() && state.fenced.containsAll(listed);
        // A worker may find a new holder just before its leases lapse; it is then held, and is fenced before this
        // passes.
        boolean lapsed = lapse.expired(state.claimRead, time.nanos())
                && listed.stream().allMatch(worker -> state.fenced.contains(worker) || lapsed(worker, state));
        if (!all && !lapsed) {
            return;
        }
        state.opened = true;
        events.accept(new PlacementEvent.WorkersFenced(shard, state.epoch, time.nanos()));
        Events.info("shard-fenced", "shard", shard, "epoch", state.epoch, "workers", workers.size(), "all", all);
    }
}
