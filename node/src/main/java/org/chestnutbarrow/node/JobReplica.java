package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;

/**
 * This node's copy of all jobs and their progress. Safe for use by several threads: jobs lie in shards by their ids, each
 * under its own lock.
 */
final class JobReplica {
    /** Enough that two requests rarely wait for each other; a node has one core. */
    private static final int SHARDS = 16;

    private static final String JOB = "j/";
    private static final String CANCEL = "c/";
    /** Key of the member that owns the workers; no job has it as its id. */
    private static final String OWNER = "owner/";
    /** Key of the lives that have not answered the owner; no job has it as its id. */
    private static final String SILENT = "silent/";
    /** Key of what owners have learned about disturbance; no job has it as its id. */
    private static final String LEARNED = "learned/";

    /**
     * Newest progress of a job. Only an owner needs the tasks, so they stay encoded.
     *
     * @param state where the job stands
     * @param record the record as stored
     * @param offset its position in the topic
     */
    private record Progress(JobState state, byte[] record, long offset) {
        /** Whether the job has ended and none of its tasks is left on a worker. */
        boolean settled() {
            return state.isFinal() && ProgressCodec.withoutTasks(record);
        }
    }

    /**
     * All that is known of one job.
     *
     * @param spec the job
     * @param cancelled whether its cancellation stands in the store
     * @param stored the newest progress, if there is one
     */
    record Known(JobSpec spec, boolean cancelled, Optional<Progress> stored) {
        /** Whether its end stands in the store, so that its state never changes again. */
        boolean ended() {
            return stored.isPresent() && stored.get().state().isFinal();
        }

        JobState state() {
            JobState state = stored.map(Progress::state).orElse(JobState.QUEUED);
            return cancelled && !state.isFinal() ? JobState.CANCELLED : state;
        }

        /** The progress with its tasks, which are decoded by each call; empty if they cannot be read. */
        Optional<JobProgress> progress() {
            if (stored.isEmpty()) {
                return Optional.empty();
            }
            try {
                return Optional.of(
                        ProgressCodec.progress(spec.id(), stored.get().record()));
            } catch (InvalidInputException e) {
                unreadable(StateStore.Topic.PROGRESS, spec.id().value(), e);
                return Optional.empty();
            }
        }
    }

    /** Jobs of one shard, guarded by its monitor. */
    private static final class Shard {
        final Map<JobId, JobSpec> specs = new HashMap<>();
        final Set<JobId> cancelled = new HashSet<>();
        final Map<JobId, Progress> progress = new HashMap<>();
        /** Number of queued jobs by the keys of their queues; a queue without any is absent. */
        final Map<String, Integer> pending = new HashMap<>();

        Optional<Known> known(JobId id) {
            return Optional.ofNullable(specs.get(id))
                    .map(spec -> new Known(spec, cancelled.contains(id), Optional.ofNullable(progress.get(id))));
        }

        /** Changes what is known of a job and keeps the numbers of queued jobs. */
        synchronized void change(JobId id, Runnable change) {
            count(id, -1);
            change.run();
            count(id, 1);
        }

