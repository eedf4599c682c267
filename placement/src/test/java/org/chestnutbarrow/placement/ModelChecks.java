package org.chestnutbarrow.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.ZoneState;
import org.chestnutbarrow.placement.ModelWorker.Run;

/** The invariants that {@link Simulation} checks at each start, and the configuration that they refer to. */
final class ModelChecks {
    private static final Resources QUOTA = new Resources(0, 0, 9_000, 90_000, 0);

    private ModelChecks() {}

    /** A random job of one of the two teams. */
    static Job job(JobId id, Random random, Instant now) {
        Resources demand = new Resources(0, 0, 500 * (1 + random.nextInt(3)), 1_000L * (1 + random.nextInt(4)), 0);
        Optional<Instant> finishBy =
                random.nextInt(4) == 0 ? Optional.empty() : Optional.of(now.plusSeconds(random.nextInt(100)));
        // Some run longer than a holder may go on without being heard.
        int longest = random.nextInt(4) == 0 ? 40_000 : 6_000;
        Duration runTime = Duration.ofMillis(500L + random.nextInt(longest));
        String team = "t" + random.nextInt(2);
        return new Job(id, "c", team, 1 + random.nextInt(8), demand, runTime, finishBy, now);
    }

    /** Two teams with a quota, and all zones of the workers. */
    static Configuration configuration(List<ModelWorker> workers, Set<AvailabilityZone> out) {
        TreeMap<String, Team> teams = new TreeMap<>();
        teams.put("t0", new Team("t0", QUOTA));
        teams.put("t1", new Team("t1", QUOTA));
        TreeSet<AvailabilityZone> zones = new TreeSet<>();
        workers.forEach(worker -> zones.add(worker.worker.zone()));
        TreeMap<AvailabilityZone, ZoneState> states = new TreeMap<>();
        out.forEach(zone -> states.put(zone, ZoneState.OUT));
        return new Configuration(0, "c", new Declarations(new TreeMap<>(), teams, zones), states);
    }

    /**
     * Checks a start before it is made.
     *
     * @param known whether all earlier ends could be known: the end at a worker without a holder may become known only
     *     after its task had to start again elsewhere
     */
    static void start(List<ModelWorker> workers, Run run, Run before, boolean known, BitSet finished) {
        TaskId task = run.start.task();
        for (ModelWorker worker : workers) {
            Run other = worker.runs.get(task);
            if (other != null && !other.state.ended()) {
                throw new IllegalStateException("two attempts run: " + other.start + " and " + run.start);
            }
        }
        if (known && finished.get(task.index())) {
            throw new IllegalStateException("a finished task starts again: " + run.start);
        }
        Optional<CheckpointId> expected =
                before == null ? Optional.empty() : before.checkpoint.or(() -> before.start.resumeFrom());
        if (known && !expected.equals(run.start.resumeFrom())) {
            throw new IllegalStateException("resumes from another checkpoint than " + expected + ": " + run.start);
        }
    }

    /** Checks the use of a team after a start. */
    static void quota(List<ModelWorker> workers, Map<JobId, Job> jobs, String team) {
        Resources use = Resources.NONE;
        for (ModelWorker worker : workers) {
            for (Run run : worker.runs.values()) {
                boolean counts = !run.state.ended()
                        && jobs.get(run.start.task().job()).team().equals(team);
                use = counts ? use.plus(run.start.demand()) : use;
            }
        }
        if (!use.fitsIn(QUOTA)) {
            throw new IllegalStateException("team " + team + " exceeds its quota: " + use);
        }
    }
}
