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
 * Carries out the effects of {@link WorkerLeases}. Safe for use by several threads.
 *
 * <p>Commands to workers run on virtual threads. {@link WorkerLeases} gives one command to a worker at a time, so no more
 * threads wait than there are workers. The client behind {@code WorkerControl} needs a time limit well below {@link
 * WorkerLeases#LEASE_DURATION}, or a renewal that hangs cannot be repeated within the term.
 */
final class LeaseKeeper implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration HOSTS_INTERVAL = Duration.ofSeconds(1);

    /** Time after the deadline of a shutdown in which releases may end. */
    private static final Duration RELEASE_TIME = Duration.ofSeconds(2);

    private static final int MAX_RENEWALS = 256;

    /** Claims have a bound of their own, so that claims of unreachable workers do not hold up renewals. */
    private static final int MAX_CLAIMS = 64;

    private final WorkerLeases leases;
    private final LeaseCommands commands;
    private final PeerRegistry peers;
    private final Supplier<Freshness> freshness;
    private final CapacityLedger accounts;
    private final HostList hosts;
    private final Semaphore renewals = new Semaphore(MAX_RENEWALS);
    private final Semaphore claims = new Semaphore(MAX_CLAIMS);
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean draining;
    private volatile List<PeriodicTask> timers = List.of();

    private volatile Map<WorkerId, Worker> listed = Map.of();

    private Instant listedAt = Instant.MIN;

    LeaseKeeper(
            WorkerLeases leases,
            LeaseCommands commands,
            PeerRegistry peers,
            Supplier<Freshness> freshness,
            CapacityLedger accounts,
            HostList hosts) {
        this.leases = leases;
        this.commands = commands;
        this.peers = peers;
        this.freshness = freshness;
        this.accounts = accounts;
        this.hosts = hosts;
    }

    /** Begins to fetch the host list and to claim workers. */
    void start() {
        timers = List.of(
                new PeriodicTask("host-list", HOSTS_INTERVAL, this::fetchHosts),
                new PeriodicTask("leases", TICK, this::tick));
    }

    /** All workers of the newest host list. */
    Collection<Worker> listed() {
        return listed.values();
    }

    /** All workers of the newest host list by id. */
    Map<WorkerId, Worker> listedById() {
        return listed;
    }

    /** Does what is due now; called by one thread at a time. */
    void tick() {
        LeaseContext view = new LeaseContext(
                peers.eligible(),
                freshness.get(),
                worker -> peers.holderOf(worker).isPresent(),
                worker -> accounts.availableOn(worker)
                        .map(AvailableCapacity::requests)
                        .orElse(0));
        leases.tick(view).forEach(this::execute);
        if (draining && leases.workersInUse().isEmpty()) {
            drained.countDown();
        }
    }

    /** Fetches the host list; keeps the one before if there is no answer or an older list. */
    void fetchHosts() {
        try {
            HostList.Listing listing = hosts.fetch();
            if (listing.asOf().isBefore(listedAt)) {
                Events.info("hosts-ignored", "asOf", listing.asOf(), "reason", "older-list");
                return;
            }
            listedAt = listing.asOf();
            Map<WorkerId, Worker> next = new HashMap<>();
            listing.workers().forEach(worker -> next.put(worker.id(), worker));
            next.values().stream()
                    .filter(worker -> !worker.equals(listed.get(worker.id())))
                    .forEach(accounts::updateWorker);
            listed = Collections.unmodifiableMap(next);
            leases.updateHosts(next.values());
        } catch (UnavailableException e) {
            Events.warn("hosts-unavailable", "reason", e.getMessage());
        }
    }

    /**
     * Hands over all workers: stops new work on them, waits until no request runs on a worker or {@code limit} has
     * passed, and releases it.
     *
     * @return whether all commands had ended in time; if not, the remaining leases run out by themselves
     */
    boolean shutdown(Duration limit) throws InterruptedException {
        leases.drain(limit);
        draining = true;
        boolean done = drained.await(limit.plus(RELEASE_TIME).toNanos(), TimeUnit.NANOSECONDS);
        Events.info(
                "leases-drained",
                "complete",
                done,
                "remaining",
                leases.workersInUse().size());
        return done;
    }

    @Override
    public void close() {
        timers.forEach(PeriodicTask::close);
        calls.shutdownNow();
    }

    private void execute(LeaseAction effect) {
        WorkerId id = effect.worker().id();
        switch (effect) {
            case LeaseAction.Claim claim -> submit(claims, () -> commands.claim(claim.worker()));
            case LeaseAction.Renew renew -> submit(renewals, () -> commands.renew(renew.worker(), renew.epoch()));
            case LeaseAction.Release release -> {
                commands.stopUse(release.worker(), release.epoch());
                submit(claims, () -> commands.release(release.worker(), release.epoch()));
            }
            case LeaseAction.Drop drop -> {
                commands.stopUse(drop.worker(), drop.epoch());
                Events.warn("lease-lost", "worker", id, "epoch", drop.epoch());
            }
            case LeaseAction.Pause pause -> {
                accounts.setPaused(id, true);
                Events.info("hand-over-begun", "worker", id, "epoch", pause.epoch());
            }
            case LeaseAction.Resume resume -> {
                accounts.setPaused(id, false);
                Events.info("hand-over-cancelled", "worker", id, "epoch", resume.epoch());
            }
        }
    }

    private void submit(Semaphore bound, Supplier<LeaseEvent> command) {
        calls.execute(() -> {
            try {
                bound.acquire();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            LeaseEvent event;
            try {
                event = command.get();
            } finally {
                bound.release();
            }
            leases.onEvent(event).forEach(this::execute);
        });
    }
}
