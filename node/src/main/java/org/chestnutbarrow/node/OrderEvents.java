package org.chestnutbarrow.node;

import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.logging.Events;

/** Logs the orders that are sent to workers. Stateless. */
final class OrderEvents {
    private OrderEvents() {}

    static void log(Order order) {
        String task = order.task().step() + "/" + order.task().index();
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
                        start.worker());
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
}
