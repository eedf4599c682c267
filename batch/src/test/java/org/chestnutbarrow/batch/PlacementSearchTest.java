package org.chestnutbarrow.batch;

import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/**
 * Compares the indexed search for workers, which retries a task only on workers that have changed, with a search over
 * all workers after each of many random events. Best-effort tasks are left out, because their room depends on
 * estimates. Not thread-safe.
 */
public class PlacementSearchTest {
    private static final int WORKERS = 8;
    private static final int ZONES = 3;
    private static final int MAX_JOBS = 12;
    private static final int EVENTS = 4000;
    private static final List<EndKind> END_KINDS = List.of(EndKind.values());
    private static final double SHORT_TASK_RESERVE = 0.08;

    private final ManualTime time = new ManualTime();
    private final JobTable jobTable = new JobTable(time);
    private final WorkerRegistry registry = new WorkerRegistry(jobTable, time);
    private final WorkerSelector selector = new WorkerSelector(new InterferenceModel(), registry.index());
    private final RoomClaims roomClaims = new RoomClaims(selector, registry.index());
    private final TaskPlacer placer = new TaskPlacer(jobTable, selector, roomClaims, registry.index(), time);
    private final ReportProcessor reports =
            new ReportProcessor(jobTable, registry.index(), new StalledRuns(), new IneffectiveEnds(time));
    private final List<WorkerRegistration> registrations = new ArrayList<>();
    private final List<JobEntry> jobs = new ArrayList<>();
    private final long[] lastEnd = new long[WORKERS];
    private Random random = new Random(0);
    private int submitted;
    private int starts;
    private int compared;

    /** Guards against a waiting task that is not placed because a change that made room for it was not recorded. */
    @Test
    public void placesEveryTaskThatFits() {
        for (long seed = 1; seed <= 3; seed++) {
            new PlacementSearchTest().play(seed);
        }
    }

