package org.chestnutbarrow.interference;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against reacting twice to the same delayed measurement, and against evicting where throttling is enough. */
public class InterferenceControllerTest {
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final Attempt ATTEMPT = new Attempt(1, 1);
    private static final Duration BOUND = Duration.ofMillis(100);
    private static final int BASELINE_MS = 20;

    private ManualTime time;
    private InterferenceController controller;

    @BeforeMethod
    public void learnBaselineLatency() {
        time = new ManualTime();
        controller = new InterferenceController(time);
        for (int i = 0; i < 20; i++) {
            assertTrue(report(BASELINE_MS).isEmpty());
        }
    }

    @Test
    public void throttlesTheTaskWithTheLargestContribution() {
        Mitigation.Throttle throttle =
                (Mitigation.Throttle) report(60, load(0, "small", 2000, 0.1), load(1, "big", 20_000, 0.1))
                        .orElseThrow();
        assertEquals(throttle.task(), task(1));
        assertTrue(controller.isClosedToBatch(WORKER));
    }

    @Test
    public void waitsForAReportMeasuredAfterTheMitigation() {
        TaskLoad load = load(0, "big", 20_000, 0.1);
        assertTrue(report(60, load).isPresent());
        assertTrue(reportWithAge(Duration.ofSeconds(1), 60, load).isEmpty());
        time.advance(Duration.ofMillis(300));
        assertTrue(reportWithAge(Duration.ZERO, 95, load).isEmpty(), "measured within the clock skew margin");
    }

    @Test
    public void evictsTheCheapestTaskOnlyIfThrottlingIsNotEnough() {
        TaskLoad nearlyDone = load(0, "big", 20_000, 0.95);
        TaskLoad halfDone = load(1, "big", 20_000, 0.5);
        assertTrue(report(95, nearlyDone, halfDone).orElseThrow() instanceof Mitigation.Throttle);
        assertTrue(report(95, nearlyDone, halfDone).orElseThrow() instanceof Mitigation.Throttle);
        Mitigation.Evict evict =
                (Mitigation.Evict) report(95, nearlyDone, halfDone).orElseThrow();
        assertEquals(evict.task(), task(1));
    }

    @Test
    public void neverActsOnAlwaysOnTasks() {
        TaskLoad alwaysOn = new TaskLoad(task(0), ATTEMPT, "watch", false, 20_000, 100, 0);
        assertTrue(report(95, alwaysOn).isEmpty());
    }

    /** Guards against workers that stay closed to batch tasks because their latency varies while no batch task runs. */
    @Test
    public void reopensWhenLatencyVariesWithoutBatchTasks() {
        assertTrue(report(30, load(0, "big", 20_000, 0.1)).isPresent());
        for (int i = 0; i < 30; i++) {
            assertTrue(report(30).isEmpty());
        }
        assertFalse(controller.isClosedToBatch(WORKER));
    }

    @Test
    public void liftsTheLimitAfterCalmReports() {
        TaskLoad load = load(0, "big", 20_000, 0.1);
        assertTrue(report(60, load).isPresent());
        Optional<Mitigation> mitigation = Optional.empty();
        for (int i = 0; i < 10 && mitigation.isEmpty(); i++) {
            mitigation = report(BASELINE_MS, load);
        }
        assertEquals(((Mitigation.Throttle) mitigation.orElseThrow()).percent(), 100);
        time.advance(Duration.ofMinutes(1));
        assertFalse(controller.isClosedToBatch(WORKER));
    }

    /** Guards against slow workers without batch tasks being closed to batch tasks. */
    @Test
    public void doesNotCloseASlowWorkerWithoutTasks() {
        assertTrue(report(95).isEmpty());
        assertFalse(controller.isClosedToBatch(WORKER));
    }

    private Optional<Mitigation> report(int latencyMs, TaskLoad... loads) {
        time.advance(Duration.ofSeconds(1));
        return reportWithAge(Duration.ZERO, latencyMs, loads);
    }

    private Optional<Mitigation> reportWithAge(Duration age, int latencyMs, TaskLoad... loads) {
        return controller.onReport(new WorkerUsageReport(
                WORKER, time.now().minus(age), 64_000, List.of(loads), 4, Duration.ofMillis(latencyMs), BOUND));
    }

    private static TaskLoad load(int index, String workClass, int milliCores, double progress) {
        return new TaskLoad(task(index), ATTEMPT, workClass, true, milliCores, 1000, progress);
    }

    private static TaskId task(int index) {
        return new TaskId(new JobId("job"), index);
    }
}
