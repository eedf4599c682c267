package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests what the model learns from reported tail latencies, and the CPU limits of best-effort tasks that follow from
 * it.
 */
public class InterferenceModelTest {
    private static final Step.Behaviour LATENCY_CRITICAL = new Step.Behaviour("s", false, true, false, 50, 0);
    private static final double UNLOADED_TAIL_MS = 10;

    private final Random random = new Random(7);

    private static Step.Behaviour bestEffort(String image) {
        return new Step.Behaviour(image, true, false, true, 0, 0);
    }

    /**
     * Simulates the tail latency of a task with a varying load; {@code pressure} is the capacity it loses to
     * best-effort tasks, as a fraction.
     */
    private int simulatedTailMs(double seconds, double pressure) {
        double load = 0.45 * (1 + 0.5 * Math.sin(2 * Math.PI * seconds / 14));
        double free = Math.max(0.02, 1 - load - pressure);
        return (int) (UNLOADED_TAIL_MS / free * (1 + 0.05 * random.nextGaussian()));
    }

    /**
     * Alternates best-effort tasks of two images beside two latency-critical tasks; only the "noisy" image interferes.
     */
    private static SchedulerFixture runAlternatingLoad(InterferenceModelTest instance, double seconds) {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("latency-critical", SchedulerFixture.step(2, 1500, LATENCY_CRITICAL)));
        List<Order.Start> latencyCritical = fixture.starts();
        int job = 0;
        Order.Start bestEffort = null;
        String image = "quiet";
        for (double elapsedSeconds = 0; elapsedSeconds < seconds; elapsedSeconds += 0.5) {
            if (bestEffort == null && (int) elapsedSeconds % 4 < 2) {
                image = image.equals("quiet") ? "noisy" : "quiet";
                fixture.add(fixture.job("f" + job++, SchedulerFixture.step(1, 600, bestEffort(image))));
                bestEffort = fixture.starts().stream().findFirst().orElse(null);
            }
            double use = bestEffort == null ? 0 : 600.0 / 8000;
            double pressure = (image.equals("noisy") ? 1.4 : 0.14) * use;
            List<WorkerReport.Running> running = new ArrayList<>();
            for (int i = 0; i < latencyCritical.size(); i++) {
                running.add(SchedulerFixture.running(
                        latencyCritical.get(i), 100, instance.simulatedTailMs(elapsedSeconds + 5 * i, pressure)));
            }
            List<WorkerReport.Ended> ended = new ArrayList<>();
            if (bestEffort != null && (int) elapsedSeconds % 4 >= 2) {
                ended.add(SchedulerFixture.ended(job, bestEffort, WorkerReport.EndKind.DONE));
                bestEffort = null;
            } else if (bestEffort != null) {
                running.add(SchedulerFixture.running(bestEffort, 10 + (int) elapsedSeconds % 50, 600));
            }
            fixture.time.advance(Duration.ofMillis(500));
            fixture.report("w1", running, ended);
            fixture.scheduler.plan();
        }
        return fixture;
    }

    private static double weight(List<Sensitivity> sensitivities, String image) {
        return sensitivities.stream()
                .filter(sensitivity -> sensitivity.bestEffortImage().equals(image))
                .findFirst()
                .orElseThrow()
                .weight();
    }

    /** Guards against misclassifying interfering images as harmless, and the reverse. */
    @Test
    public void distinguishesInterferingImages() {
        List<Sensitivity> sensitivities =
                runAlternatingLoad(this, 60).scheduler.estimates().sensitivities();
        assertTrue(weight(sensitivities, "noisy") > 4, sensitivities.toString());
        assertTrue(weight(sensitivities, "quiet") < 2.5, sensitivities.toString());
    }

    /** Guards against a new owner that discards the estimates of an earlier one. */
    @Test
    public void nextOwnerRestoresSensitivities() {
        List<Sensitivity> sensitivities =
                runAlternatingLoad(this, 60).scheduler.estimates().sensitivities();
        SchedulerFixture nextOwner = new SchedulerFixture();
        nextOwner.scheduler.restore(new Estimates(sensitivities, List.of(), List.of()));
        assertEquals(
                weight(nextOwner.scheduler.estimates().sensitivities(), "noisy"), weight(sensitivities, "noisy"), 1e-9);
    }

    /** Guards against best-effort tasks that keep running beside a task that has missed its latency target for long. */
    @Test
    public void prolongedTargetMissStopsBestEffortTasks() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("latency-critical", SchedulerFixture.step(1, 1500, LATENCY_CRITICAL)));
        Order.Start latencyCritical = fixture.starts().getFirst();
        fixture.add(fixture.job("best-effort", SchedulerFixture.step(1, 600, bestEffort("f"))));
        Order.Start bestEffort = fixture.starts().getFirst();
        List<Order> orders = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            fixture.time.advance(Duration.ofMillis(500));
            fixture.report(
                    "w1",
                    List.of(
                            SchedulerFixture.running(latencyCritical, 100, 60),
                            SchedulerFixture.running(bestEffort, 10 + i, 0)),
                    List.of());
            orders.addAll(fixture.scheduler.plan().orders());
        }
        assertTrue(
                orders.stream()
                        .anyMatch(
                                order -> order instanceof Order.SetCpuLimit setCpuLimit && setCpuLimit.percent() == 0),
                orders.toString());
    }
}
