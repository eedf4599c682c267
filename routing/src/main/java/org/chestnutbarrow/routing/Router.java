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
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Decides on interactive requests. Safe for use by several threads: scores lie in shards by worker, queues and budgets
 * are kept for each class, each under its own lock, and capacity is charged in {@link CapacityLedger}.
 *
 * <p>Invariants: a request is only given to a worker on which its capacity was reserved, in a zone that takes work, and
 * only while the configuration is fresh enough; a request that waits is granted capacity at most once.
 *
 * <pre>{@code
 * switch (router.arrive(request)) {
 *     case Decision.Send send -> ...
 * }
 * }</pre>
 */
public final class Router {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TimeSource time;
    private final CapacityLedger accounts;
    private final Supplier<Configuration> configuration;
    private final Supplier<Freshness> freshness;
    private final Supplier<List<PeerSlots>> peers;
    private final RandomGenerator random;
    private final RoutingOptions options;
    private final Selection selection;
    private final Map<String, ClassRoutes> classes = new ConcurrentHashMap<>();
    private final AtomicLong nextTicket = new AtomicLong();
    private volatile Candidates candidates = Candidates.NONE;

    /** Creates a router with the usual options. */
    public Router(
            TimeSource time,
            CapacityLedger accounts,
            Supplier<Configuration> configuration,
            Supplier<Freshness> freshness,
            Supplier<List<PeerSlots>> peers,
            RandomGenerator random) {
        this(time, accounts, configuration, freshness, peers, random, RoutingOptions.DEFAULT);
    }

    /**
     * Creates a router.
     *
     * @param peers free slots of live peers
     * @param random must be safe for use by several threads
     */
    public Router(
            TimeSource time,
            CapacityLedger accounts,
            Supplier<Configuration> configuration,
            Supplier<Freshness> freshness,
            Supplier<List<PeerSlots>> peers,
            RandomGenerator random,
            RoutingOptions options) {
        this.time = time;
        this.accounts = accounts;
        this.configuration = configuration;
        this.freshness = freshness;
        this.peers = peers;
        this.random = random;
        this.options = options;
        this.selection = new Selection(time, accounts, random, options.choice());
    }

    /** Decides on a request that has just arrived. */
    public Decision arrive(RouteRequest request) {
        ClassRoutes routes = routes(request);
        routes.budget().request();
        return decide(request, routes, Set.of());
    }

    /**
     * Decides on a request whose last try failed.
     *
     * @param tried workers that it was sent to already
     * @return refusal if the retry budget is spent
     */
    public Decision retry(RouteRequest request, Set<WorkerId> tried) {
        ClassRoutes routes = routes(request);
        if (options.retryBudget() && !routes.budget().tryRetry()) {
            return new Decision.Refuse("retry-budget-spent", RETRY_AFTER);
        }
        return decide(request, routes, tried);
    }

    /**
     * Whether a second copy of an idempotent request may be sent because the first is slow.
     *
     * @return the capacity for the copy; empty if the retry budget is spent or no other worker has room
     */
    public Optional<Reservation> hedge(RouteRequest request, WorkerId first) {
        ClassRoutes routes = routes(request);
        if (!request.idempotent() || !freshness.get().allowsStarts()) {
            return Optional.empty();
        }
        Optional<Reservation> hold = choose(routes, Set.of(first));
        if (hold.isPresent() && !routes.budget().tryRetry()) {
            accounts.release(hold.get());
            return Optional.empty();
        }
        hold.ifPresent(_ -> routes.began());
        return hold;
    }

    /**
     * Takes the result of a request and gives its capacity back unless the request was lost: the endpoint may still be
     * running it, so its capacity stays charged until {@link #settle}.
     *
     * @return grants for requests that waited for the capacity
     */
    public List<Grant> finished(RouteRequest request, Reservation hold, SendResult result) {
        ClassRoutes routes = routes(request);
        routes.ended();
        learn(routes, hold.worker(), result);
        return switch (result) {
            case SendResult.Answered _, SendResult.NotSent _ -> settle(hold);
            case SendResult.Lost _ -> List.of();
        };
    }

    /** Gives capacity back, of a lost request once it must have ended; returns grants that this makes possible. */
    public List<Grant> settle(Reservation hold) {
        accounts.release(hold);
        return roomChanged();
    }

    /** Tells that a waiting request has taken its grant. */
    public void taken(RouteRequest request, long ticket) {
        routes(request).queue().taken(ticket);
    }

    /** Ends the wait of a request; returns grants that its unused capacity makes possible. */
    public List<Grant> abandon(RouteRequest request, long ticket) {
        ClassRoutes routes = routes(request);
        Optional<Reservation> unused = routes.queue().abandon(ticket);
        if (unused.isEmpty()) {
            return List.of();
        }
        routes.ended();
        accounts.release(unused.get());
        return roomChanged();
    }

