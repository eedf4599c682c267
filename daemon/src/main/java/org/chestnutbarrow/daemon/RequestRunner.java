package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.routing.Router;
import org.chestnutbarrow.routing.RoutingDecision;
import org.chestnutbarrow.routing.RoutingRequest;
import org.chestnutbarrow.routing.SendResult;
import org.chestnutbarrow.routing.Tried;

/**
 * Executes the router's decisions on a request: sends, waits, forwards and retries. Safe for use by several threads; a
 * call blocks until the request has an outcome.
 *
 * <p>Invariants: a non-idempotent request is retried only if no byte of the previous attempt was written or the
 * endpoint rejected the request as stale (status 412 with the header Chestnutbarrow-Stale); the lease, the zone and the
 * freshness of the configuration are checked immediately before the first byte is written.
 */
final class RequestRunner {
    /** Maximum time that an endpoint may continue to process a request whose response is no longer awaited. */
    static final Duration MAX_REQUEST_TIME = Duration.ofSeconds(10);

    private static final int MAX_ATTEMPTS = 3;
    private static final Duration FORWARD_OVERHEAD = Duration.ofMillis(50);

    private final Router router;
    private final CapacityLedger ledger;
    private final Supplier<Configuration> configuration;
    private final Supplier<Freshness> freshness;
    private final HttpClient endpoints;
    private final PeerLink peers;
    private final TimeSource time;
    private final ScheduledExecutorService timer;
    private final CapacityWaiters waiters;
    private final Metrics metrics;

    RequestRunner(
            Router router,
            CapacityLedger ledger,
            Supplier<Configuration> configuration,
            Supplier<Freshness> freshness,
            HttpClient endpoints,
            PeerLink peers,
            TimeSource time,
            ScheduledExecutorService timer,
            CapacityWaiters waiters,
            Metrics metrics) {
        this.router = router;
        this.ledger = ledger;
        this.configuration = configuration;
        this.freshness = freshness;
        this.endpoints = endpoints;
        this.peers = peers;
        this.time = time;
        this.timer = timer;
        this.waiters = waiters;
        this.metrics = metrics;
    }

    /** Runs a request to its outcome. */
    RequestResult run(RoutingRequest request, HttpRequest message) throws InterruptedException {
        Attempts attempts = new Attempts();
        RequestResult last = execute(request, message, router.route(request), attempts);
        for (int count = 1; count < MAX_ATTEMPTS && mayRetry(request, last, attempts); count++) {
            RoutingDecision decision =
                    last.isNotRun() ? router.reroute(request, attempts.tried) : router.retry(request, attempts.tried);
            if (decision instanceof RoutingDecision.Refuse refuse) {
                Events.info("retry-refused", "request", request.id(), "reason", refuse.reason());
                return last;
            }
            metrics.recordRetry(request.workClass().name());
            Events.info("request-retried", "request", request.id(), "after", last.reason(), "tried", attempts.tried);
            RequestResult next = execute(request, message, decision, attempts);
            // An earlier attempt may have run, whatever the outcome of this one.
            boolean mayHaveRun = last.outcome() instanceof Outcome.Unknown;
            last = mayHaveRun && next.isNotRun() ? last : next;
        }
        return last;
    }

    private boolean mayRetry(RoutingRequest request, RequestResult last, Attempts attempts) {
        if (request.deadline() - time.nanos() <= 0) {
            return false;
        }
        return switch (last.outcome()) {
            case Outcome.Ran _ -> false;
            case Outcome.NotRun _ -> !attempts.tried.workers().isEmpty();
            case Outcome.Unknown _ -> request.idempotent();
        };
    }

    private RequestResult execute(
            RoutingRequest request, HttpRequest message, RoutingDecision decision, Attempts attempts)
            throws InterruptedException {
        return switch (decision) {
            case RoutingDecision.Send send -> send(request, message, send.reservation(), send.reason(), attempts);
            case RoutingDecision.Wait wait -> await(request, message, wait, attempts);
            case RoutingDecision.Forward forward -> forward(request, message, forward, attempts);
            case RoutingDecision.Refuse refuse -> RequestResult.notRun(refuse.reason());
        };
    }

