package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.TimeSource;

/**
 * A simulated worker with its control server and its endpoint. Thread-safe; decisions are made in {@link WorkerState}.
 *
 * <p>Invariant: a restart keeps the addresses.
 */
final class StandinWorker {
    private static final Duration USAGE_SAMPLE_INTERVAL = Duration.ofMillis(100);

    private final StandinWorkers.Options options;
    private final ScheduledExecutorService scheduler;
    private final WorkerState state;
    private final Endpoint endpoint;
    private final UsageHistory usage;
    private final ResponseFaults controlFaults = new ResponseFaults();
    private final ResponseFaults endpointFaults = new ResponseFaults();
    private final ReentrantLock lifecycleLock = new ReentrantLock();
    private volatile Optional<Servers> servers = Optional.empty();
    private volatile HostEntry entry;
    /** Guarded by the lock of {@code state}, which is held whenever the timer is set. */
    private Optional<Future<?>> wakeUpTask = Optional.empty();

    StandinWorker(
            String id,
            String availabilityZone,
            String rack,
            StandinWorkers.Options options,
            ScheduledExecutorService scheduler)
            throws InvalidInputException {
        this.options = options;
        this.scheduler = scheduler;
        state = new WorkerState(options.capacity(), TimeSource.SYSTEM, this::scheduleWakeUp, this::connections);
        long seed = options.seed() ^ Hashing.hash(id);
        endpoint = new Endpoint(
                id,
                state,
                options.serviceTimes(),
                endpointFaults,
                options.capacity().slots(),
                seed);
        usage = new UsageHistory(options.usageLag().toMillis());
        usage.add(state.usage());
        Address anyPort = Address.parse("127.0.0.1:0");
        Servers opened = openServers(anyPort, anyPort);
        servers = Optional.of(opened);
        entry = new HostEntry(
                id,
                availabilityZone,
                rack,
                opened.control().address().toString(),
                opened.endpoint().address().toString(),
                HostEntry.State.LIVE,
                options.capacity());
        scheduler.scheduleAtFixedRate(
                () -> usage.add(state.usage()),
                USAGE_SAMPLE_INTERVAL.toMillis(),
                USAGE_SAMPLE_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    HostEntry entry() {
        return entry;
    }

    boolean isRunning() {
        return servers.isPresent();
    }

    Journal.Page journal(long from) {
        return state.journal(from);
    }

    void crash() {
        lifecycleLock.lock();
        try {
            Optional<Servers> closing = servers;
            servers = Optional.empty();
            state.crash();
            closing.ifPresent(Servers::close);
        } finally {
            lifecycleLock.unlock();
        }
    }

    void restart() throws InvalidInputException {
        lifecycleLock.lock();
        try {
            if (isRunning()) {
                crash();
            }
            state.restart();
            servers = Optional.of(openServers(Address.parse(entry.control()), Address.parse(entry.endpoint())));
        } finally {
            lifecycleLock.unlock();
        }
    }

    void setLeaving(boolean on) {
        HostEntry.State hostState = on ? HostEntry.State.LEAVING : HostEntry.State.LIVE;
        entry = new HostEntry(
                entry.id(),
                entry.availabilityZone(),
                entry.rack(),
                entry.control(),
                entry.endpoint(),
                hostState,
                entry.capacity());
    }

    void setFailTasks(boolean on) {
        state.setFailTasks(on);
    }

    ResponseFaults faults(WorkerFault.Server server) {
        return switch (server) {
            case CONTROL -> controlFaults;
            case ENDPOINT -> endpointFaults;
        };
    }

    private Servers openServers(Address control, Address endpointAddress) throws InvalidInputException {
        HttpLimits defaults = HttpLimits.DEFAULT;
        HttpLimits limits = new HttpLimits(
                defaults.maxHeaderBytes(),
                defaults.maxBodyBytes(),
                options.capacity().connections(),
                defaults.receiveTimeout(),
                defaults.idleTimeout());
        HttpServer controlServer = startServer(control, defaults, this::handleControl);
        try {
            return new Servers(controlServer, startServer(endpointAddress, limits, endpoint));
        } catch (InvalidInputException e) {
            controlServer.close();
            throw e;
        }
    }

    private static HttpServer startServer(Address bind, HttpLimits limits, HttpHandler handler)
            throws InvalidInputException {
        return HttpServer.start(bind, limits, Json.rejectMalformedInput(handler));
    }

    private HttpResponse handleControl(HttpRequest request) throws Exception {
        Optional<Command> command = Command.parse(request);
        if (command.isPresent()) {
            return controlFaults.applyToCommitted(encode(state.apply(command.get())));
        }
        return switch (request.method() + " " + request.path()) {
            case "GET /v1/usage" ->
                controlFaults.applyToRead(Json.response(200, usage.reportAt(System.currentTimeMillis())));
            // Not subject to faults, since tests verify behaviour against the journal.
            case "GET /v1/journal" -> Json.response(200, journal(Long.parseLong(request.query("from", "0"))));
            default -> Json.error(404, "no such path");
        };
    }

    private static HttpResponse encode(Reply reply) {
        return switch (reply) {
            case Reply.LeaseGranted granted -> Json.response(200, granted);
            case Reply.LeaseReleased released -> Json.ok();
            case Reply.AttemptState(Task.View task) -> Json.response(200, task);
            case Reply.ShardFenced fenced -> Json.response(200, fenced);
            case Reply.StaleEpoch(long epoch) -> Json.response(409, Map.of("error", "stale-epoch", "epoch", epoch));
            case Reply.LeaseHeld(String holder, long epoch, long remainingMs) ->
                Json.response(
                        409, Map.of("error", "held", "holder", holder, "epoch", epoch, "remainingMs", remainingMs));
            case Reply.UnknownAttempt unknown -> Json.error(404, "unknown-attempt");
            case Reply.Rejected(String error) -> Json.error(409, error);
        };
    }

    private int connections() {
        return servers.map(open -> open.endpoint().openConnections()).orElse(0);
    }

    private void scheduleWakeUp(Optional<Duration> delay) {
        wakeUpTask.ifPresent(last -> last.cancel(false));
        wakeUpTask = delay.map(time -> scheduler.schedule(state::processDue, time.toNanos(), TimeUnit.NANOSECONDS));
    }

    private record Servers(HttpServer control, HttpServer endpoint) {
        void close() {
            control.close();
            endpoint.close();
        }
    }
}
