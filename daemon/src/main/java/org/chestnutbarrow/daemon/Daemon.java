package org.chestnutbarrow.daemon;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.ShardClaim;
import org.chestnutbarrow.format.DaemonSettings;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.interference.InterferenceController;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.PeriodicTask;
import org.chestnutbarrow.membership.FreshnessGate;
import org.chestnutbarrow.membership.PeerRegistry;
import org.chestnutbarrow.membership.ReachabilityTracker;
import org.chestnutbarrow.membership.WorkerLeases;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.NettyPeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.placement.Connectivity;
import org.chestnutbarrow.placement.JobShards;
import org.chestnutbarrow.ports.HttpHostList;
import org.chestnutbarrow.ports.HttpLog;
import org.chestnutbarrow.ports.HttpWorkerControl;
import org.chestnutbarrow.ports.Log;
import org.chestnutbarrow.ports.WorkerControl;
import org.chestnutbarrow.routing.PeerCapacity;
import org.chestnutbarrow.routing.Router;

/**
 * A daemon: creates its components, connects them, and starts and stops them. Safe for use by several threads.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.start(settings);
 * daemon.shutdown();
 * }</pre>
 */
final class Daemon {
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(1);
    /** Longer than the long poll of {@link LogFollower} and shorter than the freshness bound. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1200);

    private static final Duration HOST_LIST_TIMEOUT = Duration.ofSeconds(1);
    /** Much shorter than the duration of a lease, so that a failed renewal can be retried before the lease expires. */
    private static final Duration WORKER_TIMEOUT = Duration.ofMillis(600);

    private static final Duration READ_BACK_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_PLATFORM_RESPONSE_BYTES = 32 * 1024 * 1024;
    private static final int MAX_ENDPOINT_RESPONSE_BYTES = 1024 * 1024;
    /** Limits the receipt appends of 8 daemons to 100 per second. */
    private static final Duration RECEIPT_APPEND_PAUSE = Duration.ofMillis(80);

    private static final GroupCommitWriter.Limits RECEIPT_LIMITS =
            new GroupCommitWriter.Limits(2000, 512 * 1024, 20_000, RECEIPT_APPEND_PAUSE);
    private static final int MAX_RECEIPT_BYTES = 256;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    /** Time within which the load balancer notices that the daemon is no longer ready. */
    private static final Duration LOAD_BALANCER_DELAY = Duration.ofSeconds(2);

    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(15);
    private static final int INCARNATION_BITS = 16;

