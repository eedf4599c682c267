package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Slows filling tasks down, or moves them, while they hold serving tasks beside them near their targets. Guarded by the
 * lock of its {@link Cell}.
 */
final class Sharing {
    /** Expected headroom below which filling tasks are slowed; a step shows in reports only after about 0.8 s. */
    private static final double LOW = 1.1;
    /** Expected headroom up to which they may go faster again. */
    private static final double HIGH = 1.3;
    /** Filling tasks that would be slowed below this share are moved, if they can resume on another worker. */
    private static final double MOVED_SHARE = 0.5;
    /** Smallest change of a share that is ordered, in percent. */
    private static final int LEAST_CHANGE = 15;
    /** Headroom below which slowing a task down is not worth an order. */
    private static final double LEAST_TAKEN = 0.03;
    /** Time between two increases on a worker, so that the effect of one is seen before the next. */
    private static final Duration RISE_GAP = Duration.ofMillis(700);

    /** A serving task above its target for this time stops all filling tasks beside it; harm counts from 4 s on. */
    private static final Duration LONGEST_OVER = Duration.ofMillis(1500);

    private static final int FULL = 100;

    private final Ledger ledger;
    private final Disturbance disturbance;

    Sharing(Ledger ledger, Disturbance disturbance) {
        this.ledger = ledger;
        this.disturbance = disturbance;
    }

    /** Adjusts the filling tasks of a worker; {@code elsewhere} says whether a task could run on another worker. */
    void adjust(WorkerNode node, long now, Predicate<TaskEntry> elsewhere) {
        List<TaskEntry> serving = new ArrayList<>();
        List<TaskEntry> filling = new ArrayList<>();
        for (TaskEntry task : node.tasks) {
            if (task.serves()) {
                serving.add(task);
            } else if (task.step.service().fills() && task.seen && !task.stopping) {
                filling.add(task);
            }
        }
        if (filling.isEmpty()) {
            return;
        }
        if (longOver(serving, now)) {
            filling.stream().filter(task -> task.pace > 0).forEach(task -> slow(node, task, 0, elsewhere));
            return;
        }
        Map<String, Double> whole = parts(node, filling);
        if (disturbance.least(node, whole) >= LOW && filling.stream().allMatch(task -> task.pace == FULL)) {
            return;
        }
        Map<TaskEntry, Double> least = shares(node, serving, filling, whole, LOW);
        Map<TaskEntry, Double> most = shares(node, serving, filling, whole, HIGH);
        boolean mayRise = now - node.raisedAt >= RISE_GAP.toNanos();
        for (TaskEntry task : filling) {
            int lowered = percent(least.get(task));
            int raised = percent(most.get(task));
            if (lowered < task.pace - LEAST_CHANGE || (lowered < task.pace && lowered == 0)) {
                slow(node, task, lowered, elsewhere);
            } else if (mayRise && raised > task.pace && (raised >= task.pace + LEAST_CHANGE || raised == FULL)) {
                node.raisedAt = now;
                pace(node, task, raised);
            }
        }
    }

    /** Whether a serving task has missed its target for so long that what was learned cannot be trusted here. */
    private static boolean longOver(List<TaskEntry> serving, long now) {
        return serving.stream().anyMatch(task -> task.overSince != 0 && now - task.overSince > LONGEST_OVER.toNanos());
    }

    private void slow(WorkerNode node, TaskEntry task, int percent, Predicate<TaskEntry> elsewhere) {
        if (percent < MOVED_SHARE * FULL && task.step.service().checkpoints() && elsewhere.test(task)) {
            ledger.stop(task, "disturbs-serving");
        } else {
            pace(node, task, percent);
        }
    }

    private void pace(WorkerNode node, TaskEntry task, int percent) {
        node.pace(task, percent);
        ledger.order(new Order.Pace(task.name, task.run, node.id(), node.born(), percent));
    }

    private static int percent(double share) {
        return (int) Math.round(share * FULL);
    }

    /** Processor time by image that the tasks use at full speed, as parts of the worker. */
    private static Map<String, Double> parts(WorkerNode node, List<TaskEntry> filling) {
        Map<String, Double> parts = new HashMap<>();
        for (TaskEntry task : filling) {
            parts.merge(
                    task.step.service().image(), node.part(task.step.demand().milliCores()), Double::sum);
        }
        return parts;
    }

    /** The shares at which all serving tasks keep a headroom, taken from the tasks that disturb most first. */
    private Map<TaskEntry, Double> shares(
            WorkerNode node,
            List<TaskEntry> serving,
            List<TaskEntry> filling,
            Map<String, Double> whole,
            double headroom) {
        Map<TaskEntry, Double> shares = new HashMap<>();
        filling.forEach(task -> shares.put(task, 1.0));
        Map<String, Double> parts = new HashMap<>(whole);
        for (TaskEntry task : serving) {
            double missing = headroom - disturbance.expected(task, parts);
            if (missing <= 0) {
                continue;
            }
            List<TaskEntry> worstFirst = new ArrayList<>(filling);
            worstFirst.sort(Comparator.comparingDouble(f -> -disturbance.taken(node, f, task) * shares.get(f)));
            for (TaskEntry filler : worstFirst) {
                double taken = disturbance.taken(node, filler, task);
                double share = shares.get(filler);
                if (missing <= 0 || taken * share < LEAST_TAKEN) {
                    break;
                }
                double less = Math.min(share, missing / taken);
                shares.put(filler, share - less);
                parts.merge(
                        filler.step.service().image(),
                        -less * node.part(filler.step.demand().milliCores()),
                        Double::sum);
                missing -= less * taken;
            }
        }
        return shares;
    }
}
