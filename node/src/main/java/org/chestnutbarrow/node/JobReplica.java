package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;

/**
 * Local replica of all jobs and their progress. Thread-safe: jobs are sharded by id, and each shard has its own lock.
 */
final class JobReplica {
    /** Enough shards to make lock contention rare on a node, which has one core. */
    private static final int SHARD_COUNT = 16;

    private static final String JOB_PREFIX = "j/";
    private static final String CANCEL_PREFIX = "c/";
    /** Key of the current owner of the workers; cannot be a job id. */
    static final String OWNER_KEY = "owner/";
    /** Key of the worker incarnations that have not answered the owner; cannot be a job id. */
    static final String SILENCES_KEY = "silent/";
    /**
     * Key of the sensitivities that the latest owner has learnt; cannot be a job id. Earlier builds store all estimates
     * under it.
     */
    private static final String SENSITIVITIES_KEY = "learned/";
    /** Key of what the latest owner knows of faulty workers and stalled runs; cannot be a job id. */
    private static final String HEALTH_KEY = "health/";

    private static final Set<String> OWNER_RECORD_KEYS = Set.of(OWNER_KEY, SILENCES_KEY, SENSITIVITIES_KEY, HEALTH_KEY);

    /**
     * Newest progress of a job. The tasks stay encoded because only an owner needs them.
     *
     * @param state state of the job
     * @param encoded the record as stored
     * @param offset position of the record in the topic
     */
    record StoredProgress(JobState state, byte[] encoded, long offset) {
        /** Returns whether the job has ended and none of its tasks remains on a worker. */
        boolean isSettled() {
            return state.isFinal() && ProgressCodec.hasNoTasks(encoded);
        }

        /**
         * Returns whether an update may replace this progress. A final state stays until the progress is removed: the
         * offset of a value from a snapshot is only an upper bound, so that an older value may seem to be newer.
         */
        boolean permits(StoredProgress update) {
            return offset <= update.offset() && (!state.isFinal() || state == update.state());
        }
    }

    /**
     * Immutable view of one job.
     *
     * @param spec specification of the job
     * @param cancelled whether a cancellation is stored
     * @param storedProgress the newest stored progress, if there is any
     * @param endRemoved whether that progress is the end of the job and has been removed from the store
     */
    record JobView(JobSpec spec, boolean cancelled, Optional<StoredProgress> storedProgress, boolean endRemoved) {
        /** Returns whether a final state is stored, so that the state never changes again. */
        boolean hasStoredFinalState() {
            return storedProgress.isPresent() && storedProgress.get().state().isFinal();
        }

        /**
         * Returns the state of the job as the owner has stored it. A stored cancellation shows once the owner has recorded
         * it, since the job may have completed before the owner read it.
         */
        JobState state() {
            return storedProgress.map(StoredProgress::state).orElse(JobState.QUEUED);
        }

        /** Returns whether no task is recorded as started and no cancellation is stored. */
        boolean isPending() {
            return !cancelled && state() == JobState.QUEUED;
        }

        /** Decodes the progress with its tasks. */
        ProgressReading progress() {
            if (storedProgress.isEmpty()) {
                return new ProgressReading.None();
            }
            try {
                return new ProgressReading.Decoded(
                        ProgressCodec.decode(spec.id(), storedProgress.get().encoded()));
            } catch (InvalidInputException | RuntimeException e) {
                logUnreadable(StateStore.Topic.PROGRESS, spec.id().value(), e);
                return new ProgressReading.Unreadable(e);
            }
        }
    }

    private final List<JobShard> shards = new ArrayList<>();
    private final SubmissionRates submissionRates;
    private volatile Consumer<JobId> changeListener = _ -> {};
    private volatile ObjLongConsumer<List<StateStore.Entry>> storedListener = (_, _) -> {};
    /** Offsets of the newest records of the owner by key, guarded by its monitor. */
    private final Map<String, Long> ownerRecordOffsets = new HashMap<>();

    private final AtomicReference<OwnerChange> ownerChange = new AtomicReference<>(OwnerChange.NONE);
    private volatile Estimates learnt = Estimates.NONE;
    private volatile Optional<Estimates> health = Optional.empty();
    private volatile Map<TaskRecord.WorkerIncarnation, Duration> silences = Map.of();

