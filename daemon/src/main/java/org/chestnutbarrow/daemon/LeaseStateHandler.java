package org.chestnutbarrow.daemon;

import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.ports.WorkerControl;

/** Passes lease changes and task reports on to the components that depend on them. Safe for use by several threads. */
final class LeaseStateHandler implements LeaseListener {
    private final WorkerTasks tasks;
    private final OwnerMonitor owners;
    private final HttpClient endpoints;
    private final Runnable capacityChanged;

    LeaseStateHandler(WorkerTasks tasks, OwnerMonitor owners, HttpClient endpoints, Runnable capacityChanged) {
        this.tasks = tasks;
        this.owners = owners;
        this.endpoints = endpoints;
        this.capacityChanged = capacityChanged;
    }

    @Override
    public void acquired(Worker worker, WorkerControl.Grant grant, long requestedAt) {
        owners.workerAcquired(worker.id());
        tasks.onReport(worker.id(), grant.tasks(), requestedAt);
        capacityChanged.run();
    }

    @Override
    public void renewed(Worker worker, WorkerControl.Grant grant, long requestedAt) {
        tasks.onReport(worker.id(), grant.tasks(), requestedAt);
    }

    @Override
    public void ended(Worker worker, long epoch) {
        owners.workerRemoved(worker.id());
        // The attempts stay known, so that they are reported as lapsed if the worker loses them before this daemon
        // acquires the lease again.
        // Idle connections count against the endpoint's connection limit, which the next holder needs.
        endpoints.closeIdle(worker.endpoint());
    }
}
