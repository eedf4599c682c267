package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.testng.annotations.Test;

/** Tests that a long-running task gets its next run as soon as a responsive worker has room for it. */
public class LongRunningTaskTest {
    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);

    /** Guards against a task that waits for its next run behind one whose first run finds no double room. */
    @Test
    public void laterRunDoesNotWaitForFirstRunOfOtherTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("short", SchedulerFixture.step(1, 4000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 1);
        JobSpec job = fixture.job("service", SchedulerFixture.step(2, 3600, LONG_RUNNING));
        TaskRecord ranBefore = new TaskRecord(false, 1, 0, "", Optional.empty());
        fixture.scheduler.addJob(
                job,
                Optional.of(new JobProgress(
                        job.id(), JobState.RUNNING, Instant.EPOCH, List.of(List.of(TaskRecord.NEW, ranBefore)))));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), 1, "only the later run needs single room");
        assertEquals(starts.getFirst().task().index(), 1);
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, starts.getFirst(), EndKind.INTERRUPTED)));
        List<Order.Start> next = fixture.starts();
        assertEquals(next.size(), 1, "the room is free again");
        assertEquals(next.getFirst().run(), 3);
    }
}