    private void play(long seed) {
        random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            registrations.add(registration(i, 1, false));
        }
        registry.update(registrations, time.nanos());
        for (int event = 0; event < EVENTS; event++) {
            String name = playEvent();
            long now = time.nanos();
            registry.index().endQuarantines(now);
            placer.place(now, Integer.MAX_VALUE);
            starts += (int) jobTable.takeOrders().stream()
                    .filter(Order.Start.class::isInstance)
                    .count();
            jobTable.takeChanges();
            assertTrue(jobTable.takeSetAside().isEmpty());
            jobs.removeIf(JobEntry::isTerminated);
            for (JobEntry job : List.copyOf(jobTable.waitingJobs())) {
                checkWaitingTasks(job, now, "seed " + seed + ", event " + event + ": " + name);
            }
        }
        assertTrue(starts > EVENTS / 10, starts + " starts");
        assertTrue(compared > EVENTS, compared + " comparisons");
    }

    private void checkWaitingTasks(JobEntry job, long now, String context) {
        for (int step = 0; step < job.tasksByStep.size(); step++) {
            for (int index : job.waitingTaskIndexes(step).stream().toArray()) {
                TaskEntry task = job.tasksByStep.get(step).get(index);
                if (task.run == 0 && task.step.longRunning() && lostTaskAwaitsClaim(task.job.policy.service(), now)) {
                    continue;
                }
                compared++;
                assertNull(findWorker(task, now), context + ": " + task.name + ", run " + task.run);
            }
        }
    }

    /** Returns whether first runs of long-running tasks wait, found by a search of all workers. */
    private boolean lostTaskAwaitsClaim(String service, long now) {
        return jobTable.restartedTasks().stream()
                .filter(task -> !task.endedInTouch && task.failedStarts < 3)
                .filter(task -> task.job.policy.service().equals(service) && task.job.isReady(task.name.step()))
                .filter(task -> !roomClaims.workers().containsKey(task))
                .anyMatch(task -> nodes().stream().anyMatch(node -> selector.couldClaim(task, node, now)));
    }

    private WorkerNode findWorker(TaskEntry task, long now) {
        long free = 0;
        long capacity = 0;
        for (WorkerNode node : nodes()) {
            // Only workers that are fully used have room for short tasks.
            if (node.isSchedulable() && node.health.isSound()) {
                free += node.freeMilliCores();
                capacity += node.registration.capacity().milliCores();
            }
        }
        boolean doubleRoom = task.step.longRunning()
                && task.run == 0
                && free - task.step.reservation().milliCores() <= SHORT_TASK_RESERVE * capacity;
        Resources room = doubleRoom ? task.step.reservation().plus(task.step.reservation()) : task.step.reservation();
        int maxPerWorker = task.step.constraints().maxPerWorker();
        for (WorkerNode node : nodes()) {
            if (node.acceptsTasks(now)
                    && node.fits(room)
                    && task.step
                            .constraints()
                            .label()
                            .map(node.registration.labels()::contains)
                            .orElse(true)
                    && (maxPerWorker == 0 || node.countOfStep(task.name.job(), task.name.step()) < maxPerWorker)) {
                return node;
            }
        }
        return null;
    }

    private List<WorkerNode> nodes() {
        return registrations.stream()
                .map(registration -> registry.find(registration.id()))
                .filter(node -> node != null)
                .toList();
    }

    private String playEvent() {
        int kind = random.nextInt(100);
        if (kind < 25) {
            time.advance(Duration.ofMillis(random.nextInt(kind == 0 ? 5000 : 400)));
            return "time";
        } else if (kind < 60) {
            report(random.nextInt(WORKERS));
            return "report";
        } else if (kind < 80) {
            addJob();
            return "job";
        } else if (kind < 83) {
            if (!jobs.isEmpty()) {
                jobTable.endJob(jobs.get(random.nextInt(jobs.size())), JobState.CANCELLED, "cancelled");
            }
            return "cancellation";
        } else if (kind < 86) {
            registry.setEvacuatedZones(
                    random.nextBoolean() ? Set.of() : Set.of(new AvailabilityZone("z" + random.nextInt(ZONES))));
            return "evacuation";
        } else if (kind < 91) {
            updateWorkers();
            return "workers";
        } else if (kind < 95) {
            int worker = random.nextInt(WORKERS);
            long incarnation = registrations.get(worker).incarnation() - random.nextInt(2);
            registry.expireLeases(new TaskRecord.WorkerIncarnation(workerId(worker), incarnation));
            return "lease expiry";
        } else if (kind < 98) {
            registry.index().setReportInterval(Duration.ofMillis(500 + random.nextInt(700)), time.nanos());
            return "report interval";
        }
        rejectStarts();
        return "rejected starts";
    }

    private static WorkerId workerId(int i) {
        return new WorkerId("w" + i);
    }

    private static WorkerRegistration registration(int i, long incarnation, boolean draining) {
        return new WorkerRegistration(
                workerId(i),
                incarnation,
                new Address("127.0.0.1", 1),
                SchedulerFixture.QUEUE.service(),
                new AvailabilityZone("z" + i % ZONES),
                Set.of("rack-" + i % 2),
                new Resources(0, 0, 4000 + 2000 * (i % 3), 16000, 0),
                draining);
    }

    private void updateWorkers() {
        int i = random.nextInt(WORKERS);
        boolean restarted = random.nextInt(4) == 0;
        long incarnation = registrations.get(i).incarnation() + (restarted ? 1 : 0);
        if (restarted) {
            lastEnd[i] = 0;
        }
        registrations.set(i, registration(i, incarnation, random.nextInt(3) == 0));
        List<WorkerRegistration> listed = new ArrayList<>(registrations);
        if (random.nextInt(3) == 0) {
            listed.remove(random.nextInt(WORKERS));
        }
        registry.update(listed, time.nanos());
    }

    /** Reports some runs of a worker as running, ends some, and leaves some out. */
    private void report(int i) {
        WorkerNode node = registry.find(workerId(i));
        if (node == null) {
            return;
        }
        List<WorkerReport.Running> running = new ArrayList<>();
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (TaskEntry task : node.tasks) {
            int fate = random.nextInt(20);
            task.startSettledAt = task.startSettledAt == 0 ? Math.max(1, time.nanos()) : task.startSettledAt;
            if (fate < 16) {
                int progress = task.step.longRunning() ? 100 : random.nextInt(100);
                running.add(new WorkerReport.Running(task.name, task.run, progress, 10));
            } else if (fate < 19) {
                EndKind endKind = END_KINDS.get(random.nextInt(END_KINDS.size()));
                ended.add(new WorkerReport.Ended(++lastEnd[i], task.name, task.run, endKind, ""));
            }
        }
        WorkerReport report = new WorkerReport(node.id(), node.incarnation(), running, ended);
        reports.process(node, report, time.nanos(), time.nanos());
    }

    private void rejectStarts() {
        for (WorkerNode node : nodes()) {
            for (TaskEntry task : List.copyOf(node.tasks)) {
                if (!task.confirmed && !task.inherited) {
                    jobTable.release(task);
                }
            }
        }
    }

    private void addJob() {
        if (jobs.size() >= MAX_JOBS) {
            return;
        }
        boolean longRunning = random.nextBoolean();
        Step step = new Step(
                1 + random.nextInt(4),
                new Resources(0, 0, 500 * (1 + random.nextInt(9)), 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                new Step.Constraints(
                        random.nextInt(4) == 0 ? Optional.of("rack-" + random.nextInt(2)) : Optional.empty(),
                        random.nextInt(4) == 0 ? Optional.of("rack-" + random.nextInt(2)) : Optional.empty(),
                        random.nextInt(3)),
                longRunning ? new Step.Behaviour("s", false, true, false, 50, 0) : Step.Behaviour.PLAIN);
        JobId id = new JobId("job" + submitted++);
        jobs.add(jobTable.add(new JobSpec(id, SchedulerFixture.QUEUE, Instant.EPOCH, "payload", List.of(step))));
    }
}
