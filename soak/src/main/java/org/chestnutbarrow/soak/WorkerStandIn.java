package org.chestnutbarrow.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.TimeSource;

/**
 * A worker with an address that stays over its restarts. Thread-safe; the incarnation is guarded by the monitor of this
 * object.
 */
final class WorkerStandIn implements AutoCloseable {
    static final String SERVICE = "s";
    static final String ZONE = "z";

    private static final HttpLimits LIMITS =
            new HttpLimits(16 * 1024, 1024 * 1024, 1024, Duration.ofSeconds(10), Duration.ofMinutes(1));

    private final String id;
    private final int cpu;
    private final Store store;
    private final History history;
    private final TimeSource time;
    private final SplittableRandom random;
    private final DisturbedHandler handler;
    private final HttpServer server;
    private Optional<WorkerLife> life = Optional.empty();
    private long lastBorn;

    private WorkerStandIn(
            String id,
            int cpu,
            Store store,
            History history,
            TimeSource time,
            SplittableRandom random,
            BooleanSupplier unordered)
            throws InvalidInputException {
        this.id = id;
        this.cpu = cpu;
        this.store = store;
        this.history = history;
        this.time = time;
        this.random = random;
        this.handler = new DisturbedHandler(new WorkerApi(this::life, unordered), random.split());
        this.server = HttpServer.start(new Address("127.0.0.1", 0), LIMITS, handler);
    }

    /** Starts a worker and enters it in the store's list; {@code unordered} tells how it lists ends. */
    static WorkerStandIn start(
            String id,
            int cpu,
            Store store,
            History history,
            TimeSource time,
            SplittableRandom random,
            BooleanSupplier unordered)
            throws InvalidInputException {
        WorkerStandIn worker = new WorkerStandIn(id, cpu, store, history, time, random, unordered);
        worker.goUp();
        worker.list();
        return worker;
    }

    private synchronized Optional<WorkerLife> life() {
        return life;
    }

    /** Returns what disturbs the calls to this worker. */
    DisturbedHandler handler() {
        return handler;
    }

    /** Starts the next incarnation, without a state and not listed yet. */
    synchronized void goUp() {
        lastBorn = Math.max(lastBorn + 1, time.now().toEpochMilli());
        life = Optional.of(
                new WorkerLife(new Observation.Incarnation(id, lastBorn), cpu, history, time, random.split()));
    }

    /** Ends the current incarnation with all its runs. */
    synchronized void goDown() {
        life.ifPresent(WorkerLife::goDown);
        life = Optional.empty();
    }

    /** Enters the current incarnation in the store's list of workers. */
    synchronized void list() {
        ObjectNode entry = Json.object()
                .put("service", SERVICE)
                .put("address", server.address().toString())
                .put("zone", ZONE)
                .put("state", "ready")
                .put("born", lastBorn);
        entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 1000);
        store.put(Store.WORKERS, id, Json.text(entry));
    }

    /** Brings the ends of runs up to date. */
    void advance() {
        life().ifPresent(WorkerLife::advance);
    }

    @Override
    public void close() {
        server.close();
    }
}
