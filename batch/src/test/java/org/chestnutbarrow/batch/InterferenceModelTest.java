package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Tests what the model learns from reported tail latencies, and the CPU limits of best-effort tasks that follow from
 * it.
 */
public class InterferenceModelTest {
    private static final Step.Behaviour LATENCY_CRITICAL = new Step.Behaviour("s", false, true, false, 50, 0);
    private static final double UNLOADED_TAIL_MS = 10;

    private final Random random = new Random(7);
    private long lastEnd;

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

    private static Step.Behaviour latencyCritical(String image) {
        return new Step.Behaviour(image, false, true, false, 50, 0);
    }

    /** Lets one report of a latency-critical task be learnt from, beside a best-effort task of each image. */
    private void reportBeside(SchedulerFixture fixture, Order.Start latencyCritical, List<String> images) {
        for (String image : images) {
            fixture.add(fixture.job("job-" + image, SchedulerFixture.step(1, 50, bestEffort(image))));
        }
        List<WorkerReport.Running> running = new ArrayList<>();
        running.add(SchedulerFixture.running(latencyCritical, 100, 20));
        List<Order.Start> starts = fixture.starts();
        starts.forEach(start -> running.add(SchedulerFixture.running(start, 10, 50)));
        fixture.time.advance(Duration.ofMillis(500));
        fixture.report("w1", running, List.of());
        fixture.scheduler.plan();
        fixture.time.advance(Duration.ofMillis(500));
        fixture.report(
                "w1",
                List.of(SchedulerFixture.running(latencyCritical, 100, 20)),
                IntStream.range(0, starts.size())
                        .mapToObj(i -> SchedulerFixture.ended(++lastEnd, starts.get(i), WorkerReport.EndKind.DONE))
                        .toList());
        fixture.scheduler.plan();
    }

    /**
     * Guards against estimates that grow with the number of images ever seen, as images change with each version of a
     * program. The pairs that were observed last are kept, and stored first.
     */
    @Test
    public void imagesThatChangeAllTheTimeAreForgotten() {
        lastEnd = 0;
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(fixture.job("latency-critical", SchedulerFixture.step(1, 1500, LATENCY_CRITICAL)));
        Order.Start latencyCritical = fixture.starts().getFirst();
        int images = 3 * InterferenceWeights.MAX_IMAGES;
        for (int i = 0; i < images; i++) {
            reportBeside(fixture, latencyCritical, List.of("image-" + i));
        }
        List<Sensitivity> sensitivities = fixture.scheduler.estimates().sensitivities();
        assertEquals(sensitivities.size(), InterferenceWeights.MAX_IMAGES);
        for (int i = 0; i < sensitivities.size(); i++) {
            assertEquals(sensitivities.get(i).bestEffortImage(), "image-" + (images - 1 - i));
        }
    }

    /** Guards against more images at once than are tracked that replace each other before anything is learnt. */
    @Test
    public void imagesObservedLatelyAreNotForgotten() {
        InterferenceWeights weights = new InterferenceWeights();
        long now = Duration.ofMinutes(1).toNanos();
        Map<String, Double> use = new HashMap<>();
        for (int i = 0; i < InterferenceWeights.MAX_IMAGES; i++) {
            use.put("image-" + i, 0.001);
        }
        weights.update(weights.use(use, now), -1, 1);
        double learnt = weights.weightOf("image-0");
        assertTrue(learnt > InterferenceWeights.DEFAULT_WEIGHT, "weight " + learnt);
        InterferenceWeights.Use newcomer =
                weights.use(Map.of("new", 0.5), now + Duration.ofSeconds(1).toNanos());
        assertEquals(newcomer.untracked(), 0.5);
        assertEquals(weights.headroomLoss(newcomer), 0.5 * InterferenceWeights.DEFAULT_WEIGHT, 1e-9);
        assertEquals(weights.weightOf("image-0"), learnt);
        InterferenceWeights.Use later =
                weights.use(Map.of("new", 0.5), now + InterferenceWeights.MIN_RETENTION.toNanos());
        assertEquals(later.untracked(), 0.0);
        assertEquals(weights.sensitivities("s").size(), InterferenceWeights.MAX_IMAGES);
    }

    /**
     * Guards against a new owner whose memory and reports are not bounded because an owner of an earlier build has stored
     * more estimates than are kept.
     */
    @Test
    public void restoredSensitivitiesAreBounded() {
        List<Sensitivity> stored = new ArrayList<>();
        for (int i = 0; i < 10 * InterferenceModel.MAX_LATENCY_CRITICAL_IMAGES; i++) {
            for (int j = 0; j < 2 * InterferenceWeights.MAX_IMAGES; j++) {
                stored.add(new Sensitivity("best-effort-" + j, "latency-critical-" + i, 1, 1));
            }
        }
        stored.add(new Sensitivity("best-effort-0", "x".repeat(InterferenceWeights.MAX_NAME_LENGTH + 1), 1, 1));
        stored.addFirst(new Sensitivity("not-a-number", "latency-critical-0", Double.NaN, 1));
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.scheduler.restore(new Estimates(stored, List.of(), List.of()));
        List<Sensitivity> restored = fixture.scheduler.estimates().sensitivities();
        assertEquals(restored.size(), InterferenceModel.MAX_LATENCY_CRITICAL_IMAGES * InterferenceWeights.MAX_IMAGES);
        assertTrue(restored.stream().allMatch(sensitivity -> Double.isFinite(sensitivity.weight())));
    }

    /** Guards against weights of latency-critical images that are kept for ever. */
    @Test
    public void latencyCriticalImagesThatChangeAllTheTimeAreForgotten() {
        lastEnd = 0;
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        int images = 2 * InterferenceModel.MAX_LATENCY_CRITICAL_IMAGES;
        for (int i = 0; i < images; i++) {
            JobSpec job = fixture.job(
                    "latency-critical-" + i, SchedulerFixture.step(1, 1500, latencyCritical("serving-" + i)));
            fixture.add(job);
            Order.Start start = fixture.starts().getFirst();
            reportBeside(fixture, start, List.of("image-" + i));
            fixture.scheduler.cancelJob(job.id());
            fixture.time.advance(Duration.ofMillis(500));
            fixture.report(
                    "w1",
                    List.of(),
                    List.of(SchedulerFixture.ended(++lastEnd, start, WorkerReport.EndKind.INTERRUPTED)));
            fixture.scheduler.plan();
        }
        List<String> latencyCritical = fixture.scheduler.estimates().sensitivities().stream()
                .map(Sensitivity::latencyCriticalImage)
                .distinct()
                .toList();
        assertEquals(latencyCritical.size(), InterferenceModel.MAX_LATENCY_CRITICAL_IMAGES);
        assertEquals(latencyCritical.getFirst(), "serving-" + (images - 1));
    }
}
