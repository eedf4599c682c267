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
import org.chestnutbarrow.logging.Repeating;
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
 * One daemon: builds the parts, starts and stops them. Safe for use by several threads.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.start(settings);
 * daemon.shutdown();
 * }</pre>
 */
final class Daemon {
    private static final Duration APPEND_TIME = Duration.ofSeconds(1);
    /** Longer than the follower's long poll, and below the freshness bound. */
    private static final Duration READ_TIME = Duration.ofMillis(1200);

    private static final Duration HOSTS_TIME = Duration.ofSeconds(1);
    /** Well below the term of a lease, so that a renewal can be repeated within it. */
    private static final Duration WORKER_TIME = Duration.ofMillis(600);

    private static final Duration READ_BACK_TIME = Duration.ofSeconds(3);
    private static final int PLATFORM_ANSWER_BYTES = 32 * 1024 * 1024;
    private static final int ENDPOINT_ANSWER_BYTES = 1024 * 1024;
    /** At 8 daemons this makes at most 100 appends a second. */
    private static final Duration RECEIPT_PACE = Duration.ofMillis(80);

    private static final GroupWriter.Bounds RECEIPTS = new GroupWriter.Bounds(2000, 512 * 1024, 20_000, RECEIPT_PACE);
    private static final int RECEIPT_BYTES = 256;
    private static final Duration TICK = Duration.ofMillis(100);
    /** Time for the balancer to see that the daemon is not ready any more. */
    private static final Duration BALANCER_TIME = Duration.ofSeconds(2);

    private static final Duration DRAIN_TIME = Duration.ofSeconds(15);
    private static final int INCARNATION_BITS = 16;

