package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.routing.Router;
import org.chestnutbarrow.routing.RoutingDecision;
import org.chestnutbarrow.routing.RoutingRequest;
import org.chestnutbarrow.routing.SendResult;

/**
 * Carries out the router's decisions on one request after the other: sends, waits, forwards and retries. Safe for use by
 * several threads; a call blocks until the request has an outcome.
 *
 * <p>Invariants: a non-idempotent request is sent again only if no byte of the last try was written; the lease, the
 * zone and the freshness of the configuration are checked right before the first byte.
 */
final class RequestRunner {
    /** Longest time that an endpoint may take for a request whose answer was given up. */
    static final Duration REQUEST_TIME = Duration.ofSeconds(10);

    private static final int MAX_TRIES = 3;
    private static final Duration HOP_TIME = Duration.ofMillis(50);

    private final Router router;
    private final CapacityLedger accounts;
    private final Supplier<Configuration> configuration;
    private final Supplier<Freshness> freshness;
    private final HttpClient endpoints;
    private final PeerLink peers;
    private final TimeSource time;
    private final ScheduledExecutorService timer;
    private final Waiters waiters;
    private final Metrics metrics;

    RequestRunner(
            Router router,
            CapacityLedger accounts,
            Supplier<Configuration> configuration,
            Supplier<Freshness> freshness,
            HttpClient endpoints,
            PeerLink peers,
            TimeSource time,
            ScheduledExecutorService timer,
            Waiters waiters,
            Metrics metrics) {
        this.router = router;
        this.accounts = accounts;
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
        Set<WorkerId> tried = new HashSet<>();
        RequestResult last = carryOut(request, message, router.route(request), tried);
        for (int tries = 1; tries < MAX_TRIES && mayRetry(request, last, tried); tries++) {
            RoutingDecision decision = router.retry(request, tried);
            if (decision instanceof RoutingDecision.Refuse) {
                return last;
            }
            metrics.retry(request.workClass().name());
            RequestResult next = carryOut(request, message, decision, tried);
            // An earlier try may have run, whatever became of this one.
            boolean mayHaveRun = last.outcome() instanceof Outcome.Unknown;
            last = mayHaveRun && next.isNotRun() ? last : next;
        }
        return last;
    }

    private boolean mayRetry(RoutingRequest request, RequestResult last, Set<WorkerId> tried) {
        if (request.deadline() - time.nanos() <= 0) {
            return false;
        }
        return switch (last.outcome()) {
            case Outcome.Ran _ -> false;
            case Outcome.NotRun _ -> !tried.isEmpty();
            case Outcome.Unknown _ -> request.idempotent();
        };
    }

    private RequestResult carryOut(
            RoutingRequest request, HttpRequest message, RoutingDecision decision, Set<WorkerId> tried)
            throws InterruptedException {
        return switch (decision) {
            case RoutingDecision.Send send -> send(request, message, send.hold(), send.reason(), tried);
            case RoutingDecision.Wait wait -> await(request, message, wait, tried);
            case RoutingDecision.Forward forward -> forward(request, message, forward, tried);
            case RoutingDecision.Refuse refuse -> RequestResult.notRun(refuse.reason());
        };
    }

    private RequestResult await(
            RoutingRequest request, HttpRequest message, RoutingDecision.Wait wait, Set<WorkerId> tried)
            throws InterruptedException {
        Duration left = Duration.ofNanos(Math.max(0, request.deadline() - time.nanos()));
        Optional<Reservation> hold = waiters.await(wait.ticket(), left);
        if (hold.isEmpty()) {
            waiters.wake(router.cancelWait(request, wait.ticket()));
            return RequestResult.notRun("no-room-before-deadline");
        }
        router.confirmGrant(request, wait.ticket());
        return send(request, message, hold.get(), wait.reason(), tried);
    }

    private RequestResult send(
            RoutingRequest request, HttpRequest message, Reservation hold, String reason, Set<WorkerId> tried) {
        Worker worker = hold.worker();
        tried.add(worker.id());
        long start = time.nanos();
        Duration left = Duration.ofNanos(Math.max(1, request.deadline() - start));
        HttpRequest stamped = new HttpRequest(
                message.method(),
                message.target(),
                message.headers()
                        .with("Chestnutbarrow-Epoch", String.valueOf(hold.epoch()))
                        .with("Chestnutbarrow-Request-Id", request.id()),
                message.body());
        try {
            HttpResponse response = endpoints.send(worker.endpoint(), stamped, left, () -> check(worker, hold.epoch()));
            Duration took = Duration.ofNanos(time.nanos() - start);
            return answered(request, hold, response, took, reason);
        } catch (NotRunException e) {
            waiters.wake(router.complete(request, hold, new SendResult.NotSent()));
            return RequestResult.notRun(e.getMessage());
        } catch (OutcomeUnknownException e) {
            Duration took = Duration.ofNanos(time.nanos() - start);
            return lost(request, hold, took, e.getMessage());
        }
    }

