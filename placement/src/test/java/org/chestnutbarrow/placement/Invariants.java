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
import org.chestnutbarrow.placement.FakeWorker.Run;

/** The invariants that {@link Simulation} checks at each start, and the jobs and quotas that it uses. */
final class Invariants {
    private static final Resources QUOTA = new Resources(0, 0, 9_000, 90_000, 0);

    private Invariants() {}

    /** Returns a random job of one of the two teams. */
    static Job randomJob(JobId id, Random random, Instant now) {
        Resources demand = new Resources(0, 0, 500 * (1 + random.nextInt(3)), 1_000L * (1 + random.nextInt(4)), 0);
        Optional<Instant> finishBy =
                random.nextInt(4) == 0 ? Optional.empty() : Optional.of(now.plusSeconds(random.nextInt(100)));
        // A quarter of the jobs may run longer than a holder may keep tasks running without reaching the owner.
        int maxExtraMillis = random.nextInt(4) == 0 ? 40_000 : 6_000;
        Duration runTime = Duration.ofMillis(500L + random.nextInt(maxExtraMillis));
        String team = "t" + random.nextInt(2);
        return new Job(id, "c", team, 1 + random.nextInt(8), demand, runTime, finishBy, now);
    }

    /** Returns a configuration with two teams with a quota and all zones of the workers. */
    static Configuration configuration(List<FakeWorker> workers, Set<AvailabilityZone> zonesOut) {
        TreeMap<String, Team> teams = new TreeMap<>();
        teams.put("t0", new Team("t0", QUOTA));
        teams.put("t1", new Team("t1", QUOTA));
        TreeSet<AvailabilityZone> zones = new TreeSet<>();
        workers.forEach(worker -> zones.add(worker.worker.zone()));
        TreeMap<AvailabilityZone, ZoneState> states = new TreeMap<>();
        zonesOut.forEach(zone -> states.put(zone, ZoneState.OUT));
        return new Configuration(0, "c", new Declarations(new TreeMap<>(), teams, zones), states);
    }

    /**
     * Checks that a start repeats no active or finished task and resumes from the right checkpoint.
     *
     * @param endsKnown whether all earlier ends could be known: an end at a worker without a holder may become known
     *     only after the task was started again elsewhere
     */
    static void checkRun(List<FakeWorker> workers, Run run, Run previous, boolean endsKnown, BitSet finished) {
        TaskId task = run.start.task();
        for (FakeWorker worker : workers) {
            Run other = worker.runs.get(task);
            if (other != null && !other.state.ended()) {
                throw new IllegalStateException("two active attempts: " + other.start + " and " + run.start);
            }
        }
        if (endsKnown && finished.get(task.index())) {
            throw new IllegalStateException("a finished task is started again: " + run.start);
        }
        Optional<CheckpointId> expected =
                previous == null ? Optional.empty() : previous.checkpoint.or(() -> previous.start.resumeFrom());
        if (endsKnown && !expected.equals(run.start.resumeFrom())) {
            throw new IllegalStateException("does not resume from " + expected + ": " + run.start);
        }
    }

    /** Checks that a team is within its quota after a start. */
    static void checkQuota(List<FakeWorker> workers, Map<JobId, Job> jobs, String team) {
        Resources usage = Resources.NONE;
        for (FakeWorker worker : workers) {
            for (Run run : worker.runs.values()) {
                boolean counts = !run.state.ended()
                        && jobs.get(run.start.task().job()).team().equals(team);
                usage = counts ? usage.plus(run.start.demand()) : usage;
            }
        }
        if (!usage.fitsIn(QUOTA)) {
            throw new IllegalStateException("team " + team + " exceeds its quota: " + usage);
        }
    }
}