    /** Looks for capacity for waiting requests; to be called when workers were gained or zones were taken in. */
    public List<Grant> roomChanged() {
        List<Grant> grants = new ArrayList<>();
        if (!freshness.get().allowsStarts()) {
            return grants;
        }
        for (ClassRoutes routes : classes.values()) {
            Optional<Grant> grant = routes.queue().grant(_ -> choose(routes, Set.of()));
            while (grant.isPresent()) {
                routes.began();
                grants.add(grant.get());
                grant = routes.queue().grant(_ -> choose(routes, Set.of()));
            }
        }
        return grants;
    }

    /** Requests of the class that wait for room. */
    public int waiting(String workClass) {
        ClassRoutes routes = classes.get(workClass);
        return routes == null ? 0 : routes.queue().length();
    }

    /** The class's usual latency; empty before any request of it. */
    public Optional<Duration> usualLatency(String workClass) {
        ClassRoutes routes = classes.get(workClass);
        return routes == null ? Optional.empty() : Optional.of(Duration.ofNanos((long) routes.usual()));
    }

    private Decision decide(RouteRequest request, ClassRoutes routes, Set<WorkerId> tried) {
        long now = time.nanos();
        if (request.deadline() - now <= 0) {
            return new Decision.Refuse("deadline-passed", RETRY_AFTER);
        }
        if (!freshness.get().allowsStarts()) {
            return new Decision.Refuse("configuration-stale", RETRY_AFTER);
        }
        if (routes.queue().length() == 0) {
            Optional<Reservation> hold = choose(routes, tried);
            if (hold.isPresent()) {
                routes.began();
                return new Decision.Send(hold.get(), "chosen");
            }
        }
        if (!request.forwarded()) {
            Optional<Decision> forward = forward();
            if (forward.isPresent()) {
                return forward.get();
            }
        }
        return enqueue(request, routes, now);
    }

    private Decision enqueue(RouteRequest request, ClassRoutes routes, long now) {
        if (candidates().workers().isEmpty()) {
            return new Decision.Refuse("no-worker", RETRY_AFTER);
        }
        double needed = routes.expectedWait() + routes.usual();
        if (now + needed > request.deadline()) {
            return new Decision.Refuse("deadline-cannot-be-met", RETRY_AFTER);
        }
        long ticket = nextTicket.incrementAndGet();
        if (!routes.queue().add(ticket, request)) {
            return new Decision.Refuse("queue-full", RETRY_AFTER);
        }
        return new Decision.Wait(ticket, "all-slots-in-use");
    }

    private Optional<Decision> forward() {
        List<PeerSlots> open =
                peers.get().stream().filter(peer -> peer.free() > 0).toList();
        int total = open.stream().mapToInt(PeerSlots::free).sum();
        if (total == 0) {
            return Optional.empty();
        }
        // A choice weighted by free slots keeps several daemons from sending to the same peer between heartbeats.
        int point = random.nextInt(total);
        for (PeerSlots peer : open) {
            point -= peer.free();
            if (point < 0) {
                return Optional.of(new Decision.Forward(peer.peer(), "no-local-room"));
            }
        }
        return Optional.empty();
    }

    private Optional<Reservation> choose(ClassRoutes routes, Set<WorkerId> tried) {
        return selection.choose(routes, candidates().workers(), tried);
    }

    private void learn(ClassRoutes routes, Worker worker, SendResult result) {
        long now = time.nanos();
        switch (result) {
            case SendResult.Answered answered -> {
                if (answered.status() < 500) {
                    long nanos = answered.latency().toNanos();
                    routes.answered(nanos);
                    routes.scores().with(worker, now, score -> {
                        score.answered(nanos, routes.bound(), now);
                        return null;
                    });
                } else {
                    failed(routes, worker, now);
                }
            }
            case SendResult.NotSent _, SendResult.Lost _ -> failed(routes, worker, now);
        }
    }

    private void failed(ClassRoutes routes, Worker worker, long now) {
        boolean eject = routes.scores().with(worker, now, score -> score.failed(routes.bound(), now));
        if (!eject) {
            return;
        }
        List<Worker> workers = candidates().workers();
        long out = workers.stream()
                .filter(other -> routes.scores().with(other, now, score -> score.ejected(now)))
                .count();
        // With more than half ejected the fault is more likely in the class or the network than in the workers.
        if (2 * (out + 1) <= workers.size()) {
            routes.scores().with(worker, now, score -> {
                score.eject(now);
                return null;
            });
        }
    }

    private Candidates candidates() {
        Candidates known = candidates;
        long version = accounts.version();
        Configuration config = configuration.get();
        if (known.current(version, config.version())) {
            return known;
        }
        Candidates fresh = Candidates.of(version, config, accounts.available());
        for (WorkerId gone : known.missingIn(fresh)) {
            classes.values().forEach(routes -> routes.scores().forget(gone));
        }
        candidates = fresh;
        return fresh;
    }

    private ClassRoutes routes(RouteRequest request) {
        ClassRoutes routes = classes.computeIfAbsent(request.work().name(), _ -> new ClassRoutes(request.work()));
        routes.update(request.work());
        return routes;
    }
}
