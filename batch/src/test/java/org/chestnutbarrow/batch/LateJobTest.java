package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests jobs with stored progress that an owner learns of after its workers have reported. */
public class LateJobTest {
    /** Guards against an accepted job that never runs because its stored run, which no worker has, is never released. */
    @Test
    public void runThatItsWorkerDoesNotListIsStartedAgain() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec job = fixture.job("a", SchedulerFixture.step(1, 1000, Step.Behaviour.PLAIN));
        TaskRecord placed = new TaskRecord(
                false,
                1,
                0,
                "",
                Optional.of(new TaskRecord.WorkerIncarnation(new WorkerId("w1"), SchedulerFixture.INCARNATION)));
        fixture.scheduler.addJob(
                job, Optional.of(new JobProgress(job.id(), JobState.QUEUED, Instant.EPOCH, List.of(List.of(placed)))));
        List<Integer> startedRuns = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            fixture.time.advance(Duration.ofMillis(100));
            fixture.report("w1", List.of(), List.of());
            fixture.starts().forEach(start -> startedRuns.add(start.run()));
        }
        assertEquals(startedRuns, List.of(2));
    }
}
