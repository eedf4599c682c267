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
import org.chestnutbarrow.membership.LeaseState.Handover;
import org.chestnutbarrow.membership.LeaseState.Held;
import org.chestnutbarrow.membership.LeaseState.Releasing;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/** The leases of one shard of the workers. Thread-safe; all state is guarded by the lock of the shard. */
final class LeaseShard {
    private static final long CLAIM_JITTER_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MIN_RETRY_DELAY_NANOS = Duration.ofMillis(100).toNanos();
    private static final long RETRY_JITTER_NANOS = Duration.ofMillis(200).toNanos();

    private static final long RENEW_RETRY_JITTER_NANOS = Duration.ofMillis(50).toNanos();

    /**
     * Additional delay before claiming per rank, so that lower-ranked daemons claim only workers that stay unclaimed.
     */
    private static final long RANK_DELAY_NANOS = Duration.ofMillis(1500).toNanos();

    private static final long HANDOVER_DELAY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long HANDOVER_JITTER_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long HANDOVER_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    private final DaemonId self;
    private final Semaphore handoverPermits;
    private final SplittableRandom random;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<WorkerId, Lease> leases = new HashMap<>();
    private Set<DaemonId> rankedDaemons = Set.of();

    LeaseShard(DaemonId self, long seed, Semaphore handoverPermits) {
        this.self = self;
        this.handoverPermits = handoverPermits;
        this.random = new SplittableRandom(seed);
    }

    /** Applies the host list. A worker missing from it is removed only if its lease is free. */
    void updateHosts(Map<WorkerId, Worker> listed, long now) {
        lock.lock();
        try {
            leases.values().removeIf(lease -> !listed.containsKey(lease.worker.id()) && lease.state instanceof Free);
            for (Lease lease : leases.values()) {
                lease.onHostList = listed.containsKey(lease.worker.id());
            }
            for (Worker worker : listed.values()) {
                Lease lease = leases.computeIfAbsent(worker.id(), id -> new Lease(worker, claimTime(worker.id(), now)));
                lease.rank = rankOf(worker.id());
                lease.drained &= worker.leaving();
                lease.worker = worker;
            }
        } finally {
            lock.unlock();
        }
    }

    void tick(LeaseContext context, Optional<Long> drainDeadline, long now, List<LeaseAction> target) {
        lock.lock();
        try {
            if (!context.eligible().equals(rankedDaemons)) {
                updateRanks(context.eligible(), now);
            }
            for (Lease lease : leases.values()) {
                switch (lease.state) {
                    case Free free -> tryClaim(lease, free, context, drainDeadline, now, target);
                    case Held held -> processHeld(lease, held, context, drainDeadline, now, target);
                    case Claiming claiming -> {}
                    case Releasing releasing -> {}
                }
            }
        } finally {
            lock.unlock();
        }
    }

