package org.chestnutbarrow.bench;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * Sends requests at the times of a seeded Poisson process, whether or not earlier ones were answered, and measures from
 * the intended times, so that a stalled system cannot hide its latency (coordinated omission). One use only; started
 * and read by one thread.
 */
public final class LoadGenerator {
    private static final Duration EXTRA = Duration.ofSeconds(2);
    private static final long MAX_MICROS = Duration.ofMinutes(1).toNanos() / 1000;
    private static final int DIGITS = 3;
    private static final int MAX_FAILURES = 50;

    private final HttpClient http;
    private final List<Address> daemons;
    private final LoadSpec spec;
    private final Map<String, AtomicLong> outcomes = new ConcurrentHashMap<>();
    private final Set<String> refused = ConcurrentHashMap.newKeySet();
    private final Set<String> nonIdempotent = ConcurrentHashMap.newKeySet();
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final Histogram latency = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong wrong = new AtomicLong();

    /**
     * Creates a load.
     *
     * @param daemons where requests are sent in turn; one that refuses connections is passed over, as a balancer does
     */
    public LoadGenerator(HttpClient http, List<Address> daemons, LoadSpec spec) {
        this.http = http;
        this.daemons = List.copyOf(daemons);
        this.spec = spec;
    }

    /** Sends all requests and waits for the last answer. */
    public LoadResult run() throws InterruptedException {
        Random random = new Random(spec.seed());
        long start = System.nanoTime();
        long end = start + spec.duration().toNanos();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            double at = start;
            for (long i = 0; ; i++) {
                at += -Math.log(1 - random.nextDouble()) / spec.perSecond() * 1e9;
                if (at > end) {
                    break;
                }
                long due = (long) at;
                boolean once = random.nextDouble() < spec.nonIdempotent();
                sleepUntil(due);
                long number = i;
                threads.execute(() -> send(number, due, once));
            }
        }
        return result();
    }

    /** What has been seen so far; may be called while the load runs. */
    public LoadResult result() {
        Map<String, Long> counts = new ConcurrentHashMap<>();
        outcomes.forEach((outcome, count) -> counts.put(outcome, count.get()));
        return new LoadResult(
                sent.get(),
                counts,
                wrong.get(),
                Set.copyOf(refused),
                Set.copyOf(nonIdempotent),
                failures.stream().limit(MAX_FAILURES).toList(),
                latency.copy());
    }

    private static void sleepUntil(long due) throws InterruptedException {
        long left = due - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            left = due - System.nanoTime();
        }
    }

    private void send(long number, long due, boolean once) {
        String id = System.currentTimeMillis() + "-" + spec.seed() + "x" + number;
        Headers headers = Headers.of("Chestnutbarrow-Request-Id", id)
                .with("Chestnutbarrow-Idempotent", String.valueOf(!once))
                .with(
                        "Chestnutbarrow-Deadline-Ms",
                        String.valueOf(spec.deadline().toMillis()));
        if (once) {
            nonIdempotent.add(id);
        }
        HttpRequest request = new HttpRequest("POST", "/" + spec.workClass() + "/" + number, headers, new byte[] {'x'});
        sent.incrementAndGet();
        for (int i = 0; i < daemons.size(); i++) {
            if (sendTo(daemons.get((int) ((number + i) % daemons.size())), id, due, request)) {
                return;
            }
        }
        count("unreachable");
    }

    /** Sends a request to one daemon; returns false if nothing was sent, so that the next one may be tried. */
    private boolean sendTo(Address daemon, String id, long due, HttpRequest request) {
        try {
            take(id, daemon, due, http.send(daemon, request, spec.deadline().plus(EXTRA)));
            return true;
        } catch (NotRunException e) {
            return false;
        } catch (OutcomeUnknownException e) {
            count("no-answer");
            recordFailure(id, daemon, due, "no-answer", e.getMessage());
            return true;
        }
    }

    private void take(String id, Address daemon, long due, HttpResponse response) {
        String outcome = response.headers().first("Chestnutbarrow-Outcome").orElse("none");
        count(outcome);
        if (outcome.equals("ran")) {
            latency.recordValue(Math.min(MAX_MICROS, Math.max(0, (System.nanoTime() - due) / 1000)));
            if (!response.text().contains("\"" + id + "\"")) {
                wrong.incrementAndGet();
            }
        } else if (outcome.equals("not-run")) {
            refused.add(id);
        }
        if (!outcome.equals("ran")) {
            recordFailure(
                    id,
                    daemon,
                    due,
                    outcome,
                    response.status() + " " + response.text().strip());
        }
    }

    private void recordFailure(String id, Address daemon, long due, String outcome, String reason) {
        long micros = (System.nanoTime() - due) / 1000;
        failures.add(String.format(
                Locale.ROOT,
                "%s at %s: %s %d ms after it was due, %d: %s",
                id,
                daemon,
                outcome,
                micros / 1000,
                System.currentTimeMillis(),
                reason));
    }

    private void count(String outcome) {
        outcomes.computeIfAbsent(outcome, _ -> new AtomicLong()).incrementAndGet();
    }
}
