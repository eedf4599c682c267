package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that room which is kept for long-running tasks is never promised twice and is given back. */
public class RoomClaimsTest {
    /** Guards against claims that exceed what a worker can ever free, that break constraints or that are not released. */
    @Test
    public void claimsFitBesideTasksThatLastAndVanishWithThem() {
        int claimsSeen = 0;
        for (int seed = 0; seed < 30; seed++) {
            claimsSeen += new RandomChanges(seed).run();
        }
        assertTrue(claimsSeen > 100, "claims seen: " + claimsSeen);
    }

    /** Adds, cancels, drains, evacuates and loses at random while short jobs keep the workers full. */
    private static final class RandomChanges {
        private static final int WORKERS = 6;
        private static final int CAPACITY = 8000;
        private static final int ROUNDS = 200;

        private final Random random;
        private final SchedulerFixture fixture = new SchedulerFixture();
        private final SimulatedWorkers workers;
        private final String context;
        private final Map<JobId, Step> services = new HashMap<>();
        private Set<AvailabilityZone> evacuated = Set.of();
        private int workerCount;
        private int jobCount;
        private int claimsSeen;

        RandomChanges(int seed) {
            random = new Random(seed);
            context = "seed " + seed;
            workers = new SimulatedWorkers(fixture, random, Duration.ofMillis(1500));
            for (int i = 0; i < WORKERS; i++) {
                addWorker();
            }
        }

        /** Returns the number of claims that were seen after all rounds. */
        int run() {
            for (int round = 0; round < ROUNDS; round++) {
                workers.topUpFreshJobs(20, 500 * (1 + random.nextInt(4)));
                if (random.nextInt(4) == 0) {
                    change();
                }
                workers.reportAll();
                check(context + ", round " + round);
            }
            services.keySet().forEach(fixture.scheduler::cancelJob);
            fixture.scheduler.plan();
            assertEquals(fixture.scheduler.claims(), Map.of(), context);
            return claimsSeen;
        }

        private void addWorker() {
            fixture.withWorkers("w" + workerCount++);
        }

        private String randomWorker() {
            return fixture.workers
                    .get(random.nextInt(fixture.workers.size()))
                    .id()
                    .value();
        }

        private void change() {
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> addService();
                case 3 -> fixture.setDraining(randomWorker(), true);
                case 4 -> fixture.setDraining(randomWorker(), false);
                case 5 -> {
                    workers.lose(new WorkerId(randomWorker()));
                    addWorker();
                }
                case 6 -> {
                    evacuated =
                            random.nextBoolean() ? Set.of() : Set.of(new AvailabilityZone("zone-" + randomWorker()));
                    fixture.scheduler.setEvacuatedZones(evacuated);
                }
                default -> cancelService();
            }
        }

        private void addService() {
            Step.Constraints constraints = new Step.Constraints(
                    random.nextInt(4) == 0 ? Optional.of("rack-" + randomWorker()) : Optional.empty(),
                    Optional.empty(),
                    random.nextInt(3));
            Step.Behaviour behaviour = new Step.Behaviour("image", false, true, false, 50, random.nextInt(3));
            Step plain = SchedulerFixture.step(1 + random.nextInt(3), 500 * (1 + random.nextInt(10)), behaviour);
            Step step = new Step(
                    plain.count(), plain.demand(), plain.estimate(), plain.dependencies(), constraints, behaviour);
            JobSpec job = fixture.job("service" + jobCount++, step);
            services.put(job.id(), step);
            fixture.add(job);
        }

        private void cancelService() {
            List<JobId> ids = new ArrayList<>(services.keySet());
            if (!ids.isEmpty()) {
                JobId id = ids.get(random.nextInt(ids.size()));
                fixture.scheduler.cancelJob(id);
                services.remove(id);
            }
        }

        private void check(String when) {
            fixture.scheduler.plan().orders().forEach(order -> assertFalse(order instanceof Order.Start, when));
            Map<TaskName, WorkerId> claims = fixture.scheduler.claims();
            claimsSeen += claims.size();
            for (WorkerRegistration worker : fixture.workers) {
                List<TaskName> kept = claims.keySet().stream()
                        .filter(task -> claims.get(task).equals(worker.id()))
                        .toList();
                check(worker, kept, when + ", " + worker.id().value());
            }
            assertTrue(
                    claims.values().stream()
                            .allMatch(id -> fixture.workers.stream()
                                    .anyMatch(worker -> worker.id().equals(id))),
                    when);
        }

        private void check(WorkerRegistration worker, List<TaskName> kept, String when) {
            int running = 0;
            int lasting = 0;
            Map<JobId, Integer> ofJob = new HashMap<>();
            for (SimulatedWorkers.Run run : workers.runsOn(worker.id())) {
                running += run.order().milliCores();
                JobId job = run.order().task().job();
                if (services.containsKey(job) && !workers.isStopped(run)) {
                    lasting += run.order().milliCores();
                }
                ofJob.merge(job, 1, Integer::sum);
            }
            assertTrue(running <= CAPACITY, when + ": " + running + " reserved");
            for (TaskName task : kept) {
                Step step = services.get(task.job());
                lasting += step.demand().milliCores();
                int ofStep = ofJob.merge(task.job(), 1, Integer::sum);
                int maxPerWorker = step.constraints().maxPerWorker();
                assertTrue(maxPerWorker == 0 || ofStep <= maxPerWorker, when + ": " + ofStep + " tasks of a step");
                assertTrue(step.constraints().label().stream().allMatch(worker.labels()::contains), when);
            }
            assertTrue(lasting <= CAPACITY, when + ": " + lasting + " lasts or is kept");
            boolean accepts = !worker.draining() && !evacuated.contains(worker.zone());
            assertTrue(kept.isEmpty() || accepts, when + ": room is kept on a worker that accepts no tasks");
        }
    }
}
