package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests that claims on room neither block each other nor other tasks without need. */
public class ClaimedRoomTest {
    /** Back-off after the third failed start in a row. */
    private static final Duration THIRD_BACK_OFF = Duration.ofMillis(500);

    private static final Step.Behaviour LONG_RUNNING = new Step.Behaviour("image", false, true, false, 50, 0);
    private static final Queue OTHER_QUEUE = new Queue("host", "/other/", "other", 0, 2, 2, Duration.ofSeconds(1));

    private static Order.Start startService(SchedulerFixture fixture, String job, int milliCores) {
        return startService(fixture, job, milliCores, Step.Constraints.NONE);
    }

    private static Step.Constraints label(String label) {
        return new Step.Constraints(Optional.of(label), Optional.empty(), 0);
    }

    private static Order.Start startService(
            SchedulerFixture fixture, String job, int milliCores, Step.Constraints constraints) {
        Step plain = SchedulerFixture.step(1, milliCores, LONG_RUNNING);
        fixture.add(fixture.job(
                job, new Step(1, plain.demand(), plain.estimate(), plain.dependencies(), constraints, LONG_RUNNING)));
        return fixture.starts().getFirst();
    }

    private static List<Order.Start> fill(SchedulerFixture fixture) {
        fixture.add(fixture.job("fill", SchedulerFixture.step(100, 500, Step.Behaviour.PLAIN)));
        return fixture.starts();
    }

    private static void lose(SchedulerFixture fixture, WorkerId worker) {
        fixture.workers.removeIf(registration -> registration.id().equals(worker));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.scheduler.expireLeases(new TaskRecord.WorkerIncarnation(worker, SchedulerFixture.INCARNATION));
    }

