package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;

/** Random jobs of {@link OwnerChangeSimulation}. Not thread-safe. */
final class ChaosJobs {
    static final Queue QUEUE = new Queue("host", "/q/", "service", 0, 4, 2, Duration.ofSeconds(1));
    /** Long-running tasks hold at most this share of the workers, so that half of them is free at the end. */
    private static final double LONG_RUNNING_SHARE = 0.3;

    private final Random random;
    private final long totalMilliCores;
    private int jobs;
    private long longRunningMilliCores;

    ChaosJobs(Random random, long totalMilliCores) {
        this.random = random;
        this.totalMilliCores = totalMilliCores;
    }

    JobSpec next(Instant submitted) {
        List<Step> steps = switch (random.nextInt(4)) {
            case 0 -> longRunningSteps();
            case 1 -> List.of(step(1 + random.nextInt(4), 500 + random.nextInt(1500), behaviour(false), List.of()));
            default -> shortSteps();
        };
        return new JobSpec(new JobId("j" + jobs++), QUEUE, submitted, "payload", steps);
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private List<Step> longRunningSteps() {
        Step step = step(1 + random.nextInt(4), 800 + random.nextInt(3200), behaviour(true), List.of());
        long milliCores = (long) step.count() * step.demand().milliCores();
        if (longRunningMilliCores + milliCores > LONG_RUNNING_SHARE * totalMilliCores) {
            return shortSteps();
        }
        longRunningMilliCores += milliCores;
        return List.of(step);
    }

    private Step.Behaviour behaviour(boolean longRunning) {
        return new Step.Behaviour(
                "image" + random.nextInt(4),
                false,
                longRunning,
                !longRunning,
                longRunning && chance(0.5) ? 10 : 0,
                longRunning && chance(0.5) ? 1 : 0);
    }

    private List<Step> shortSteps() {
        List<Step> steps = new ArrayList<>();
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            steps.add(step(
                    1 + random.nextInt(6),
                    400 + random.nextInt(3000),
                    Step.Behaviour.PLAIN,
                    i > 0 && chance(0.8) ? List.of(i - 1) : List.of()));
        }
        return steps;
    }

    private Step step(int count, int milliCores, Step.Behaviour behaviour, List<Integer> dependencies) {
        return new Step(
                count,
                new Resources(0, 0, milliCores, 200 + random.nextInt(1000), 0),
                Duration.ofMillis(200 + random.nextInt(1300)),
                dependencies,
                new Step.Constraints(
                        Optional.empty(),
                        chance(0.2) ? Optional.of("rack-" + random.nextInt(4)) : Optional.empty(),
                        chance(0.2) ? 1 + random.nextInt(2) : 0),
                behaviour);
    }
}
