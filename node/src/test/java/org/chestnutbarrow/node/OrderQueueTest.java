package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests the number of starts that wait for their first attempt, and which orders are held. */
public class OrderQueueTest {
    private static final WorkerId WORKER = new WorkerId("w");

    private final OrderQueue orders = new OrderQueue();

    private void addStart(String job) {
        orders.add(new Order.Start(new TaskName(new JobId(job), 0, 0), 1, WORKER, 1, "payload", ""), 0);
    }

    /** Guards against starts that keep counting as waiting once attempted, and so would hold back others forever. */
    @Test
    public void startsWaitUntilTheirFirstAttempt() throws InterruptedException {
        addStart("a");
        addStart("b");
        addStart("c");
        orders.add(new Order.Stop(new TaskName(new JobId("d"), 0, 0), 1, WORKER, 1, "cancelled"), 0);
        assertEquals(orders.waitingStarts(), 3);
        // The stop is taken first.
        orders.complete(orders.take(false).orElseThrow());
        assertEquals(orders.waitingStarts(), 3);
        Delivery failed = orders.take(false).orElseThrow();
        assertEquals(orders.waitingStarts(), 2);
        orders.requeue(failed.nextAttempt());
        orders.complete(orders.take(true).orElseThrow());
        assertEquals(orders.waitingStarts(), 2);
        orders.complete(orders.take(false).orElseThrow());
        assertEquals(orders.waitingStarts(), 1);
        orders.close();
        assertEquals(orders.waitingStarts(), 0, "starts that no thread will attempt");
    }

    /** Guards against an order that counts as given up while it is in flight or waits for a retry. */
    @Test
    public void holdsOrdersUntilTheyAreComplete() throws InterruptedException {
        TaskName task = new TaskName(new JobId("a"), 0, 0);
        assertFalse(orders.holds(task));
        addStart("a");
        assertTrue(orders.holds(task));
        Delivery delivery = orders.take(false).orElseThrow();
        assertTrue(orders.holds(task), "in flight");
        orders.requeue(delivery.nextAttempt());
        assertTrue(orders.holds(task), "to be retried");
        orders.complete(orders.take(true).orElseThrow());
        assertFalse(orders.holds(task));
    }
}
