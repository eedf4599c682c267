package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the faults of a play. Stateless. There are two series of faults of the store, one of nodes and one of workers;
 * the faults of a series do not overlap, those of different series do.
 */
final class FaultSchedule {
    private static final Duration FIRST = Duration.ofMillis(1500);

    private FaultSchedule() {}

    static List<Fault.Timed> create(
            RandomGenerator random, Duration length, int nodes, int workers, Set<Fault.Family> families) {
        List<Fault.Timed> schedule = new ArrayList<>();
        if (families.contains(Fault.Family.STORE)) {
            series(schedule, random, length, 600, () -> storeFault(random));
            // A node that has not read a job yet stores it again when it is submitted again.
            series(
                    schedule,
                    random,
                    length,
                    2000,
                    () -> new Fault.StoreCalls(Fault.Side.OTHERS, Fault.StoreScope.JOB_READS, slow(random, 400, 850)));
        }
        if (families.contains(Fault.Family.NODES)) {
            series(schedule, random, length, 4000, () -> nodeFault(random, nodes));
        }
        if (families.contains(Fault.Family.WORKERS)) {
            series(schedule, random, length, 1500, () -> workerFault(random, workers));
        }
        if (families.contains(Fault.Family.ORDER)) {
            series(schedule, random, length, 3000, Fault.EndsUnordered::new);
        }
        return List.copyOf(schedule);
    }

    /** A source of random faults. */
    private interface Source {
        Fault next();
    }

    private static void series(
            List<Fault.Timed> schedule, RandomGenerator random, Duration length, int meanGapMs, Source source) {
        Duration at = FIRST.plus(upTo(random, 2 * meanGapMs));
        while (at.compareTo(length) < 0) {
            Fault fault = source.next();
            Duration lasts = length(random, fault);
            schedule.add(new Fault.Timed(at, lasts, fault));
            at = at.plus(lasts).plus(upTo(random, 2 * meanGapMs));
        }
    }

    private static Duration upTo(RandomGenerator random, int ms) {
        return Duration.ofMillis(random.nextInt(ms + 1));
    }

    private static Duration between(RandomGenerator random, int minMs, int maxMs) {
        return Duration.ofMillis(random.nextInt(minMs, maxMs + 1));
    }

    private static Duration length(RandomGenerator random, Fault fault) {
        return switch (fault) {
            case Fault.Reassignment _, Fault.HistoryDrop _ -> Duration.ZERO;
            case Fault.StoreCalls _ -> between(random, 1000, 5000);
            case Fault.NodeKill _, Fault.NodeStop _ -> between(random, 100, 3000);
            case Fault.NodePause _ -> between(random, 300, 8000);
            case Fault.WorkerRestart _ -> between(random, 50, 2500);
            case Fault.RestartWithLateCalls _ -> between(random, 20, 600);
            case Fault.WorkerCalls _ -> between(random, 500, 8000);
            case Fault.EndsUnordered _ -> between(random, 3000, 8000);
        };
    }

    private static Fault storeFault(RandomGenerator random) {
        Fault.StoreScope scope = scope(random);
        Fault.Side side = oneOf(random, Fault.Side.values());
        int choice = random.nextInt(100);
        if (choice < 30) {
            return new Fault.StoreCalls(side, scope, slow(random, 200, 850));
        }
        if (choice < 45) {
            return new Fault.StoreCalls(side, scope, slow(random, 700, 2500));
        }
        if (choice < 65) {
            return new Fault.StoreCalls(side, scope, new Disturbance.AnswersLost(random.nextDouble(0.3, 1)));
        }
        if (choice < 75) {
            return new Fault.StoreCalls(
                    side, scope, new Disturbance.Late(random.nextDouble(0.3, 1), between(random, 500, 6000)));
        }
        if (choice < 87) {
            return new Fault.StoreCalls(side, scope, new Disturbance.Silent());
        }
        if (choice < 92) {
            return new Fault.StoreCalls(side, scope, new Disturbance.Refusing(random.nextDouble(0.3, 1)));
        }
        return choice < 96 ? new Fault.Reassignment() : new Fault.HistoryDrop();
    }

    /** Prefers appends of progress, during which the copies of other nodes are older than the owner's state. */
    private static Fault.StoreScope scope(RandomGenerator random) {
        return random.nextInt(2) == 0 ? Fault.StoreScope.PROGRESS_APPENDS : oneOf(random, Fault.StoreScope.values());
    }

    private static <T> T oneOf(RandomGenerator random, T[] choices) {
        return choices[random.nextInt(choices.length)];
    }

    private static Disturbance.Slow slow(RandomGenerator random, int minMs, int maxMs) {
        Duration min = between(random, minMs / 2, minMs);
        return new Disturbance.Slow(min, min.plus(between(random, 0, maxMs - minMs)));
    }

    private static Fault nodeFault(RandomGenerator random, int nodes) {
        int node = random.nextInt(2) == 0 ? Fault.OWNER : random.nextInt(nodes);
        return switch (random.nextInt(3)) {
            case 0 -> new Fault.NodeKill(node);
            case 1 -> new Fault.NodeStop(node);
            default -> new Fault.NodePause(node);
        };
    }

    private static Fault workerFault(RandomGenerator random, int workers) {
        int worker = random.nextInt(workers);
        return switch (random.nextInt(10)) {
            case 8, 9 -> new Fault.RestartWithLateCalls(worker, between(random, 800, 6000), between(random, 0, 600));
            case 0, 1 -> new Fault.WorkerRestart(worker, between(random, 0, 1500));
            case 2 -> new Fault.WorkerCalls(worker, new Disturbance.Silent());
            case 3, 4 -> new Fault.WorkerCalls(worker, new Disturbance.AnswersLost(random.nextDouble(0.2, 1)));
            case 5, 6 ->
                new Fault.WorkerCalls(
                        worker, new Disturbance.Late(random.nextDouble(0.2, 1), between(random, 300, 8000)));
            default -> new Fault.WorkerCalls(worker, new Disturbance.Refusing(random.nextDouble(0.2, 1)));
        };
    }
}
