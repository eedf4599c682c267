package org.chestnutbarrow.node;

import java.util.Locale;
import java.util.stream.Collectors;
import org.chestnutbarrow.batch.IneffectiveEnd;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WaitReason;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.WorkerId;

/** Logs why jobs wait, claims on workers, the orders that are sent to them, and the ends of runs that they report. Stateless. */
final class OrderEvents {
    private OrderEvents() {}

    static void log(Order order) {
        String task = indexes(order.task());
        switch (order) {
            case Order.Start start ->
                Events.info(
                        "task-start",
                        "job",
                        start.task().job(),
                        "task",
                        task,
                        "run",
                        start.run(),
                        "worker",
                        start.worker(),
                        "milliCores",
                        start.milliCores(),
                        "waitedMs",
                        start.waited().toMillis());
            case Order.Stop stop ->
                Events.info(
                        "task-stop",
                        "job",
                        stop.task().job(),
                        "task",
                        task,
                        "run",
                        stop.run(),
                        "worker",
                        stop.worker(),
                        "reason",
                        stop.reason());
            case Order.SetCpuLimit setCpuLimit ->
                Events.info(
                        "task-pace",
                        "job",
                        setCpuLimit.task().job(),
                        "task",
                        task,
                        "run",
                        setCpuLimit.run(),
                        "worker",
                        setCpuLimit.worker(),
                        "percent",
                        setCpuLimit.percent());
        }
    }

    static void log(Plan.Claim claim) {
        Events.info(
                "room-claimed",
                "job",
                claim.task().job(),
                "task",
                indexes(claim.task()),
                "worker",
                claim.worker(),
                "milliCores",
                claim.milliCores(),
                "waitedMs",
                claim.waited().toMillis());
    }

    static void log(Plan.WaitingJob waiting) {
        Events.info(
                "job-waits",
                "job",
                waiting.task().job(),
                "task",
                indexes(waiting.task()),
                "milliCores",
                waiting.milliCores(),
                "waitedMs",
                waiting.waited().toMillis(),
                "jobs",
                waiting.jobs(),
                "reason",
                name(waiting.reason()),
                "workers",
                workers(waiting.reason()));
        waiting.refusal().ifPresent(refusal -> log(waiting.task(), refusal));
    }

    private static void log(TaskName task, Plan.BestEffortRefusal refusal) {
        Events.info(
                "best-effort-refused",
                "job",
                task.job(),
                "task",
                indexes(task),
                "of",
                refusal.workers(),
                "withoutServing",
                refusal.withoutLatencyCritical(),
                "freeShare",
                rounded(refusal.freeShare()),
                "bestSpare",
                rounded(refusal.bestSpare()),
                "bestShare",
                rounded(refusal.bestShare()),
                "typicalHeadroom",
                rounded(refusal.typicalHeadroom()),
                "maxWeight",
                rounded(refusal.maxWeight()),
                "reports",
                refusal.reports(),
                "beside",
                refusal.reportsBesideBestEffort());
    }

    private static String rounded(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String name(WaitReason reason) {
        return switch (reason) {
            case WaitReason.SetAside _ -> "set-aside";
            case WaitReason.UnknownRuns _ -> "unknown-runs";
            case WaitReason.StartWindow _ -> "start-window";
            case WaitReason.AccountCap _ -> "account-cap";
            case WaitReason.NoWorkers _ -> "no-workers";
            case WaitReason.NoLabel _ -> "no-label";
            case WaitReason.NoRoom _ -> "no-room";
            case WaitReason.NotPlaced _ -> "not-placed";
            case WaitReason.Excluded excluded -> name(excluded.mostFrequent());
        };
    }

    private static String name(WaitReason.Exclusion exclusion) {
        return exclusion.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the numbers of workers by cause, or what it is that no worker has. */
    private static String workers(WaitReason reason) {
        return switch (reason) {
            case WaitReason.SetAside _, WaitReason.UnknownRuns _, WaitReason.StartWindow _ -> "";
            case WaitReason.AccountCap cap -> "account " + cap.account();
            case WaitReason.NoWorkers noWorkers -> "0 of " + noWorkers.service();
            case WaitReason.NoLabel noLabel -> "0 with " + noLabel.label();
            case WaitReason.NoRoom noRoom -> String.valueOf(noRoom.workers());
            case WaitReason.NotPlaced notPlaced -> String.valueOf(notPlaced.workers());
            case WaitReason.Excluded excluded ->
                excluded.workers().entrySet().stream()
                        .map(entry -> entry.getValue() + " " + name(entry.getKey()))
                        .collect(Collectors.joining(", "));
        };
    }

    private static String indexes(TaskName task) {
        return task.step() + "/" + task.index();
    }

    static void log(IneffectiveEnd ineffective) {
        Events.warn(
                "end-without-effect",
                "job",
                ineffective.end().map(end -> end.task().job().value()).orElse(""),
                "task",
                ineffective.end().map(end -> indexes(end.task())).orElse(""),
                "run",
                ineffective.end().map(end -> String.valueOf(end.run())).orElse(""),
                "worker",
                ineffective.worker(),
                "how",
                ineffective.end().map(end -> end.kind().name()).orElse(""),
                "number",
                ineffective.first() == ineffective.last()
                        ? ineffective.first()
                        : ineffective.first() + " to " + ineffective.last(),
                "reason",
                ineffective.reason().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                "ends",
                ineffective.count());
    }

    static void logEnd(WorkerReport.Ended ended, WorkerId worker) {
        Events.info(
                "task-ended",
                "job",
                ended.task().job(),
                "task",
                indexes(ended.task()),
                "run",
                ended.run(),
                "worker",
                worker,
                "how",
                ended.kind(),
                "number",
                ended.sequence());
    }
}
