package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests which workers are quarantined by the ends of simulated runs. */
public class OutlierDetectionTest {
    private static final double BASE_RATE = 0.05;
    private static final WorkerId FAULTY = new WorkerId("w7");

    /** Keeps all workers busy with plain tasks, of which about five a second end on each. */
    private static void play(FailingRuns site, int workers, Duration time) {
        play(site, workers, 4, time);
    }

    private static void play(FailingRuns site, int workers, int maxTasks, Duration time) {
        Duration end = site.elapsed().plus(time);
        while (site.elapsed().compareTo(end) < 0) {
            site.topUpPlainTasks(workers, maxTasks);
            site.step();
        }
    }

    /** Guards against sound workers that are quarantined because some runs fail on any worker. */
    @Test
    public void soundWorkersAreNotQuarantined() {
        int runs = 0;
        int quarantines = 0;
        for (long seed = 1; seed <= 4; seed++) {
            FailingRuns site = new FailingRuns(40, seed, _ -> BASE_RATE);
            while (site.endedRuns < 28_000) {
                play(site, 40, Duration.ofSeconds(1));
            }
            runs += site.endedRuns;
            quarantines += site.quarantines.size();
        }
        assertTrue(quarantines <= runs / 10_000, quarantines + " quarantines in " + runs + " runs");
    }

    /** Guards against a faulty worker that takes one run after the other because it ends them soon. */
    @Test
    public void workerThatFailsEachRunIsQuarantinedAfterThree() {
        for (long seed = 1; seed <= 5; seed++) {
            boolean[] faulty = {false};
            FailingRuns site = new FailingRuns(40, seed, worker -> faulty[0] && worker.equals(FAULTY) ? 1 : 0);
            // Several failures of one small job may be its own fault.
            play(site, 40, 1, Duration.ofSeconds(5));
            faulty[0] = true;
            play(site, 40, 1, Duration.ofSeconds(5));
            assertEquals(
                    site.quarantines.stream()
                            .map(FailingRuns.Quarantine::worker)
                            .distinct()
                            .toList(),
                    List.of(FAULTY));
            assertTrue(site.failuresBeforeQuarantine.get(FAULTY) < 3, "seed " + seed + ": not with the third failure");
        }
    }

    /** Guards against a worker that ends some runs well and fails far more than all others. */
    @Test
    public void workerThatFailsFourInTenIsFoundInTenSeconds() {
        int found = 0;
        int seeds = 20;
        for (long seed = 1; seed <= seeds; seed++) {
            boolean[] faulty = {false};
            FailingRuns site =
                    new FailingRuns(40, seed, worker -> faulty[0] && worker.equals(FAULTY) ? 0.4 : BASE_RATE);
            play(site, 40, Duration.ofSeconds(5));
            faulty[0] = true;
            play(site, 40, Duration.ofSeconds(10));
            found += site.failuresBeforeQuarantine.containsKey(FAULTY) ? 1 : 0;
        }
        assertTrue(found >= seeds * 9 / 10, "found with " + found + " of " + seeds + " seeds");
    }

    /** Guards against a service without capacity because many of its workers fail at once. */
    @Test
    public void soundHalfOfServiceIsUsed() {
        FailingRuns site = new FailingRuns(20, 1, worker -> isInFirstHalf(worker) ? 1 : BASE_RATE);
        play(site, 20, Duration.ofSeconds(10));
        for (int window = 0; window < 10; window++) {
            int before = startsOn(site, 10, 20);
            play(site, 20, Duration.ofSeconds(1));
            assertTrue(startsOn(site, 10, 20) - before > 20, "starts " + (startsOn(site, 10, 20) - before));
        }
        long quarantined = site.quarantines.stream()
                .filter(quarantine -> !isInFirstHalf(quarantine.worker()))
                .count();
        assertTrue(quarantined <= 1, "quarantines of the sound half " + site.quarantines);
    }

    /** Guards against a service that is unused because all its workers are suspected. */
    @Test
    public void allWorkersAreUsedIfAllAreSuspected() {
        for (int workers : new int[] {1, 2, 8, 20}) {
            FailingRuns site = new FailingRuns(workers, 1, _ -> 1);
            play(site, workers, Duration.ofSeconds(10));
            int quarantinedAtOnce = Math.max(workers > 1 ? 1 : 0, workers / 10);
            List<WorkerId> ids = IntStream.range(0, workers)
                    .mapToObj(i -> new WorkerId("w" + i))
                    .toList();
            for (int window = 0; window < 3; window++) {
                List<Integer> before = ids.stream()
                        .map(id -> site.startsByWorker.getOrDefault(id, 0))
                        .toList();
                play(site, workers, Duration.ofSeconds(4));
                long unused = IntStream.range(0, workers)
                        .filter(i -> site.startsByWorker.getOrDefault(ids.get(i), 0) - before.get(i) == 0)
                        .count();
                assertTrue(unused <= quarantinedAtOnce, workers + " workers, " + unused + " unused");
            }
        }
    }

    private static boolean isInFirstHalf(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(1)) < 10;
    }

    private static int startsOn(FailingRuns site, int from, int to) {
        return IntStream.range(from, to)
                .map(i -> site.startsByWorker.getOrDefault(new WorkerId("w" + i), 0))
                .sum();
    }
}