    private final DaemonSettings settings;
    private final TimeSource time = TimeSource.SYSTEM;
    private final long incarnation;
    private final Metrics metrics = new Metrics();
    private final HttpClient platform = new HttpClient(PLATFORM_ANSWER_BYTES);
    private final HttpClient endpoints = new HttpClient(ENDPOINT_ANSWER_BYTES);
    private final Catalog catalog = new Catalog();
    private final LogRecords records = new LogRecords();
    private final CapacityLedger accounts = new CapacityLedger(time);
    private final InterferenceController interference = new InterferenceController(time);
    private final RecentDecisions decisions = new RecentDecisions();
    private final Waiters waiters = new Waiters();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("settle").factory());
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final List<AutoCloseable> closing = new ArrayList<>();

    private final PeerRegistry peers;
    private final FreshnessGate gate;
    private final ReachabilityTracker contacts;
    private final TeamUse teams;
    private final LeaseEpochs leaseEpochs = new LeaseEpochs();
    private final PeerDispatch dispatch = new PeerDispatch();
    private NettyPeerLink link;
    private Heartbeats heartbeats;
    private LeaseKeeper leases;
    private OwnerWatch owners;
    private LogFollower follower;
    private LogWriter writer;
    private JobRunner jobs;
    private Router router;
    private HttpServer server;
    private volatile boolean leaving;

    private Daemon(DaemonSettings settings) {
        this.settings = settings;
        this.incarnation =
                (time.now().toEpochMilli() << INCARNATION_BITS) | new SecureRandom().nextInt(1 << INCARNATION_BITS);
        TreeSet<DaemonId> configured = new TreeSet<>(settings.peers().keySet());
        configured.add(settings.id());
        this.peers = new PeerRegistry(settings.id(), configured, time);
        this.gate = new FreshnessGate(settings.id(), configured, time);
        this.contacts = new ReachabilityTracker(settings.id(), configured, time);
        this.teams = new TeamUse(peers::alive);
    }

    /**
     * Starts a daemon. The log and the host list need not be reachable yet.
     *
     * @throws InvalidInputException if an address cannot be bound
     */
    static Daemon start(DaemonSettings settings) throws InvalidInputException {
        Daemon daemon = new Daemon(settings);
        try {
            daemon.build();
            return daemon;
        } catch (InvalidInputException e) {
            daemon.closeAll();
            throw e;
        }
    }

    private void build() throws InvalidInputException {
        byte[] key = settings.peerKey().getBytes(StandardCharsets.UTF_8);
        link = closing(NettyPeerLink.start(settings.id(), incarnation, settings.peer(), key, dispatch));
        settings.peers().forEach(link::connect);
        Log log = new HttpLog(platform, settings.log(), APPEND_TIME, READ_TIME);
        WorkerControl control = new HttpWorkerControl(platform, WORKER_TIME);
        writer = new LogWriter(log, records, settings.id(), incarnation, () -> follower.reachable(), READ_BACK_TIME);
        router = new Router(
                time,
                accounts,
                catalog::configuration,
                gate::freshness,
                this::peerSlots,
                new Random(incarnation),
                Measurement.routing());
        CatalogJobLog jobLog = new CatalogJobLog(settings.id(), incarnation, catalog, writer, time);
        TaskRelay relay = new TaskRelay(settings.id(), this::shardOwner, link);
        WorkerTasks tasks = new WorkerTasks(
                time,
                control,
                accounts,
                gate::freshness,
                catalog::configuration,
                shard -> catalog.shardClaim(shard).map(ShardClaim::epoch).orElse(0L),
                relay::changed);
        buildMembership(control, tasks);
        buildJobs(jobLog, tasks);
        relay.open(jobs);
        teams.open(jobs::teamUse);
        PeerCatalog peerCatalog = new PeerCatalog(catalog, records, link, peers::alive);
        buildFollower(log, jobLog, peerCatalog);
        Explanations explanations = new Explanations(decisions, jobs, link, peers::others);
        InForce inForce = new InForce(gate::confirmationOf);
        LatencyWindows latencies = new LatencyWindows(time);
        RequestFront requests = requestFront(latencies);
        server = HttpServer.start(settings.http(), limits(), front(requests, inForce, latencies, explanations));
        dispatch.open(new PeerDispatch.Parts(heartbeats, requests, peerCatalog, tasks, jobs, explanations));
        UsageWatcher usage =
                closing(new UsageWatcher(accounts, control, tasks, interference, catalog::configuration, metrics));
        new DaemonMetrics(metrics, catalog, gate, accounts, peers, router)
                .register(link, platform, endpoints, writer, records);
        startAll(inForce, usage);
    }

    private void buildMembership(WorkerControl control, WorkerTasks tasks) {
        heartbeats = closing(new Heartbeats(
                settings.id(),
                incarnation,
                peers,
                gate,
                contacts,
                teams,
                leaseEpochs,
                link,
                this::ownRooms,
                () -> catalog.configuration().version(),
                time));
        owners = closing(new OwnerWatch(accounts, tasks, catalog, contacts, time));
        LeaseReports reports = new LeaseReports(tasks, owners, endpoints, this::roomChanged);
        LeaseCommands commands =
                new LeaseCommands(leaseHolder(), control, accounts, reports, RequestRunner.REQUEST_TIME, time);
        WorkerLeases workerLeases = new WorkerLeases(settings.id(), incarnation, time);
        HttpHostList hosts = new HttpHostList(platform, settings.hostList(), HOSTS_TIME);
        leases = closing(new LeaseKeeper(workerLeases, commands, peers, gate::freshness, accounts, hosts));
    }

    /** The name of this process to workers; a restarted daemon is another holder and does not inherit leases. */
    private DaemonId leaseHolder() {
        return new DaemonId(settings.id() + ":" + Long.toHexString(incarnation));
    }

    private void buildJobs(CatalogJobLog jobLog, WorkerTasks tasks) {
        JobShards shards = new JobShards(time, this::interactiveLoad);
        jobs = new JobRunner(
                settings.id(),
                time,
                shards,
                tasks,
                link,
                jobLog,
                () -> leaving
                        ? peers.alive().stream()
                                .filter(id -> !id.equals(settings.id()))
                                .toList()
                        : peers.alive(),
                this::heldWorkers,
                () -> leases.listed().stream().map(Worker::id).toList(),
                this::contact,
                calls);
    }

    private void buildFollower(Log log, CatalogJobLog jobLog, PeerCatalog peerCatalog) {
        CatalogEvents events = new CatalogEvents(catalog, gate, jobLog, jobs, this::roomChanged);
        Random random = new Random(incarnation);
        Duration retention = settings.logRetention();
        Snapshots snapshots =
                closing(new Snapshots(catalog, records, writer, time, retention, () -> follower.caughtUp(), random));
        follower = closing(new LogFollower(
                log,
                catalog,
                records,
                time,
                peerCatalog::fetch,
                () -> gate.peerAhead().isPresent(),
                events,
                List.of(events, writer, snapshots),
                random));
        snapshots.start();
    }

    private RequestFront requestFront(LatencyWindows latencies) {
        RequestRunner runner = new RequestRunner(
                router,
                accounts,
                catalog::configuration,
                gate::freshness,
                endpoints,
                link,
                time,
                timer,
                waiters,
                metrics);
        GroupWriter<LogRecord.Receipt> receipts = new GroupWriter<>(
                writer,
                group -> new LogRecord.ReceiptsMade(settings.id(), incarnation, group),
                _ -> RECEIPT_BYTES,
                RECEIPTS);
        RequestLog requestLog = new RequestLog(metrics, latencies, decisions);
        return new RequestFront(
                runner,
                new LogReceipts(receipts, id -> catalog.receipt(id).isPresent()),
                catalog::configuration,
                time,
                requestLog);
    }

    private HttpFront front(
            RequestFront requests, InForce inForce, LatencyWindows latencies, Explanations explanations) {
        ConfigApi config = new ConfigApi(catalog, writer, inForce, leases::listed);
        JobApi jobApi = new JobApi(catalog, writer, leases::listed, time);
        StatusApi status = new StatusApi(
                settings.id(),
                catalog,
                accounts,
                router,
                latencies,
                gate::freshness,
                peers::alive,
                leases::listed,
                explanations::any);
        return new HttpFront(requests, config, jobApi, status, metrics, this::ready);
    }

    private HttpLimits limits() {
        DaemonSettings.Limits limits = settings.limits();
        return new HttpLimits(
                limits.headerBytes(), limits.bodyBytes(), limits.connections(), limits.receive(), limits.idle());
    }

    private void startAll(InForce inForce, UsageWatcher usage) {
        heartbeats.start();
        follower.start();
        leases.start();
        usage.start();
        owners.start();
        closing(new Repeating("jobs", TICK, this::tickJobs));
        closing(new Repeating("waits", TICK, () -> {
            inForce.check();
            roomChanged();
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

    private void tickJobs() {
        // Ticks go on while the state is stale: times without contact must be seen as such.
        if (follower.caughtUp() || gate.freshness().allowsStarts()) {
            jobs.teamUseElsewhere(teams.elsewhere());
            jobs.tick();
        }
    }

    private void roomChanged() {
        waiters.wake(router.grantFreeCapacity());
    }

    /** Where callers and operators are served. */
    Address address() {
        return server.address();
    }

    private boolean ready() {
        return !leaving && gate.freshness().allowsStarts();
    }

    private Optional<DaemonId> shardOwner(int shard) {
        return catalog.shardClaim(shard).map(ShardClaim::daemon);
    }

    private List<PeerCapacity> peerSlots() {
        List<PeerCapacity> slots = new ArrayList<>();
        peers.freeCapacity().forEach((daemon, rooms) -> {
            int free = rooms.values().stream().mapToInt(Resources::slots).sum();
            slots.add(new PeerCapacity(daemon, free));
        });
        return slots;
    }

    /** What is free on held workers; a disturbed worker offers nothing to tasks. */
    private List<PeerMessage.WorkerCapacity> ownRooms() {
        List<PeerMessage.WorkerCapacity> rooms = new ArrayList<>();
        for (AvailableCapacity room : accounts.available()) {
            rooms.add(new PeerMessage.WorkerCapacity(room.worker().id(), offered(room), room.epoch()));
        }
        return rooms;
    }

    private Resources offered(AvailableCapacity room) {
        Resources free = room.free();
        return interference.isClosedToBatch(room.worker().id())
                ? new Resources(free.slots(), free.connections(), 0, 0, 0)
                : free;
    }

    private List<HeldWorker> heldWorkers() {
        List<HeldWorker> held = new ArrayList<>();
        for (AvailableCapacity room : accounts.available()) {
            held.add(new HeldWorker(room.worker(), settings.id(), offered(room), room.epoch()));
        }
        Map<WorkerId, Worker> listed = leases.listedById();
        peers.freeCapacity()
                .forEach((daemon, rooms) -> rooms.forEach((id, free) -> {
                    Worker worker = listed.get(id);
                    if (worker != null) {
                        held.add(new HeldWorker(worker, daemon, free, leaseEpochs.get(daemon, id)));
                    }
                }));
        return held;
    }

    private Connectivity contact() {
        return switch (contacts.level()) {
            case ALL -> Connectivity.ALL;
            case MAJORITY -> Connectivity.MAJORITY;
            case MINORITY -> Connectivity.MINORITY;
        };
    }

    /** How much tasks should avoid a worker: the share of its slots that requests use. */
    private double interactiveLoad(WorkerId worker) {
        return accounts.availableOn(worker)
                .map(room -> (double) room.requests()
                        / Math.max(1, room.worker().capacity().slots()))
                .orElse(0.0);
    }

    /** Finishes what is in flight, hands over workers and ends; blocks until done. */
    void shutdown() throws InterruptedException {
        leaving = true;
        Events.info("shutdown-begun", "daemon", settings.id());
        heartbeats.leave();
        server.disableKeepAlive();
        Thread.sleep(BALANCER_TIME);
        server.drain();
        long end = time.nanos() + DRAIN_TIME.toNanos();
        while (server.inFlight() > 0 && time.nanos() - end < 0) {
            Thread.sleep(TICK);
        }
        boolean clean = leases.shutdown(RequestRunner.REQUEST_TIME);
        Events.info("shutdown-done", "daemon", settings.id(), "inFlight", server.inFlight(), "leasesReleased", clean);
        closeAll();
    }

    private <T extends AutoCloseable> T closing(T part) {
        closing.add(part);
        return part;
    }

    private void closeAll() {
        if (server != null) {
            server.close();
        }
        for (int i = closing.size() - 1; i >= 0; i--) {
            try {
                closing.get(i).close();
            } catch (Exception e) {
                Events.warn("close-failed", "part", closing.get(i).getClass().getSimpleName(), "cause", e);
            }
        }
        timer.shutdownNow();
        calls.shutdownNow();
        endpoints.close();
        platform.close();
    }
}
