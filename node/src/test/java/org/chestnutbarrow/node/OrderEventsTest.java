package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WaitReason;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests the log lines of orders and of waiting jobs. */
public class OrderEventsTest {
    private static final String JOB = "order-events-test";

    /** Guards against starts in the log that do not tell tasks of different sizes apart. */
    @Test
    public void startShowsCpuAndWaitOfTask() {
        List<String> lines = LogLines.of(
                JOB,
                () -> OrderEvents.log(new Order.Start(
                        new TaskName(new JobId(JOB), 1, 4),
                        2,
                        new WorkerId("w"),
                        7,
                        "payload",
                        "",
                        20_500,
                        Duration.ofMillis(1300))));
        assertEquals(
                lines,
                List.of("event=task-start job=" + JOB + " task=1/4 run=2 worker=w milliCores=20500 waitedMs=1300"));
    }

    /** Guards against a line on a waiting job that does not tell the causes of its wait apart. */
    @Test
    public void waitShowsReasonAndWorkers() {
        assertEquals(
                waitLine(new WaitReason.Excluded(
                        Map.of(WaitReason.Exclusion.SPREAD, 2, WaitReason.Exclusion.QUARANTINED, 5))),
                "reason=quarantined workers=\"5 quarantined, 2 spread\"");
        assertEquals(waitLine(new WaitReason.NoRoom(40)), "reason=no-room workers=40");
        assertEquals(waitLine(new WaitReason.NotPlaced(3)), "reason=not-placed workers=3");
        assertEquals(waitLine(new WaitReason.NoLabel("fast")), "reason=no-label workers=\"0 with fast\"");
        assertEquals(waitLine(new WaitReason.NoWorkers("s")), "reason=no-workers workers=\"0 of s\"");
        assertEquals(waitLine(new WaitReason.StartWindow()), "reason=start-window workers=\"\"");
        assertEquals(waitLine(new WaitReason.SetAside()), "reason=set-aside workers=\"\"");
        assertEquals(waitLine(new WaitReason.UnknownRuns()), "reason=unknown-runs workers=\"\"");
    }

    /** Guards against a refused best-effort task of which the log does not tell why all workers refuse it. */
    @Test
    public void refusalShowsSpareCpuAndStateOfModel() {
        Plan.BestEffortRefusal refusal = new Plan.BestEffortRefusal(123, 4, 0.623, 0.41, -1.25, 2.756, 40, 900, 80);
        WaitReason reason = new WaitReason.Excluded(Map.of(WaitReason.Exclusion.NO_SPARE_CPU, 123));
        List<String> lines = LogLines.of(
                JOB,
                () -> OrderEvents.log(new Plan.WaitingJob(
                        new TaskName(new JobId(JOB), 1, 4),
                        2300,
                        Duration.ofMillis(1300),
                        2,
                        reason,
                        Optional.of(refusal))));
        assertTrue(lines.getFirst().endsWith("reason=no-spare-cpu workers=\"123 no-spare-cpu\""), lines.getFirst());
        assertEquals(
                lines.subList(1, lines.size()),
                List.of(
                        "event=best-effort-refused job=" + JOB + " task=1/4 of=123 withoutServing=4 freeShare=0.62"
                                + " bestSpare=0.41 bestShare=-1.25 typicalHeadroom=2.76 maxWeight=40.00 reports=900 beside=80"));
    }

    private static String waitLine(WaitReason reason) {
        TaskName task = new TaskName(new JobId(JOB), 1, 4);
        String line = LogLines.of(
                        JOB,
                        () -> OrderEvents.log(new Plan.WaitingJob(task, 20_500, Duration.ofMillis(1300), 2, reason)))
                .getFirst();
        String prefix = "event=job-waits job=" + JOB + " task=1/4 milliCores=20500 waitedMs=1300 jobs=2 ";
        assertTrue(line.startsWith(prefix), line);
        return line.substring(prefix.length());
    }
}
