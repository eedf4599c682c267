package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.Estimates;
import org.chestnutbarrow.batch.HealthRecord;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests that the replica reports jobs correctly whatever the order in which records arrive. */
public class JobReplicaTest {
    private static final Queue A = queue("/a/");
    private static final Queue B = queue("/b/");

    private final JobReplica fuzzedReplica = new JobReplica(TimeSource.SYSTEM);

    private static Queue queue(String prefix) {
        return new Queue("host", prefix, "service", 0, 2, 2, Duration.ofSeconds(1));
    }

    private static JobSpec job(String id, Queue queue) {
        Step step = new Step(
                1,
                new Resources(0, 0, 1000, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                Step.Constraints.NONE,
                Step.Behaviour.PLAIN);
        return new JobSpec(new JobId(id), queue, Instant.EPOCH, "payload", List.of(step));
    }

    private static StateStore.Entry progress(String id, JobState state) {
        return JobReplica.progressEntry(new JobProgress(new JobId(id), state, Instant.EPOCH, List.of()));
    }

    private static StateStore.Entry removalOf(StateStore.Entry entry) {
        return new StateStore.Entry(entry.key(), Optional.empty());
    }

    /** Independent model of the records against which the replica is compared. */
    private static final class ReferenceModel {
        private final Map<String, Queue> queues = new HashMap<>();
        private final Set<String> cancelled = new HashSet<>();
        private final Map<String, JobState> states = new HashMap<>();
        /** Jobs with an end that was removed, of which a late entry may come. */
        private final Set<String> ended = new HashSet<>();
        /** Jobs that were removed while their progress is stored. */
        private final Set<String> removedFirst = new HashSet<>();
        /** Of these, the ones that were added again. */
        private final Set<String> addedAgain = new HashSet<>();

        void apply(RecordKind kind, String id, Queue queue, JobState state, boolean removed) {
            switch (kind) {
                case JOB -> {
                    if (removed) {
                        addedAgain.remove(id);
                        if (states.containsKey(id)) {
                            removedFirst.add(id);
                        }
                    } else if (removedFirst.remove(id)) {
                        addedAgain.add(id);
                    }
                    queues.compute(id, (_, _) -> removed ? null : queue);
                }
                case CANCEL -> {
                    if (removed) {
                        cancelled.remove(id);
                    } else {
                        cancelled.add(id);
                    }
                }
                default -> {
                    boolean endRemoved = removed && isFinal(states.get(id));
                    boolean kept = endRemoved && addedAgain.contains(id);
                    if (endRemoved) {
                        ended.add(id);
                    } else if (!removed) {
                        ended.remove(id);
                    }
                    states.compute(id, (_, current) -> removed ? null : isFinal(current) ? current : state);
                    if (removed) {
                        removedFirst.remove(id);
                        addedAgain.remove(id);
                    }
                    if (removed && !kept) {
                        queues.remove(id);
                        cancelled.remove(id);
                    }
                }
            }
        }

        private static boolean isFinal(JobState state) {
            return state != null && state.isFinal();
        }

        long pendingJobs(Queue queue) {
            return queues.entrySet().stream()
                    .filter(job -> job.getValue().equals(queue))
                    .filter(job -> !cancelled.contains(job.getKey()) && !ended.contains(job.getKey()))
                    .filter(job -> states.getOrDefault(job.getKey(), JobState.QUEUED) == JobState.QUEUED)
                    .count();
        }
    }

    private enum RecordKind {
        JOB,
        CANCEL,
        PROGRESS
    }

    /** The numbers of pending jobs must not drift from the jobs, whatever the order of the records. */
    @Test
    public void pendingCountMatchesRecordsInAnyOrder() {
        Random random = new Random(5);
        JobState[] states = JobState.values();
        ReferenceModel reference = new ReferenceModel();
        for (int i = 0; i < 4000; i++) {
            String id = "j" + random.nextInt(40);
            Queue queue = id.hashCode() % 2 == 0 ? A : B;
            RecordKind kind = RecordKind.values()[random.nextInt(3)];
            JobState state = states[random.nextInt(states.length)];
            boolean removed = random.nextInt(4) == 0;
            StateStore.Entry entry = switch (kind) {
                case JOB -> JobReplica.jobEntry(job(id, queue));
                case CANCEL -> JobReplica.cancelEntry(new JobId(id));
                case PROGRESS -> progress(id, state);
            };
            StateStore.StoredEntry stored = new StateStore.StoredEntry(i, removed ? removalOf(entry) : entry);
            (kind == RecordKind.PROGRESS ? fuzzedReplica.progressListener() : fuzzedReplica.jobsListener())
                    .onEntry(stored);
            reference.apply(kind, id, queue, state, removed);
            assertEquals(fuzzedReplica.pendingJobs(A.key()), reference.pendingJobs(A));
            assertEquals(fuzzedReplica.pendingJobs(B.key()), reference.pendingJobs(B));
        }
    }

    /** The cost of counting pending jobs must not grow with the number of jobs. */
    @Test
    public void pendingCountDoesNotVisitEachJob() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        int jobs = 20_000;
        for (int i = 0; i < jobs; i++) {
            replica.applyJob(job("j" + i, A));
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
        int pending = replica.pendingJobs(A.key());
        long allocated = threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
        assertEquals(pending, jobs);
        assertTrue(allocated < jobs, "the call allocated " + allocated + " bytes for " + jobs + " jobs");
    }

    private static StateStore.Snapshot snapshot(long nextOffset, StateStore.Entry... entries) {
        Map<String, byte[]> values = new HashMap<>();
        for (StateStore.Entry entry : entries) {
            values.put(entry.key(), entry.value().orElseThrow());
        }
        return new StateStore.Snapshot(values, nextOffset);
    }

    /** A job must not run again because both its end and its removal were missed. */
    @Test
    public void jobRemovedBetweenSnapshotsIsForgotten() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        JobId removed = new JobId("dropped");
        JobId kept = new JobId("kept");
        replica.jobsListener()
                .onSnapshot(snapshot(
                        9,
                        JobReplica.jobEntry(job("dropped", A)),
                        JobReplica.cancelEntry(removed),
                        JobReplica.jobEntry(job("kept", A)),
                        JobReplica.cancelEntry(kept)));
        replica.progressListener()
                .onSnapshot(snapshot(9, progress("dropped", JobState.RUNNING), progress("kept", JobState.RUNNING)));
        replica.jobsListener().onSnapshot(snapshot(20, JobReplica.jobEntry(job("kept", A))));
        assertEquals(replica.find(removed), Optional.empty());
        assertEquals(replica.find(kept).orElseThrow().state(), JobState.RUNNING);
        replica.progressListener().onSnapshot(snapshot(20, progress("kept", JobState.COMPLETED)));
        assertEquals(replica.endedJobs().settledFor().keySet(), Set.of(kept));
        replica.applyJob(job("dropped", A));
        assertEquals(replica.find(removed).orElseThrow().state(), JobState.QUEUED);
    }

