package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/**
 * Passes calls on to a service under the disturbances in force. Thread-safe; the random numbers are guarded by the
 * monitor of their generator.
 */
final class DisturbedHandler implements HttpHandler {
    /** Longer than any caller waits for an answer. */
    private static final Duration NO_ANSWER = Duration.ofSeconds(20);

    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private record Active(Predicate<HttpRequest> scope, Disturbance disturbance) {}

    private final HttpHandler service;
    private final RandomGenerator random;
    private final List<Active> active = new CopyOnWriteArrayList<>();

    DisturbedHandler(HttpHandler service, RandomGenerator random) {
        this.service = service;
        this.random = random;
    }

    /** Disturbs the calls in scope until the returned action is run. */
    Runnable disturb(Predicate<HttpRequest> scope, Disturbance disturbance) {
        Active added = new Active(scope, disturbance);
        active.add(added);
        return () -> active.remove(added);
    }

    @Override
    public HttpResponse handle(HttpRequest request) throws Exception {
        return switch (fate(request)) {
            case CallFate.Answered(Duration delay) -> {
                Thread.sleep(delay);
                yield service.handle(request);
            }
            case CallFate.AnswerLost(Duration delay) -> {
                Thread.sleep(delay);
                service.handle(request);
                yield noAnswer();
            }
            case CallFate.Lost _ -> noAnswer();
            case CallFate.Refused _ -> HttpResponse.text(UNAVAILABLE, "");
        };
    }

    private CallFate fate(HttpRequest request) {
        List<Disturbance> inScope = active.stream()
                .filter(a -> a.scope().test(request))
                .map(Active::disturbance)
                .toList();
        if (inScope.isEmpty()) {
            return CallFate.NORMAL;
        }
        synchronized (random) {
            return CallFate.decide(inScope, random);
        }
    }

    private static HttpResponse noAnswer() throws InterruptedException {
        Thread.sleep(NO_ANSWER);
        return HttpResponse.text(GATEWAY_TIMEOUT, "");
    }
}
