package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chestnutbarrow.model.JobId;
import org.testng.annotations.Test;

/** Tests over random faults and changes of the owner that no accepted work is left without a run, or is run twice. */
public class OwnerChangeSimulationTest {
    private static final int SEEDS = Integer.getInteger("chestnutbarrow.ownerChangeSeeds", 60);
    private static final int FIRST_SEED = Integer.getInteger("chestnutbarrow.ownerChangeFirstSeed", 1);
    private static final int CHAOS_TICKS = ticks(Duration.ofSeconds(20));
    private static final int CALM_TICKS = ticks(Duration.ofSeconds(14));
    /** Workers that were lost hold leases, and the last owner begins, until then. */
    private static final int SETTLING_TICKS = ticks(Duration.ofSeconds(6));

    private static final int MAX_WAIT_TICKS = ticks(Duration.ofSeconds(3));
    /** Fewer started tasks would show that the simulation does not exercise the scheduler. */
    private static final int MIN_STARTED_TASKS = 5;

    private static final double MAX_USED_SHARE = 0.5;

    private static int ticks(Duration duration) {
        return (int) duration.dividedBy(OwnerChangeSimulation.TICK);
    }

    /** Guards against jobs that nothing of runs after a series of faults although most of the room is free. */
    @Test
    public void acceptedWorkRunsAfterFaultsAndChangesOfOwner() {
        List<String> failures = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            for (String failure : play(seed)) {
                failures.add("seed " + seed + ": " + failure);
            }
        }
        assertEquals(failures.size(), 0, String.join("\n", failures));
    }

    private static List<String> play(long seed) {
        OwnerChangeSimulation simulation = new OwnerChangeSimulation(seed);
        for (int i = 0; i < CHAOS_TICKS; i++) {
            simulation.tick();
        }
        simulation.calm();
        CalmCheck check = new CalmCheck(simulation);
        Map<String, Integer> waits = new HashMap<>();
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < CALM_TICKS; i++) {
            simulation.tick();
            if (i >= SETTLING_TICKS) {
                countWaits(check, simulation, waits, failures);
            }
        }
        failures.addAll(simulation.violations);
        if (simulation.lastStarts.size() < MIN_STARTED_TASKS) {
            failures.add("only " + simulation.lastStarts.size() + " tasks were started");
        }
        return failures;
    }

    private static void countWaits(
            CalmCheck check, OwnerChangeSimulation simulation, Map<String, Integer> waits, List<String> failures) {
        Map<String, TaskName> waiting = waiting(check, simulation);
        waits.keySet().retainAll(waiting.keySet());
        waiting.forEach((key, task) -> {
            if (waits.merge(key, 1, Integer::sum) == MAX_WAIT_TICKS) {
                failures.add(check.describe(task));
            }
        });
    }

    /**
     * Returns a waiting task with room twice over of each job that has nothing running, and each long-running one that
     * waits.
     */
    private static Map<String, TaskName> waiting(CalmCheck check, OwnerChangeSimulation simulation) {
        Map<String, TaskName> waiting = new HashMap<>();
        if (check.usedShare() >= MAX_USED_SHARE) {
            return waiting;
        }
        List<TaskName> ready = check.readyTasks();
        Set<JobId> running =
                ready.stream().filter(simulation::runs).map(TaskName::job).collect(Collectors.toSet());
        for (TaskName task : ready) {
            boolean counts =
                    !running.contains(task.job()) || (check.step(task).longRunning() && !simulation.runs(task));
            if (counts && check.hasRoomTwice(task)) {
                waiting.put(
                        check.step(task).longRunning()
                                ? task.toString()
                                : task.job().value(),
                        task);
            }
        }
        return waiting;
    }
}
