package org.chestnutbarrow.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Routes interactive requests. Safe for use by several threads: scores are sharded by worker, wait queues and retry
 * budgets are kept per class, each under its own lock, and capacity is reserved in {@link CapacityLedger}.
 *
 * <p>Invariants: a request is sent only to a worker on which its capacity was reserved, in a zone in which starts are
 * allowed, and only while the configuration is fresh enough; a waiting request is granted capacity at most once.
 *
 * <pre>{@code
 * switch (router.route(request)) {
 *     case RoutingDecision.Send send -> ...
 * }
 * }</pre>
 */
public final class Router {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TimeSource time;
    private final CapacityLedger ledger;
    private final Supplier<Configuration> configuration;
    private final Supplier<Freshness> freshness;
    private final Supplier<List<PeerCapacity>> peerCapacities;
    private final RandomGenerator random;
    private final RoutingOptions options;
    private final LoadBalancer loadBalancer;
    private final Map<String, ClassRoutingState> classStates = new ConcurrentHashMap<>();
    private final AtomicLong nextTicket = new AtomicLong();
    private volatile EligibleWorkers eligibleWorkers = EligibleWorkers.NONE;

    /** Creates a router with the default options. */
    public Router(
            TimeSource time,
            CapacityLedger ledger,
            Supplier<Configuration> configuration,
            Supplier<Freshness> freshness,
            Supplier<List<PeerCapacity>> peerCapacities,
            RandomGenerator random) {
        this(time, ledger, configuration, freshness, peerCapacities, random, RoutingOptions.DEFAULT);
    }

    /**
     * Creates a router.
     *
     * @param peerCapacities free slots of the live peers
     * @param random must be safe for use by several threads
     */
    public Router(
            TimeSource time,
            CapacityLedger ledger,
            Supplier<Configuration> configuration,
            Supplier<Freshness> freshness,
            Supplier<List<PeerCapacity>> peerCapacities,
            RandomGenerator random,
            RoutingOptions options) {
        this.time = time;
        this.ledger = ledger;
        this.configuration = configuration;
        this.freshness = freshness;
        this.peerCapacities = peerCapacities;
        this.random = random;
        this.options = options;
        this.loadBalancer = new LoadBalancer(time, ledger, random, options.policy());
    }

    /** Decides how to handle a new request. */
    public RoutingDecision route(RoutingRequest request) {
        ClassRoutingState state = classState(request);
        state.retryBudget().recordRequest();
        return decide(request, state, Tried.NOWHERE);
    }

    /**
     * Decides how to handle a request whose last attempt failed. Peers that were tried do not receive it again.
     *
     * @return a refusal if the retry budget is exhausted
     */
    public RoutingDecision retry(RoutingRequest request, Tried tried) {
        ClassRoutingState state = classState(request);
        if (options.limitRetries() && !state.retryBudget().tryAcquire()) {
            return new RoutingDecision.Refuse("retry-budget-spent", RETRY_AFTER);
        }
        return decide(request, state, tried);
    }

    /**
     * Decides again how to handle a request that has certainly not run, because its wait was withdrawn, a peer refused it,
     * or no byte of it was written. This needs no retry budget, as no endpoint was loaded.
     */
    public RoutingDecision reroute(RoutingRequest request, Tried tried) {
        return decide(request, classState(request), tried);
    }

    /**
     * Reserves capacity for a second copy of an idempotent request whose first copy is slow.
     *
     * @return the capacity for the copy; empty if the retry budget is exhausted or no other worker has capacity
     */
    public Optional<Reservation> hedge(RoutingRequest request, WorkerId firstWorker) {
        ClassRoutingState state = classState(request);
        if (!request.idempotent() || !freshness.get().allowsStarts()) {
            return Optional.empty();
        }
        Optional<Reservation> reservation = reserve(state, Set.of(firstWorker));
        if (reservation.isPresent() && !state.retryBudget().tryAcquire()) {
            ledger.release(reservation.get());
            return Optional.empty();
        }
        reservation.ifPresent(_ -> state.requestStarted());
        return reservation;
    }

    /**
     * Records the result of a request and releases its capacity, unless the response was lost: the endpoint may still
     * be processing the request, so its capacity stays reserved until {@link #releaseCapacity}.
     *
     * @return grants for waiting requests
     */
    public List<CapacityGrant> complete(RoutingRequest request, Reservation reservation, SendResult result) {
        ClassRoutingState state = classState(request);
        state.requestEnded();
        recordResult(state, reservation.worker(), result);
        return switch (result) {
            case SendResult.Answered _, SendResult.NotSent _ -> releaseCapacity(reservation);
            case SendResult.Lost _ -> List.of();
        };
    }

