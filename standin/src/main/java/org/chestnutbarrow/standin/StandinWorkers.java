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
 * A group of simulated workers in one process with one server for fault injection. Thread-safe.
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
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final Duration REGISTRATION_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REGISTRATION_TIMEOUT = Duration.ofSeconds(1);

    private final Options options;
    private final ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(TIMER_THREADS);
    private final ExecutorService registrationExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpClient httpClient = new HttpClient(MAX_RESPONSE_BYTES);
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
            server = HttpServer.start(options.bind(), HttpLimits.DEFAULT, Json.rejectMalformedInput(this::handle));
        } catch (InvalidInputException e) {
            shutDown();
            throw e;
        }
        scheduler.scheduleAtFixedRate(this::registerAll, 0, REGISTRATION_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Binds all servers and starts periodic registration with the host list.
     *
     * @throws InvalidInputException if an address cannot be bound
     */
    public static StandinWorkers start(Options options) throws InvalidInputException {
        return new StandinWorkers(options);
    }

    /** Address of the fault injection API. */
    public Address address() {
        return server.address();
    }

    /** Host list entries of all workers. */
    public List<HostEntry> hosts() {
        return workers.values().stream().map(StandinWorker::entry).toList();
    }

    /** Removes the workers from the host list and closes all servers immediately. */
    @Override
    public void close() {
        server.close();
        scheduler.shutdownNow();
        options.hosts().ifPresent(this::deregisterAll);
        shutDown();
    }

    private void shutDown() {
        scheduler.shutdownNow();
        workers.values().forEach(StandinWorker::crash);
        registrationExecutor.shutdownNow();
        httpClient.close();
    }

    private void registerAll() {
        options.hosts()
                .ifPresent(hosts -> workers.values().stream()
                        .filter(StandinWorker::isRunning)
                        .forEach(worker -> registrationExecutor.execute(() -> register(hosts, worker.entry()))));
    }

    private void register(Address hosts, HostEntry entry) {
        send(hosts, HttpRequest.json("PUT", "/v1/hosts/" + entry.id(), Json.serialize(entry)));
    }

    private void deregisterAll(Address hosts) {
        for (String id : workers.keySet()) {
            if (!send(hosts, HttpRequest.json("DELETE", "/v1/hosts/" + id, "{}"))) {
                return;
            }
        }
    }

    private boolean send(Address hosts, HttpRequest request) {
        try {
            int status = httpClient.send(hosts, request, REGISTRATION_TIMEOUT).status();
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
            case "GET /v1/workers" -> Json.response(200, hosts());
            case "GET /v1/journal" -> {
                StandinWorker worker = worker(request.query("worker", ""));
                yield Json.response(200, worker.journal(Long.parseLong(request.query("from", "0"))));
            }
            case "POST /v1/faults" -> applyFault(request);
            default -> Json.error(404, "no such path");
        };
    }

    private HttpResponse applyFault(HttpRequest request) throws JsonProcessingException, InvalidInputException {
        WorkerFault fault = Json.parse(request, WorkerFault.class);
        StandinWorker worker = worker(fault.worker());
        switch (fault) {
            case WorkerFault.Crash crash -> worker.crash();
            case WorkerFault.Restart restart -> {
                worker.restart();
                registerAll();
            }
            case WorkerFault.FailTasks fail -> worker.setFailTasks(fail.on());
            case WorkerFault.FailRequests fail ->
                worker.faults(WorkerFault.Server.ENDPOINT).setFailing(fail.on());
            case WorkerFault.Delay delay -> worker.faults(delay.server()).setDelay(Duration.ofMillis(delay.ms()));
            case WorkerFault.Cut cut -> worker.faults(cut.server()).setTruncation(Optional.ofNullable(cut.part()));
            case WorkerFault.Leaving leaving -> {
                worker.setLeaving(leaving.on());
                registerAll();
            }
            case WorkerFault.LoseAnswers lose -> worker.faults(lose.server()).dropNextResponses(lose.count());
        }
        return Json.ok();
    }

    private StandinWorker worker(String id) {
        StandinWorker worker = id == null ? null : workers.get(id);
        Checks.require(worker != null, "unknown worker " + id + "; GET /v1/workers lists all workers");
        return worker;
    }

    /**
     * Settings of the workers.
     *
     * @param bind address of the fault injection API; port 0 selects an ephemeral port
     * @param hosts host list to register with, if any
     * @param prefix prefix of the worker ids; must differ between processes
     * @param zones availability zones to which workers are assigned round-robin
     * @param capacity capacity of each worker
     * @param usageLag lag of usage reports
     * @param seed random seed of the service times
     */
    public record Options(
            Address bind,
            Optional<Address> hosts,
            String prefix,
            int count,
            List<String> zones,
            Resources capacity,
            ServiceTimes serviceTimes,
            Duration usageLag,
            long seed) {
        /** Three workers with 8 slots, 64 connections, 32 cores and 125 GB each in three zones. */
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
            Checks.require(count > 0 && !zones.isEmpty(), "at least one worker and one zone are required");
            Checks.require(
                    capacity.slots() > 0 && capacity.connections() > 0, "slots and connections must be positive");
            Checks.require(!usageLag.isNegative(), "usage lag must not be negative");
        }

        /** Returns a copy of these options with the given host list. */
        public Options withHosts(Address hostList) {
            return new Options(
                    bind, Optional.of(hostList), prefix, count, zones, capacity, serviceTimes, usageLag, seed);
        }
    }
}