    private RequestResult await(
            RoutingRequest request, HttpRequest message, RoutingDecision.Wait wait, Attempts attempts)
            throws InterruptedException {
        Duration remaining = Duration.ofNanos(Math.max(0, request.deadline() - time.nanos()));
        Optional<Reservation> reservation = waiters.await(wait.ticket(), remaining);
        if (reservation.isEmpty()) {
            waiters.wake(router.cancelWait(request, wait.ticket()));
            return request.deadline() - time.nanos() > 0
                    ? execute(request, message, router.reroute(request, attempts.tried), attempts)
                    : RequestResult.notRun("no-room-before-deadline");
        }
        router.confirmGrant(request, wait.ticket());
        return send(request, message, reservation.get(), wait.reason(), attempts);
    }

    private RequestResult send(
            RoutingRequest request, HttpRequest message, Reservation reservation, String reason, Attempts attempts) {
        Worker worker = reservation.worker();
        attempts.tried = attempts.tried.with(worker.id());
        long start = time.nanos();
        Duration remaining = Duration.ofNanos(Math.max(1, request.deadline() - start));
        HttpRequest outgoing = new HttpRequest(
                message.method(),
                message.target(),
                message.headers()
                        .with("Chestnutbarrow-Epoch", String.valueOf(reservation.epoch()))
                        .with("Chestnutbarrow-Request-Id", request.id()),
                message.body());
        try {
            HttpResponse response = endpoints.send(
                    worker.endpoint(), outgoing, remaining, () -> checkMaySend(worker, reservation.epoch()));
            Duration elapsed = Duration.ofNanos(time.nanos() - start);
            return onResponse(request, reservation, response, elapsed, reason);
        } catch (NotRunException e) {
            waiters.wake(router.complete(request, reservation, new SendResult.NotSent()));
            return RequestResult.notRun(e.getMessage());
        } catch (OutcomeUnknownException e) {
            Duration elapsed = Duration.ofNanos(time.nanos() - start);
            return outcomeUnknown(request, reservation, elapsed, e.getMessage());
        }
    }

    /** Ends an attempt that the endpoint may still process; its capacity is freed after {@link #MAX_REQUEST_TIME}. */
    private RequestResult outcomeUnknown(
            RoutingRequest request, Reservation reservation, Duration elapsed, String reason) {
        waiters.wake(router.complete(request, reservation, new SendResult.Lost(elapsed)));
        timer.schedule(
                () -> waiters.wake(router.releaseCapacity(reservation)),
                MAX_REQUEST_TIME.toMillis(),
                TimeUnit.MILLISECONDS);
        Worker worker = reservation.worker();
        return RequestResult.unknown(worker.id().value(), worker.zone().value(), reason);
    }

    private RequestResult onResponse(
            RoutingRequest request, Reservation reservation, HttpResponse response, Duration elapsed, String reason) {
        Worker worker = reservation.worker();
        Optional<String> echoed = response.headers().first("Chestnutbarrow-Request-Id");
        if (echoed.isPresent() && !echoed.get().equals(request.id())) {
            // Responses on the connection are out of order: its next response may be the one to this request.
            endpoints.closeIdle(worker.endpoint());
            return outcomeUnknown(request, reservation, elapsed, "the response belongs to another request");
        }
        waiters.wake(router.complete(request, reservation, new SendResult.Answered(elapsed, response.status())));
        if (response.status() == 412
                && response.headers().first("Chestnutbarrow-Stale").isPresent()) {
            return RequestResult.notRun("lease-taken-over");
        }
        return RequestResult.ran(response, worker.id().value(), worker.zone().value(), reason);
    }

