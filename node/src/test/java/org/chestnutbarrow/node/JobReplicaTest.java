package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
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

    /** What the records say, kept apart from the code under test. */
    private static final class Recount {
        private final Map<String, Queue> queues = new HashMap<>();
        private final Set<String> cancelled = new HashSet<>();
        private final Map<String, JobState> states = new HashMap<>();

        void take(Kind kind, String id, Queue queue, JobState state, boolean dropped) {
            switch (kind) {
                case JOB -> queues.compute(id, (_, _) -> dropped ? null : queue);
                case CANCEL -> {
                    if (dropped) {
                        cancelled.remove(id);
                    } else {
                        cancelled.add(id);
                    }
                }
                default -> {
                    states.compute(id, (_, _) -> dropped ? null : state);
                    if (dropped) {
                        queues.remove(id);
                        cancelled.remove(id);
                    }
                }
            }
        }

        long pending(Queue queue) {
            return queues.entrySet().stream()
                    .filter(job -> job.getValue().equals(queue))
                    .filter(job -> !cancelled.contains(job.getKey()))
                    .filter(job -> states.getOrDefault(job.getKey(), JobState.QUEUED) == JobState.QUEUED)
                    .count();
        }
    }

    private enum Kind {
        JOB,
        CANCEL,
        PROGRESS
    }

    /** Guards against numbers of pending jobs that drift from the jobs, whatever the order of the records. */
    @Test
    public void pendingFollowsTheRecordsInAnyOrder() {
        Random random = new Random(5);
        JobState[] states = JobState.values();
        Recount recount = new Recount();
        for (int i = 0; i < 4000; i++) {
            String id = "j" + random.nextInt(40);
            Queue queue = id.hashCode() % 2 == 0 ? A : B;
            Kind kind = Kind.values()[random.nextInt(3)];
            JobState state = states[random.nextInt(states.length)];
            boolean dropped = random.nextInt(4) == 0;
            StateStore.Entry entry = switch (kind) {
                case JOB -> JobReplica.jobEntry(job(id, queue));
                case CANCEL -> JobReplica.cancelEntry(new JobId(id));
                case PROGRESS -> progress(id, state);
            };
            StateStore.Stored stored = new StateStore.Stored(i, dropped ? without(entry) : entry);
            (kind == Kind.PROGRESS ? replica.progress() : replica.jobs()).changed(stored);
            recount.take(kind, id, queue, state, dropped);
            assertEquals(replica.pending(A.key()), recount.pending(A));
            assertEquals(replica.pending(B.key()), recount.pending(B));
        }
    }

    /** Guards against calls for the number of pending jobs whose cost grows with all jobs of the day. */
    @Test
    public void pendingDoesNotVisitEachJob() {
        JobReplica copy = new JobReplica();
        int jobs = 20_000;
        for (int i = 0; i < jobs; i++) {
            copy.accepted(job("j" + i, A));
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        int pending = copy.pending(A.key());
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertEquals(pending, jobs);
        assertTrue(allocated < jobs, "the call allocated " + allocated + " bytes for " + jobs + " jobs");
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