    void onEvent(LeaseEvent event, long now, List<LeaseAction> target) {
        lock.lock();
        try {
            Lease lease = leases.get(event.worker());
            if (lease == null) {
                return;
            }
            switch (event) {
                case LeaseEvent.Granted granted -> onGranted(lease, granted, now);
                case LeaseEvent.Refused refused -> onLost(lease, now, target);
                case LeaseEvent.Unanswered unanswered -> onUnanswered(lease, now, target);
                case LeaseEvent.Released released -> lease.state = new Free(claimTime(lease.worker.id(), now));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Adds the workers that are held, being claimed or being released to {@code target}. */
    void addWorkersInUse(List<WorkerId> target) {
        lock.lock();
        try {
            leases.values().stream()
                    .filter(lease -> !(lease.state instanceof Free))
                    .forEach(lease -> target.add(lease.worker.id()));
        } finally {
            lock.unlock();
        }
    }

    private void tryClaim(
            Lease lease,
            Free free,
            LeaseContext context,
            Optional<Long> drainDeadline,
            long now,
            List<LeaseAction> target) {
        boolean claimable = lease.onHostList
                && !lease.drained
                && drainDeadline.isEmpty()
                && context.freshness().allowsStarts();
        if (!claimable || now - free.notBefore() < 0) {
            return;
        }
        if (context.heldByPeer().test(lease.worker.id())) {
            lease.state = new Free(claimTime(lease.worker.id(), now));
            return;
        }
        lease.state = new Claiming();
        target.add(new LeaseAction.Claim(lease.worker));
    }

    private void processHeld(
            Lease lease,
            Held held,
            LeaseContext context,
            Optional<Long> drainDeadline,
            long now,
            List<LeaseAction> target) {
        if (held.renewing()) {
            return;
        }
        if (now - held.validUntil() >= 0) {
            drop(lease, held, now, target);
            return;
        }
        int requests = context.requestsInFlight().applyAsInt(lease.worker.id());
        boolean empty = lease.worker.leaving() && held.tasks() == 0 && requests == 0;
        if (empty || !context.freshness().allowsStarts()) {
            lease.drained = empty;
            release(lease, held, target);
            return;
        }
        boolean draining = drainDeadline.isPresent();
        boolean shouldHandOver = draining || lease.rank > 0;
        switch (held.handover()) {
            case Handover.Idle idle -> {
                boolean startHandover =
                        draining || (shouldHandOver && now - idle.notBefore() >= 0 && handoverPermits.tryAcquire());
                if (startHandover) {
                    held = held.withHandover(
                            new Handover.Paused(drainDeadline.orElse(now + HANDOVER_TIMEOUT_NANOS), !draining));
                    target.add(new LeaseAction.Pause(lease.worker, held.epoch()));
                }
            }
            case Handover.Paused paused -> {
                if (!shouldHandOver) {
                    releaseHandoverPermit(held);
                    held = held.withHandover(idleHandover(now));
                    target.add(new LeaseAction.Resume(lease.worker, held.epoch()));
                } else if (requests == 0 || now - drainDeadline.orElse(paused.deadline()) >= 0) {
                    // A release does not interrupt requests; the next holder charges those that are still running.
                    release(lease, held, target);
                    return;
                }
            }
        }
        lease.state = held;
        if (now - held.renewAt() >= 0) {
            lease.state = held.withRenewalSent();
            target.add(new LeaseAction.Renew(lease.worker, held.epoch()));
        }
    }

    private void onGranted(Lease lease, LeaseEvent.Granted granted, long now) {
        Handover handover = lease.state instanceof Held held ? held.handover() : idleHandover(now);
        long validUntil = WorkerLeases.validUntil(granted.sentAt());
        // Half of the interval is random, which spreads the renewals of many workers over time.
        long interval = WorkerLeases.MAX_RENEW_INTERVAL.toNanos();
        long renewAt = granted.sentAt() + interval / 2 + random.nextLong(interval / 2);
        lease.state = new Held(granted.epoch(), validUntil, renewAt, false, handover, granted.tasks());
    }

    private void onLost(Lease lease, long now, List<LeaseAction> target) {
        if (lease.state instanceof Held held) {
            drop(lease, held, now, target);
        } else {
            lease.state = new Free(retryTime(lease, now));
        }
    }

    private void onUnanswered(Lease lease, long now, List<LeaseAction> target) {
        if (lease.state instanceof Held held && now - held.validUntil() < 0) {
            lease.state = held.withRenewalAt(now + random.nextLong(RENEW_RETRY_JITTER_NANOS));
        } else {
            onLost(lease, now, target);
        }
    }

    private void drop(Lease lease, Held held, long now, List<LeaseAction> target) {
        releaseHandoverPermit(held);
        lease.state = new Free(retryTime(lease, now));
        target.add(new LeaseAction.Drop(lease.worker, held.epoch()));
    }

    private void release(Lease lease, Held held, List<LeaseAction> target) {
        releaseHandoverPermit(held);
        lease.state = new Releasing();
        target.add(new LeaseAction.Release(lease.worker, held.epoch()));
    }

    private void releaseHandoverPermit(Held held) {
        if (held.handover() instanceof Handover.Paused paused && paused.usesPermit()) {
            handoverPermits.release();
        }
    }

    private Handover.Idle idleHandover(long now) {
        return new Handover.Idle(now + HANDOVER_DELAY_NANOS + random.nextLong(HANDOVER_JITTER_NANOS));
    }

    private void updateRanks(Set<DaemonId> eligible, long now) {
        rankedDaemons = eligible;
        for (Lease lease : leases.values()) {
            int previousRank = lease.rank;
            lease.rank = rankOf(lease.worker.id());
            if (lease.rank != previousRank && lease.state instanceof Free) {
                lease.state = new Free(claimTime(lease.worker.id(), now));
            } else if (previousRank == 0
                    && lease.rank > 0
                    && lease.state instanceof Held held
                    && isHandoverIdle(held)) {
                // Workers are handed over only to a daemon that has been available for a while after joining.
                lease.state = held.withHandover(idleHandover(now));
            }
        }
    }

    private static boolean isHandoverIdle(Held held) {
        return held.handover() instanceof Handover.Idle;
    }

    /** Returns the number of eligible daemons that rank before this one for the worker. */
    private int rankOf(WorkerId worker) {
        long ownScore = Hashing.rendezvous(worker.value(), self.value());
        int rank = 0;
        for (DaemonId daemon : rankedDaemons) {
            long otherScore = Hashing.rendezvous(worker.value(), daemon.value());
            boolean ranksBefore = otherScore > ownScore || (otherScore == ownScore && daemon.compareTo(self) < 0);
            if (ranksBefore) {
                rank++;
            }
        }
        return rank;
    }

    private long claimTime(WorkerId worker, long now) {
        return now + rankOf(worker) * RANK_DELAY_NANOS + random.nextLong(CLAIM_JITTER_NANOS);
    }

    private long retryTime(Lease lease, long now) {
        return now + lease.rank * RANK_DELAY_NANOS + MIN_RETRY_DELAY_NANOS + random.nextLong(RETRY_JITTER_NANOS);
    }

    /** The lease of one worker; guarded by the lock of the shard. */
    private static final class Lease {
        private Worker worker;
        private LeaseState state;
        private int rank;
        private boolean onHostList = true;

        /** Whether the worker is leaving and has no work left, so that it need not be claimed again. */
        private boolean drained;

        private Lease(Worker worker, long notBefore) {
            this.worker = worker;
            this.state = new Free(notBefore);
        }
    }
}
