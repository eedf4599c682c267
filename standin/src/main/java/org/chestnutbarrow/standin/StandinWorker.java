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
 * One worker with its control server and its endpoint. Safe for use by several threads; decisions are made in {@link
 * WorkerState}.
 *
 * <p>Invariant: after a restart the addresses are those from before.
 */
final class StandinWorker {
    private static final Duration SAMPLE_EVERY = Duration.ofMillis(100);

    private final StandinWorkers.Options options;
    private final ScheduledExecutorService scheduler;
    private final WorkerState state;
    private final Endpoint endpoint;
    private final UsageHistory usage;
    private final AnswerFaults controlFaults = new AnswerFaults();
    private final AnswerFaults endpointFaults = new AnswerFaults();
    private final ReentrantLock lifecycle = new ReentrantLock();
    private volatile Optional<Servers> servers = Optional.empty();
    private volatile HostEntry entry;
    /** Guarded by the lock of the state, which sets it. */
    private Optional<Future<?>> alarm = Optional.empty();

    StandinWorker(
            String id, String zone, String rack, StandinWorkers.Options options, ScheduledExecutorService scheduler)
            throws InvalidInputException {
        this.options = options;
        this.scheduler = scheduler;
        state = new WorkerState(options.capacity(), TimeSource.SYSTEM, this::wakeIn, this::connections);
        long seed = options.seed() ^ Hashing.hash(id);
        endpoint = new Endpoint(
                id, state, options.times(), endpointFaults, options.capacity().slots(), seed);
        usage = new UsageHistory(options.usageLag().toMillis());
        usage.add(state.usage());
        Address any = Address.parse("127.0.0.1:0");
        Servers opened = open(any, any);
        servers = Optional.of(opened);
        entry = new HostEntry(
                id,
                zone,
                rack,
                opened.control().address().toString(),
                opened.endpoint().address().toString(),
                HostEntry.State.LIVE,
                options.capacity());
        scheduler.scheduleAtFixedRate(
                () -> usage.add(state.usage()),
                SAMPLE_EVERY.toMillis(),
                SAMPLE_EVERY.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    HostEntry entry() {
        return entry;
    }

    boolean isUp() {
        return servers.isPresent();
    }

    Journal.Page journal(long from) {
        return state.journal(from);
    }

    void crash() {
        lifecycle.lock();
        try {
            Optional<Servers> closing = servers;
            servers = Optional.empty();
            state.crash();
            closing.ifPresent(Servers::close);
        } finally {
            lifecycle.unlock();
        }
    }

    void restart() throws InvalidInputException {
        lifecycle.lock();
        try {
            if (isUp()) {
                crash();
            }
            state.restart();
            servers = Optional.of(open(Address.parse(entry.control()), Address.parse(entry.endpoint())));
        } finally {
            lifecycle.unlock();
        }
    }

    void setLeaving(boolean on) {
        HostEntry.State next = on ? HostEntry.State.LEAVING : HostEntry.State.LIVE;
        entry = new HostEntry(
                entry.id(),
                entry.availabilityZone(),
                entry.rack(),
                entry.control(),
                entry.endpoint(),
                next,
                entry.capacity());
    }

    void setFailsTasks(boolean on) {
        state.setFailsTasks(on);
    }

    AnswerFaults faults(WorkerFault.Server server) {
        return switch (server) {
            case CONTROL -> controlFaults;
            case ENDPOINT -> endpointFaults;
        };
    }

    private Servers open(Address control, Address endpointAddress) throws InvalidInputException {
        HttpLimits defaults = HttpLimits.DEFAULT;
        HttpLimits limits = new HttpLimits(
                defaults.maxHeaderBytes(),
                defaults.maxBodyBytes(),
                options.capacity().connections(),
                defaults.receiveTimeout(),
                defaults.idleTimeout());
        HttpServer first = start(control, defaults, this::control);
        try {
            return new Servers(first, start(endpointAddress, limits, endpoint));
        } catch (InvalidInputException e) {
            first.close();
            throw e;
        }
    }

    private static HttpServer start(Address bind, HttpLimits limits, HttpHandler handler) throws InvalidInputException {
        return HttpServer.start(bind, limits, Json.checked(handler));
    }

    private HttpResponse control(HttpRequest request) throws Exception {
        Optional<Command> command = Command.parse(request);
        if (command.isPresent()) {
            return controlFaults.afterEffect(encode(state.apply(command.get())));
        }
        return switch (request.method() + " " + request.path()) {
            case "GET /v1/usage" -> controlFaults.delayed(Json.answer(200, usage.at(System.currentTimeMillis())));
            // Free of faults, as tests judge by it.
            case "GET /v1/journal" -> Json.answer(200, journal(Long.parseLong(request.query("from", "0"))));
            default -> Json.error(404, "no such path");
        };
    }

    private static HttpResponse encode(Reply reply) {
        return switch (reply) {
            case Reply.Granted granted -> Json.answer(200, granted);
            case Reply.Released released -> Json.ok();
            case Reply.Done(Task.View task) -> Json.answer(200, task);
            case Reply.Fenced fenced -> Json.answer(200, fenced);
            case Reply.StaleEpoch(long epoch) -> Json.answer(409, Map.of("error", "stale-epoch", "epoch", epoch));
            case Reply.Held(String holder, long epoch, long remainingMs) ->
                Json.answer(409, Map.of("error", "held", "holder", holder, "epoch", epoch, "remainingMs", remainingMs));
            case Reply.UnknownAttempt unknown -> Json.error(404, "unknown-attempt");
            case Reply.Refused(String error) -> Json.error(409, error);
        };
    }

    private int connections() {
        return servers.map(open -> open.endpoint().openConnections()).orElse(0);
    }

    private void wakeIn(Optional<Duration> delay) {
        alarm.ifPresent(last -> last.cancel(false));
        alarm = delay.map(time -> scheduler.schedule(state::wake, time.toNanos(), TimeUnit.NANOSECONDS));
    }

    private record Servers(HttpServer control, HttpServer endpoint) {
        void close() {
            control.close();
            endpoint.close();
        }
    }
}
