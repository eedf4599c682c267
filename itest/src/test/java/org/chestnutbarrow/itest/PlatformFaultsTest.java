package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.bench.Journals;
import org.chestnutbarrow.bench.Judge;
import org.chestnutbarrow.bench.Observation;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/** A deployment with switchable faults of the platform, and what its tests share. Used by one thread. */
abstract class PlatformFaultsTest {
    /** Longest wait for a condition; far above what an idle machine needs. */
    static final Duration PATIENCE = Duration.ofSeconds(60);

    static final String WORK = "fitting-check";
    private static final Duration START_TIME = Duration.ofMinutes(2);
    private static final Duration EXTRA = Duration.ofSeconds(10);
    private static final AtomicLong NUMBERS = new AtomicLong();

    Path folder;
    Cluster cluster;
    Journals journals;

    /** The deployment that the tests of a class share. */
    abstract ClusterSpec spec();

    @BeforeClass
    public void start() throws IOException, InterruptedException {
        folder = Files.createTempDirectory("chestnutbarrow-itest");
        cluster = Cluster.start(spec(), folder);
        journals = new Journals(cluster);
        cluster.awaitReady(START_TIME);
        assertEquals(cli("apply", declarations().toString()), 0, cliOutput());
    }

    /** Keeps the folder with the logs of the daemons if the system property {@code chestnutbarrow.keep} is set. */
    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        if (cluster != null) {
            cluster.close();
        }
        if (!Boolean.getBoolean("chestnutbarrow.keep")) {
            Cluster.delete(folder);
        }
    }

    static Path declarations() {
        return Path.of(System.getProperty("chestnutbarrow.root"), "examples/hivatal/declarations.jsonc");
    }

    static String newId() {
        return System.currentTimeMillis() + "-it" + NUMBERS.incrementAndGet();
    }

    /** What a caller got; {@code response} is null if no whole answer came from the daemon. */
    record Answer(String id, HttpResponse response) {
        String outcome() {
            return response == null
                    ? "no-answer"
                    : response.headers().first("Chestnutbarrow-Outcome").orElse("none");
        }

        boolean own() {
            return response.text().contains("\"requestId\":\"" + id + "\"");
        }

        @Override
        public String toString() {
            return id + " " + outcome() + (response == null ? "" : " " + response.status() + " " + response.text());
        }
    }

    /** Sends a request with an id. */
    Answer send(String daemon, String id, boolean idempotent, Duration deadline) {
        return send(
                daemon,
                id,
                Headers.of("Chestnutbarrow-Request-Id", id)
                        .with("Chestnutbarrow-Idempotent", String.valueOf(idempotent))
                        .with("Chestnutbarrow-Deadline-Ms", String.valueOf(deadline.toMillis())));
    }

    Answer send(String daemon, String id, Headers headers) {
        HttpRequest request = new HttpRequest("POST", "/" + WORK + "/x", headers, new byte[] {'x'});
        try {
            return new Answer(id, cluster.http().send(cluster.daemon(daemon), request, EXTRA.plus(EXTRA)));
        } catch (NotRunException | OutcomeUnknownException e) {
            return new Answer(id, null);
        }
    }

    /** Sends numbered requests at the same time; returns all answers in the order of the numbers. */
    List<Answer> sendAll(int count, IntFunction<Answer> send) throws InterruptedException {
        List<Answer> answers = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Answer>> sent = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int number = i;
                sent.add(threads.submit(() -> send.apply(number)));
            }
            for (Future<Answer> answer : sent) {
                answers.add(answer.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
        return answers;
    }

    /** The daemon that a numbered request goes to. */
    String daemon(int number) {
        List<String> names = cluster.daemonNames();
        return names.get(number % names.size());
    }

    List<String> workerIds() throws IOException {
        List<String> ids = new ArrayList<>();
        cluster.get(cluster.workers(), "/v1/workers")
                .forEach(worker -> ids.add(worker.path("id").asText()));
        return ids;
    }

    /** Switches a fault of one worker; the field {@code worker} is added. */
    void fault(String worker, String fields) throws IOException {
        JsonNode answer =
                cluster.post(cluster.workers(), "/v1/faults", "{\"worker\":\"" + worker + "\"," + fields + "}");
        assertEquals(answer.path("status").asInt(), 200, answer.toString());
    }

    void faultEverywhere(String fields) throws IOException {
        for (String worker : workerIds()) {
            fault(worker, fields);
        }
    }

    int cli(String... arguments) throws IOException, InterruptedException {
        Files.deleteIfExists(folder.resolve("cli.out"));
        return cluster.cli(cluster.daemonNames(), List.of(arguments));
    }

    /** What the last command printed. */
    String cliOutput() throws IOException {
        return Files.readString(folder.resolve("cli.out"), StandardCharsets.UTF_8);
    }

    JsonNode submit(String id, String workClass, int tasks, int runMs) throws IOException {
        return submit("{\"id\":\"" + id + "\",\"workClass\":\"" + workClass + "\",\"tasks\":" + tasks + ",\"runMs\":"
                + runMs + "}");
    }

    JsonNode submit(String job) throws IOException {
        return cluster.post(cluster.daemon(daemon(0)), "/v1/jobs", job);
    }

    /** All that the workers recorded so far. */
    List<Observation> seen() {
        try {
            journals.collect();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return journals.observations();
    }

    /** How often a request began to run. */
    long runs(String id) {
        return starts().stream().filter(start -> start.requestId().equals(id)).count();
    }

    List<Observation.RequestStarted> starts() {
        return seen().stream()
                .filter(Observation.RequestStarted.class::isInstance)
                .map(Observation.RequestStarted.class::cast)
                .toList();
    }

    List<Observation.TaskStarted> taskStarts(String prefix) {
        return seen().stream()
                .filter(Observation.TaskStarted.class::isInstance)
                .map(Observation.TaskStarted.class::cast)
                .filter(start -> start.task().startsWith(prefix))
                .toList();
    }

    List<Observation.TaskEnded> taskEnds(String prefix, String state) {
        return seen().stream()
                .filter(Observation.TaskEnded.class::isInstance)
                .map(Observation.TaskEnded.class::cast)
                .filter(end -> end.task().startsWith(prefix) && end.state().equals(state))
                .toList();
    }

    /** Waits until a request of each daemon is served; the last one's faults may have to wear off. */
    void awaitServing() throws InterruptedException {
        for (String name : cluster.daemonNames()) {
            Cluster.await(
                    name + " serves",
                    PATIENCE,
                    () -> send(name, newId(), true, Duration.ofSeconds(5))
                            .outcome()
                            .equals("ran"));
        }
    }

    /** What holds under every fault. */
    void judgeTasks() {
        List<Observation> seen = seen();
        assertEquals(journals.dropped(), 0);
        assertEquals(Judge.overCommitted(seen, journals.workers()), List.of());
        assertEquals(Judge.ranTwiceAtOnce(seen), List.of());
        assertEquals(Judge.finishedTwice(seen), List.of());
        assertEquals(Judge.resumedTwice(seen), List.of());
    }

    void judgeOnce(Set<String> nonIdempotent) {
        assertEquals(Judge.ranMoreThanOnce(seen(), nonIdempotent), List.of());
    }

    void judgeRefused(Set<String> refused) {
        assertEquals(Judge.ranAlthoughRefused(seen(), refused), List.of());
    }
}
