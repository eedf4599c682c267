package org.chestnutbarrow.daemon;

import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.ports.WorkerControl;

/** Passes what workers report with their leases to the parts concerned. Safe for use by several threads. */
final class LeaseReports implements TaskReports {
    private final WorkerTasks tasks;
    private final OwnerWatch owners;
    private final HttpClient endpoints;
    private final Runnable roomChanged;

    LeaseReports(WorkerTasks tasks, OwnerWatch owners, HttpClient endpoints, Runnable roomChanged) {
        this.tasks = tasks;
        this.owners = owners;
        this.endpoints = endpoints;
        this.roomChanged = roomChanged;
    }

    @Override
    public void taken(Worker worker, WorkerControl.Grant grant, long askedAt) {
        owners.taken(worker.id());
        tasks.reported(worker.id(), grant.tasks(), askedAt);
        roomChanged.run();
    }

    @Override
    public void renewed(Worker worker, WorkerControl.Grant grant, long askedAt) {
        tasks.reported(worker.id(), grant.tasks(), askedAt);
    }

    @Override
    public void gone(Worker worker, long epoch) {
        owners.gone(worker.id());
        // The attempts stay known: if the worker loses them before the lease is taken again, they are reported as
        // lapsed.
        // Idle connections count against the worker's limit, which the next holder needs.
        endpoints.closeIdle(worker.endpoint());
    }
}