    /** Checks the lease and configuration before the first byte is written; also detects a pause of this process. */
    private void checkMaySend(Worker worker, long epoch) throws NotRunException {
        if (!ledger.holdsLease(worker.id(), epoch)) {
            throw new NotRunException("lease of worker " + worker.id() + " has expired", "send the request again");
        }
        if (!freshness.get().allowsStarts()) {
            throw new NotRunException("configuration is stale", "send the request again");
        }
        if (!configuration.get().startsAllowed(worker.zone())) {
            throw new NotRunException("zone " + worker.zone() + " was taken out", "send the request again");
        }
    }

    private RequestResult forward(
            RoutingRequest request, HttpRequest message, RoutingDecision.Forward forward, Attempts attempts)
            throws InterruptedException {
        Duration remaining = Duration.ofNanos(Math.max(1, request.deadline() - time.nanos()));
        PeerMessage.ForwardRequest forwardRequest = new PeerMessage.ForwardRequest(
                request.workClass().name(),
                request.id(),
                request.idempotent(),
                remaining,
                message.method(),
                message.target(),
                flatten(message.headers()),
                message.body());
        String route = forward.reason() + ":" + forward.peer();
        metrics.recordForward(request.workClass().name());
        RequestResult result = callPeer(forward.peer(), forwardRequest, remaining.plus(FORWARD_OVERHEAD), route);
        attempts.tried = attempts.tried.with(forward.peer());
        return result.isNotRun() && request.deadline() - time.nanos() > 0
                ? execute(request, message, router.reroute(request, attempts.tried), attempts)
                : result;
    }

    private RequestResult callPeer(
            DaemonId peer, PeerMessage.ForwardRequest forwardRequest, Duration timeout, String route) {
        try {
            PeerMessage result = peers.call(peer, forwardRequest, timeout);
            if (!(result instanceof PeerMessage.ForwardResponse response)) {
                return RequestResult.unknown("", "", "peer " + peer + " failed while running the request");
            }
            HttpResponse http = new HttpResponse(response.status(), unflatten(response.headers()), response.body());
            return switch (response.outcome()) {
                case "ran" -> RequestResult.ran(http, response.worker(), "", route);
                case "not-run" -> RequestResult.notRun(response.reason());
                default -> RequestResult.unknown(response.worker(), "", response.reason());
            };
        } catch (NotRunException e) {
            return RequestResult.notRun(e.getMessage());
        } catch (OutcomeUnknownException e) {
            return RequestResult.unknown("", "", e.getMessage());
        }
    }

    /** Runs a request that a peer forwarded. */
    PeerMessage runForwarded(PeerMessage.ForwardRequest forwardRequest, RoutingRequest request)
            throws InterruptedException {
        HttpRequest message = new HttpRequest(
                forwardRequest.method(),
                forwardRequest.target(),
                unflatten(forwardRequest.headers()),
                forwardRequest.body());
        return response(run(request, message));
    }

    /** Returns the response to the daemon that forwarded the request. */
    static PeerMessage response(RequestResult exchange) {
        HttpResponse response = exchange.response();
        return new PeerMessage.ForwardResponse(
                exchange.outcome().label(),
                exchange.reason(),
                exchange.worker(),
                response.status(),
                flatten(response.headers()),
                response.body());
    }

    private static List<String> flatten(Headers headers) {
        List<String> result = new ArrayList<>();
        for (Headers.Field field : headers.fields()) {
            result.add(field.name());
            result.add(field.value());
        }
        return result;
    }

    private static Headers unflatten(List<String> flattened) {
        List<Headers.Field> fields = new ArrayList<>();
        for (int i = 0; i + 1 < flattened.size(); i += 2) {
            fields.add(new Headers.Field(flattened.get(i), flattened.get(i + 1)));
        }
        return new Headers(fields);
    }

    /** Where one request was tried; confined to the thread that runs the request. */
    private static final class Attempts {
        private Tried tried = Tried.NOWHERE;
    }
}