    /**
     * Releases capacity and returns grants for waiting requests. For a request whose response was lost, to be called
     * once its processing must have ended.
     */
    public List<CapacityGrant> releaseCapacity(Reservation reservation) {
        ledger.release(reservation);
        return grantFreeCapacity();
    }

    /** Confirms that a waiting request has received its grant. */
    public void confirmGrant(RoutingRequest request, long ticket) {
        classState(request).queue().confirm(ticket);
    }

    /** Ends the wait of a request; returns grants for others if it had an unconfirmed one. */
    public List<CapacityGrant> cancelWait(RoutingRequest request, long ticket) {
        ClassRoutingState state = classState(request);
        Optional<Reservation> unused = state.queue().cancel(ticket);
        if (unused.isEmpty()) {
            return List.of();
        }
        state.requestEnded();
        ledger.release(unused.get());
        return grantFreeCapacity();
    }

    /** Grants free capacity to waiting requests; to be called after workers were added or zones returned to service. */
    public List<CapacityGrant> grantFreeCapacity() {
        List<CapacityGrant> grants = new ArrayList<>();
        if (!freshness.get().allowsStarts()) {
            return grants;
        }
        for (ClassRoutingState state : classStates.values()) {
            Optional<CapacityGrant> grant = state.queue().grantNext(_ -> reserve(state, Set.of()));
            while (grant.isPresent()) {
                state.requestStarted();
                grants.add(grant.get());
                grant = state.queue().grantNext(_ -> reserve(state, Set.of()));
            }
        }
        return grants;
    }

    /**
     * Ends the waits of all requests if this daemon has no worker left that could be granted to them, for example after
     * a hand-over.
     *
     * @return tickets of the ended waits, whose requests are to be rerouted
     */
    public List<Long> withdrawWaits() {
        if (!eligibleWorkers().workers().isEmpty()) {
            return List.of();
        }
        List<Long> tickets = new ArrayList<>();
        classStates.values().forEach(state -> tickets.addAll(state.queue().removeAll()));
        return tickets;
    }

    /** Returns the number of waiting requests of a class. */
    public int waitingRequests(String workClass) {
        ClassRoutingState state = classStates.get(workClass);
        return state == null ? 0 : state.queue().length();
    }

    /** Returns the typical latency of a class; empty before its first request. */
    public Optional<Duration> typicalLatency(String workClass) {
        ClassRoutingState state = classStates.get(workClass);
        return state == null ? Optional.empty() : Optional.of(Duration.ofNanos((long) state.typicalLatencyNanos()));
    }

    private RoutingDecision decide(RoutingRequest request, ClassRoutingState state, Tried tried) {
        long now = time.nanos();
        if (request.deadline() - now <= 0) {
            return new RoutingDecision.Refuse("deadline-passed", RETRY_AFTER);
        }
        if (!freshness.get().allowsStarts()) {
            return new RoutingDecision.Refuse("configuration-stale", RETRY_AFTER);
        }
        if (state.queue().length() == 0) {
            Optional<Reservation> reservation = reserve(state, tried.workers());
            if (reservation.isPresent()) {
                return sendOrForward(request, state, tried, reservation.get());
            }
        }
        if (!request.forwarded()) {
            Optional<RoutingDecision> forward = forward(tried.peers());
            if (forward.isPresent()) {
                return forward.get();
            }
        }
        if (eligibleWorkers().workers().isEmpty()) {
            return forwardToHolder(request, tried);
        }
        return enqueue(request, state, now);
    }

    /** Prefers a peer with capacity to a worker that was tried, which is likely to fail again. */
    private RoutingDecision sendOrForward(
            RoutingRequest request, ClassRoutingState state, Tried tried, Reservation reservation) {
        if (!request.forwarded()
                && tried.workers().contains(reservation.worker().id())) {
            Optional<RoutingDecision> forward = forward(tried.peers());
            if (forward.isPresent()) {
                ledger.release(reservation);
                return forward.get();
            }
        }
        state.requestStarted();
        return new RoutingDecision.Send(reservation, "chosen");
    }

