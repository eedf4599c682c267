package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.Outcome;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.routing.RoutingRequest;

/**
 * Takes interactive requests from callers and peers: reads the headers, makes receipts, and marks each answer with its
 * outcome. Safe for use by several threads.
 */
final class RequestFront {
    static final String OUTCOME = "Chestnutbarrow-Outcome";
    static final String REQUEST_ID = "Chestnutbarrow-Request-Id";
    private static final String WORKER = "Chestnutbarrow-Worker";
    private static final String REASON = "Chestnutbarrow-Reason";
    private static final String IDEMPOTENT = "Chestnutbarrow-Idempotent";
    private static final String DEADLINE = "Chestnutbarrow-Deadline-Ms";
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
    private static final int DEADLINE_FACTOR = 4;
    private static final Duration MIN_DEADLINE = Duration.ofSeconds(1);

    private final RequestRunner runner;
    private final Receipts receipts;
    private final Supplier<Configuration> configuration;
    private final TimeSource time;
    private final RequestLog log;

    RequestFront(
            RequestRunner runner,
            Receipts receipts,
            Supplier<Configuration> configuration,
            TimeSource time,
            RequestLog log) {
        this.runner = runner;
        this.receipts = receipts;
        this.configuration = configuration;
        this.time = time;
        this.log = log;
    }

    /** Answers a caller's request. */
    HttpResponse handle(HttpRequest message) throws InterruptedException {
        long start = time.nanos();
        Optional<String> givenId = message.headers().first(REQUEST_ID);
        String id = givenId.orElseGet(() -> RequestIds.next(time.now()));
        Optional<WorkClass> work = workClass(message);
        if (work.isEmpty()) {
            return refuse(404, id, "no interactive class has this name; ask the operators or check the path");
        }
        RoutingRequest request;
        boolean receipted;
        try {
            checkId(givenId);
            request = read(message, work.get(), id, start);
            receipted = givenId.isPresent() && !request.idempotent();
            if (receipted) {
                Optional<HttpResponse> refusal = makeReceipt(id);
                if (refusal.isPresent()) {
                    log.refused(
                            work.get().name(),
                            refusal.get().headers().first(OUTCOME).orElse(""));
                    return refusal.get();
                }
            }
        } catch (InvalidInputException e) {
            return refuse(400, id, e.getMessage());
        }
        Exchange exchange = runner.run(request, message);
        if (receipted && exchange.isNotRun()) {
            exchange = exchange.withNewIdAdvice();
        }
        log.decided(request, exchange, time.nanos() - start);
        HttpResponse response = mark(exchange.response(), exchange.outcome(), id);
        return exchange.worker().isEmpty() ? response : response.with(WORKER, exchange.worker());
    }

    /** Answers a request that a peer forwarded; its receipt was made there. */
    PeerMessage forwarded(PeerMessage.ForwardRequest ask) throws InterruptedException {
        Optional<WorkClass> work =
                configuration.get().workClass(ask.workClass()).filter(WorkClass::interactive);
        if (work.isEmpty()) {
            Exchange refused = Exchange.notRun("class " + ask.workClass() + " is not known at the peer");
            return RequestRunner.response(refused);
        }
        long deadline = time.nanos() + ask.timeout().toNanos();
        return runner.runForwarded(
                ask, new RoutingRequest(ask.requestId(), work.get(), ask.idempotent(), deadline, true));
    }

    /** Ids go into log lines, receipts and headers, so their form and length are bounded. */
    private static void checkId(Optional<String> id) throws InvalidInputException {
        try {
            id.ifPresent(text -> Checks.identifier("request id", text));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage(), "use the form <epochMillis>-<random>", e);
        }
    }

    private Optional<WorkClass> workClass(HttpRequest message) {
        String path = message.path();
        int end = path.indexOf('/', 1);
        String name = end < 0 ? path.substring(1) : path.substring(1, end);
        return configuration.get().workClass(name).filter(WorkClass::interactive);
    }

    private RoutingRequest read(HttpRequest message, WorkClass work, String id, long start)
            throws InvalidInputException {
        if (id.isEmpty()) {
            throw new InvalidInputException(
                    REQUEST_ID + " is empty", "leave it out or use the form <epochMillis>-<random>");
        }
        boolean idempotent = IDEMPOTENT_METHODS.contains(message.method());
        Optional<String> stated = message.headers().first(IDEMPOTENT);
        if (stated.isPresent()) {
            idempotent = switch (stated.get()) {
                case "true" -> true;
                case "false" -> false;
                default -> throw new InvalidInputException(IDEMPOTENT + " has another value", "send true or false");
            };
        }
        return new RoutingRequest(
                id, work, idempotent, start + deadline(message, work).toNanos(), false);
    }

    private static Duration deadline(HttpRequest message, WorkClass work) throws InvalidInputException {
        Optional<String> stated = message.headers().first(DEADLINE);
        if (stated.isPresent()) {
            return parseDeadline(stated.get());
        }
        Duration bound = switch (work.target()) {
            case Target.TailLatency latency -> latency.bound();
            case Target.FinishBy _, Target.AlwaysOn _ -> MIN_DEADLINE;
        };
        Duration usual = bound.multipliedBy(DEADLINE_FACTOR);
        Duration atLeast = usual.compareTo(MIN_DEADLINE) < 0 ? MIN_DEADLINE : usual;
        return atLeast.compareTo(RequestRunner.REQUEST_TIME) > 0 ? RequestRunner.REQUEST_TIME : atLeast;
    }

    private static Duration parseDeadline(String text) throws InvalidInputException {
        long max = RequestRunner.REQUEST_TIME.toMillis();
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= max) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException e) {
            throw new InvalidInputException(DEADLINE + " is not a number", "send milliseconds from 1 to " + max, e);
        }
        throw new InvalidInputException(DEADLINE + " is out of range", "send milliseconds from 1 to " + max);
    }

    /** Makes the receipt; returns the answer to send instead if the request must not run. */
    private Optional<HttpResponse> makeReceipt(String id) throws InvalidInputException {
        Instant taken = RequestIds.check(id, time.now());
        try {
            if (!receipts.known(id) && receipts.make(id, taken)) {
                log.receipt("made");
                return Optional.empty();
            }
            log.receipt("repeated");
            Events.info("request-repeated", "request", id);
            HttpResponse response = HttpResponse.text(
                    409, "a request with this id was taken before; ask for its effect before using a new id\n");
            return Optional.of(mark(response, new Outcome.Unknown("taken-before"), id));
        } catch (NotRunException e) {
            log.receipt("refused");
            Events.warn("receipt-not-made", "request", id, "cause", e.getMessage());
            Exchange refused = Exchange.notRun("no receipt can be made now");
            return Optional.of(mark(refused.response(), refused.outcome(), id));
        }
    }

    private static HttpResponse refuse(int status, String id, String why) {
        return mark(HttpResponse.text(status, why + "\n"), new Outcome.NotRun("refused"), id);
    }

    private static HttpResponse mark(HttpResponse response, Outcome outcome, String id) {
        HttpResponse marked = response.with(OUTCOME, outcome.label());
        marked = switch (outcome) {
            case Outcome.Ran _ -> marked;
            case Outcome.NotRun notRun -> marked.with(REASON, plain(notRun.reason()));
            case Outcome.Unknown unknown -> marked.with(REASON, plain(unknown.reason()));
        };
        return marked.with(REQUEST_ID, plain(id));
    }

    /** The text without characters that may not stand in a header value. */
    private static String plain(String text) {
        return text.replaceAll("[^ -~]", "?");
    }
}
