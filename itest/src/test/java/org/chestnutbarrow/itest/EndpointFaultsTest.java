package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.bench.Observation;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.standin.StandinWorkers;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Partial, late and foreign responses must not reach callers, and requests must not run twice. */
public class EndpointFaultsTest extends PlatformFaultsTest {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final int SLOTS = 8;

    /** Maximum duration of a request, for which the slot of a lost request remains reserved. */
    private static final Duration MAX_REQUEST_TIME = Duration.ofSeconds(10);

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(3, 6);
    }

    @AfterMethod(alwaysRun = true)
    public void clearFaults() throws IOException {
        injectFaultOnAllWorkers("\"fault\":\"cut\",\"server\":\"ENDPOINT\"");
        injectFaultOnAllWorkers("\"fault\":\"delay\",\"server\":\"ENDPOINT\",\"ms\":0");
    }

    @DataProvider
    public Object[][] parts() {
        return new Object[][] {{"NOTHING"}, {"HEADERS"}, {"HALF_BODY"}};
    }

    /** A truncated response is not forwarded as complete, and its request is not run again. */
    @Test(dataProvider = "parts")
    public void cutAnswersEndAsUnknownAndTheirRequestsRunOnce(String part) throws IOException, InterruptedException {
        awaitServing();
        injectFaultOnAllWorkers("\"fault\":\"cut\",\"part\":\"" + part + "\"");
        List<Answer> answers = sendAll(6, i -> send(daemon(i), newId(), false, DEADLINE));
        clearFaults();
        for (Answer answer : answers) {
            assertEquals(answer.outcome(), "unknown", answer.toString());
            assertEquals(answer.response().status(), 502, answer.toString());
            assertEquals(countRuns(answer.id()), 1, answer.toString());
        }
        awaitServing();
    }

    /** Idempotent requests that fail on one worker are retried on another. */
    @Test
    public void idempotentRequestsAreRetriedOnAnotherWorker() throws IOException, InterruptedException {
        awaitServing();
        awaitServing(workerIds().get(0));
        // The retry budget is a fraction of the requests served before.
        sendAll(60, i -> send(daemon(i), newId(), true, DEADLINE));
        injectFault(workerIds().get(0), "\"fault\":\"cut\",\"part\":\"HALF_BODY\"");
        List<Answer> answers = sendAll(60, i -> send(daemon(i), newId(), true, DEADLINE));
        clearFaults();
        Map<String, Set<String>> workersOf = new HashMap<>();
        Map<String, Integer> runs = new HashMap<>();
        for (Observation.RequestStarted start : requestStarts()) {
            workersOf.computeIfAbsent(start.requestId(), _ -> new HashSet<>()).add(start.worker());
            runs.merge(start.requestId(), 1, Integer::sum);
        }
        int retriedSuccessfully = 0;
        for (Answer answer : answers) {
            assertTrue(answer.outcome().equals("unknown") || answer.hasOwnRequestId(), answer.toString());
            int runCount = runs.getOrDefault(answer.id(), 0);
            assertTrue(runCount <= 3, answer + " ran " + runCount + " times");
            assertEquals(
                    workersOf.getOrDefault(answer.id(), Set.of()).size(),
                    runCount,
                    answer + " ran twice on the same worker");
            retriedSuccessfully += runCount > 1 && answer.outcome().equals("ran") ? 1 : 0;
        }
        assertTrue(retriedSuccessfully > 0, "no request succeeded through a retry: " + answers);
    }

    /** Waits until a worker receives requests; it may have been ejected temporarily because of earlier tests. */
    private void awaitServing(String worker) throws IOException, InterruptedException {
        long before = requestStartsOn(worker);
        long deadline = System.nanoTime() + Duration.ofSeconds(90).toNanos();
        while (requestStartsOn(worker) == before) {
            assertTrue(System.nanoTime() - deadline < 0, worker + " receives no requests");
            sendAll(10, i -> send(daemon(i), newId(), true, DEADLINE));
        }
    }

    private long requestStartsOn(String worker) throws IOException {
        return requestStarts().stream()
                .filter(start -> start.worker().equals(worker))
                .count();
    }

    /** Responses after the deadline are not forwarded and do not cause a second run. */
    @Test
    public void lateAnswersAreNotPassedOn() throws IOException, InterruptedException {
        awaitServing();
        injectFaultOnAllWorkers("\"fault\":\"delay\",\"ms\":2000");
        List<Answer> answers = sendAll(6, i -> send(daemon(i), newId(), false, Duration.ofMillis(700)));
        clearFaults();
        for (Answer answer : answers) {
            assertTrue(Set.of("unknown", "not-run").contains(answer.outcome()), answer.toString());
            assertEquals(countRuns(answer.id()), answer.outcome().equals("unknown") ? 1 : 0, answer.toString());
        }
        assertTrue(answers.stream().anyMatch(answer -> answer.outcome().equals("unknown")), answers.toString());
        // A late response must not be taken for that of a later request on the same connection.
        List<Answer> later = sendAll(60, i -> send(daemon(i), newId(), false, DEADLINE));
        for (Answer answer : later) {
            assertTrue(!answer.outcome().equals("ran") || answer.hasOwnRequestId(), answer.toString());
        }
        verifyRunAtMostOnce(later.stream().map(Answer::id).collect(Collectors.toSet()));
    }

    /** Capacity is not reused while a lost request may still occupy it. */
    @Test
    public void capacityOfLostRequestsStaysCharged() throws IOException, InterruptedException {
        awaitServing();
        injectFaultOnAllWorkers("\"fault\":\"cut\",\"part\":\"NOTHING\"");
        List<Answer> answers = sendAll(90, i -> send(daemon(i), newId(), false, Duration.ofSeconds(2)));
        clearFaults();
        Set<String> sent = answers.stream().map(Answer::id).collect(Collectors.toSet());
        Map<String, Long> startsPerWorker = requestStarts().stream()
                .filter(start -> sent.contains(start.requestId()))
                .collect(Collectors.groupingBy(Observation.RequestStarted::worker, Collectors.counting()));
        startsPerWorker.forEach((worker, count) -> assertTrue(count <= SLOTS, startsPerWorker.toString()));
        assertTrue(startsPerWorker.values().stream().anyMatch(count -> count > 1), startsPerWorker.toString());
        verifyRunAtMostOnce(sent);
        verifyRejectedNotRun(answers.stream()
                .filter(answer -> answer.outcome().equals("not-run"))
                .map(Answer::id)
                .collect(Collectors.toSet()));
        awaitServing();
    }

    /** Responses that an endpoint sends for the wrong request are not forwarded. */
    @Test(dataProvider = "misbehaviours")
    public void answersOfOthersAreNotPassedOn(MisbehavingEndpoint.Mode mode) throws Exception {
        awaitServing();
        StandinWorkers.Options options = StandinWorkers.Options.DEFAULT;
        try (StandinWorkers workers = StandinWorkers.start(new StandinWorkers.Options(
                        options.bind(),
                        options.hosts(),
                        "mixed-" + mode.name().toLowerCase(Locale.ROOT) + "-",
                        1,
                        List.of("eger"),
                        options.capacity(),
                        options.serviceTimes(),
                        options.usageLag(),
                        1));
                MisbehavingEndpoint endpoint = new MisbehavingEndpoint(mode)) {
            ObjectNode host =
                    (ObjectNode) cluster.get(workers.address(), "/v1/workers").get(0);
            host.put("endpoint", endpoint.address().toString());
            Set<String> nonIdempotentIds = new HashSet<>();
            Cluster.await("requests reach the misbehaving worker", WAIT_TIMEOUT, () -> {
                register(host);
                verifyOwnResponses(nonIdempotentIds);
                return endpoint.startedIds().size() >= 5;
            });
            for (int round = 0; round < 5; round++) {
                register(host);
                verifyOwnResponses(nonIdempotentIds);
            }
            if (mode == MisbehavingEndpoint.Mode.PREVIOUS) {
                // No request received its own response, so each may still be running and keeps its slot.
                List<Long> startTimes = endpoint.startNanos();
                for (int i = 0; i + SLOTS < startTimes.size(); i++) {
                    long intervalNanos = startTimes.get(i + SLOTS) - startTimes.get(i);
                    assertTrue(
                            intervalNanos >= MAX_REQUEST_TIME.toNanos(),
                            "slots were reused after " + intervalNanos + " ns");
                }
            }
            List<String> idsAtEndpoint = endpoint.startedIds();
            assertEquals(
                    new HashSet<>(idsAtEndpoint).size(), idsAtEndpoint.size(), "requests ran twice at the endpoint");
            verifyRunAtMostOnce(nonIdempotentIds);
            Set<String> idsAtWorkers = requestStarts().stream()
                    .map(Observation.RequestStarted::requestId)
                    .collect(Collectors.toSet());
            idsAtEndpoint.stream()
                    .filter(nonIdempotentIds::contains)
                    .forEach(id -> assertTrue(!idsAtWorkers.contains(id), id));
        } finally {
            cluster.http()
                    .send(
                            cluster.hosts(),
                            HttpRequest.json(
                                    "DELETE",
                                    "/v1/hosts/mixed-" + mode.name().toLowerCase(Locale.ROOT) + "-0000",
                                    "{}"),
                            WAIT_TIMEOUT);
        }
    }

    @DataProvider
    public Object[][] misbehaviours() {
        return new Object[][] {{MisbehavingEndpoint.Mode.TWICE}, {MisbehavingEndpoint.Mode.PREVIOUS}};
    }

    private void verifyOwnResponses(Set<String> nonIdempotentIds) {
        try {
            List<Answer> answers = sendAll(30, i -> send(daemon(i), newId(), false, DEADLINE));
            for (Answer answer : answers) {
                nonIdempotentIds.add(answer.id());
                assertTrue(!answer.outcome().equals("ran") || answer.hasOwnRequestId(), answer.toString());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register(ObjectNode host) {
        String path = "/v1/hosts/" + host.path("id").asText();
        try {
            cluster.http().send(cluster.hosts(), HttpRequest.json("PUT", path, host.toString()), WAIT_TIMEOUT);
        } catch (NotRunException | OutcomeUnknownException e) {
            throw new IllegalStateException(e);
        }
    }
}
