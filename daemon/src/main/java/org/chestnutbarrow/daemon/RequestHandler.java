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
 * Handles interactive requests from callers and peers: parses the headers, creates receipts, and adds the outcome to
 * each response. Safe for use by several threads.
 */
final class RequestHandler {
    static final String OUTCOME_HEADER = "Chestnutbarrow-Outcome";
    static final String REQUEST_ID_HEADER = "Chestnutbarrow-Request-Id";
    private static final String WORKER_HEADER = "Chestnutbarrow-Worker";
    private static final String REASON_HEADER = "Chestnutbarrow-Reason";
    private static final String IDEMPOTENT_HEADER = "Chestnutbarrow-Idempotent";
    private static final String DEADLINE_HEADER = "Chestnutbarrow-Deadline-Ms";
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
    private static final int DEADLINE_BOUND_MULTIPLIER = 4;
    private static final Duration MIN_DEADLINE = Duration.ofSeconds(1);

    private final RequestRunner runner;
    private final ReceiptStore receipts;
    private final Supplier<Configuration> configuration;
    private final TimeSource time;
    private final RequestLog log;

    RequestHandler(
            RequestRunner runner,
            ReceiptStore receipts,
            Supplier<Configuration> configuration,
            TimeSource time,
            RequestLog log) {
        this.runner = runner;
        this.receipts = receipts;
        this.configuration = configuration;
        this.time = time;
        this.log = log;
    }

    /** Handles a caller's request. */
    HttpResponse handle(HttpRequest message) throws InterruptedException {
        long start = time.nanos();
        Optional<String> callerId = message.headers().first(REQUEST_ID_HEADER);
        String id = callerId.orElseGet(() -> RequestIds.generate(time.now()));
        Optional<WorkClass> workClass = workClass(message);
        if (workClass.isEmpty()) {
            return refusal(404, id, "no interactive class has this name; check the path or ask the operators");
        }
        RoutingRequest request;
        boolean needsReceipt;
        try {
            checkRequestId(callerId);
            request = parse(message, workClass.get(), id, start);
            needsReceipt = callerId.isPresent() && !request.idempotent();
            if (needsReceipt) {
                Optional<HttpResponse> refusal = createReceipt(id);
                if (refusal.isPresent()) {
                    log.refused(
                            workClass.get().name(),
                            refusal.get().headers().first(OUTCOME_HEADER).orElse(""));
                    return refusal.get();
                }
            }
        } catch (InvalidInputException e) {
            return refusal(400, id, e.getMessage());
        }
        RequestResult exchange = runner.run(request, message);
        if (needsReceipt && exchange.isNotRun()) {
            exchange = exchange.withNewIdAdvice();
        }
        log.completed(request, exchange, time.nanos() - start);
        HttpResponse response = withOutcome(exchange.response(), exchange.outcome(), id);
        return exchange.worker().isEmpty() ? response : response.with(WORKER_HEADER, exchange.worker());
    }

    /** Handles a request that a peer forwarded; the peer has created its receipt. */
    PeerMessage handleForwarded(PeerMessage.ForwardRequest forwardRequest) throws InterruptedException {
        Optional<WorkClass> workClass =
                configuration.get().workClass(forwardRequest.workClass()).filter(WorkClass::interactive);
        if (workClass.isEmpty()) {
            RequestResult refused =
                    RequestResult.notRun("class " + forwardRequest.workClass() + " is unknown to the peer");
            return RequestRunner.response(refused);
        }
        long deadline = time.nanos() + forwardRequest.timeout().toNanos();
        return runner.runForwarded(
                forwardRequest,
                new RoutingRequest(
                        forwardRequest.requestId(), workClass.get(), forwardRequest.idempotent(), deadline, true));
    }

    /** Returns the response to a request that arrives while its connection is being closed. */
    static HttpResponse connectionClosing() {
        return HttpResponse.text(408, "not run: the connection was closing; send the request again\n")
                .with(OUTCOME_HEADER, new Outcome.NotRun("connection-closing").label())
                .with(REASON_HEADER, "connection-closing");
    }