    /** Guards against a task that no worker can take and that keeps all tasks released later from claiming room. */
    @Test
    public void taskThatNoWorkerCanTakeDoesNotBlockClaimsOfLaterTasks() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4", "w5", "w6");
        Order.Start labelled = startService(fixture, "labelled", 5000, label("rack-w1"));
        Order.Start first = startService(fixture, "first", 1500);
        Order.Start second = startService(
                fixture, "second", 2000, new Step.Constraints(Optional.empty(), Optional.of("rack-w6"), 0));
        assertEquals(first.worker(), labelled.worker());
        assertEquals(second.worker(), new WorkerId("w6"));
        fill(fixture);
        lose(fixture, first.worker());
        fixture.time.advance(Duration.ofMillis(300));
        assertEquals(
                fixture.scheduler.plan().claims(),
                List.of(new Plan.Claim(first.task(), new WorkerId("w2"), 1500, Duration.ofMillis(300))));
        assertEquals(fixture.scheduler.plan().claims(), List.of(), "claims are reported once");
        assertEquals(fixture.scheduler.claims(), Map.of(first.task(), new WorkerId("w2")));
        lose(fixture, second.worker());
        fixture.scheduler.plan();
        assertEquals(fixture.scheduler.claims().keySet(), Set.of(first.task(), second.task()));
    }

    private static void addOtherWorkers(SchedulerFixture fixture, String... ids) {
        for (String id : ids) {
            fixture.workers.add(new WorkerRegistration(
                    new WorkerId(id),
                    SchedulerFixture.INCARNATION,
                    new Address("127.0.0.1", 1),
                    "other",
                    new AvailabilityZone("zone-" + id),
                    Set.of(),
                    new Resources(0, 0, 8000, 16000, 0),
                    false));
        }
        fixture.scheduler.updateWorkers(fixture.workers);
        for (String id : ids) {
            fixture.report(id, List.of(), List.of());
        }
    }

    /** Guards against a claim on the workers of one service that keeps the tasks of another one from claiming room. */
    @Test
    public void claimsOfOneServiceDoNotBlockThoseOfAnother() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3");
        fixture.scheduler.configure(
                Map.of(SchedulerFixture.QUEUE.key(), SchedulerFixture.QUEUE, OTHER_QUEUE.key(), OTHER_QUEUE));
        addOtherWorkers(fixture, "o1", "o2", "o3");
        Order.Start run = startService(fixture, "service", 6000);
        fixture.add(new JobSpec(
                new JobId("other"),
                OTHER_QUEUE,
                fixture.time.now(),
                "payload",
                List.of(SchedulerFixture.step(1, 3000, LONG_RUNNING))));
        Order.Start other = fixture.starts().getFirst();
        fill(fixture);
        fixture.add(new JobSpec(
                new JobId("otherFill"),
                OTHER_QUEUE,
                fixture.time.now(),
                "payload",
                List.of(SchedulerFixture.step(100, 500, Step.Behaviour.PLAIN))));
        fixture.scheduler.plan();
        lose(fixture, run.worker());
        fixture.scheduler.plan();
        lose(fixture, other.worker());
        fixture.scheduler.plan();
        assertEquals(fixture.scheduler.claims().keySet(), Set.of(run.task(), other.task()));
    }

    /** Guards against an earlier claim that is given up instead of a later one on the same worker. */
    @Test
    public void latestClaimIsReleasedWhenClaimsNoLongerFit() {
        for (int i = 0; i < 20; i++) {
            SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2", "w3", "w4", "w5");
            Order.Start first = startService(fixture, "first", 2000);
            Order.Start second = startService(fixture, "second", 1500);
            assertEquals(first.worker(), second.worker());
            for (String id : List.of("w3", "w4", "w5")) {
                startService(fixture, "last-" + id, 8000, label("rack-" + id));
            }
            Order.Start ended = startService(fixture, "ended", 5000, label("rack-w2"));
            assertEquals(fill(fixture).size(), 9 + 6);
            fixture.scheduler.cancelJob(ended.task().job());
            Order.Stop stop = fixture.stops().getFirst();
            lose(fixture, first.worker());
            fixture.scheduler.plan();
            assertEquals(fixture.scheduler.claims().keySet(), Set.of(first.task(), second.task()));
            fixture.scheduler.orderDropped(stop);
            fixture.scheduler.plan();
            assertEquals(fixture.scheduler.claims().keySet(), Set.of(first.task()));
        }
    }

    /** Guards against a stopped run whose worker leaves the list before it lists the end, and whose room is then lost. */
    @Test
    public void roomIsKeptWhenWorkerOfStoppedRunIsNoLongerListed() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Order.Start run = startService(fixture, "service", 6000);
        fixture.withWorkers("w2").setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 100, 10)), List.of());
        Order.Stop stop = fixture.stops().getFirst();
        fixture.workers.removeIf(worker -> worker.id().equals(run.worker()));
        fixture.scheduler.updateWorkers(fixture.workers);
        fixture.add(fixture.job("fresh", SchedulerFixture.step(8, 1000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 2, "starts beside the room for the stopped task");
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, stop, EndKind.INTERRUPTED)));
        assertEquals(fixture.starts().getFirst().task(), run.task());
    }

    /** Guards against tasks that fail at each start and take all starts of each plan from those of other jobs. */
    @Test
    public void tasksThatFailAtEachStartDoNotTakeAllStarts() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        fixture.add(fixture.job("failing", SchedulerFixture.step(4, 1000, LONG_RUNNING)));
        Map<WorkerId, Long> sequences = new HashMap<>();
        List<Order.Start> starts = SchedulerFixture.starts(fixture.scheduler.plan(4));
        int otherStarts = 0;
        for (int i = 0; i < 20; i++) {
            fixture.time.advance(Duration.ofSeconds(6));
            fixture.add(fixture.job("fresh" + i, SchedulerFixture.step(4, 500, Step.Behaviour.PLAIN)));
            for (WorkerRegistration worker : fixture.workers) {
                List<WorkerReport.Ended> ended = starts.stream()
                        .filter(start -> start.worker().equals(worker.id())
                                && start.task().job().value().equals("failing"))
                        .map(start -> SchedulerFixture.ended(
                                sequences.merge(worker.id(), 1L, Long::sum), start, EndKind.FAILED))
                        .toList();
                fixture.report(worker.id().value(), List.of(), ended);
            }
            starts = SchedulerFixture.starts(fixture.scheduler.plan(4));
            otherStarts += (int) starts.stream()
                    .filter(start -> start.task().job().value().startsWith("fresh"))
                    .count();
        }
        assertTrue(otherStarts >= 8, otherStarts + " starts of the other job");
    }

    /** Guards against a task that is kept from its own claimed room because it has failed at the start. */
    @Test
    public void taskThatFailedAtTheStartLeavesDrainingWorker() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Order.Start run = startService(fixture, "service", 6000);
        for (int sequence = 1; sequence <= 3; sequence++) {
            fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(sequence, run, EndKind.FAILED)));
            fixture.time.advance(THIRD_BACK_OFF);
            run = fixture.starts().getFirst();
        }
        fixture.withWorkers("w2").setDraining("w1", true);
        fixture.report("w1", List.of(SchedulerFixture.running(run, 50, 10)), List.of());
        Order.Stop stop = fixture.stops().getFirst();
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(4, stop, EndKind.INTERRUPTED)));
        assertEquals(fixture.starts().getFirst().worker(), new WorkerId("w2"));
    }

    /** Guards against a waiting task that has no claim on room after a change of the owner. */
    @Test
    public void nextOwnerClaimsRoomForWaitingTask() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        JobSpec service = fixture.job("service", SchedulerFixture.step(1, 6000, LONG_RUNNING));
        fixture.add(service);
        Order.Start run = fixture.starts().getFirst();
        lose(fixture, run.worker());
        JobProgress progress = fixture.scheduler.plan().changes().getFirst();
        SchedulerFixture next = new SchedulerFixture().withWorkers("w2");
        fill(next);
        next.scheduler.addJob(service, Optional.of(progress));
        assertEquals(next.starts(), List.of());
        assertEquals(next.scheduler.claims(), Map.of(run.task(), new WorkerId("w2")));
    }

    private static List<Order.Start> fillNewWorker(SchedulerFixture fixture, String id) {
        fixture.withWorkers(id);
        fixture.add(fixture.job("fill-" + id, SchedulerFixture.step(10, 1000, Step.Behaviour.PLAIN)));
        List<Order.Start> starts = fixture.starts().stream()
                .filter(start -> start.worker().value().equals(id))
                .toList();
        assertEquals(starts.size(), 8);
        starts.forEach(start -> fixture.scheduler.confirmStarted(start.task(), start.run()));
        return starts;
    }

    private static void reportProgress(SchedulerFixture fixture, String id, List<Order.Start> starts, int percent) {
        fixture.report(
                id,
                starts.stream()
                        .map(start -> SchedulerFixture.running(start, percent, 0))
                        .toList(),
                List.of());
    }

    /** Guards against a claim on a worker whose tasks take many times their estimate. */
    @Test
    public void roomIsClaimedWhereTasksProgressAsEstimated() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Order.Start run = startService(fixture, "service", 6000);
        List<Order.Start> slow = fillNewWorker(fixture, "w2");
        for (int second = 1; second <= 10; second++) {
            fixture.time.advance(Duration.ofSeconds(1));
            reportProgress(fixture, "w2", slow, 6 * second);
        }
        List<Order.Start> fast = fillNewWorker(fixture, "w3");
        fixture.time.advance(Duration.ofMillis(300));
        reportProgress(fixture, "w3", fast, 30);
        lose(fixture, run.worker());
        fixture.scheduler.plan();
        assertEquals(fixture.scheduler.claims(), Map.of(run.task(), new WorkerId("w3")));
    }

    private static final Step.Behaviour DISTURBING = new Step.Behaviour("filler", true, true, true, 0, 1);

    /** Starts a latency-critical task with two best-effort tasks beside it, and lets it miss its target for 2 s. */
    private static Plan planAfterMissedTarget(SchedulerFixture fixture, Step bestEffort, int maxStarts) {
        Order.Start critical = startService(fixture, "critical", 2000);
        fixture.add(fixture.job("filler", bestEffort));
        List<Order.Start> fillers = fixture.starts();
        assertEquals(fillers.size(), 2);
        fixture.withWorkers("w2");
        fixture.add(fixture.job("other", withMemory(1, 5000, label("rack-w2"), Step.Behaviour.PLAIN)));
        Order.Start other = fixture.starts().getFirst();
        fixture.scheduler.plan(maxStarts);
        for (int i = 0; i < 4; i++) {
            fixture.time.advance(Duration.ofMillis(600));
            fixture.report(
                    "w1",
                    List.of(
                            SchedulerFixture.running(critical, 100, 200),
                            SchedulerFixture.running(fillers.get(0), 100, 1000),
                            SchedulerFixture.running(fillers.get(1), 100, 1000)),
                    List.of());
            fixture.report("w2", List.of(SchedulerFixture.running(other, 10 + i, 0)), List.of());
        }
        return fixture.scheduler.plan(maxStarts);
    }

    private static long movedTasks(Plan plan) {
        return plan.orders().stream()
                .filter(order ->
                        order instanceof Order.Stop stop && stop.reason().equals("disturbs-serving"))
                .map(Order::task)
                .distinct()
                .count();
    }

    /** Guards against more tasks of a step that are stopped at a time than it declares, to move them to another worker. */
    @Test
    public void disturbingTasksAreMovedWithinMaxUnavailable() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        assertEquals(movedTasks(planAfterMissedTarget(fixture, SchedulerFixture.step(2, 1000, DISTURBING), 10)), 1);
    }

    /** Guards against a task that is stopped to move it while no task can be started. */
    @Test
    public void disturbingTasksAreNotMovedWhileNoTaskCanBeStarted() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        assertEquals(movedTasks(planAfterMissedTarget(fixture, SchedulerFixture.step(2, 1000, DISTURBING), 0)), 0);
    }

    /** Guards against several tasks that are stopped for the room of one. */
    @Test
    public void disturbingTasksAreMovedOnlyIfThereIsRoomForEach() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Step.Behaviour behaviour = new Step.Behaviour("filler", true, false, true, 0, 0);
        Plan plan = planAfterMissedTarget(fixture, withMemory(2, 7000, Step.Constraints.NONE, behaviour), 10);
        assertEquals(movedTasks(plan), 1);
        fixture.add(fixture.job("later", withMemory(2, 4000, Step.Constraints.NONE, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 1, "starts beside the room for the moved task");
        Order stop = plan.orders().stream()
                .filter(Order.Stop.class::isInstance)
                .findFirst()
                .orElseThrow();
        fixture.report("w1", List.of(), List.of(SchedulerFixture.ended(1, stop, EndKind.INTERRUPTED)));
        Order.Start next = fixture.starts().getFirst();
        assertEquals(next.task(), stop.task());
        assertEquals(next.worker(), new WorkerId("w2"));
        assertEquals(fixture.scheduler.claims(), Map.of());
    }

    private static Step withMemory(int count, long memoryMiB, Step.Constraints constraints, Step.Behaviour behaviour) {
        return new Step(
                count,
                new Resources(0, 0, 1000, memoryMiB, 0),
                Duration.ofSeconds(100),
                List.of(),
                constraints,
                behaviour);
    }
}
