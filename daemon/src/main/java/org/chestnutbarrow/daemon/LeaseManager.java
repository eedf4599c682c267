package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.PeriodicTask;
import org.chestnutbarrow.membership.LeaseAction;
import org.chestnutbarrow.membership.LeaseContext;
import org.chestnutbarrow.membership.LeaseEvent;
import org.chestnutbarrow.membership.PeerRegistry;
import org.chestnutbarrow.membership.WorkerLeases;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.ports.HostList;

/**
 * Executes the actions that {@link WorkerLeases} decides on. Safe for use by several threads.
 *
 * <p>Commands to workers run on virtual threads. {@link WorkerLeases} issues one command per worker at a time, so there
 * are at most as many waiting threads as workers. The timeout of the client behind {@code WorkerControl} has to be well
 * below {@link WorkerLeases#LEASE_DURATION}; otherwise a renewal that hangs cannot be repeated before the lease
 * expires.
 */
final class LeaseManager implements AutoCloseable {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration HOST_LIST_INTERVAL = Duration.ofSeconds(1);

    /** Time after the shutdown timeout in which releases may complete. */
    private static final Duration RELEASE_GRACE_PERIOD = Duration.ofSeconds(2);

    private static final int MAX_CONCURRENT_RENEWALS = 256;

    /** Limited apart from renewals, so that claims of unreachable workers do not delay renewals. */
    private static final int MAX_CONCURRENT_CLAIMS = 64;

    private final WorkerLeases leases;
    private final LeaseCommands commands;
    private final PeerRegistry peers;
    private final Supplier<Freshness> freshness;
    private final CapacityLedger ledger;
    private final HostList hosts;
    private final Semaphore renewalPermits = new Semaphore(MAX_CONCURRENT_RENEWALS);
    private final Semaphore claimPermits = new Semaphore(MAX_CONCURRENT_CLAIMS);
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean draining;
    private volatile List<PeriodicTask> timers = List.of();

    private volatile Map<WorkerId, Worker> workers = Map.of();

    private Instant workersAsOf = Instant.MIN;

    LeaseManager(
            WorkerLeases leases,
            LeaseCommands commands,
            PeerRegistry peers,
            Supplier<Freshness> freshness,
            CapacityLedger ledger,
            HostList hosts) {
        this.leases = leases;
        this.commands = commands;
        this.peers = peers;
        this.freshness = freshness;
        this.ledger = ledger;
        this.hosts = hosts;
    }

    /** Starts to fetch the host list and to claim workers. */
    void start() {
        timers = List.of(
                new PeriodicTask("host-list", HOST_LIST_INTERVAL, this::fetchHosts),
                new PeriodicTask("leases", TICK_INTERVAL, this::tick));
    }

    /** Returns all workers of the latest host list. */
    Collection<Worker> workers() {
        return workers.values();
    }

    /** Returns all workers of the latest host list by id. */
    Map<WorkerId, Worker> workersById() {
        return workers;
    }

    /** Executes the lease actions that are due; called by one thread at a time. */
    void tick() {
        LeaseContext context = new LeaseContext(
                peers.eligible(),
                freshness.get(),
                worker -> peers.holderOf(worker).isPresent(),
                worker -> ledger.availableOn(worker)
                        .map(AvailableCapacity::requests)
                        .orElse(0));
        leases.tick(context).forEach(this::execute);
        if (draining && leases.workersInUse().isEmpty()) {
            drained.countDown();
        }
    }

    /** Fetches the host list; keeps the current one if the fetch fails or returns an older list. */
    void fetchHosts() {
        try {
            HostList.Listing listing = hosts.fetch();
            if (listing.asOf().isBefore(workersAsOf)) {
                Events.info("hosts-ignored", "asOf", listing.asOf(), "reason", "older-list");
                return;
            }
            workersAsOf = listing.asOf();
            Map<WorkerId, Worker> latest = new HashMap<>();
            listing.workers().forEach(worker -> latest.put(worker.id(), worker));
            latest.values().stream()
                    .filter(worker -> !worker.equals(workers.get(worker.id())))
                    .forEach(ledger::updateWorker);
            workers = Collections.unmodifiableMap(latest);
            leases.updateHosts(latest.values());
        } catch (UnavailableException e) {
            Events.warn("hosts-unavailable", "reason", e.getMessage());
        }
    }

    /**
     * Drains all workers: stops new work on them, and releases each once no request runs on it or {@code timeout} has
     * passed.
     *
     * @return whether all leases were released in time; the remaining ones expire by themselves
     */
    boolean shutdown(Duration timeout) throws InterruptedException {
        leases.drain(timeout);
        draining = true;
        boolean complete = drained.await(timeout.plus(RELEASE_GRACE_PERIOD).toNanos(), TimeUnit.NANOSECONDS);
        Events.info(
                "leases-drained",
                "complete",
                complete,
                "remaining",
                leases.workersInUse().size());
        return complete;
    }

    @Override
    public void close() {
        timers.forEach(PeriodicTask::close);
        executor.shutdownNow();
    }

    private void execute(LeaseAction action) {
        WorkerId id = action.worker().id();
        switch (action) {
            case LeaseAction.Claim claim -> submit(claimPermits, () -> commands.claim(claim.worker()));
            case LeaseAction.Renew renew -> submit(renewalPermits, () -> commands.renew(renew.worker(), renew.epoch()));
            case LeaseAction.Release release -> {
                commands.stopUsing(release.worker(), release.epoch());
                submit(claimPermits, () -> commands.release(release.worker(), release.epoch()));
            }
            case LeaseAction.Drop drop -> {
                commands.stopUsing(drop.worker(), drop.epoch());
                Events.warn("lease-lost", "worker", id, "epoch", drop.epoch());
            }
            case LeaseAction.Pause pause -> {
                ledger.setPaused(id, true);
                Events.info("hand-over-begun", "worker", id, "epoch", pause.epoch());
            }
            case LeaseAction.Resume resume -> {
                ledger.setPaused(id, false);
                Events.info("hand-over-cancelled", "worker", id, "epoch", resume.epoch());
            }
        }
    }

    private void submit(Semaphore permits, Supplier<LeaseEvent> command) {
        executor.execute(() -> {
            try {
                permits.acquire();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            LeaseEvent event;
            try {
                event = command.get();
            } finally {
                permits.release();
            }
            leases.onEvent(event).forEach(this::execute);
        });
    }
}
