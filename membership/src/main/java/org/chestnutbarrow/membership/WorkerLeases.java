package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Decides which worker leases this daemon claims, renews, releases or hands over. Thread-safe: workers are sharded by
 * the hash of their id, and each shard has its own lock.
 *
 * <p>Rendezvous hashing ranks the daemons for each worker. The daemon ranked first claims the worker. A daemon ranked
 * lower claims it only after it has been unclaimed for a while, and hands it over once the first daemon is available
 * again. Invariant: at most one command per worker is in flight at a time.
 *
 * <pre>{@code
 * for (LeaseEffect effect : leases.tick(context)) { execute(action); }
 * for (LeaseEffect effect : leases.onEvent(new LeaseEvent.Granted(worker, epoch, sentAt, 0))) { execute(action); }
 * }</pre>
 */
public final class WorkerLeases {
    /** Duration of a lease; the worker ends a lease that is not renewed within it. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(2);

    /** Maximum interval between two renewals of a lease. */
    public static final Duration MAX_RENEW_INTERVAL = Duration.ofMillis(500);

    /** Maximum number of workers being handed over to other daemons at the same time. */
    public static final int MAX_CONCURRENT_HANDOVERS = 8;

    /** Percentage of the lease duration that the holder uses, because the worker's clock may run up to 10% faster. */
    private static final int VALID_PERCENT = 90;

    private static final int SHARDS = 16;

    private final TimeSource time;
    private final LeaseShard[] shards = new LeaseShard[SHARDS];
    private volatile Optional<Long> drainDeadline = Optional.empty();

    /**
     * Creates an instance that knows no workers.
     *
     * @param incarnation incarnation of this process; part of the seed, so that random delays differ between processes
     */
    public WorkerLeases(DaemonId self, long incarnation, TimeSource time) {
        this.time = time;
        Semaphore handoverPermits = new Semaphore(MAX_CONCURRENT_HANDOVERS);
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new LeaseShard(self, Hashing.hash(self + "/" + incarnation + "/" + i), handoverPermits);
        }
    }

    /**
     * Returns the monotonic time until which a lease is guaranteed to be valid if it was granted in answer to a command
     * sent at {@code sentAt}.
     */
    public static long validUntil(long sentAt) {
        return sentAt + LEASE_DURATION.toNanos() * VALID_PERCENT / 100;
    }

    /** Applies the host list. The list may lag, so a missing worker is kept as long as its lease can be renewed. */
    public void updateHosts(Collection<Worker> workers) {
        List<Map<WorkerId, Worker>> workersByShard = new ArrayList<>();
        for (int i = 0; i < SHARDS; i++) {
            workersByShard.add(new HashMap<>());
        }
        workers.forEach(worker -> workersByShard.get(shardIndex(worker.id())).put(worker.id(), worker));
        for (int i = 0; i < SHARDS; i++) {
            shards[i].updateHosts(workersByShard.get(i), time.nanos());
        }
    }

    /** Returns the actions that are due now. Must be called several times per {@link #MAX_RENEW_INTERVAL}. */
    public List<LeaseAction> tick(LeaseContext context) {
        List<LeaseAction> actions = new ArrayList<>();
        for (LeaseShard shard : shards) {
            shard.tick(context, drainDeadline, time.nanos(), actions);
        }
        return actions;
    }

    /** Processes the outcome of a command and returns the actions that follow from it immediately. */
    public List<LeaseAction> onEvent(LeaseEvent event) {
        List<LeaseAction> actions = new ArrayList<>();
        shards[shardIndex(event.worker())].onEvent(event, time.nanos(), actions);
        return actions;
    }

    /**
     * Stops claiming workers and hands over all held ones, ignoring {@link #MAX_CONCURRENT_HANDOVERS}. A worker is
     * released as soon as no request runs on it, and at the latest after {@code limit}.
     */
    public void drain(Duration limit) {
        drainDeadline = Optional.of(time.nanos() + limit.toNanos());
    }

    /** Returns the workers that are held, being claimed or being released. */
    public List<WorkerId> workersInUse() {
        List<WorkerId> inUse = new ArrayList<>();
        for (LeaseShard shard : shards) {
            shard.addWorkersInUse(inUse);
        }
        return inUse;
    }

    private static int shardIndex(WorkerId worker) {
        return Math.floorMod(Hashing.hash(worker.value()), SHARDS);
    }
}
