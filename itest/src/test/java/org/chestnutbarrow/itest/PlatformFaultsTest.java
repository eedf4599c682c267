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

/** Base class of tests that inject platform faults into a deployment. Not thread-safe. */
abstract class PlatformFaultsTest {
    /** Timeout for conditions; far above the times on an idle machine. */
    static final Duration WAIT_TIMEOUT = Duration.ofSeconds(60);

    static final String INTERACTIVE_CLASS = "fitting-check";
    private static final Duration START_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration EXTRA_TIMEOUT = Duration.ofSeconds(10);
    private static final AtomicLong REQUEST_COUNTER = new AtomicLong();

    Path folder;
    Cluster cluster;
    Journals journals;

    /** Specification of the deployment shared by the tests of a class. */
    abstract ClusterSpec spec();

    @BeforeClass
    public void start() throws IOException, InterruptedException {
        folder = Files.createTempDirectory("chestnutbarrow-itest");
        cluster = Cluster.start(spec(), folder);
        journals = new Journals(cluster);
        cluster.awaitReady(START_TIMEOUT);
        assertEquals(cli("apply", declarations().toString()), 0, cliOutput());
    }

    /** Stops the deployment; keeps its folder if the system property {@code chestnutbarrow.keep} is set. */
    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        if (cluster != null) {
            cluster.close();
        }
        if (Boolean.getBoolean("chestnutbarrow.keep")) {
            System.out.println(getClass().getSimpleName() + ": settings and logs kept in " + folder);
        } else {
            Cluster.delete(folder);
        }
    }

    static Path declarations() {
        return Path.of(System.getProperty("chestnutbarrow.root"), "examples/hivatal/declarations.jsonc");
    }

    static String newId() {
        return System.currentTimeMillis() + "-it" + REQUEST_COUNTER.incrementAndGet();
    }

    /** Result of a request; {@code response} is null if the daemon sent no complete response. */
    record Answer(String id, HttpResponse response) {
        String outcome() {
            return response == null
                    ? "no-answer"
                    : response.headers().first("Chestnutbarrow-Outcome").orElse("none");
        }

        boolean hasOwnRequestId() {
            return response.text().contains("\"requestId\":\"" + id + "\"");
        }

        @Override
        public String toString() {
            return id + " " + outcome() + (response == null ? "" : " " + response.status() + " " + response.text());
        }
    }

    /** Sends a request with the given id, idempotence and deadline. */
    Answer send(String daemon, String id, boolean idempotent, Duration deadline) {
        return send(
                daemon,
                id,
                Headers.of("Chestnutbarrow-Request-Id", id)
                        .with("Chestnutbarrow-Idempotent", String.valueOf(idempotent))
                        .with("Chestnutbarrow-Deadline-Ms", String.valueOf(deadline.toMillis())));
    }

    Answer send(String daemon, String id, Headers headers) {
        HttpRequest request = new HttpRequest("POST", "/" + INTERACTIVE_CLASS + "/x", headers, new byte[] {'x'});
        try {
            return new Answer(
                    id, cluster.http().send(cluster.daemon(daemon), request, EXTRA_TIMEOUT.plus(EXTRA_TIMEOUT)));
        } catch (NotRunException | OutcomeUnknownException e) {
            return new Answer(id, null);
        }
    }

    /** Sends requests concurrently and returns their answers in index order. */
    List<Answer> sendAll(int count, IntFunction<Answer> send) throws InterruptedException {
        List<Answer> answers = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Answer>> sent = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int index = i;
                sent.add(executor.submit(() -> send.apply(index)));
            }
            for (Future<Answer> answer : sent) {
                answers.add(answer.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
        return answers;
    }

    /** Selects the daemon for a request index, round-robin. */
    String daemon(int index) {
        List<String> names = cluster.daemonNames();
        return names.get(index % names.size());
    }

    List<String> workerIds() throws IOException {
        List<String> ids = new ArrayList<>();
        cluster.get(cluster.workers(), "/v1/workers")
                .forEach(worker -> ids.add(worker.path("id").asText()));
        return ids;
    }

    /** Injects a fault into a worker; adds the field {@code worker} to the given fields. */
    void injectFault(String worker, String fields) throws IOException {
        JsonNode answer =
                cluster.post(cluster.workers(), "/v1/faults", "{\"worker\":\"" + worker + "\"," + fields + "}");
        assertEquals(answer.path("status").asInt(), 200, answer.toString());
    }

    void injectFaultOnAllWorkers(String fields) throws IOException {
        for (String worker : workerIds()) {
            injectFault(worker, fields);
        }
    }

    int cli(String... arguments) throws IOException, InterruptedException {
        Files.deleteIfExists(folder.resolve("cli.out"));
        return cluster.cli(cluster.daemonNames(), List.of(arguments));
    }

    /** Output of the last CLI command. */
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

    /** All observations recorded by the workers so far. */
    List<Observation> observations() {
        try {
            journals.collect();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return journals.observations();
    }

    /** Number of times that a request was started. */
    long countRuns(String id) {
        return requestStarts().stream()
                .filter(start -> start.requestId().equals(id))
                .count();
    }

    List<Observation.RequestStarted> requestStarts() {
        return observations().stream()
                .filter(Observation.RequestStarted.class::isInstance)
                .map(Observation.RequestStarted.class::cast)
                .toList();
    }

    List<Observation.TaskStarted> taskStarts(String prefix) {
        return observations().stream()
                .filter(Observation.TaskStarted.class::isInstance)
                .map(Observation.TaskStarted.class::cast)
                .filter(start -> start.task().startsWith(prefix))
                .toList();
    }

    List<Observation.TaskEnded> taskEnds(String prefix, String state) {
        return observations().stream()
                .filter(Observation.TaskEnded.class::isInstance)
                .map(Observation.TaskEnded.class::cast)
                .filter(end -> end.task().startsWith(prefix) && end.state().equals(state))
                .toList();
    }

    /** Waits until every daemon serves requests; effects of the previous test's faults may take time to subside. */
    void awaitServing() throws InterruptedException {
        for (String name : cluster.daemonNames()) {
            Cluster.await(
                    name + " serves requests",
                    WAIT_TIMEOUT,
                    () -> send(name, newId(), true, Duration.ofSeconds(5))
                            .outcome()
                            .equals("ran"));
        }
    }

    /** Verifies the task invariants that hold under any fault. */
    void verifyTasks() {
        List<Observation> observations = observations();
        assertEquals(journals.dropped(), 0);
        assertEquals(Judge.overCommitted(observations, journals.workers()), List.of());
        assertEquals(Judge.ranTwiceAtOnce(observations), List.of());
        assertEquals(Judge.finishedTwice(observations), List.of());
        assertEquals(Judge.resumedTwice(observations), List.of());
    }

    void verifyRunAtMostOnce(Set<String> nonIdempotent) {
        assertEquals(Judge.ranMoreThanOnce(observations(), nonIdempotent), List.of());
    }

    void verifyRejectedNotRun(Set<String> rejected) {
        assertEquals(Judge.ranAlthoughRefused(observations(), rejected), List.of());
    }
}
