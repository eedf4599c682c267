package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.membership.LeaseState.Claiming;
import org.chestnutbarrow.membership.LeaseState.Free;
import org.chestnutbarrow.membership.LeaseState.HandOver;
import org.chestnutbarrow.membership.LeaseState.Held;
import org.chestnutbarrow.membership.LeaseState.Releasing;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/** The leases of some of the workers. Safe for use by several threads; every access is under the shard's own lock. */
final class LeaseShard {
    private static final long CLAIM_SPREAD = Duration.ofMillis(500).toNanos();
    private static final long RETRY_MIN = Duration.ofMillis(100).toNanos();
    private static final long RETRY_SPREAD = Duration.ofMillis(200).toNanos();

    private static final long RENEW_AGAIN_SPREAD = Duration.ofMillis(50).toNanos();

    /** A worker that nobody holds for this long is claimed by the next daemon in its ranking. */
    private static final long NEXT_RANK_DELAY = Duration.ofMillis(1500).toNanos();

    private static final long HAND_OVER_DELAY = Duration.ofSeconds(2).toNanos();
    private static final long HAND_OVER_SPREAD = Duration.ofSeconds(2).toNanos();
    private static final long HAND_OVER_LIMIT = Duration.ofSeconds(10).toNanos();

    private final DaemonId self;
    private final Semaphore handOvers;
    private final SplittableRandom random;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<WorkerId, Lease> leases = new HashMap<>();
    private Set<DaemonId> ranked = Set.of();

    LeaseShard(DaemonId self, long seed, Semaphore handOvers) {
        this.self = self;
        this.handOvers = handOvers;
        this.random = new SplittableRandom(seed);
    }

    /** Takes the host list; a worker that is missing on it is forgotten only when nothing is under way with it. */
    void hosts(Map<WorkerId, Worker> listed, long now) {
        lock.lock();
        try {
            leases.values().removeIf(l -> !listed.containsKey(l.worker.id()) && l.state instanceof Free);
            for (Lease lease : leases.values()) {
                lease.listed = listed.containsKey(lease.worker.id());
            }
            for (Worker worker : listed.values()) {
                Lease lease = leases.computeIfAbsent(worker.id(), id -> new Lease(worker, claimTime(worker.id(), now)));
                lease.rank = rankOf(worker.id());
                lease.emptied &= worker.leaving();
                lease.worker = worker;
            }
        } finally {
            lock.unlock();
        }
    }

    void tick(LeaseView view, Optional<Long> drainBy, long now, List<LeaseEffect> into) {
        lock.lock();
        try {
            if (!view.eligible().equals(ranked)) {
                rank(view.eligible(), now);
            }
            for (Lease lease : leases.values()) {
                switch (lease.state) {
                    case Free free -> claim(lease, free, view, drainBy, now, into);
                    case Held held -> hold(lease, held, view, drainBy, now, into);
                    case Claiming claiming -> {}
                    case Releasing releasing -> {}
                }
            }
        } finally {
            lock.unlock();
        }
    }

