package org.chestnutbarrow.standin;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Semaphore;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/**
 * Simulated service instance of a worker. Thread-safe.
 *
 * <p>Invariant: at most {@code slots} requests are processed concurrently; further requests queue in FIFO order.
 */
final class Endpoint implements HttpHandler {
    private static final String REQUEST_ID = "Chestnutbarrow-Request-Id";

    private final String worker;
    private final WorkerState state;
    private final ServiceTimes serviceTimes;
    private final ResponseFaults faults;
    private final Random random;
    private final Semaphore slots;

    Endpoint(String worker, WorkerState state, ServiceTimes serviceTimes, ResponseFaults faults, int slots, long seed) {
        this.worker = worker;
        this.state = state;
        this.serviceTimes = serviceTimes;
        this.faults = faults;
        this.random = new Random(seed);
        this.slots = new Semaphore(slots, true);
    }

    @Override
    public HttpResponse handle(HttpRequest request) throws Exception {
        if (faults.failing()) {
            return Json.error(500, "failing");
        }
        String id = request.headers().first(REQUEST_ID).orElse("");
        Optional<Long> epoch = request.headers().first("Chestnutbarrow-Epoch").map(Long::valueOf);
        slots.acquire();
        try {
            // Check the epoch after acquiring a slot, since the lease may have changed while the request was queued.
            Optional<WorkerState.ActiveRequest> active =
                    state.beginRequest(id, workClass(request), request.path(), epoch);
            if (active.isEmpty()) {
                return Json.error(412, "stale-epoch").with("Chestnutbarrow-Stale", "true");
            }
            serve(active.get());
        } finally {
            slots.release();
        }
        HttpResponse response = Json.response(200, Map.of("worker", worker, "requestId", id, "path", request.path()));
        return faults.applyToCommitted(id.isEmpty() ? response : response.with(REQUEST_ID, id));
    }

    private void serve(WorkerState.ActiveRequest request) throws InterruptedException {
        boolean completed = false;
        try {
            Json.sleep(serviceTimes.sample(request.workClass(), request.load(), random));
            completed = true;
        } finally {
            state.endRequest(request, completed);
        }
    }

    /** Returns the class from the header, or else the first path segment, as in the paths that callers use. */
    private static String workClass(HttpRequest request) {
        return request.headers()
                .first("Chestnutbarrow-Class")
                .orElseGet(() -> request.path().split("/", 3)[1]);
    }
}
