package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.batch.Step;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.Test;

/** Guards what a node says of jobs against the order in which records arrive. */
public class JobReplicaTest {
    private static final Queue A = queue("/a/");
    private static final Queue B = queue("/b/");

    private final JobReplica replica = new JobReplica();

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

    private static StateStore.Entry without(StateStore.Entry entry) {
        return new StateStore.Entry(entry.key(), Optional.empty());
    }

    /** Guards against numbers of pending jobs that drift from the jobs, whatever the order of the records. */
    @Test
    public void pendingFollowsTheRecordsInAnyOrder() {
        Random random = new Random(5);
        JobState[] states = JobState.values();
        for (int i = 0; i < 4000; i++) {
            String id = "j" + random.nextInt(40);
            JobSpec job = job(id, id.hashCode() % 2 == 0 ? A : B);
            StateStore.Entry entry = switch (random.nextInt(3)) {
                case 0 -> JobReplica.jobEntry(job);
                case 1 -> JobReplica.cancelEntry(job.id());
                default -> progress(id, states[random.nextInt(states.length)]);
            };
            StateStore.Stored stored = new StateStore.Stored(i, random.nextInt(4) == 0 ? without(entry) : entry);
            (entry.key().contains("/") ? replica.jobs() : replica.progress()).changed(stored);
            assertEquals(replica.pending(A.key()), counted(A));
            assertEquals(replica.pending(B.key()), counted(B));
        }
    }

    private int counted(Queue queue) {
        return replica.all(known ->
                        known.state() == JobState.QUEUED && known.spec().queue().equals(queue))
                .size();
    }

    private static StateStore.Snapshot snapshot(long next, StateStore.Entry... entries) {
        Map<String, byte[]> values = new HashMap<>();
        for (StateStore.Entry entry : entries) {
            values.put(entry.key(), entry.value().orElseThrow());
        }
        return new StateStore.Snapshot(values, next);
    }

    /** Guards against a job that runs again because its end and its removal were both missed. */
    @Test
    public void aJobThatWasDroppedUnseenIsForgotten() {
        JobReplica copy = new JobReplica();
        JobId dropped = new JobId("dropped");
        JobId kept = new JobId("kept");
        copy.jobs()
                .replaced(snapshot(
                        9,
                        JobReplica.jobEntry(job("dropped", A)),
                        JobReplica.cancelEntry(dropped),
                        JobReplica.jobEntry(job("kept", A)),
                        JobReplica.cancelEntry(kept)));
        copy.progress()
                .replaced(snapshot(9, progress("dropped", JobState.RUNNING), progress("kept", JobState.RUNNING)));
        copy.jobs().replaced(snapshot(20, JobReplica.jobEntry(job("kept", A))));
        assertEquals(copy.find(dropped), Optional.empty());
        assertEquals(copy.find(kept).orElseThrow().state(), JobState.RUNNING);
        copy.progress().replaced(snapshot(20, progress("kept", JobState.COMPLETED)));
        assertEquals(copy.ended(), Set.of(kept));
        copy.accepted(job("dropped", A));
        assertEquals(copy.find(dropped).orElseThrow().state(), JobState.QUEUED);
    }

    /** Guards against an owner's progress that is lost to a snapshot begun before it was stored. */
    @Test
    public void progressAfterASnapshotStays() {
        JobReplica copy = new JobReplica();
        copy.accepted(job("a", A));
        copy.stored(List.of(progress("a", JobState.RUNNING)), 7);
        copy.progress().replaced(snapshot(7));
        assertEquals(copy.find(new JobId("a")).orElseThrow().state(), JobState.RUNNING);
    }
}
