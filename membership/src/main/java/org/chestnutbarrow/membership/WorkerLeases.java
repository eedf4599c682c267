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
 * Which workers this daemon should claim, renew or hand over. Safe for use by several threads: workers lie in shards by
 * hash of their id, each under its own lock.
 *
 * <p>Each worker ranks the daemons by rendezvous hashing. The first one claims it; a later one claims it only if nobody
 * has for a while, and hands it over when the first one is back. Invariant: at most one command to a worker is under
 * way at a time.
 *
 * <pre>{@code
 * for (LeaseEffect effect : leases.tick(view)) { execute(effect); }
 * for (LeaseEffect effect : leases.on(new LeaseEvent.Granted(worker, epoch, sentAt, 0))) { execute(effect); }
 * }</pre>
 */
public final class WorkerLeases {
    /** Time after which a worker takes its lease back unless it is renewed. */
    public static final Duration TERM = Duration.ofSeconds(2);

    /** Longest interval between renewals. */
    public static final Duration RENEW_EVERY = Duration.ofMillis(500);

    /** Most workers that are being handed over to other daemons at a time. */
    public static final int MAX_HAND_OVERS = 8;

    /** The share of the term after which the holder stops using it: the worker's clock may run 10% faster. */
    private static final int VALID_PERCENT = 90;

    private static final int SHARDS = 16;

    private final TimeSource time;
    private final LeaseShard[] shards = new LeaseShard[SHARDS];
    private volatile Optional<Long> drainBy = Optional.empty();

    /**
     * Creates a view without workers.
     *
     * @param incarnation incarnation of this process; makes its random delays differ from those of others
     */
    public WorkerLeases(DaemonId self, long incarnation, TimeSource time) {
        this.time = time;
        Semaphore handOvers = new Semaphore(MAX_HAND_OVERS);
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new LeaseShard(self, Hashing.hash(self + "/" + incarnation + "/" + i), handOvers);
        }
    }

    /** Monotonic time until which a lease holds for certain, if it was granted for a command sent at {@code sentAt}. */
    public static long validUntil(long sentAt) {
        return sentAt + TERM.toNanos() * VALID_PERCENT / 100;
    }

    /** Takes the host list. It lags: a worker missing on it is kept while its lease still renews. */
    public void hosts(Collection<Worker> workers) {
        List<Map<WorkerId, Worker>> parts = new ArrayList<>();
        for (int i = 0; i < SHARDS; i++) {
            parts.add(new HashMap<>());
        }
        workers.forEach(worker -> parts.get(index(worker.id())).put(worker.id(), worker));
        for (int i = 0; i < SHARDS; i++) {
            shards[i].hosts(parts.get(i), time.nanos());
        }
    }

    /** What is due now; call it several times in each {@link #RENEW_EVERY}. */
    public List<LeaseEffect> tick(LeaseView view) {
        List<LeaseEffect> effects = new ArrayList<>();
        for (LeaseShard shard : shards) {
            shard.tick(view, drainBy, time.nanos(), effects);
        }
        return effects;
    }

    /** Takes the end of a command; returns what follows from it at once. */
    public List<LeaseEffect> on(LeaseEvent event) {
        List<LeaseEffect> effects = new ArrayList<>();
        shards[index(event.worker())].on(event, time.nanos(), effects);
        return effects;
    }

    /**
     * From now on nothing is claimed, and all workers are handed over without a bound on their number: each as soon as no
     * request runs on it, and all after {@code limit}.
     */
    public void drain(Duration limit) {
        drainBy = Optional.of(time.nanos() + limit.toNanos());
    }

    /** Workers that are held, being claimed or being released. */
    public List<WorkerId> busy() {
        List<WorkerId> busy = new ArrayList<>();
        for (LeaseShard shard : shards) {
            shard.busy(busy);
        }
        return busy;
    }

    private static int index(WorkerId worker) {
        return Math.floorMod(Hashing.hash(worker.value()), SHARDS);
    }
}