    /** A snapshot that began before the owner stored progress must not overwrite that progress. */
    @Test
    public void progressStoredAfterSnapshotIsKept() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.applyJob(job("a", A));
        replica.applyStored(List.of(progress("a", JobState.RUNNING)), 7);
        replica.progressListener().onSnapshot(snapshot(7));
        assertEquals(replica.find(new JobId("a")).orElseThrow().state(), JobState.RUNNING);
    }

    /** Guards against an ended job that comes to the owner again with each entry that repeats it. */
    @Test
    public void listenerIsNotCalledForEntriesThatChangeNothing() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        List<JobId> changed = new ArrayList<>();
        replica.onChange(changed::add);
        StateStore.Entry spec = JobReplica.jobEntry(job("a", A));
        StateStore.Entry cancellation = JobReplica.cancelEntry(new JobId("a"));
        for (int i = 0; i < 2; i++) {
            replica.applyJob(job("a", A));
            replica.jobsListener().onEntry(new StateStore.StoredEntry(i, spec));
            replica.applyCancellation(new JobId("a"));
            replica.jobsListener().onSnapshot(snapshot(9, spec, cancellation));
        }
        assertEquals(changed, List.of(new JobId("a"), new JobId("a")), "the job and its cancellation");
    }

    /** Guards against a completed job that is shown as queued because it was stored late, and against memory without bound. */
    @Test
    public void endIsRememberedWhileLateEntriesMayCome() {
        ManualTime time = new ManualTime();
        JobReplica replica = new JobReplica(time);
        for (String id : List.of("a", "b")) {
            replica.applyJob(job(id, A));
            replica.applyStored(List.of(progress(id, JobState.COMPLETED)), 1);
            replica.applyStored(List.of(removalOf(progress(id, JobState.COMPLETED))), 2);
            assertEquals(replica.find(new JobId(id)), Optional.empty());
        }
        time.advance(JobShard.LATE_ENTRY_TIME.minusMillis(1));
        replica.applyJob(job("a", A));
        assertEquals(state(replica, "a"), JobState.COMPLETED);
        assertEquals(replica.pendingJobs(A.key()), 0);
        assertEquals(replica.removedEnds(), 2);
        time.advance(Duration.ofMillis(1));
        for (int i = 0; i < 100; i++) {
            replica.applyJob(job("next-" + i, A));
        }
        assertEquals(replica.removedEnds(), 1, "the job that came again has no other record of its end");
        assertEquals(state(replica, "a"), JobState.COMPLETED);
        replica.applyStored(List.of(progress("a", JobState.COMPLETED)), 3);
        assertEquals(replica.removedEnds(), 0);
        assertEquals(state(replica, "a"), JobState.COMPLETED);
    }

    /** Guards against a job that is lost here, and runs elsewhere, because it was stored between the removals. */
    @Test
    public void jobAddedAgainBeforeItsProgressIsRemovedStaysEnded() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.applyJob(job("a", A));
        replica.applyStored(List.of(progress("a", JobState.FAILED)), 1);
        StateStore.Entry spec = JobReplica.jobEntry(job("a", A));
        replica.jobsListener().onEntry(new StateStore.StoredEntry(1, removalOf(spec)));
        replica.jobsListener().onEntry(new StateStore.StoredEntry(2, spec));
        List<JobId> changed = new ArrayList<>();
        replica.onChange(changed::add);
        replica.applyStored(List.of(removalOf(progress("a", JobState.FAILED))), 2);
        assertEquals(state(replica, "a"), JobState.FAILED);
        assertEquals(changed, List.of(new JobId("a")), "the owner stores the end again");
    }

    private static JobState state(JobReplica replica, String id) {
        return replica.find(new JobId(id)).orElseThrow().state();
    }

    /** Guards against a job that is shown as running after it was shown as completed. */
    @Test
    public void olderProgressDoesNotReplaceStoredEnd() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.applyJob(job("a", A));
        replica.applyStored(List.of(progress("a", JobState.COMPLETED)), 7);
        replica.progressListener().onEntry(new StateStore.StoredEntry(6, progress("a", JobState.RUNNING)));
        assertEquals(state(replica, "a"), JobState.COMPLETED);
        // The values of a snapshot are as old as the page that brought them.
        replica.progressListener().onSnapshot(snapshot(20, progress("a", JobState.RUNNING)));
        assertEquals(state(replica, "a"), JobState.COMPLETED);
        replica.progressListener().onEntry(new StateStore.StoredEntry(30, progress("a", JobState.CANCELLED)));
        assertEquals(state(replica, "a"), JobState.COMPLETED);
    }

    /** Guards against newer progress that is lost when an older removal is read. */
    @Test
    public void olderRemovalDoesNotRemoveProgress() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.applyJob(job("a", A));
        replica.applyStored(List.of(progress("a", JobState.RUNNING)), 7);
        replica.progressListener().onEntry(new StateStore.StoredEntry(5, removalOf(progress("a", JobState.COMPLETED))));
        assertEquals(state(replica, "a"), JobState.RUNNING);
    }

    private static StateStore.StoredEntry stored(long offset, OwnerRecord owner) {
        return new StateStore.StoredEntry(offset, JobReplica.ownerEntry(owner));
    }

    /** Guards against leases of a closed term that another owner than the direct successor takes for current. */
    @Test
    public void replacedOwnerIsTheOneDirectlyBefore() {
        TaskRecord.WorkerIncarnation incarnation = new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1);
        OwnerRecord first = new OwnerRecord("first", 1);
        OwnerRecord closed = first.closed(Map.of(incarnation, Duration.ofSeconds(4)));
        OwnerRecord second = new OwnerRecord("second", 2);
        OwnerRecord third = new OwnerRecord("third", 3);
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.progressListener().onEntry(stored(0, first));
        replica.progressListener().onEntry(stored(1, closed));
        replica.progressListener().onEntry(stored(2, second));
        assertEquals(replica.ownerChange(), new OwnerChange(Optional.of(second), Optional.of(closed)));
        replica.progressListener().onEntry(stored(2, second));
        assertEquals(replica.ownerChange().replaced(), Optional.of(closed), "an entry was read twice");
        replica.progressListener().onEntry(stored(3, third));
        assertEquals(replica.ownerChange(), new OwnerChange(Optional.of(third), Optional.of(second)));
    }

    /** Guards against the same after the records of owners in between were not read, or cannot be. */
    @Test
    public void replacedOwnerIsForgottenIfARecordMayBeMissing() {
        TaskRecord.WorkerIncarnation incarnation = new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1);
        OwnerRecord closed = new OwnerRecord("first", 1).closed(Map.of(incarnation, Duration.ofSeconds(4)));
        OwnerRecord third = new OwnerRecord("third", 3);
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.progressListener().onEntry(stored(0, closed));
        replica.progressListener().onSnapshot(snapshot(9, JobReplica.ownerEntry(third)));
        assertEquals(replica.ownerChange(), new OwnerChange(Optional.of(third), Optional.empty()));

        replica.progressListener().onEntry(stored(10, closed));
        StateStore.Entry unreadable =
                new StateStore.Entry(JobReplica.ownerEntry(closed).key(), Optional.of(new byte[] {99}));
        replica.progressListener().onEntry(new StateStore.StoredEntry(11, unreadable));
        replica.progressListener().onEntry(stored(12, third));
        assertEquals(
                replica.ownerChange().replaced().orElseThrow().remainingLeases(),
                Map.of(),
                "an owner whose record cannot be read may have extended the leases");
    }

    /** Guards against an older owner that seems to be the current one because an answer of the store was late. */
    @Test
    public void olderOwnerRecordDoesNotReplaceNewerOne() {
        OwnerRecord second = new OwnerRecord("second", 2);
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        replica.progressListener().onEntry(stored(5, second));
        replica.applyStored(List.of(JobReplica.ownerEntry(new OwnerRecord("first", 1))), 4);
        assertEquals(replica.owner(), Optional.of(second));
    }

    /** Guards against a job that is shown as cancelled and then as completed, as the owner had not read the cancellation. */
    @Test
    public void cancellationShowsOnceTheOwnerHasRecordedIt() {
        JobReplica replica = new JobReplica(TimeSource.SYSTEM);
        JobId id = new JobId("a");
        replica.applyJob(job("a", A));
        replica.applyCancellation(id);
        assertEquals(replica.find(id).orElseThrow().state(), JobState.QUEUED);
        replica.applyStored(List.of(progress("a", JobState.COMPLETED)), 5);
        assertEquals(replica.find(id).orElseThrow().state(), JobState.COMPLETED);
    }

    /** Guards against evidence on workers that is lost when a node of an earlier build hands over to one of this build. */
    @Test
    public void healthIsReadFromTheRecordsOfEarlierBuilds() {
        Sensitivity sensitivity = new Sensitivity("a", "b", 1, 1);
        HealthRecord earlier = new HealthRecord(
                new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1),
                List.of(),
                Optional.empty(),
                Duration.ofSeconds(8));
        JobReplica replica = new JobReplica(new OffsetClock());
        Estimates all = new Estimates(List.of(sensitivity), List.of(earlier), List.of());
        replica.applyStored(List.of(new StateStore.Entry("learned/", Optional.of(EstimatesCodec.encode(all)))), 0);
        assertEquals(replica.estimates(), all);
        HealthRecord later = earlier.with(0, true);
        replica.applyStored(
                List.of(JobReplica.healthEntry(
                        new Estimates(List.of(), List.of(later), List.of()), StateStore.Limits.DEFAULT)),
                1);
        assertEquals(replica.estimates(), new Estimates(List.of(sensitivity), List.of(later), List.of()));
    }
}