    JobReplica(TimeSource time) {
        submissionRates = new SubmissionRates(time);
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new JobShard(time));
        }
    }

    static StateStore.Entry jobEntry(JobSpec job) {
        return new StateStore.Entry(JOB_PREFIX + job.id().value(), Optional.of(StateCodec.encode(job)));
    }

    static StateStore.Entry cancelEntry(JobId job) {
        return new StateStore.Entry(CANCEL_PREFIX + job.value(), Optional.of(new byte[] {1}));
    }

    /** Creates the entries that remove a job and its cancellation. */
    static List<StateStore.Entry> removalEntries(JobId job) {
        return List.of(
                new StateStore.Entry(CANCEL_PREFIX + job.value(), Optional.empty()),
                new StateStore.Entry(JOB_PREFIX + job.value(), Optional.empty()));
    }

    static StateStore.Entry progressEntry(JobProgress progress) {
        return progressEntry(progress, StateStore.Limits.DEFAULT);
    }

    /** Creates the entry of the progress of a job, which is shortened if the store does not accept it in full. */
    static StateStore.Entry progressEntry(JobProgress progress, StateStore.Limits limits) {
        String key = progress.id().value();
        return new StateStore.Entry(key, Optional.of(ProgressCodec.encode(progress, limits.maxValueBytes(key))));
    }

    /** Creates the entry of the first sensitivities, as many as the store accepts. */
    static StateStore.Entry sensitivitiesEntry(List<Sensitivity> sensitivities, StateStore.Limits limits) {
        return new StateStore.Entry(
                SENSITIVITIES_KEY,
                Optional.of(EstimatesCodec.encodeFirst(sensitivities, limits.maxValueBytes(SENSITIVITIES_KEY))));
    }

    /** Creates the entry of the estimates on workers and runs, of the first ones if the store does not accept all. */
    static StateStore.Entry healthEntry(Estimates estimates, StateStore.Limits limits) {
        return new StateStore.Entry(
                HEALTH_KEY, Optional.of(EstimatesCodec.encodeHealth(estimates, limits.maxValueBytes(HEALTH_KEY))));
    }

    /** Returns the estimates that the latest owner has stored. */
    Estimates estimates() {
        Estimates workers = health.orElse(learnt);
        return new Estimates(learnt.sensitivities(), workers.health(), workers.stalledRuns());
    }

    static StateStore.Entry ownerEntry(OwnerRecord owner) {
        return new StateStore.Entry(OWNER_KEY, Optional.of(StateCodec.encode(owner)));
    }

    /** Returns the member that took ownership last. */
    Optional<OwnerRecord> owner() {
        return ownerChange.get().current();
    }

    /** Returns the last change of the owner's record. */
    OwnerChange ownerChange() {
        return ownerChange.get();
    }

    static StateStore.Entry silencesEntry(Map<TaskRecord.WorkerIncarnation, Duration> silences) {
        return new StateStore.Entry(SILENCES_KEY, Optional.of(StateCodec.encode(silences)));
    }

    /** Returns for how long worker incarnations have not answered earlier owners. */
    Map<TaskRecord.WorkerIncarnation, Duration> silences() {
        return silences;
    }

    /** Sets the listener that is called for each job that is added or cancelled, but not for repeated entries. */
    void onChange(Consumer<JobId> listener) {
        changeListener = listener;
    }

    /** Returns the view of a job; empty if the job does not exist. */
    Optional<JobView> find(JobId id) {
        JobShard shard = shard(id);
        synchronized (shard) {
            return shard.view(id);
        }
    }

    /**
     * Returns whether a job that is not known has unsettled progress. A new owner reads the jobs while it fences the
     * earlier one, which may have placed a job that was stored after that read.
     */
    boolean lacksPlacedJobs() {
        for (JobShard shard : shards) {
            synchronized (shard) {
                for (Map.Entry<JobId, StoredProgress> entry : shard.progress.entrySet()) {
                    if (!shard.specs.containsKey(entry.getKey())
                            && !entry.getValue().isSettled()) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Returns the number of pending jobs of a queue, which are those in state {@link JobState#QUEUED}. */
    int pendingJobs(String queueKey) {
        int sum = 0;
        for (JobShard shard : shards) {
            synchronized (shard) {
                sum += shard.pendingByQueue.getOrDefault(queueKey, 0);
            }
        }
        return sum;
    }

    /** Returns the number of pending jobs of a client account. */
    int pendingJobsOfAccount(String account) {
        int sum = 0;
        for (JobShard shard : shards) {
            synchronized (shard) {
                sum += shard.pendingByAccount.getOrDefault(account, 0);
            }
        }
        return sum;
    }

    /** Returns the number of jobs of a client account that were accepted in {@link SubmissionRates#WINDOW}. */
    int recentSubmissions(String account) {
        return submissionRates.recent(account);
    }

    /** Returns all jobs that match a filter. */
    List<JobView> findAll(Predicate<JobView> filter) {
        List<JobView> result = new ArrayList<>();
        for (JobShard shard : shards) {
            synchronized (shard) {
                for (JobId id : shard.specs.keySet()) {
                    shard.view(id).filter(filter).ifPresent(result::add);
                }
            }
        }
        return result;
    }

    /** Returns the number of jobs whose end is remembered although their progress was removed. */
    int removedEnds() {
        return shards.stream().mapToInt(JobShard::removedEnds).sum();
    }

    /** Returns the jobs with records that can be removed at some time. */
    EndedJobs endedJobs() {
        Map<JobId, Duration> settledFor = new HashMap<>();
        Map<JobId, Duration> removedFor = new HashMap<>();
        Map<JobId, Duration> cancelledUnknownFor = new HashMap<>();
        shards.forEach(shard -> shard.addTimes(settledFor, removedFor, cancelledUnknownFor));
        return new EndedJobs(settledFor, removedFor, cancelledUnknownFor);
    }

    /** Applies entries of the progress topic that this node has stored, the first of them at {@code firstOffset}. */
    void applyStored(List<StateStore.Entry> entries, long firstOffset) {
        for (int i = 0; i < entries.size(); i++) {
            applyProgressEntry(entries.get(i).key(), entries.get(i).value(), firstOffset + i);
        }
        storedListener.accept(entries, firstOffset);
    }

    /** Sets the listener for progress entries that this node has stored; it receives the offset of the first one. */
    void onStored(ObjLongConsumer<List<StateStore.Entry>> listener) {
        storedListener = listener;
    }

    /** Applies a stored job. */
    void applyJob(JobSpec job) {
        JobShard shard = shard(job.id());
        if (shard.update(job.id(), () -> shard.addSpec(job))) {
            submissionRates.record(job.account(), job.submitted());
            changeListener.accept(job.id());
        }
    }

    /** Applies a stored cancellation. */
    void applyCancellation(JobId id) {
        JobShard shard = shard(id);
        if (shard.update(id, () -> shard.cancelled.add(id))) {
            changeListener.accept(id);
        }
    }

    /** Returns a listener that applies the jobs topic. */
    TopicFollower.Listener jobsListener() {
        return new TopicFollower.Listener() {
            @Override
            public void onSnapshot(StateStore.Snapshot snapshot) {
                // Otherwise a job whose end and removal were both missed would stay queued or running here.
                retainJobs(snapshot.values().keySet());
                snapshot.values().forEach((key, value) -> applyJobEntry(key, Optional.of(value)));
            }

            @Override
            public void onEntry(StateStore.StoredEntry stored) {
                applyJobEntry(stored.entry().key(), stored.entry().value());
            }
        };
    }

    /** Returns a listener that applies the progress topic. */
    TopicFollower.Listener progressListener() {
        return new TopicFollower.Listener() {
            @Override
            public void onSnapshot(StateStore.Snapshot snapshot) {
                retainProgress(snapshot);
                snapshot.values()
                        .forEach(
                                (key, value) -> applyProgressEntry(key, Optional.of(value), snapshot.nextOffset() - 1));
                ownerChange.updateAndGet(OwnerChange::withoutReplaced);
            }

            @Override
            public void onEntry(StateStore.StoredEntry stored) {
                applyProgressEntry(stored.entry().key(), stored.entry().value(), stored.offset());
            }
        };
    }

    private void retainJobs(Set<String> keys) {
        for (JobShard shard : shards) {
            List<JobId> ids;
            synchronized (shard) {
                ids = new ArrayList<>(shard.specs.keySet());
                ids.addAll(shard.cancelled);
            }
            ids.stream().filter(id -> !keys.contains(JOB_PREFIX + id.value())).forEach(id -> removeEntry(id, true));
            ids.stream()
                    .filter(id -> !keys.contains(CANCEL_PREFIX + id.value()))
                    .forEach(id -> removeEntry(id, false));
        }
    }

    /**
     * Removes progress that is absent from a snapshot, but keeps progress that was stored after the snapshot began.
     */
    private void retainProgress(StateStore.Snapshot snapshot) {
        for (JobShard shard : shards) {
            Map<JobId, StoredProgress> progressById;
            synchronized (shard) {
                progressById = Map.copyOf(shard.progress);
            }
            progressById.forEach((id, progress) -> {
                if (progress.offset() < snapshot.nextOffset()
                        && !snapshot.values().containsKey(id.value())) {
                    removeJob(id, snapshot.nextOffset() - 1);
                }
            });
        }
    }

    private void applyJobEntry(String key, Optional<byte[]> value) {
        try {
            JobId id = new JobId(key.substring(JOB_PREFIX.length()));
            if (value.isEmpty()) {
                removeEntry(id, key.startsWith(JOB_PREFIX));
            } else if (key.startsWith(CANCEL_PREFIX)) {
                applyCancellation(id);
            } else if (key.startsWith(JOB_PREFIX)) {
                applyJob(StateCodec.decodeJob(value.get()));
            }
        } catch (InvalidInputException | RuntimeException e) {
            logUnreadable(StateStore.Topic.JOBS, key, e);
        }
    }

    private void removeEntry(JobId id, boolean isSpec) {
        JobShard shard = shard(id);
        shard.update(id, () -> isSpec ? shard.removeSpec(id) : shard.cancelled.remove(id));
    }

    /** Removes all entries of a job whose progress was removed at an offset. */
    private void removeJob(JobId id, long offset) {
        JobShard shard = shard(id);
        if (shard.update(id, () -> shard.removeProgress(id, offset)) && find(id).isPresent()) {
            changeListener.accept(id);
        }
    }

    private void applyProgressEntry(String key, Optional<byte[]> value, long offset) {
        try {
            if (OWNER_RECORD_KEYS.contains(key)) {
                applyOwnerRecord(key, value, offset);
                return;
            }
            JobId id = new JobId(key);
            JobShard shard = shard(id);
            if (value.isPresent()) {
                StoredProgress newest = new StoredProgress(decodeState(key, value.get()), value.get(), offset);
                shard.update(id, () -> shard.putProgress(id, newest));
            } else {
                removeJob(id, offset);
            }
        } catch (InvalidInputException | RuntimeException e) {
            logUnreadable(StateStore.Topic.PROGRESS, key, e);
        }
    }

    /** Applies a record of the owner unless a newer one is known: the answer to an append may come after a later read. */
    private void applyOwnerRecord(String key, Optional<byte[]> value, long offset) throws InvalidInputException {
        synchronized (ownerRecordOffsets) {
            if (ownerRecordOffsets.merge(key, offset, Math::max) > offset) {
                return;
            }
            switch (key) {
                case OWNER_KEY -> applyOwner(value);
                case SILENCES_KEY -> silences = value.isPresent() ? StateCodec.decodeSilences(value.get()) : Map.of();
                case HEALTH_KEY ->
                    health = value.isPresent() ? Optional.of(EstimatesCodec.decode(value.get())) : Optional.empty();
                default -> learnt = value.isPresent() ? EstimatesCodec.decode(value.get()) : Estimates.NONE;
            }
        }
    }

    /** Returns the state in a record; running if it is unreadable, because a job has progress once a task was placed. */
    private static JobState decodeState(String key, byte[] value) {
        try {
            return ProgressCodec.decodeState(value);
        } catch (InvalidInputException | RuntimeException e) {
            logUnreadable(StateStore.Topic.PROGRESS, key, e);
            return JobState.RUNNING;
        }
    }

    private void applyOwner(Optional<byte[]> value) throws InvalidInputException {
        try {
            Optional<OwnerRecord> owner =
                    value.isPresent() ? Optional.of(StateCodec.decodeOwner(value.get())) : Optional.empty();
            ownerChange.updateAndGet(change -> change.to(owner));
        } catch (InvalidInputException | RuntimeException e) {
            ownerChange.updateAndGet(OwnerChange::toUnreadable);
            throw e;
        }
    }

    private static void logUnreadable(StateStore.Topic topic, String key, Exception cause) {
        Events.warn("record-unreadable", "topic", topic, "key", key, "cause", cause.getMessage());
    }

    private JobShard shard(JobId id) {
        return shards.get(Math.floorMod(id.hashCode(), SHARD_COUNT));
    }
}
