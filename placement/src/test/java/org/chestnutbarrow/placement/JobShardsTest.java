package org.chestnutbarrow.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.PlacementEvent.StartResult;
import org.chestnutbarrow.placement.PlacementEvent.WorkerFreeCapacity;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the order of jobs, the spread of tasks, and the isolation of failing jobs, failing workers and cancellations.
 */
public class JobShardsTest {
    private static final Resources CAPACITY = new Resources(8, 64, 4_000, 4_000, 0);
    private static final Resources SMALL_DEMAND = new Resources(0, 0, 1_000, 1_000, 0);

    private ManualTime time;
    private JobShards shards;

    @BeforeMethod
    public void createShards() {
        time = new ManualTime();
        shards = new JobShards(time, worker -> 0);
        TreeMap<String, Team> teams = new TreeMap<>();
        teams.put("t", new Team("t", new Resources(0, 0, 10_000_000, 10_000_000, 0)));
        TreeSet<AvailabilityZone> zones = new TreeSet<>();
        for (int i = 0; i < 3; i++) {
            zones.add(new AvailabilityZone("z" + i));
        }
        shards.apply(new PlacementEvent.ConfigurationChanged(
                new Configuration(0, "c", new Declarations(new TreeMap<>(), teams, zones), new TreeMap<>())));
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            shards.apply(new PlacementEvent.ShardGained(shard, 1, List.of()));
            shards.apply(new PlacementEvent.WorkersFenced(shard, 1, time.nanos()));
        }
    }

    private void reportWorkers(int count) {
        Address address = Address.parse("127.0.0.1:1");
        List<WorkerFreeCapacity> reported = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % 3);
            Worker worker = new Worker(new WorkerId("w" + i), zone, "r" + i / 3, address, address, false, CAPACITY);
            reported.add(new WorkerFreeCapacity(worker, CAPACITY));
        }
        shards.apply(new PlacementEvent.WorkersChanged(reported, Connectivity.ALL));
    }

    private void addJob(String id, int tasks, Resources demand, int finishBySeconds) {
        Optional<java.time.Instant> finishBy =
                finishBySeconds == 0 ? Optional.empty() : Optional.of(time.now().plusSeconds(finishBySeconds));
        Job job = new Job(new JobId(id), "c", "t", tasks, demand, Duration.ofSeconds(10), finishBy, time.now());
        shards.apply(new PlacementEvent.JobAdded(LoggedJob.newlyAccepted(job)));
    }

    private List<PlacementEffect> tick() {
        return shards.apply(new PlacementEvent.Tick());
    }

    private static List<PlacementEffect.Start> starts(List<PlacementEffect> effects) {
        return effects.stream()
                .filter(PlacementEffect.Start.class::isInstance)
                .map(PlacementEffect.Start.class::cast)
                .toList();
    }

    private static List<String> startedJobs(List<PlacementEffect> effects) {
        return starts(effects).stream().map(start -> start.task().job().value()).toList();
    }

    private void reportState(PlacementEffect.Start start, TaskState state) {
        TaskStatus status = new TaskStatus(
                start.task(),
                start.workClass(),
                start.shard(),
                start.attempt(),
                state,
                Optional.empty(),
                start.demand(),
                Duration.ZERO);
        shards.apply(new PlacementEvent.StartReported(
                start.worker(), start.task(), start.attempt(), time.nanos(), new StartResult.Done(status)));
    }

    @Test
    public void startsAlwaysOnFirstAndThenByLeastSlack() {
        reportWorkers(1);
        addJob("late", 2, SMALL_DEMAND, 500);
        addJob("soon", 2, SMALL_DEMAND, 100);
        addJob("watcher", 1, SMALL_DEMAND, 0);
        assertEquals(startedJobs(tick()), List.of("watcher", "soon", "soon", "late"));
    }

    @Test
    public void reportsAJobThatFitsNoWorkerAndPlacesTheOthers() {
        reportWorkers(1);
        addJob("huge", 1, new Resources(0, 0, 5_000, 1_000, 0), 1);
        addJob("small", 1, SMALL_DEMAND, 500);
        List<PlacementEffect> effects = tick();
        assertEquals(startedJobs(effects), List.of("small"));
        assertTrue(
                effects.stream().anyMatch(PlacementEffect.Unplaceable.class::isInstance),
                "the job was not reported as unplaceable");
        assertTrue(shards.explain(new JobId("huge")).orElseThrow().state().startsWith("unplaceable"));
    }

    @Test
    public void spreadsTasksOverZonesAndRacks() {
        reportWorkers(9);
        addJob("j", 6, SMALL_DEMAND, 100);
        Map<String, Integer> counts = new TreeMap<>();
        for (PlacementEffect.Start start : starts(tick())) {
            int number = Integer.parseInt(start.worker().value().substring(1));
            counts.merge("zone " + number % 3, 1, Integer::sum);
            counts.merge("racks", counts.containsKey("rack of " + number) ? 0 : 1, Integer::sum);
            counts.merge("rack of " + number, 1, Integer::sum);
        }
        counts.keySet().removeIf(key -> key.startsWith("rack of "));
        assertEquals(counts, Map.of("zone 0", 2, "zone 1", 2, "zone 2", 2, "racks", 6));
    }

    @Test
    public void holdsAJobThatFailsOnThreeWorkersAndExplainsIt() {
        reportWorkers(6);
        addJob("bad", 6, SMALL_DEMAND, 100);
        starts(tick()).forEach(start -> reportState(start, TaskState.FAILED));
        time.advance(Duration.ofSeconds(5));
        reportWorkers(6);
        assertEquals(startedJobs(tick()), List.of(), "a held job was started");
        assertTrue(shards.explain(new JobId("bad")).orElseThrow().state().startsWith("held"));
    }

    @Test
    public void quarantinesAWorkerThatFailsTasksOfThreeJobs() {
        reportWorkers(1);
        for (int i = 0; i < 3; i++) {
            addJob("j" + i, 1, SMALL_DEMAND, 100);
        }
        List<PlacementEffect.Start> starts = starts(tick());
        assertEquals(starts.size(), 3);
        starts.forEach(start -> reportState(start, TaskState.FAILED));
        time.advance(Duration.ofSeconds(3));
        reportWorkers(1);
        assertEquals(startedJobs(tick()), List.of(), "a quarantined worker was used");
        time.advance(Duration.ofSeconds(8));
        reportWorkers(1);
        assertEquals(starts(tick()).size(), 1, "a quarantined worker must get exactly one probe");
    }

    /** Guards against a start that reaches the worker's next holder after its task was placed elsewhere. */
    @Test
    public void repeatsAStartOnlyWhileItsWorkerIsHeld() {
        reportWorkers(1);
        addJob("j", 1, SMALL_DEMAND, 100);
        assertEquals(starts(tick()).size(), 1);
        time.advance(Duration.ofMillis(600));
        assertEquals(starts(tick()).size(), 1, "a start without a result was not repeated");
        reportWorkers(0);
        time.advance(Duration.ofMillis(600));
        assertEquals(starts(tick()).size(), 0, "the start was repeated although no daemon holds the worker");
    }

    @Test
    public void cancellationsDoNotDelayStarts() {
        reportWorkers(1_300);
        for (int i = 0; i < 5_000; i++) {
            addJob("c" + i, 1, SMALL_DEMAND, 100);
        }
        List<PlacementEffect.Start> running = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            running.addAll(starts(tick()));
        }
        assertEquals(running.size(), 5_000);
        running.forEach(start -> reportState(start, TaskState.RUNNING));
        for (int i = 0; i < 5_000; i++) {
            assertEquals(shards.apply(new PlacementEvent.JobCancelled(new JobId("c" + i))), List.of());
        }
        addJob("urgent", 1, SMALL_DEMAND, 20);
        assertEquals(startedJobs(tick()), List.of("urgent"));
    }
}