    /** Checks the format and length of an id, which is written to log lines, receipts and headers. */
    private static void checkRequestId(Optional<String> id) throws InvalidInputException {
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

    private RoutingRequest parse(HttpRequest message, WorkClass workClass, String id, long start)
            throws InvalidInputException {
        if (id.isEmpty()) {
            throw new InvalidInputException(
                    REQUEST_ID_HEADER + " is empty", "omit it or use the form <epochMillis>-<random>");
        }
        boolean idempotent = IDEMPOTENT_METHODS.contains(message.method());
        Optional<String> header = message.headers().first(IDEMPOTENT_HEADER);
        if (header.isPresent()) {
            idempotent = switch (header.get()) {
                case "true" -> true;
                case "false" -> false;
                default ->
                    throw new InvalidInputException(IDEMPOTENT_HEADER + " has an invalid value", "send true or false");
            };
        }
        return new RoutingRequest(
                id, workClass, idempotent, start + deadline(message, workClass).toNanos(), false);
    }

    private static Duration deadline(HttpRequest message, WorkClass workClass) throws InvalidInputException {
        Optional<String> header = message.headers().first(DEADLINE_HEADER);
        if (header.isPresent()) {
            return parseDeadline(header.get());
        }
        Duration bound = switch (workClass.target()) {
            case Target.TailLatency latency -> latency.bound();
            case Target.FinishBy _, Target.AlwaysOn _ -> MIN_DEADLINE;
        };
        Duration scaledBound = bound.multipliedBy(DEADLINE_BOUND_MULTIPLIER);
        Duration defaultDeadline = scaledBound.compareTo(MIN_DEADLINE) < 0 ? MIN_DEADLINE : scaledBound;
        return defaultDeadline.compareTo(RequestRunner.MAX_REQUEST_TIME) > 0
                ? RequestRunner.MAX_REQUEST_TIME
                : defaultDeadline;
    }

    private static Duration parseDeadline(String text) throws InvalidInputException {
        long max = RequestRunner.MAX_REQUEST_TIME.toMillis();
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= max) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException e) {
            throw new InvalidInputException(
                    DEADLINE_HEADER + " is not a number", "send milliseconds from 1 to " + max, e);
        }
        throw new InvalidInputException(DEADLINE_HEADER + " is out of range", "send milliseconds from 1 to " + max);
    }

    /** Creates the receipt; returns the response to send instead if the request must not run. */
    private Optional<HttpResponse> createReceipt(String id) throws InvalidInputException {
        Instant receivedAt = RequestIds.check(id, time.now());
        try {
            if (!receipts.contains(id) && receipts.create(id, receivedAt)) {
                log.receiptResult("made");
                return Optional.empty();
            }
            log.receiptResult("repeated");
            Events.info("request-repeated", "request", id);
            HttpResponse response = HttpResponse.text(
                    409, "a request with this id was accepted before; check its effect before using a new id\n");
            return Optional.of(withOutcome(response, new Outcome.Unknown("taken-before"), id));
        } catch (NotRunException e) {
            log.receiptResult("refused");
            Events.warn("receipt-not-made", "request", id, "cause", e.getMessage());
            RequestResult refused = RequestResult.notRun("the receipt could not be stored");
            return Optional.of(withOutcome(refused.response(), refused.outcome(), id));
        }
    }

    private static HttpResponse refusal(int status, String id, String message) {
        return withOutcome(HttpResponse.text(status, message + "\n"), new Outcome.NotRun("refused"), id);
    }

    private static HttpResponse withOutcome(HttpResponse response, Outcome outcome, String id) {
        HttpResponse result = response.with(OUTCOME_HEADER, outcome.label());
        result = switch (outcome) {
            case Outcome.Ran _ -> result;
            case Outcome.NotRun notRun -> result.with(REASON_HEADER, sanitizeHeaderValue(notRun.reason()));
            case Outcome.Unknown unknown -> result.with(REASON_HEADER, sanitizeHeaderValue(unknown.reason()));
        };
        return result.with(REQUEST_ID_HEADER, sanitizeHeaderValue(id));
    }

    /** Replaces characters that are not allowed in a header value. */
    private static String sanitizeHeaderValue(String text) {
        return text.replaceAll("[^ -~]", "?");
    }
}