    void on(LeaseEvent event, long now, List<LeaseEffect> into) {
        lock.lock();
        try {
            Lease lease = leases.get(event.worker());
            if (lease == null) {
                return;
            }
            switch (event) {
                case LeaseEvent.Granted granted -> granted(lease, granted, now);
                case LeaseEvent.Refused refused -> lost(lease, now, into);
                case LeaseEvent.Unanswered unanswered -> unanswered(lease, now, into);
                case LeaseEvent.Released released -> lease.state = new Free(claimTime(lease.worker.id(), now));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Adds the workers that are held, being claimed or being released. */
    void busy(List<WorkerId> into) {
        lock.lock();
        try {
            leases.values().stream()
                    .filter(lease -> !(lease.state instanceof Free))
                    .forEach(lease -> into.add(lease.worker.id()));
        } finally {
            lock.unlock();
        }
    }

    private void claim(
            Lease lease, Free free, LeaseView view, Optional<Long> drainBy, long now, List<LeaseEffect> into) {
        boolean wanted = lease.listed
                && !lease.emptied
                && drainBy.isEmpty()
                && view.freshness().allowsStarts();
        if (!wanted || now - free.notBefore() < 0) {
            return;
        }
        if (view.heldByPeer().test(lease.worker.id())) {
            lease.state = new Free(claimTime(lease.worker.id(), now));
            return;
        }
        lease.state = new Claiming();
        into.add(new LeaseEffect.Claim(lease.worker));
    }

    private void hold(
            Lease lease, Held held, LeaseView view, Optional<Long> drainBy, long now, List<LeaseEffect> into) {
        if (held.renewing()) {
            return;
        }
        if (now - held.validUntil() >= 0) {
            drop(lease, held, now, into);
            return;
        }
        int requests = view.requestsInFlight().applyAsInt(lease.worker.id());
        boolean empty = lease.worker.leaving() && held.tasks() == 0 && requests == 0;
        if (empty || !view.freshness().allowsStarts()) {
            lease.emptied = empty;
            release(lease, held, into);
            return;
        }
        boolean draining = drainBy.isPresent();
        boolean unwanted = draining || lease.rank > 0;
        switch (held.handOver()) {
            case HandOver.Idle idle -> {
                boolean begin = draining || (unwanted && now - idle.notBefore() >= 0 && handOvers.tryAcquire());
                if (begin) {
                    held = held.with(new HandOver.Paused(drainBy.orElse(now + HAND_OVER_LIMIT), !draining));
                    into.add(new LeaseEffect.Pause(lease.worker, held.epoch()));
                }
            }
            case HandOver.Paused paused -> {
                if (!unwanted) {
                    giveBack(held);
                    held = held.with(idle(now));
                    into.add(new LeaseEffect.Resume(lease.worker, held.epoch()));
                } else if (requests == 0 || now - drainBy.orElse(paused.deadline()) >= 0) {
                    // Releasing does not interrupt requests: the next holder charges those that still run.
                    release(lease, held, into);
                    return;
                }
            }
        }
        lease.state = held;
        if (now - held.renewAt() >= 0) {
            lease.state = held.renewalSent();
            into.add(new LeaseEffect.Renew(lease.worker, held.epoch()));
        }
    }

    private void granted(Lease lease, LeaseEvent.Granted granted, long now) {
        HandOver handOver = lease.state instanceof Held held ? held.handOver() : idle(now);
        long validUntil = WorkerLeases.validUntil(granted.sentAt());
        // Half of the interval is random, so that the renewals of many workers do not fall together.
        long interval = WorkerLeases.RENEW_EVERY.toNanos();
        long renewAt = granted.sentAt() + interval / 2 + random.nextLong(interval / 2);
        lease.state = new Held(granted.epoch(), validUntil, renewAt, false, handOver, granted.tasks());
    }

    private void lost(Lease lease, long now, List<LeaseEffect> into) {
        if (lease.state instanceof Held held) {
            drop(lease, held, now, into);
        } else {
            lease.state = new Free(retryTime(lease, now));
        }
    }

    private void unanswered(Lease lease, long now, List<LeaseEffect> into) {
        if (lease.state instanceof Held held && now - held.validUntil() < 0) {
            lease.state = held.renewAgainAt(now + random.nextLong(RENEW_AGAIN_SPREAD));
        } else {
            lost(lease, now, into);
        }
    }

    private void drop(Lease lease, Held held, long now, List<LeaseEffect> into) {
        giveBack(held);
        lease.state = new Free(retryTime(lease, now));
        into.add(new LeaseEffect.Drop(lease.worker, held.epoch()));
    }

    private void release(Lease lease, Held held, List<LeaseEffect> into) {
        giveBack(held);
        lease.state = new Releasing();
        into.add(new LeaseEffect.Release(lease.worker, held.epoch()));
    }

    private void giveBack(Held held) {
        if (held.handOver() instanceof HandOver.Paused paused && paused.counted()) {
            handOvers.release();
        }
    }

    private HandOver.Idle idle(long now) {
        return new HandOver.Idle(now + HAND_OVER_DELAY + random.nextLong(HAND_OVER_SPREAD));
    }

    private void rank(Set<DaemonId> eligible, long now) {
        ranked = eligible;
        for (Lease lease : leases.values()) {
            int before = lease.rank;
            lease.rank = rankOf(lease.worker.id());
            if (lease.rank != before && lease.state instanceof Free) {
                lease.state = new Free(claimTime(lease.worker.id(), now));
            } else if (before == 0 && lease.rank > 0 && lease.state instanceof Held held && idle(held)) {
                // A daemon that has just joined must stay for a while before it is given workers.
                lease.state = held.with(idle(now));
            }
        }
    }

    private static boolean idle(Held held) {
        return held.handOver() instanceof HandOver.Idle;
    }

    /** The number of eligible daemons that the worker ranks before this one. */
    private int rankOf(WorkerId worker) {
        long own = Hashing.rendezvous(worker.value(), self.value());
        int rank = 0;
        for (DaemonId daemon : ranked) {
            long other = Hashing.rendezvous(worker.value(), daemon.value());
            boolean before = other > own || (other == own && daemon.compareTo(self) < 0);
            if (before) {
                rank++;
            }
        }
        return rank;
    }

    private long claimTime(WorkerId worker, long now) {
        return now + rankOf(worker) * NEXT_RANK_DELAY + random.nextLong(CLAIM_SPREAD);
    }

    private long retryTime(Lease lease, long now) {
        return now + lease.rank * NEXT_RANK_DELAY + RETRY_MIN + random.nextLong(RETRY_SPREAD);
    }

    /** One worker; guarded by the shard's lock. */
    private static final class Lease {
        private Worker worker;
        private LeaseState state;
        private int rank;
        private boolean listed = true;

        /** Whether the worker is leaving and had no work left, so that nobody has to hold it. */
        private boolean emptied;

        private Lease(Worker worker, long notBefore) {
            this.worker = worker;
            this.state = new Free(notBefore);
        }
    }
}
