package org.chestnutbarrow.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;

/**
 * Many workers in one process, with one server that switches their faults. Safe for use by several threads.
 *
 * <pre>{@code
 * try (StandinWorkers workers = StandinWorkers.start(StandinWorkers.Options.DEFAULT)) {
 *     use(workers.hosts());
 * }
 * }</pre>
 */
public final class StandinWorkers implements AutoCloseable {
    private static final Logger log = System.getLogger(StandinWorkers.class.getName());
    private static final int WORKERS_PER_RACK = 8;
    private static final int TIMER_THREADS = 2;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final Duration REGISTER_EVERY = Duration.ofSeconds(1);
    private static final Duration REGISTER_TIMEOUT = Duration.ofSeconds(1);

    private final Options options;
    private final ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(TIMER_THREADS);
    private final ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpClient client = new HttpClient(MAX_ANSWER_BYTES);
    private final Map<String, StandinWorker> workers = new TreeMap<>();
    private final HttpServer server;

    private StandinWorkers(Options options) throws InvalidInputException {
        this.options = options;
        scheduler.setRemoveOnCancelPolicy(true);
        scheduler.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        try {
            for (int i = 0; i < options.count(); i++) {
                String id = String.format(Locale.ROOT, "%s%04d", options.prefix(), i);
                String zone = options.zones().get(i % options.zones().size());
                String rack = zone + "-r" + i / options.zones().size() / WORKERS_PER_RACK;
                workers.put(id, new StandinWorker(id, zone, rack, options, scheduler));
            }
            server = HttpServer.start(options.bind(), HttpLimits.DEFAULT, Json.checked(this::handle));
        } catch (InvalidInputException e) {
            stop();
            throw e;
        }
        scheduler.scheduleAtFixedRate(this::registerAll, 0, REGISTER_EVERY.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Binds all servers and begins to register with the host list.
     *
     * @throws InvalidInputException if an address cannot be bound
     */
    public static StandinWorkers start(Options options) throws InvalidInputException {
        return new StandinWorkers(options);
    }

    /** Where faults are switched. */
    public Address address() {
        return server.address();
    }

    /** All workers as they register. */
    public List<HostEntry> hosts() {
        return workers.values().stream().map(StandinWorker::entry).toList();
    }

    /** Removes the workers from the host list and closes everything at once. */
    @Override
    public void close() {
        server.close();
        scheduler.shutdownNow();
        options.hosts().ifPresent(this::removeAll);
        stop();
    }

    private void stop() {
        scheduler.shutdownNow();
        workers.values().forEach(StandinWorker::crash);
        senders.shutdownNow();
        client.close();
    }

    private void registerAll() {
        options.hosts()
                .ifPresent(hosts -> workers.values().stream()
                        .filter(StandinWorker::isUp)
                        .forEach(worker -> senders.execute(() -> register(hosts, worker.entry()))));
    }

    private void register(Address hosts, HostEntry entry) {
        send(hosts, HttpRequest.json("PUT", "/v1/hosts/" + entry.id(), Json.write(entry)));
    }

    private void removeAll(Address hosts) {
        for (String id : workers.keySet()) {
            if (!send(hosts, HttpRequest.json("DELETE", "/v1/hosts/" + id, "{}"))) {
                return;
            }
        }
    }

    private boolean send(Address hosts, HttpRequest request) {
        try {
            int status = client.send(hosts, request, REGISTER_TIMEOUT).status();
            if (status != 200) {
                log.log(
                        Level.WARNING,
                        () -> "event=registration-refused target=" + request.target() + " status=" + status);
            }
            return true;
        } catch (NotRunException | OutcomeUnknownException e) {
            log.log(Level.DEBUG, () -> "event=registration-failed cause=\"" + e.getMessage() + "\"");
            return false;
        }
    }

    private HttpResponse handle(HttpRequest request) throws Exception {
        return switch (request.method() + " " + request.path()) {
            case "GET /v1/workers" -> Json.answer(200, hosts());
            case "GET /v1/journal" -> {
                StandinWorker worker = worker(request.query("worker", ""));
                yield Json.answer(200, worker.journal(Long.parseLong(request.query("from", "0"))));
            }
            case "POST /v1/faults" -> fault(request);
            default -> Json.error(404, "no such path");
        };
    }

    private HttpResponse fault(HttpRequest request) throws JsonProcessingException, InvalidInputException {
        WorkerFault fault = Json.read(request, WorkerFault.class);
        StandinWorker worker = worker(fault.worker());
        switch (fault) {
            case WorkerFault.Crash crash -> worker.crash();
            case WorkerFault.Restart restart -> {
                worker.restart();
                registerAll();
            }
            case WorkerFault.FailTasks fail -> worker.setFailsTasks(fail.on());
            case WorkerFault.FailRequests fail ->
                worker.faults(WorkerFault.Server.ENDPOINT).setFails(fail.on());
            case WorkerFault.Delay delay -> worker.faults(delay.server()).setDelay(Duration.ofMillis(delay.ms()));
            case WorkerFault.Cut cut -> worker.faults(cut.server()).setCut(Optional.ofNullable(cut.part()));
            case WorkerFault.Leaving leaving -> {
                worker.setLeaving(leaving.on());
                registerAll();
            }
            case WorkerFault.LoseAnswers lose -> worker.faults(lose.server()).loseNext(lose.count());
        }
        return Json.ok();
    }

    private StandinWorker worker(String id) {
        StandinWorker worker = id == null ? null : workers.get(id);
        Checks.require(worker != null, "no worker " + id + "; GET /v1/workers lists them");
        return worker;
    }

    /**
     * How the workers run.
     *
     * @param bind where faults are switched; port 0 lets the system choose
     * @param hosts host list to register with, if any
     * @param prefix start of the worker ids, to be different in each process
     * @param zones availability zones, over which workers are spread in turn
     * @param capacity capacity of each worker
     * @param usageLag age of usage reports
     * @param seed seed of the service times
     */
    public record Options(
            Address bind,
            Optional<Address> hosts,
            String prefix,
            int count,
            List<String> zones,
            Resources capacity,
            ServiceTimes times,
            Duration usageLag,
            long seed) {
        /** Three workers of 8 slots, 64 connections, 32 cores and 125 GB in three zones. */
        public static final Options DEFAULT = new Options(
                Address.parse("127.0.0.1:0"),
                Optional.empty(),
                "w",
                3,
                List.of("az1", "az2", "az3"),
                new Resources(8, 64, 32_000, 125_000, 0),
                ServiceTimes.DEFAULT,
                Duration.ofSeconds(1),
                1);

        public Options {
            zones = List.copyOf(zones);
            Checks.identifier("prefix", prefix);
            Checks.require(count > 0 && !zones.isEmpty(), "at least one worker and one zone are needed");
            Checks.require(capacity.slots() > 0 && capacity.connections() > 0, "slots and connections are needed");
            Checks.require(!usageLag.isNegative(), "usage lag must not be negative");
        }

        /** These options with a host list to register with. */
        public Options withHosts(Address list) {
            return new Options(bind, Optional.of(list), prefix, count, zones, capacity, times, usageLag, seed);
        }
    }
}
