package org.chestnutbarrow.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.chestnutbarrow.bench.Journals.WorkerInfo;

/**
 * Judges the invariants by what the workers recorded. Stateless; each check returns what broke it, an empty list if
 * nothing did.
 */
public final class Judge {
    private Judge() {}

    /** No worker was given more than it holds. */
    public static List<String> overCommitted(List<Observation> seen, Map<String, WorkerInfo> workers) {
        List<String> broken = new ArrayList<>();
        for (Observation observation : seen) {
            if (observation instanceof Observation.InUse use) {
                WorkerInfo worker = workers.get(use.worker());
                boolean fits = use.slots() <= worker.slots()
                        && use.connections() <= worker.connections()
                        && use.milliCores() <= worker.milliCores()
                        && use.memoryMiB() <= worker.memoryMiB()
                        && use.accelerators() <= worker.accelerators();
                if (!fits) {
                    broken.add(use + " is more than " + worker);
                }
            }
        }
        return broken;
    }

    /**
     * No task ran in two places, or twice in one place, at a time. An attempt that ends in the millisecond of another
     * start ended before it, since the workers' clocks are no more exact.
     */
    public static List<String> ranTwiceAtOnce(List<Observation> seen) {
        List<String> broken = new ArrayList<>();
        Map<String, Run> lastToEnd = new HashMap<>();
        for (Run run : runs(seen)) {
            String task = run.start().task();
            Run other = lastToEnd.get(task);
            if (other != null && other.endMs() > run.start().atMs()) {
                broken.add(run.start() + " while " + other.start() + " ran");
            }
            if (other == null || run.endMs() >= other.endMs()) {
                lastToEnd.put(task, run);
            }
        }
        return broken;
    }

    /** Returns all attempts in the order of their starts, of equal starts the one that ended first before the others. */
    private static List<Run> runs(List<Observation> seen) {
        Map<AttemptOnWorker, PriorityQueue<Long>> ends = new HashMap<>();
        for (Observation observation : seen) {
            if (observation instanceof Observation.TaskEnded end) {
                AttemptOnWorker attempt = new AttemptOnWorker(end.worker(), end.task(), end.attempt());
                ends.computeIfAbsent(attempt, _ -> new PriorityQueue<>()).add(end.atMs());
            }
        }
        List<Run> runs = new ArrayList<>();
        for (Observation observation : ordered(seen)) {
            if (observation instanceof Observation.TaskStarted start) {
                AttemptOnWorker attempt = new AttemptOnWorker(start.worker(), start.task(), start.attempt());
                Long endMs = ends.getOrDefault(attempt, new PriorityQueue<>()).poll();
                runs.add(new Run(start, endMs == null ? Long.MAX_VALUE : endMs));
            }
        }
        runs.sort(Comparator.comparingLong((Run run) -> run.start().atMs()).thenComparingLong(Run::endMs));
        return runs;
    }

    /** At most one attempt of each task ran to its end. */
    public static List<String> finishedTwice(List<Observation> seen) {
        List<String> broken = new ArrayList<>();
        Set<String> finished = new HashSet<>();
        for (Observation observation : seen) {
            if (observation instanceof Observation.TaskEnded end
                    && end.state().equals("FINISHED")
                    && !finished.add(end.task())) {
                broken.add(end + " after another attempt had finished");
            }
        }
        return broken;
    }

    /**
     * Each checkpoint was resumed from at most once: after an attempt ended with a checkpoint, at most one attempt of
     * the task started with exactly the work that it held before the next checkpoint was written.
     */
    public static List<String> resumedTwice(List<Observation> seen) {
        List<String> broken = new ArrayList<>();
        Map<String, Long> lastResume = new HashMap<>();
        for (Observation observation : ordered(seen)) {
            if (observation instanceof Observation.TaskStarted start && start.doneMs() > 0) {
                Long before = lastResume.put(start.task(), start.doneMs());
                if (before != null && before == start.doneMs()) {
                    broken.add(start + " resumed from a checkpoint that was used before");
                }
            }
        }
        return broken;
    }

    /** No task or request started in a zone between two times. */
    public static List<String> startedInZone(
            List<Observation> seen, Map<String, WorkerInfo> workers, String zone, long fromMs, long toMs) {
        List<String> broken = new ArrayList<>();
        for (Observation observation : seen) {
            boolean start =
                    observation instanceof Observation.TaskStarted || observation instanceof Observation.RequestStarted;
            boolean within = observation.atMs() >= fromMs && observation.atMs() <= toMs;
            if (start && within && workers.get(observation.worker()).zone().equals(zone)) {
                broken.add(observation + " started in zone " + zone + " that was out since " + fromMs);
            }
        }
        return broken;
    }

    /** Requests that must run at most once ran at most once. */
    public static List<String> ranMoreThanOnce(List<Observation> seen, Set<String> requestIds) {
        List<String> broken = new ArrayList<>();
        Set<String> ran = new HashSet<>();
        for (Observation observation : seen) {
            if (observation instanceof Observation.RequestStarted start
                    && requestIds.contains(start.requestId())
                    && !ran.add(start.requestId())) {
                broken.add(start + " ran before");
            }
        }
        return broken;
    }

    /** Requests that were answered as not run never started. */
    public static List<String> ranAlthoughRefused(List<Observation> seen, Set<String> refusedIds) {
        List<String> broken = new ArrayList<>();
        for (Observation observation : seen) {
            if (observation instanceof Observation.RequestStarted start && refusedIds.contains(start.requestId())) {
                broken.add(start + " although it was answered as not run");
            }
        }
        return broken;
    }

    private static List<Observation> ordered(List<Observation> seen) {
        return seen.stream().sorted(Comparator.comparingLong(Observation::atMs)).toList();
    }

    private record AttemptOnWorker(String worker, String task, String attempt) {}

    /** An attempt from its start to its end; {@link Long#MAX_VALUE} if it has not ended. */
    private record Run(Observation.TaskStarted start, long endMs) {}
}
