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
import org.chestnutbarrow.placement.PlacementEvent.StartAnswer;
import org.chestnutbarrow.placement.PlacementEvent.WorkerRoom;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the order of jobs, the spread of tasks, and the isolation of bad jobs, bad workers and cancellations. */
public class JobShardsTest {
    private static final Resources CAPACITY = new Resources(8, 64, 4_000, 4_000, 0);
    private static final Resources ONE = new Resources(0, 0, 1_000, 1_000, 0);

    private ManualTime time;
    private JobShards shards;

    @BeforeMethod
    public void open() {
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

    private void workers(int count) {
        Address address = Address.parse("127.0.0.1:1");
        List<WorkerRoom> rooms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % 3);
            Worker worker = new Worker(new WorkerId("w" + i), zone, "r" + i / 3, address, address, false, CAPACITY);
            rooms.add(new WorkerRoom(worker, CAPACITY));
        }
        shards.apply(new PlacementEvent.WorkersChanged(rooms, Contact.ALL));
    }

    private void add(String id, int tasks, Resources demand, int finishBySeconds) {
        Optional<java.time.Instant> by =
                finishBySeconds == 0 ? Optional.empty() : Optional.of(time.now().plusSeconds(finishBySeconds));
        Job job = new Job(new JobId(id), "c", "t", tasks, demand, Duration.ofSeconds(10), by, time.now());
        shards.apply(new PlacementEvent.JobAdded(LoggedJob.fresh(job)));
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

    private static List<String> jobs(List<PlacementEffect> effects) {
        return starts(effects).stream().map(start -> start.task().job().value()).toList();
    }

    private void answer(PlacementEffect.Start start, TaskState state) {
        TaskStatus status = new TaskStatus(
                start.task(),
                start.workClass(),
                start.shard(),
                start.attempt(),
                state,
                Optional.empty(),
                start.demand(),
                Duration.ZERO);
        shards.apply(new PlacementEvent.StartAnswered(
                start.worker(), start.task(), start.attempt(), time.nanos(), new StartAnswer.Done(status)));
    }

    @Test
    public void startsAlwaysOnFirstAndThenByLeastSlack() {
        workers(1);
        add("late", 2, ONE, 500);
        add("soon", 2, ONE, 100);
        add("watcher", 1, ONE, 0);
        assertEquals(jobs(tick()), List.of("watcher", "soon", "soon", "late"));
    }

    @Test
    public void aJobThatFitsNowhereIsReportedAndBlocksNobody() {
        workers(1);
        add("huge", 1, new Resources(0, 0, 5_000, 1_000, 0), 1);
        add("small", 1, ONE, 500);
        List<PlacementEffect> effects = tick();
        assertEquals(jobs(effects), List.of("small"));
        assertTrue(effects.stream().anyMatch(PlacementEffect.Unplaceable.class::isInstance), "not reported");
        assertTrue(shards.explain(new JobId("huge")).orElseThrow().state().startsWith("unplaceable"));
    }

    @Test
    public void spreadsTasksOverZonesAndRacks() {
        workers(9);
        add("j", 6, ONE, 100);
        Map<String, Integer> places = new TreeMap<>();
        for (PlacementEffect.Start start : starts(tick())) {
            int number = Integer.parseInt(start.worker().value().substring(1));
            places.merge("zone " + number % 3, 1, Integer::sum);
            places.merge("racks", places.containsKey("rack of " + number) ? 0 : 1, Integer::sum);
            places.merge("rack of " + number, 1, Integer::sum);
        }
        places.keySet().removeIf(key -> key.startsWith("rack of "));
        assertEquals(places, Map.of("zone 0", 2, "zone 1", 2, "zone 2", 2, "racks", 6));
    }

    @Test
    public void holdsAJobThatFailsOnThreeWorkersAndExplainsIt() {
        workers(6);
        add("bad", 6, ONE, 100);
        starts(tick()).forEach(start -> answer(start, TaskState.FAILED));
        time.advance(Duration.ofSeconds(5));
        workers(6);
        assertEquals(jobs(tick()), List.of(), "a held job started");
        assertTrue(shards.explain(new JobId("bad")).orElseThrow().state().startsWith("held"));
    }

    @Test
    public void quarantinesAWorkerThatFailsTasksOfThreeJobs() {
        workers(1);
        for (int i = 0; i < 3; i++) {
            add("j" + i, 1, ONE, 100);
        }
        List<PlacementEffect.Start> starts = starts(tick());
        assertEquals(starts.size(), 3);
        starts.forEach(start -> answer(start, TaskState.FAILED));
        time.advance(Duration.ofSeconds(3));
        workers(1);
        assertEquals(jobs(tick()), List.of(), "a quarantined worker was used");
        time.advance(Duration.ofSeconds(8));
        workers(1);
        assertEquals(starts(tick()).size(), 1, "a quarantined worker gets one probe");
    }

    /** A start that is under way for the next holder could take effect after the task was placed elsewhere. */
    @Test
    public void repeatsAStartOnlyWhileItsWorkerIsHeld() {
        workers(1);
        add("j", 1, ONE, 100);
        assertEquals(starts(tick()).size(), 1);
        time.advance(Duration.ofMillis(600));
        assertEquals(starts(tick()).size(), 1, "a start without a result is repeated");
        workers(0);
        time.advance(Duration.ofMillis(600));
        assertEquals(starts(tick()).size(), 0, "the start was repeated although nobody holds the worker");
    }

    @Test
    public void cancellationsAreStoppedInBoundedStepsAndDelayNoStart() {
        workers(1_300);
        for (int i = 0; i < 5_000; i++) {
            add("c" + i, 1, ONE, 100);
        }
        List<PlacementEffect.Start> running = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            running.addAll(starts(tick()));
        }
        assertEquals(running.size(), 5_000);
        running.forEach(start -> answer(start, TaskState.RUNNING));
        for (int i = 0; i < 5_000; i++) {
            assertEquals(shards.apply(new PlacementEvent.JobCancelled(new JobId("c" + i))), List.of());
        }
        add("urgent", 1, ONE, 20);
        assertEquals(jobs(tick()), List.of("urgent"));
    }
}