    private final DaemonSettings settings;
    private final TimeSource time = TimeSource.SYSTEM;
    private final long incarnation;
    private final Metrics metrics = new Metrics();
    private final HttpClient platformClient = new HttpClient(MAX_PLATFORM_RESPONSE_BYTES);
    private final HttpClient endpointClient = new HttpClient(MAX_ENDPOINT_RESPONSE_BYTES);
    private final Catalog catalog = new Catalog();
    private final LogRecords logRecords = new LogRecords();
    private final CapacityLedger ledger = new CapacityLedger(time);
    private final InterferenceController interference = new InterferenceController(time);
    private final RecentDecisions decisions = new RecentDecisions();
    private final CapacityWaiters waiters = new CapacityWaiters();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("settle").factory());
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    private final PeerRegistry peerRegistry;
    private final FreshnessGate gate;
    private final ReachabilityTracker reachability;
    private final TeamUsage teamUse;
    private final LeaseEpochs leaseEpochs = new LeaseEpochs();
    private final PeerDispatcher peerDispatch = new PeerDispatcher();
    private NettyPeerLink link;
    private HeartbeatService heartbeats;
    private LeaseManager leases;
    private OwnerMonitor owners;
    private LogFollower follower;
    private LogWriter writer;
    private PlacementExecutor placementExecutor;
    private Router router;
    private HttpServer server;
    private volatile boolean shuttingDown;

    private Daemon(DaemonSettings settings) {
        this.settings = settings;
        this.incarnation =
                (time.now().toEpochMilli() << INCARNATION_BITS) | new SecureRandom().nextInt(1 << INCARNATION_BITS);
        TreeSet<DaemonId> allDaemons = new TreeSet<>(settings.peers().keySet());
        allDaemons.add(settings.id());
        this.peerRegistry = new PeerRegistry(settings.id(), allDaemons, time);
        this.gate = new FreshnessGate(settings.id(), allDaemons, time);
        this.reachability = new ReachabilityTracker(settings.id(), allDaemons, time);
        this.teamUse = new TeamUsage(peerRegistry::alive);
    }

    /**
     * Starts a daemon. The log and the host list need not be reachable at that time.
     *
     * @throws InvalidInputException if an address cannot be bound
     */
    static Daemon start(DaemonSettings settings) throws InvalidInputException {
        Daemon daemon = new Daemon(settings);
        try {
            daemon.createComponents();
            return daemon;
        } catch (InvalidInputException e) {
            daemon.closeAll();
            throw e;
        }
    }

    private void createComponents() throws InvalidInputException {
        byte[] peerKey = settings.peerKey().getBytes(StandardCharsets.UTF_8);
        link = closeOnShutdown(NettyPeerLink.start(settings.id(), incarnation, settings.peer(), peerKey, peerDispatch));
        settings.peers().forEach(link::connect);
        Log log = new HttpLog(platformClient, settings.log(), APPEND_TIMEOUT, READ_TIMEOUT);
        WorkerControl control = new HttpWorkerControl(platformClient, WORKER_TIMEOUT);
        writer = new LogWriter(
                log, logRecords, settings.id(), incarnation, () -> follower.reachable(), READ_BACK_TIMEOUT);
        router = new Router(
                time,
                ledger,
                catalog::configuration,
                gate::freshness,
                this::peerSlots,
                new Random(incarnation),
                PolicyOverrides.routingOptions());
        CatalogJobLog jobLog = new CatalogJobLog(settings.id(), incarnation, catalog, writer, time);
        TaskStatusRelay taskRelay = new TaskStatusRelay(settings.id(), this::shardOwner, link);
        WorkerTasks tasks = new WorkerTasks(
                time,
                control,
                ledger,
                gate::freshness,
                catalog::configuration,
                shard -> catalog.shardClaim(shard).map(ShardClaim::epoch).orElse(0L),
                taskRelay::statusChanged);
        buildMembership(control, tasks);
        buildJobs(jobLog, tasks);
        taskRelay.setLocalJobs(placementExecutor);
        teamUse.setLocalUsage(placementExecutor::teamUsage);
        CatalogExchange catalogExchange = new CatalogExchange(catalog, logRecords, link, peerRegistry::alive);
        buildFollower(log, jobLog, catalogExchange);
        ExplanationService explanations =
                new ExplanationService(decisions, placementExecutor, link, peerRegistry::others);
        ConfirmationWaiter confirmations = new ConfirmationWaiter(gate::confirmationOf);
        LatencyWindows latencyWindows = new LatencyWindows(time);
        RequestHandler requests = createRequestFront(latencyWindows);
        server = HttpServer.start(
                settings.http(), limits(), createHttpDispatcher(requests, confirmations, latencyWindows, explanations));
        peerDispatch.setHandlers(new PeerDispatcher.Handlers(
                heartbeats, requests, catalogExchange, tasks, placementExecutor, explanations));
        UsageMonitor usage = closeOnShutdown(
                new UsageMonitor(ledger, control, tasks, interference, catalog::configuration, metrics));
        new DaemonMetrics(metrics, catalog, gate, ledger, peerRegistry, router)
                .register(link, platformClient, endpointClient, writer, logRecords);
        startAll(confirmations, usage);
    }

    private void buildMembership(WorkerControl control, WorkerTasks tasks) {
        heartbeats = closeOnShutdown(new HeartbeatService(
                settings.id(),
                incarnation,
                peerRegistry,
                gate,
                reachability,
                teamUse,
                leaseEpochs,
                link,
                this::ownCapacities,
                () -> catalog.configuration().version(),
                time));
        owners = closeOnShutdown(new OwnerMonitor(ledger, tasks, catalog, reachability, time));
        LeaseStateHandler reports = new LeaseStateHandler(tasks, owners, endpointClient, this::onCapacityChanged);
        LeaseCommands commands =
                new LeaseCommands(leaseHolder(), control, ledger, reports, RequestRunner.MAX_REQUEST_TIME, time);
        WorkerLeases workerLeases = new WorkerLeases(settings.id(), incarnation, time);
        HttpHostList hosts = new HttpHostList(platformClient, settings.hostList(), HOST_LIST_TIMEOUT);
        leases =
                closeOnShutdown(new LeaseManager(workerLeases, commands, peerRegistry, gate::freshness, ledger, hosts));
    }

    /** Returns the id under which this process holds leases; a restarted daemon is another holder and inherits none. */
    private DaemonId leaseHolder() {
        return new DaemonId(settings.id() + ":" + Long.toHexString(incarnation));
    }

    private void buildJobs(CatalogJobLog jobLog, WorkerTasks tasks) {
        JobShards shards = new JobShards(time, this::interactiveLoad);
        placementExecutor = new PlacementExecutor(
                settings.id(),
                time,
                shards,
                tasks,
                link,
                jobLog,
                () -> shuttingDown
                        ? peerRegistry.alive().stream()
                                .filter(id -> !id.equals(settings.id()))
                                .toList()
                        : peerRegistry.alive(),
                this::heldWorkers,
                () -> leases.workers().stream().map(Worker::id).toList(),
                this::connectivity,
                calls);
    }

    private void buildFollower(Log log, CatalogJobLog jobLog, CatalogExchange catalogExchange) {
        CatalogEventDispatcher events =
                new CatalogEventDispatcher(catalog, gate, jobLog, placementExecutor, this::onCapacityChanged);
        Random random = new Random(incarnation);
        Duration retention = settings.logRetention();
        SnapshotWriter snapshots = closeOnShutdown(
                new SnapshotWriter(catalog, logRecords, writer, time, retention, () -> follower.caughtUp(), random));
        follower = closeOnShutdown(new LogFollower(
                log,
                catalog,
                logRecords,
                time,
                catalogExchange::fetch,
                () -> gate.peerAhead().isPresent(),
                events,
                List.of(events, writer, snapshots),
                random));
        snapshots.start();
    }

    private RequestHandler createRequestFront(LatencyWindows latencyWindows) {
        RequestRunner runner = new RequestRunner(
                router,
                ledger,
                catalog::configuration,
                gate::freshness,
                endpointClient,
                link,
                time,
                timer,
                waiters,
                metrics);
        GroupCommitWriter<LogRecord.Receipt> receipts = new GroupCommitWriter<>(
                writer,
                group -> new LogRecord.ReceiptsMade(settings.id(), incarnation, group),
                _ -> MAX_RECEIPT_BYTES,
                RECEIPT_LIMITS);
        RequestLog requestLog = new RequestLog(metrics, latencyWindows, decisions);
        return new RequestHandler(
                runner,
                new LogReceiptStore(receipts, id -> catalog.receipt(id).isPresent()),
                catalog::configuration,
                time,
                requestLog);
    }

    private HttpDispatcher createHttpDispatcher(
            RequestHandler requests,
            ConfirmationWaiter confirmations,
            LatencyWindows latencyWindows,
            ExplanationService explanations) {
        ConfigApi config = new ConfigApi(catalog, writer, confirmations, leases::workers);
        JobApi jobs = new JobApi(catalog, writer, leases::workers, time);
        StatusApi status = new StatusApi(
                settings.id(),
                catalog,
                ledger,
                router,
                latencyWindows,
                gate::freshness,
                peerRegistry::alive,
                leases::workers,
                explanations::explain);
        return new HttpDispatcher(requests, config, jobs, status, metrics, this::ready);
    }

    private HttpLimits limits() {
        DaemonSettings.Limits limits = settings.limits();
        return new HttpLimits(
                limits.headerBytes(), limits.bodyBytes(), limits.connections(), limits.receive(), limits.idle());
    }

    private void startAll(ConfirmationWaiter confirmations, UsageMonitor usage) {
        heartbeats.start();
        follower.start();
        leases.start();
        usage.start();
        owners.start();
        closeOnShutdown(new PeriodicTask("jobs", TICK_INTERVAL, this::tickPlacement));
        closeOnShutdown(new PeriodicTask("waits", TICK_INTERVAL, () -> {
            confirmations.completeConfirmed();
            onCapacityChanged();
        }));
        Events.info(
                "daemon-started",
                "daemon",
                settings.id(),
                "incarnation",
                incarnation,
                "http",
                address(),
                "peer",
                link.address());
    }

    private void tickPlacement() {
        // Ticks continue while the state is stale, so that periods without connectivity are sampled as such.
        if (follower.caughtUp() || gate.freshness().allowsStarts()) {
            placementExecutor.setRemoteTeamUsage(teamUse.usageElsewhere());
            placementExecutor.tick();
        }
    }

    private void onCapacityChanged() {
        waiters.wake(router.grantFreeCapacity());
        waiters.withdraw(router.withdrawWaits());
    }

    /** Returns the address of the HTTP server for callers and operators. */
    Address address() {
        return server.address();
    }

    private boolean ready() {
        return !shuttingDown && gate.freshness().allowsStarts();
    }

    private Optional<DaemonId> shardOwner(int shard) {
        return catalog.shardClaim(shard).map(ShardClaim::daemon);
    }

    private List<PeerCapacity> peerSlots() {
        List<PeerCapacity> capacities = new ArrayList<>();
        peerRegistry.freeCapacity().forEach((daemon, freeByWorker) -> {
            int freeSlots =
                    freeByWorker.values().stream().mapToInt(Resources::slots).sum();
            capacities.add(new PeerCapacity(daemon, freeSlots, !freeByWorker.isEmpty()));
        });
        return capacities;
    }

    /** Returns the free capacity of the held workers; a worker with interference offers none to tasks. */
    private List<PeerMessage.WorkerCapacity> ownCapacities() {
        List<PeerMessage.WorkerCapacity> capacities = new ArrayList<>();
        for (AvailableCapacity available : ledger.available()) {
            capacities.add(new PeerMessage.WorkerCapacity(
                    available.worker().id(), offeredCapacity(available), available.epoch()));
        }
        return capacities;
    }

    private Resources offeredCapacity(AvailableCapacity available) {
        Resources free = available.free();
        return interference.isClosedToBatch(available.worker().id())
                ? new Resources(free.slots(), free.connections(), 0, 0, 0)
                : free;
    }

    private List<HeldWorker> heldWorkers() {
        List<HeldWorker> heldWorkers = new ArrayList<>();
        for (AvailableCapacity available : ledger.available()) {
            heldWorkers.add(
                    new HeldWorker(available.worker(), settings.id(), offeredCapacity(available), available.epoch()));
        }
        Map<WorkerId, Worker> workersById = leases.workersById();
        peerRegistry
                .freeCapacity()
                .forEach((daemon, freeByWorker) -> freeByWorker.forEach((id, free) -> {
                    Worker worker = workersById.get(id);
                    if (worker != null) {
                        heldWorkers.add(new HeldWorker(worker, daemon, free, leaseEpochs.get(daemon, id)));
                    }
                }));
        return heldWorkers;
    }

    private Connectivity connectivity() {
        return switch (reachability.level()) {
            case ALL -> Connectivity.ALL;
            case MAJORITY -> Connectivity.MAJORITY;
            case MINORITY -> Connectivity.MINORITY;
        };
    }

    /** Returns the fraction of a worker's slots that requests use; placement avoids workers with a high fraction. */
    private double interactiveLoad(WorkerId worker) {
        return ledger.availableOn(worker)
                .map(available -> (double) available.requests()
                        / Math.max(1, available.worker().capacity().slots()))
                .orElse(0.0);
    }

    /** Finishes the requests in flight, releases the leases and stops all components; blocks until done. */
    void shutdown() throws InterruptedException {
        shuttingDown = true;
        Events.info("shutdown-begun", "daemon", settings.id());
        heartbeats.announceShutdown();
        server.disableKeepAlive();
        Thread.sleep(LOAD_BALANCER_DELAY);
        server.drain(RequestHandler.connectionClosing());
        long drainDeadline = time.nanos() + DRAIN_TIMEOUT.toNanos();
        while (server.inFlight() > 0 && time.nanos() - drainDeadline < 0) {
            Thread.sleep(TICK_INTERVAL);
        }
        boolean allReleased = leases.shutdown(RequestRunner.MAX_REQUEST_TIME);
        Events.info(
                "shutdown-done", "daemon", settings.id(), "inFlight", server.inFlight(), "leasesReleased", allReleased);
        closeAll();
    }

    private <T extends AutoCloseable> T closeOnShutdown(T component) {
        closeables.add(component);
        return component;
    }

    private void closeAll() {
        if (server != null) {
            server.close();
        }
        for (int i = closeables.size() - 1; i >= 0; i--) {
            try {
                closeables.get(i).close();
            } catch (Exception e) {
                Events.warn("close-failed", "part", closeables.get(i).getClass().getSimpleName(), "cause", e);
            }
        }
        timer.shutdownNow();
        calls.shutdownNow();
        endpointClient.close();
        platformClient.close();
    }
}