    /** Ends a try that the endpoint may still be serving: its capacity stays charged until it must have ended. */
    private RequestResult lost(RoutingRequest request, Reservation hold, Duration took, String why) {
        waiters.wake(router.complete(request, hold, new SendResult.Lost(took)));
        timer.schedule(
                () -> waiters.wake(router.releaseCapacity(hold)), REQUEST_TIME.toMillis(), TimeUnit.MILLISECONDS);
        Worker worker = hold.worker();
        return RequestResult.unknown(worker.id().value(), worker.zone().value(), why);
    }

    private RequestResult answered(
            RoutingRequest request, Reservation hold, HttpResponse response, Duration took, String reason) {
        Worker worker = hold.worker();
        Optional<String> echoed = response.headers().first("Chestnutbarrow-Request-Id");
        if (echoed.isPresent() && !echoed.get().equals(request.id())) {
            // The connection is out of step: what it carries next may be the answer to this request.
            endpoints.closeIdle(worker.endpoint());
            return lost(request, hold, took, "the answer belongs to another request");
        }
        waiters.wake(router.complete(request, hold, new SendResult.Answered(took, response.status())));
        if (response.status() == 412
                && response.headers().first("Chestnutbarrow-Stale").isPresent()) {
            return RequestResult.notRun("lease-taken-over");
        }
        return RequestResult.ran(response, worker.id().value(), worker.zone().value(), reason);
    }

    /** The last check before the first byte; also finds out that this process was paused. */
    private void check(Worker worker, long epoch) throws NotRunException {
        if (!accounts.holdsLease(worker.id(), epoch)) {
            throw new NotRunException("lease of worker " + worker.id() + " has lapsed", "send it again");
        }
        if (!freshness.get().allowsStarts()) {
            throw new NotRunException("configuration is stale", "send it again");
        }
        if (!configuration.get().startsAllowed(worker.zone())) {
            throw new NotRunException("zone " + worker.zone() + " was taken out", "send it again");
        }
    }

    private RequestResult forward(
            RoutingRequest request, HttpRequest message, RoutingDecision.Forward forward, Set<WorkerId> tried)
            throws InterruptedException {
        Duration left = Duration.ofNanos(Math.max(1, request.deadline() - time.nanos()));
        PeerMessage.ForwardRequest ask = new PeerMessage.ForwardRequest(
                request.workClass().name(),
                request.id(),
                request.idempotent(),
                left,
                message.method(),
                message.target(),
                flatten(message.headers()),
                message.body());
        String via = forward.reason() + ":" + forward.peer();
        metrics.forward(request.workClass().name());
        RequestResult answer = call(forward.peer(), ask, left.plus(HOP_TIME), via);
        if (answer.isNotRun() && request.deadline() - time.nanos() > 0) {
            RoutingRequest local = new RoutingRequest(
                    request.id(), request.workClass(), request.idempotent(), request.deadline(), true);
            return carryOut(local, message, router.route(local), tried);
        }
        return answer;
    }

    private RequestResult call(DaemonId peer, PeerMessage.ForwardRequest ask, Duration timeout, String via) {
        try {
            PeerMessage answer = peers.call(peer, ask, timeout);
            if (!(answer instanceof PeerMessage.ForwardResponse response)) {
                return RequestResult.unknown("", "", "peer " + peer + " failed while it ran the request");
            }
            HttpResponse http = new HttpResponse(response.status(), unflatten(response.headers()), response.body());
            return switch (response.outcome()) {
                case "ran" -> RequestResult.ran(http, response.worker(), "", via);
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
    PeerMessage runForwarded(PeerMessage.ForwardRequest ask, RoutingRequest request) throws InterruptedException {
        HttpRequest message = new HttpRequest(ask.method(), ask.target(), unflatten(ask.headers()), ask.body());
        return response(run(request, message));
    }

    /** An outcome as it is sent to the daemon that forwarded the request. */
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

    private static Headers unflatten(List<String> flat) {
        List<Headers.Field> fields = new ArrayList<>();
        for (int i = 0; i + 1 < flat.size(); i += 2) {
            fields.add(new Headers.Field(flat.get(i), flat.get(i + 1)));
        }
        return new Headers(fields);
    }
}