        private void count(JobId id, int by) {
            known(id)
                    .filter(known -> known.state() == JobState.QUEUED)
                    .ifPresent(known -> pending.merge(
                            known.spec().queue().key(), by, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b)));
        }
    }

    private final List<Shard> shards = new ArrayList<>();
    private volatile Consumer<JobId> onChange = _ -> {};
    private volatile ObjLongConsumer<List<StateStore.Entry>> onStored = (_, _) -> {};
    private volatile Optional<OwnerRecord> owner = Optional.empty();
    private volatile List<Sensitivity> learned = List.of();
    private volatile Map<TaskRecord.WorkerIncarnation, Duration> silent = Map.of();

    JobReplica() {
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new Shard());
        }
    }

    static StateStore.Entry jobEntry(JobSpec job) {
        return new StateStore.Entry(JOB + job.id().value(), Optional.of(StateCodec.encode(job)));
    }

    static StateStore.Entry cancelEntry(JobId job) {
        return new StateStore.Entry(CANCEL + job.value(), Optional.of(new byte[] {1}));
    }

    /** Drops a job and its cancellation. */
    static List<StateStore.Entry> dropped(JobId job) {
        return List.of(
                new StateStore.Entry(CANCEL + job.value(), Optional.empty()),
                new StateStore.Entry(JOB + job.value(), Optional.empty()));
    }

    static StateStore.Entry progressEntry(JobProgress progress) {
        return new StateStore.Entry(progress.id().value(), Optional.of(ProgressCodec.encode(progress)));
    }

    static StateStore.Entry learnedEntry(List<Sensitivity> learned) {
        return new StateStore.Entry(LEARNED, Optional.of(StateCodec.encode(learned)));
    }

    /** What the latest owner has learned about disturbance. */
    List<Sensitivity> learned() {
        return learned;
    }

    static StateStore.Entry ownerEntry(OwnerRecord owner) {
        return new StateStore.Entry(OWNER, Optional.of(StateCodec.encode(owner)));
    }

    /** The member that took ownership last. */
    Optional<OwnerRecord> owner() {
        return owner;
    }

    static StateStore.Entry silentEntry(Map<TaskRecord.WorkerIncarnation, Duration> silent) {
        return new StateStore.Entry(SILENT, Optional.of(StateCodec.encode(silent)));
    }

    /** For how long lives have not answered earlier owners. */
    Map<TaskRecord.WorkerIncarnation, Duration> silent() {
        return silent;
    }

    /** Is told of each job that was added or cancelled. */
    void onChange(Consumer<JobId> listener) {
        onChange = listener;
    }

    Optional<Known> find(JobId id) {
        Shard shard = shard(id);
        synchronized (shard) {
            return shard.known(id);
        }
    }

    /** Number of jobs of a queue that have not started. */
    int pending(String queueKey) {
        int sum = 0;
        for (Shard shard : shards) {
            synchronized (shard) {
                sum += shard.pending.getOrDefault(queueKey, 0);
            }
        }
        return sum;
    }

    /** All jobs of which {@code which} holds. */
    List<Known> all(Predicate<Known> which) {
        List<Known> result = new ArrayList<>();
        for (Shard shard : shards) {
            synchronized (shard) {
                for (JobId id : shard.specs.keySet()) {
                    shard.known(id).filter(which).ifPresent(result::add);
                }
            }
        }
        return result;
    }

    /** Jobs that have ended with all their runs, also those that were dropped and whose progress is left. */
    Set<JobId> ended() {
        Set<JobId> result = new HashSet<>();
        for (Shard shard : shards) {
            synchronized (shard) {
                shard.progress.forEach((id, progress) -> {
                    if (progress.settled()) {
                        result.add(id);
                    }
                });
            }
        }
        return result;
    }

    /** Takes entries of the progress topic that this node has stored itself, the first of them at {@code offset}. */
    void stored(List<StateStore.Entry> entries, long offset) {
        for (int i = 0; i < entries.size(); i++) {
            progress(entries.get(i).key(), entries.get(i).value(), offset + i);
        }
        onStored.accept(entries, offset);
    }

    /** Is told of entries of the progress topic that this node has stored itself, with the offset of the first. */
    void onStored(ObjLongConsumer<List<StateStore.Entry>> listener) {
        onStored = listener;
    }

    /** Takes a job that this node has stored itself. */
    void accepted(JobSpec job) {
        Shard shard = shard(job.id());
        shard.change(job.id(), () -> shard.specs.putIfAbsent(job.id(), job));
        onChange.accept(job.id());
    }

    /** Takes a cancellation that this node has stored itself. */
    void cancelled(JobId id) {
        Shard shard = shard(id);
        shard.change(id, () -> shard.cancelled.add(id));
        onChange.accept(id);
    }

    /** Listens to the jobs topic. */
    TopicFollower.Listener jobs() {
        return new TopicFollower.Listener() {
            @Override
            public void replaced(StateStore.Snapshot snapshot) {
                // A job whose end was missed together with its removal would stay queued or running here.
                retainJobs(snapshot.values().keySet());
                snapshot.values().forEach((key, value) -> job(key, Optional.of(value)));
            }

            @Override
            public void changed(StateStore.Stored stored) {
                job(stored.entry().key(), stored.entry().value());
            }
        };
    }

    /** Listens to the progress topic. */
    TopicFollower.Listener progress() {
        return new TopicFollower.Listener() {
            @Override
            public void replaced(StateStore.Snapshot snapshot) {
                retainProgress(snapshot);
                snapshot.values().forEach((key, value) -> progress(key, Optional.of(value), snapshot.next() - 1));
            }

            @Override
            public void changed(StateStore.Stored stored) {
                progress(stored.entry().key(), stored.entry().value(), stored.offset());
            }
        };
    }

    private void retainJobs(Set<String> keys) {
        for (Shard shard : shards) {
            List<JobId> known;
            synchronized (shard) {
                known = new ArrayList<>(shard.specs.keySet());
                known.addAll(shard.cancelled);
            }
            known.stream().filter(id -> !keys.contains(JOB + id.value())).forEach(id -> forget(id, true));
            known.stream().filter(id -> !keys.contains(CANCEL + id.value())).forEach(id -> forget(id, false));
        }
    }

    /** Progress that was stored after the snapshot was begun may be missing in it. */
    private void retainProgress(StateStore.Snapshot snapshot) {
        for (Shard shard : shards) {
            Map<JobId, Progress> known;
            synchronized (shard) {
                known = Map.copyOf(shard.progress);
            }
            known.forEach((id, progress) -> {
                if (progress.offset() < snapshot.next() && !snapshot.values().containsKey(id.value())) {
                    forget(id);
                }
            });
        }
    }

    private void job(String key, Optional<byte[]> value) {
        try {
            JobId id = new JobId(key.substring(JOB.length()));
            if (value.isEmpty()) {
                forget(id, key.startsWith(JOB));
            } else if (key.startsWith(CANCEL)) {
                cancelled(id);
            } else if (key.startsWith(JOB)) {
                accepted(StateCodec.job(value.get()));
            }
        } catch (InvalidInputException | IllegalArgumentException | IndexOutOfBoundsException e) {
            unreadable(StateStore.Topic.JOBS, key, e);
        }
    }

    private void forget(JobId id, boolean spec) {
        Shard shard = shard(id);
        shard.change(id, () -> {
            if (spec) {
                shard.specs.remove(id);
            } else {
                shard.cancelled.remove(id);
            }
        });
    }

    /** A job is dropped before its progress, so a copy of the jobs that lags must not show it as queued. */
    private void forget(JobId id) {
        Shard shard = shard(id);
        shard.change(id, () -> {
            shard.progress.remove(id);
            shard.specs.remove(id);
            shard.cancelled.remove(id);
        });
    }

    private void progress(String key, Optional<byte[]> value, long offset) {
        try {
            if (key.equals(OWNER)) {
                owner = value.isPresent() ? Optional.of(StateCodec.owner(value.get())) : Optional.empty();
                return;
            }
            if (key.equals(SILENT)) {
                silent = value.isPresent() ? StateCodec.silent(value.get()) : Map.of();
                return;
            }
            if (key.equals(LEARNED)) {
                learned = value.isPresent() ? StateCodec.learned(value.get()) : List.of();
                return;
            }
            JobId id = new JobId(key);
            Shard shard = shard(id);
            if (value.isPresent()) {
                Progress next = new Progress(ProgressCodec.state(value.get()), value.get(), offset);
                shard.change(id, () -> shard.progress.merge(id, next, (a, b) -> a.offset() <= b.offset() ? b : a));
            } else {
                forget(id);
            }
        } catch (InvalidInputException | IllegalArgumentException e) {
            unreadable(StateStore.Topic.PROGRESS, key, e);
        }
    }

    private static void unreadable(StateStore.Topic topic, String key, Exception cause) {
        Events.warn("record-unreadable", "topic", topic, "key", key, "cause", cause.getMessage());
    }

    private Shard shard(JobId id) {
        return shards.get(Math.floorMod(id.hashCode(), SHARDS));
    }
}
