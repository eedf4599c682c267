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

/** Appends ends of attempts in one batch per job shard and second. Safe for use by several threads. */
final class EndsWriter {
    private static final long INTERVAL = Duration.ofSeconds(1).toNanos();

    /** Ends in one record, so that it stays well under the log's 1 MiB. */
    private static final int BATCH = 2_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Integer, Pending> shards = new HashMap<>();
    private final TimeSource time;
    private final JobLog log;
    private final Executor executor;
    private final Consumer<EndsLogged> logged;

    EndsWriter(TimeSource time, JobLog log, Executor executor, Consumer<EndsLogged> logged) {
        this.time = time;
        this.log = log;
        this.executor = executor;
        this.logged = logged;
    }

    /** Ends of one shard that wait to be appended. */
    private static final class Pending {
        private final List<TaskEnd> ends = new ArrayList<>();
        private long epoch;
        private long due;
        private boolean writing;
    }

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

    /** Appends what is due, each shard on a thread of its own. */
    void tick() {
        lock.lock();
        try {
            long now = time.nanos();
            shards.forEach((shard, pending) -> {
                if (!pending.ends.isEmpty() && !pending.writing && now - pending.due >= 0) {
                    pending.writing = true;
                    pending.due = now + INTERVAL;
                    List<TaskEnd> batch = List.copyOf(pending.ends.subList(0, Math.min(BATCH, pending.ends.size())));
                    long epoch = pending.epoch;
                    executor.execute(() -> write(shard, epoch, batch));
                }
            });
        } finally {
            lock.unlock();
        }
    }

    private void write(int shard, long epoch, List<TaskEnd> batch) {
        boolean done = false;
        try {
            log.append(shard, epoch, batch);
            done = true;
        } catch (SchedulerException e) {
            // Readers count the first end of an attempt, so the batch may be appended again.
            Events.warn("ends-not-logged", "shard", shard, "ends", batch.size(), "reason", e.getMessage());
        } finally {
            written(shard, epoch, batch, done);
        }
        if (done) {
            logged.accept(new EndsLogged(shard, batch));
        }
    }

    private void written(int shard, long epoch, List<TaskEnd> batch, boolean done) {
        lock.lock();
        try {
            Pending pending = shards.get(shard);
            pending.writing = false;
            if (done && pending.epoch == epoch) {
                pending.ends.subList(0, batch.size()).clear();
            }
        } finally {
            lock.unlock();
        }
    }
}
