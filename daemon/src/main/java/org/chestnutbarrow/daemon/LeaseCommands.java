package org.chestnutbarrow.daemon;

import java.time.Duration;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.membership.LeaseEvent;
import org.chestnutbarrow.membership.WorkerLeases;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.ports.WorkerControl;

/**
 * Sends lease commands to workers and updates the capacity ledger with their results. Calls block. Safe for use by
 * several threads, provided that there is only one call at a time for each worker.
 */
final class LeaseCommands {
    private final DaemonId self;
    private final WorkerControl control;
    private final CapacityLedger ledger;
    private final LeaseListener listener;
    private final Duration maxRequestTime;
    private final TimeSource time;

    /**
     * Creates the sender.
     *
     * @param maxRequestTime longest time that a request sent by the previous lease holder may still run
     */
    LeaseCommands(
            DaemonId self,
            WorkerControl control,
            CapacityLedger ledger,
            LeaseListener listener,
            Duration maxRequestTime,
            TimeSource time) {
        this.self = self;
        this.control = control;
        this.ledger = ledger;
        this.listener = listener;
        this.maxRequestTime = maxRequestTime;
        this.time = time;
    }

    LeaseEvent claim(Worker worker) {
        return lease(worker, 0);
    }

    LeaseEvent renew(Worker worker, long epoch) {
        return lease(worker, epoch);
    }

    /** Releases the lease; the worker must be closed in the ledger before. */
    LeaseEvent release(Worker worker, long epoch) {
        try {
            control.release(worker.control(), self, epoch);
            Events.info("lease-released", "worker", worker.id(), "epoch", epoch);
            return new LeaseEvent.Released(worker.id());
        } catch (StaleEpochException e) {
            Events.info("lease-released", "worker", worker.id(), "epoch", epoch, "newer", e.epoch());
            return new LeaseEvent.Released(worker.id());
        } catch (UnavailableException | RuntimeException e) {
            return unanswered("release-unanswered", worker, epoch, e);
        }
    }

    /** Closes the worker in the ledger, so that nothing more is sent to it under this epoch. */
    void stopUsing(Worker worker, long epoch) {
        ledger.close(worker.id(), epoch);
        listener.ended(worker, epoch);
    }

    private LeaseEvent lease(Worker worker, long epoch) {
        long sentAt = time.nanos();
        try {
            WorkerControl.Grant grant = control.lease(worker.control(), self, epoch, WorkerLeases.LEASE_DURATION);
            applyGrant(worker, epoch, sentAt, grant);
            int running = (int)
                    grant.tasks().stream().filter(task -> !task.state().ended()).count();
            return new LeaseEvent.Granted(worker.id(), grant.epoch(), sentAt, running);
        } catch (RefusedException | StaleEpochException e) {
            Events.info("lease-refused", "worker", worker.id(), "epoch", epoch, "reason", e.getMessage());
            return new LeaseEvent.Refused(worker.id());
        } catch (UnavailableException | RuntimeException e) {
            return unanswered("lease-unanswered", worker, epoch, e);
        }
    }

    private void applyGrant(Worker worker, long epoch, long sentAt, WorkerControl.Grant grant) {
        long validUntil = WorkerLeases.validUntil(sentAt);
        if (grant.epoch() == epoch) {
            ledger.renew(worker.id(), epoch, validUntil);
            listener.renewed(worker, grant, sentAt);
            return;
        }
        // The attempts have to be known before the ledger admits starts, since the check of a start uses them.
        listener.acquired(worker, grant, sentAt);
        ledger.open(worker, grant.epoch(), validUntil, grant.tasks(), grant.requestsInFlight(), maxRequestTime);
        Events.info(
                "lease-taken",
                "worker",
                worker.id(),
                "epoch",
                grant.epoch(),
                "tasks",
                grant.tasks().size(),
                "requests",
                grant.requestsInFlight());
    }

    private static LeaseEvent unanswered(String event, Worker worker, long epoch, Exception e) {
        Events.warn(event, "worker", worker.id(), "epoch", epoch, "reason", e);
        return new LeaseEvent.Unanswered(worker.id());
    }
}
