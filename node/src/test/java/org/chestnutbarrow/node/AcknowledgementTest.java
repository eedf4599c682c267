package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests which number a hold carries. */
public class AcknowledgementTest {
    private final ManualTime time = new ManualTime();

    /** Records the numbers that each incarnation receives, and lets calls end that an earlier one has received. Thread-safe. */
    private static final class AnsweringWorker implements WorkerPort {
        final List<Received> received = new CopyOnWriteArrayList<>();
        volatile long incarnation = 1;

        private record Received(long incarnation, long number) {}

        List<Long> numbers(long receiver) {
            return received.stream()
                    .filter(call -> call.incarnation() == receiver)
                    .map(Received::number)
                    .toList();
        }

        @Override
        public Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout) {
            return new Done(1000);
        }

        @Override
        public Answer hold(
                WorkerRegistration worker,
                long token,
                long leaseUntilMs,
                long acknowledgedUpTo,
                Duration wait,
                Duration timeout) {
            long receiver = incarnation;
            received.add(new Received(receiver, acknowledgedUpTo));
            Threads.sleep(wait);
            return new StatusReport(new WorkerReport(worker.id(), receiver, List.of(), List.of()), 1000);
        }
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, description);
            Thread.sleep(5);
        }
    }

    /** Guards against ends that a worker discards unreported because it restarts between two answered holds. */
    @Test
    public void workerThatRestartsBetweenHoldsIsNotSentTheNumber() throws InterruptedException {
        AnsweringWorker port = new AnsweringWorker();
        BatchScheduler scheduler = new BatchScheduler(time);
        WorkerLink link = new WorkerLink(
                TestWorkers.worker("w1"), port, scheduler, new DisconnectedOwner(time), time, Duration.ofSeconds(6));
        link.acknowledge(7);
        Thread holds = Thread.ofVirtual().start(link::runHolds);
        await("the ends are acknowledged", () -> port.numbers(1).contains(7L));
        int holdsBefore = port.received.size();
        await("the hold has been answered", () -> port.received.size() > holdsBefore);
        port.incarnation = 2;
        await("the later incarnation is held twice", () -> port.numbers(2).size() >= 2);
        assertEquals(Set.copyOf(port.numbers(2)), Set.of(0L));
        link.close();
        holds.join();
    }

    /** Guards against a number that a later incarnation receives although the one it is meant for has it already. */
    @Test
    public void numberIsSentUntilItIsAnswered() {
        Acknowledgement acknowledgement = new Acknowledgement(time);
        acknowledgement.raise(3);
        assertEquals(acknowledgement.pending(), 3);
        acknowledgement.answered(0, LongStream.of(1, 2, 3));
        assertEquals(acknowledgement.pending(), 3);
        acknowledgement.answered(3, LongStream.empty());
        assertEquals(acknowledgement.pending(), 0);
        acknowledgement.raise(4);
        assertEquals(acknowledgement.pending(), 4);
    }

    /** Guards against an end that its worker lists forever because its number counts as received. */
    @Test
    public void numberIsSentAgainWhileItsEndIsListed() {
        Acknowledgement acknowledgement = new Acknowledgement(time);
        acknowledgement.raise(5);
        acknowledgement.answered(5, LongStream.of(6, 4));
        assertEquals(acknowledgement.pending(), 5);
        acknowledgement.answered(5, LongStream.of(6));
        assertEquals(acknowledgement.pending(), 0);
    }
}