    /** A peer whose workers were busy at its last heartbeat can let the request wait; this daemon could only refuse it. */
    private RoutingDecision forwardToHolder(RoutingRequest request, Tried tried) {
        List<PeerCapacity> holders = peerCapacities.get().stream()
                .filter(peer -> peer.holdsWorkers() && !tried.peers().contains(peer.peer()))
                .toList();
        if (request.forwarded() || holders.isEmpty()) {
            return new RoutingDecision.Refuse("no-worker", RETRY_AFTER);
        }
        PeerCapacity holder = holders.get(random.nextInt(holders.size()));
        return new RoutingDecision.Forward(holder.peer(), "no-local-worker");
    }

    private RoutingDecision enqueue(RoutingRequest request, ClassRoutingState state, long now) {
        double expectedNanos = state.expectedWaitNanos() + state.typicalLatencyNanos();
        if (now + expectedNanos > request.deadline()) {
            return new RoutingDecision.Refuse("deadline-cannot-be-met", RETRY_AFTER);
        }
        long ticket = nextTicket.incrementAndGet();
        if (!state.queue().add(ticket, request)) {
            return new RoutingDecision.Refuse("queue-full", RETRY_AFTER);
        }
        return new RoutingDecision.Wait(ticket, "all-slots-in-use");
    }

    private Optional<RoutingDecision> forward(Set<DaemonId> triedPeers) {
        List<PeerCapacity> available = peerCapacities.get().stream()
                .filter(peer -> peer.freeSlots() > 0 && !triedPeers.contains(peer.peer()))
                .toList();
        int totalFreeSlots =
                available.stream().mapToInt(PeerCapacity::freeSlots).sum();
        if (totalFreeSlots == 0) {
            return Optional.empty();
        }
        // A random choice weighted by free slots keeps daemons from all forwarding to the same peer between heartbeats.
        int remaining = random.nextInt(totalFreeSlots);
        for (PeerCapacity peer : available) {
            remaining -= peer.freeSlots();
            if (remaining < 0) {
                return Optional.of(new RoutingDecision.Forward(peer.peer(), "no-local-room"));
            }
        }
        return Optional.empty();
    }

    private Optional<Reservation> reserve(ClassRoutingState state, Set<WorkerId> triedWorkers) {
        return loadBalancer.reserve(state, eligibleWorkers().workers(), triedWorkers);
    }

    private void recordResult(ClassRoutingState state, Worker worker, SendResult result) {
        long now = time.nanos();
        switch (result) {
            case SendResult.Answered answered -> {
                if (answered.status() < 500) {
                    long nanos = answered.latency().toNanos();
                    state.recordLatency(nanos);
                    state.scores().withScore(worker, now, score -> {
                        score.recordSuccess(nanos, state.latencyBoundNanos(), now);
                        return null;
                    });
                } else {
                    recordFailure(state, worker, now);
                }
            }
            case SendResult.NotSent _, SendResult.Lost _ -> recordFailure(state, worker, now);
        }
    }

    private void recordFailure(ClassRoutingState state, Worker worker, long now) {
        boolean eject =
                state.scores().withScore(worker, now, score -> score.recordFailure(state.latencyBoundNanos(), now));
        if (!eject) {
            return;
        }
        List<Worker> workers = eligibleWorkers().workers();
        long ejectedCount = workers.stream()
                .filter(other -> state.scores().withScore(other, now, score -> score.ejected(now)))
                .count();
        // If more than half would be ejected, the cause is more likely the class or the network than the workers.
        if (2 * (ejectedCount + 1) <= workers.size()) {
            state.scores().withScore(worker, now, score -> {
                score.eject(now);
                return null;
            });
        }
    }

    private EligibleWorkers eligibleWorkers() {
        EligibleWorkers current = eligibleWorkers;
        long ledgerVersion = ledger.version();
        Configuration currentConfiguration = configuration.get();
        if (current.matches(ledgerVersion, currentConfiguration.version())) {
            return current;
        }
        EligibleWorkers updated = EligibleWorkers.of(ledgerVersion, currentConfiguration, ledger.available());
        for (WorkerId removed : current.removedIn(updated)) {
            classStates.values().forEach(state -> state.scores().remove(removed));
        }
        eligibleWorkers = updated;
        return updated;
    }

    private ClassRoutingState classState(RoutingRequest request) {
        ClassRoutingState state = classStates.computeIfAbsent(
                request.workClass().name(), _ -> new ClassRoutingState(request.workClass()));
        state.update(request.workClass());
        return state;
    }
}
