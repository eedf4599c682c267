package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.SchedulerException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.placement.PlacementEffect.AppendEnd;
import org.chestnutbarrow.placement.PlacementEvent.EndsLogged;

/** Appends the ends of attempts to the log in one batch per job shard and second. Safe for use by several threads. */
final class TaskEndWriter {
    private static final long APPEND_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** Maximum number of ends per record; keeps the record well below the 1 MiB limit of the log. */
    private static final int MAX_BATCH_SIZE = 2_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Integer, Pending> shards = new HashMap<>();
    private final TimeSource time;
    private final JobLog log;
    private final Executor executor;
    private final Consumer<EndsLogged> onLogged;

    TaskEndWriter(TimeSource time, JobLog log, Executor executor, Consumer<EndsLogged> onLogged) {
        this.time = time;
        this.log = log;
        this.executor = executor;
        this.onLogged = onLogged;
    }

    /** The ends of one shard that have not been appended; guarded by the lock. */
    private static final class Pending {
        private final List<TaskEnd> ends = new ArrayList<>();
        private long epoch;
        private long nextAppendAt;
        private boolean writing;
    }

    /** Queues an end; drops it if a newer epoch of its shard is known, and drops the ends of older epochs. */
    void add(AppendEnd effect) {
        lock.lock();
        try {
            Pending pending = shards.computeIfAbsent(effect.shard(), shard -> new Pending());
            if (effect.epoch() > pending.epoch) {
                pending.ends.clear();
                pending.epoch = effect.epoch();
            }
            if (effect.epoch() == pending.epoch) {
                pending.ends.add(effect.end());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Appends the batches that are due, each shard on its own thread. */
    void tick() {
        lock.lock();
        try {
            long now = time.nanos();
            shards.forEach((shard, pending) -> {
                if (!pending.ends.isEmpty() && !pending.writing && now - pending.nextAppendAt >= 0) {
                    pending.writing = true;
                    pending.nextAppendAt = now + APPEND_INTERVAL_NANOS;
                    List<TaskEnd> batch =
                            List.copyOf(pending.ends.subList(0, Math.min(MAX_BATCH_SIZE, pending.ends.size())));
                    long epoch = pending.epoch;
                    executor.execute(() -> write(shard, epoch, batch));
                }
            });
        } finally {
            lock.unlock();
        }
    }

    private void write(int shard, long epoch, List<TaskEnd> batch) {
        boolean appended = false;
        try {
            log.appendEnds(shard, epoch, batch);
            appended = true;
        } catch (SchedulerException e) {
            // Readers apply only the first end of an attempt, so the batch may safely be appended again.
            Events.warn("ends-not-logged", "shard", shard, "ends", batch.size(), "reason", e.getMessage());
        } finally {
            finishWrite(shard, epoch, batch, appended);
        }
        if (appended) {
            onLogged.accept(new EndsLogged(shard, batch));
        }
    }

    private void finishWrite(int shard, long epoch, List<TaskEnd> batch, boolean appended) {
        lock.lock();
        try {
            Pending pending = shards.get(shard);
            pending.writing = false;
            if (appended && pending.epoch == epoch) {
                pending.ends.subList(0, batch.size()).clear();
            }
        } finally {
            lock.unlock();
        }
    }
}
