package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
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
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.placement.PlacementEvent.WorkerFreeCapacity;
import org.chestnutbarrow.testkit.ManualTime;

/** Measures the time per placement decision with 1,000 waiting jobs, for several numbers of workers. */
public final class PlacementCost {
    private static final int JOBS = 1_000;
    private static final int MEASURED_RUNS = 9;
    private static final int WARM_UP_RUNS = 40;
    private static final int[] WORKER_COUNTS = {45, 450, 4_500, 11_000};

    private PlacementCost() {}

    /** Takes no arguments. */
    public static void main(String[] arguments) {
        for (int workers : WORKER_COUNTS) {
            double[] micros = new double[MEASURED_RUNS];
            for (int run = -WARM_UP_RUNS; run < MEASURED_RUNS; run++) {
                double measured = measure(workers);
                if (run >= 0) {
                    micros[run] = measured;
                }
            }
            Arrays.sort(micros);
            System.out.printf(
                    "workers %d: median %.2f us, lowest %.2f us, highest %.2f us per decision%n",
                    workers, micros[MEASURED_RUNS / 2], micros[0], micros[MEASURED_RUNS - 1]);
        }
    }

    /** Returns the microseconds per start, averaged over four ticks. */
    private static double measure(int workers) {
        ManualTime time = new ManualTime();
        JobShards shards = new JobShards(time, worker -> 0);
        shards.apply(new PlacementEvent.ConfigurationChanged(configuration()));
        shards.apply(new PlacementEvent.WorkersChanged(freeWorkers(workers), Connectivity.ALL));
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            shards.apply(new PlacementEvent.ShardGained(shard, 1, List.of()));
            shards.apply(new PlacementEvent.WorkersFenced(shard, 1, time.nanos()));
        }
        Resources demand = new Resources(0, 0, 1_000, 2_000, 0);
        for (int i = 0; i < JOBS; i++) {
            Job job = new Job(
                    new JobId("j" + i),
                    "c",
                    "t",
                    10,
                    demand,
                    Duration.ofMinutes(1),
                    Optional.of(time.now().plusSeconds(3_600 + i)),
                    time.now());
            shards.apply(new PlacementEvent.JobAdded(LoggedJob.newlyAccepted(job)));
        }
        int starts = 0;
        long startedAt = System.nanoTime();
        for (int tick = 0; tick < 4; tick++) {
            starts += (int) shards.apply(new PlacementEvent.Tick()).stream()
                    .filter(PlacementEffect.Start.class::isInstance)
                    .count();
        }
        return (System.nanoTime() - startedAt) / 1e3 / Math.max(1, starts);
    }

    private static Configuration configuration() {
        TreeMap<String, Team> teams = new TreeMap<>();
        teams.put("t", new Team("t", new Resources(0, 0, 1_000_000_000, 1_000_000_000, 0)));
        TreeSet<AvailabilityZone> zones = new TreeSet<>();
        for (int zone = 0; zone < 7; zone++) {
            zones.add(new AvailabilityZone("z" + zone));
        }
        return new Configuration(0, "c", new Declarations(new TreeMap<>(), teams, zones), new TreeMap<>(Map.of()));
    }

    private static List<WorkerFreeCapacity> freeWorkers(int workers) {
        Address address = Address.parse("127.0.0.1:1");
        Resources capacity = new Resources(8, 64, 64_000, 250_000, 0);
        List<WorkerFreeCapacity> reported = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % 7);
            WorkerId id = new WorkerId("w" + i);
            reported.add(new WorkerFreeCapacity(
                    new Worker(id, zone, "r" + i / 8, address, address, false, capacity), capacity));
        }
        return reported;
    }
}
