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
 * Sends the lease commands to workers and enters their results in the accounts. Calls block. Safe for use by several
 * threads, for each worker by one at a time.
 */
final class LeaseCommands {
    private final DaemonId self;
    private final WorkerControl control;
    private final CapacityLedger accounts;
    private final TaskReports reports;
    private final Duration requestTime;
    private final TimeSource time;

    /** Creates the sender; {@code requestTime} is the longest that a request of a previous holder may run. */
    LeaseCommands(
            DaemonId self,
            WorkerControl control,
            CapacityLedger accounts,
            TaskReports reports,
            Duration requestTime,
            TimeSource time) {
        this.self = self;
        this.control = control;
        this.accounts = accounts;
        this.reports = reports;
        this.requestTime = requestTime;
        this.time = time;
    }

    LeaseEvent claim(Worker worker) {
        return lease(worker, 0);
    }

    LeaseEvent renew(Worker worker, long epoch) {
        return lease(worker, epoch);
    }

    /** Gives the lease back; the account must be closed before. */
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

    /** Stops all use of the worker under this epoch. */
    void stopUse(Worker worker, long epoch) {
        accounts.close(worker.id(), epoch);
        reports.gone(worker, epoch);
    }

    private LeaseEvent lease(Worker worker, long epoch) {
        long sentAt = time.nanos();
        try {
            WorkerControl.Grant grant = control.lease(worker.control(), self, epoch, WorkerLeases.LEASE_DURATION);
            enter(worker, epoch, sentAt, grant);
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

    private void enter(Worker worker, long epoch, long sentAt, WorkerControl.Grant grant) {
        long validUntil = WorkerLeases.validUntil(sentAt);
        if (grant.epoch() == epoch) {
            accounts.renew(worker.id(), epoch, validUntil);
            reports.renewed(worker, grant, sentAt);
            return;
        }
        // The attempts are known before the account is open, so that no start is judged without them.
        reports.taken(worker, grant, sentAt);
        accounts.open(worker, grant.epoch(), validUntil, grant.tasks(), grant.requestsInFlight(), requestTime);
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
