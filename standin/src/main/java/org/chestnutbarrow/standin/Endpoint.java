package org.chestnutbarrow.standin;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Semaphore;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/**
 * The service instance of a worker. Safe for use by several threads.
 *
 * <p>Invariant: at most {@code slots} requests are served at once; further ones wait in order of arrival.
 */
final class Endpoint implements HttpHandler {
    private static final String REQUEST_ID = "Chestnutbarrow-Request-Id";

    private final String worker;
    private final WorkerState state;
    private final ServiceTimes times;
    private final AnswerFaults faults;
    private final Random random;
    private final Semaphore slots;

    Endpoint(String worker, WorkerState state, ServiceTimes times, AnswerFaults faults, int slots, long seed) {
        this.worker = worker;
        this.state = state;
        this.times = times;
        this.faults = faults;
        this.random = new Random(seed);
        this.slots = new Semaphore(slots, true);
    }

    @Override
    public HttpResponse handle(HttpRequest request) throws Exception {
        if (faults.fails()) {
            return Json.error(500, "failing");
        }
        String id = request.headers().first(REQUEST_ID).orElse("");
        Optional<Long> epoch = request.headers().first("Chestnutbarrow-Epoch").map(Long::valueOf);
        slots.acquire();
        try {
            // The epoch is checked after the wait, as the lease may have changed meanwhile.
            Optional<WorkerState.Served> served = state.begin(id, workClass(request), request.path(), epoch);
            if (served.isEmpty()) {
                return Json.error(412, "stale-epoch").with("Chestnutbarrow-Stale", "true");
            }
            serve(served.get());
        } finally {
            slots.release();
        }
        HttpResponse answer = Json.answer(200, Map.of("worker", worker, "requestId", id, "path", request.path()));
        return faults.afterEffect(id.isEmpty() ? answer : answer.with(REQUEST_ID, id));
    }

    private void serve(WorkerState.Served request) throws InterruptedException {
        boolean whole = false;
        try {
            Json.sleep(times.next(request.workClass(), request.load(), random));
            whole = true;
        } finally {
            state.end(request, whole);
        }
    }

    /** The class by header, or else the first path segment, as in the paths that callers use. */
    private static String workClass(HttpRequest request) {
        return request.headers()
                .first("Chestnutbarrow-Class")
                .orElseGet(() -> request.path().split("/", 3)[1]);
    }
}
