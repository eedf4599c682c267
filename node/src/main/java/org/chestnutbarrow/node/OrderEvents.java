package org.chestnutbarrow.node;

import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.Plan;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.WorkerId;

/** Logs claims on workers, the orders that are sent to them, and the ends of runs that they report. Stateless. */
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

    private static String indexes(TaskName task) {
        return task.step() + "/" + task.index();
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
