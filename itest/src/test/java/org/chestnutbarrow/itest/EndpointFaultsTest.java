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

/** Guards against partial, late and other callers' answers being passed on, and against requests that run twice. */
public class EndpointFaultsTest extends PlatformFaultsTest {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final int SLOTS = 8;

    /** Longest time of a request, for which the slot of a lost one stays charged. */
    private static final Duration LOST_TIME = Duration.ofSeconds(10);

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(3, 6);
    }

    @AfterMethod(alwaysRun = true)
    public void heal() throws IOException {
        faultEverywhere("\"fault\":\"cut\",\"server\":\"ENDPOINT\"");
        faultEverywhere("\"fault\":\"delay\",\"server\":\"ENDPOINT\",\"ms\":0");
    }

    @DataProvider
    public Object[][] parts() {
        return new Object[][] {{"NOTHING"}, {"HEADERS"}, {"HALF_BODY"}};
    }

    /** Guards against a cut answer that is passed on as complete, and against a second run of its request. */
    @Test(dataProvider = "parts")
    public void cutAnswersEndAsUnknownAndTheirRequestsRunOnce(String part) throws IOException, InterruptedException {
        awaitServing();
        faultEverywhere("\"fault\":\"cut\",\"part\":\"" + part + "\"");
        List<Answer> answers = sendAll(6, i -> send(daemon(i), newId(), false, DEADLINE));
        heal();
        for (Answer answer : answers) {
            assertEquals(answer.outcome(), "unknown", answer.toString());
            assertEquals(answer.response().status(), 502, answer.toString());
            assertEquals(runs(answer.id()), 1, answer.toString());
        }
        awaitServing();
    }

    /** Guards against idempotent requests that fail with one worker although another one could serve them. */
    @Test
    public void idempotentRequestsAreRetriedOnAnotherWorker() throws IOException, InterruptedException {
        awaitServing();
        awaitServing(workerIds().get(0));
        // The retry budget is a share of the requests served before.
        sendAll(60, i -> send(daemon(i), newId(), true, DEADLINE));
        fault(workerIds().get(0), "\"fault\":\"cut\",\"part\":\"HALF_BODY\"");
        List<Answer> answers = sendAll(60, i -> send(daemon(i), newId(), true, DEADLINE));
        heal();
        Map<String, Set<String>> workersOf = new HashMap<>();
        Map<String, Integer> runs = new HashMap<>();
        for (Observation.RequestStarted start : starts()) {
            workersOf.computeIfAbsent(start.requestId(), _ -> new HashSet<>()).add(start.worker());
            runs.merge(start.requestId(), 1, Integer::sum);
        }
        int saved = 0;
        for (Answer answer : answers) {
            assertTrue(answer.outcome().equals("unknown") || answer.own(), answer.toString());
            int ran = runs.getOrDefault(answer.id(), 0);
            assertTrue(ran <= 3, answer + " ran " + ran + " times");
            assertEquals(workersOf.getOrDefault(answer.id(), Set.of()).size(), ran, answer + " on the same worker");
            saved += ran > 1 && answer.outcome().equals("ran") ? 1 : 0;
        }
        assertTrue(saved > 0, "no request was saved by a retry: " + answers);
    }

    /** Waits until a worker gets requests; earlier tests may have had it ejected for a while. */
    private void awaitServing(String worker) throws IOException, InterruptedException {
        long before = startsOn(worker);
        long end = System.nanoTime() + Duration.ofSeconds(90).toNanos();
        while (startsOn(worker) == before) {
            assertTrue(System.nanoTime() - end < 0, worker + " gets no request");
            sendAll(10, i -> send(daemon(i), newId(), true, DEADLINE));
        }
    }

    private long startsOn(String worker) throws IOException {
        return starts().stream().filter(start -> start.worker().equals(worker)).count();
    }

    /** Guards against answers that come after the deadline: they must neither be passed on nor make a second run. */
    @Test
    public void lateAnswersAreNotPassedOn() throws IOException, InterruptedException {
        awaitServing();
        faultEverywhere("\"fault\":\"delay\",\"ms\":2000");
        List<Answer> answers = sendAll(6, i -> send(daemon(i), newId(), false, Duration.ofMillis(700)));
        heal();
        for (Answer answer : answers) {
            assertTrue(Set.of("unknown", "not-run").contains(answer.outcome()), answer.toString());
            assertEquals(runs(answer.id()), answer.outcome().equals("unknown") ? 1 : 0, answer.toString());
        }
        assertTrue(answers.stream().anyMatch(answer -> answer.outcome().equals("unknown")), answers.toString());
        // What arrives late must not be taken for the answer to a later request on the same connection.
        List<Answer> later = sendAll(60, i -> send(daemon(i), newId(), false, DEADLINE));
        for (Answer answer : later) {
            assertTrue(!answer.outcome().equals("ran") || answer.own(), answer.toString());
        }
        judgeOnce(later.stream().map(Answer::id).collect(Collectors.toSet()));
    }

    /** Guards against capacity that is given again while a lost request may still use it. */
    @Test
    public void capacityOfLostRequestsStaysCharged() throws IOException, InterruptedException {
        awaitServing();
        faultEverywhere("\"fault\":\"cut\",\"part\":\"NOTHING\"");
        List<Answer> answers = sendAll(90, i -> send(daemon(i), newId(), false, Duration.ofSeconds(2)));
        heal();
        Set<String> sent = answers.stream().map(Answer::id).collect(Collectors.toSet());
        Map<String, Long> perWorker = starts().stream()
                .filter(start -> sent.contains(start.requestId()))
                .collect(Collectors.groupingBy(Observation.RequestStarted::worker, Collectors.counting()));
        perWorker.forEach((worker, count) -> assertTrue(count <= SLOTS, perWorker.toString()));
        assertTrue(perWorker.values().stream().anyMatch(count -> count > 1), perWorker.toString());
        judgeOnce(sent);
        judgeRefused(answers.stream()
                .filter(answer -> answer.outcome().equals("not-run"))
                .map(Answer::id)
                .collect(Collectors.toSet()));
        awaitServing();
    }

    /** Guards against answers that belong to another request, sent by a service instance that mixes them up. */
    @Test(dataProvider = "mixUps")
    public void answersOfOthersAreNotPassedOn(MixedUpEndpoint.Mode mode) throws Exception {
        awaitServing();
        StandinWorkers.Options options = StandinWorkers.Options.DEFAULT;
        try (StandinWorkers one = StandinWorkers.start(new StandinWorkers.Options(
                        options.bind(),
                        options.hosts(),
                        "mixed-" + mode.name().toLowerCase(Locale.ROOT) + "-",
                        1,
                        List.of("eger"),
                        options.capacity(),
                        options.serviceTimes(),
                        options.usageLag(),
                        1));
                MixedUpEndpoint endpoint = new MixedUpEndpoint(mode)) {
            ObjectNode host =
                    (ObjectNode) cluster.get(one.address(), "/v1/workers").get(0);
            host.put("endpoint", endpoint.address().toString());
            Set<String> once = new HashSet<>();
            Cluster.await("requests reach the worker that mixes up answers", PATIENCE, () -> {
                register(host);
                judgeOwn(once);
                return endpoint.started().size() >= 5;
            });
            for (int round = 0; round < 5; round++) {
                register(host);
                judgeOwn(once);
            }
            if (mode == MixedUpEndpoint.Mode.PREVIOUS) {
                // No request there got its own answer, so each may still run and keeps its slot.
                List<Long> times = endpoint.startNanos();
                for (int i = 0; i + SLOTS < times.size(); i++) {
                    long apart = times.get(i + SLOTS) - times.get(i);
                    assertTrue(apart >= LOST_TIME.toNanos(), "slots were given again after " + apart + " ns");
                }
            }
            List<String> there = endpoint.started();
            assertEquals(new HashSet<>(there).size(), there.size(), "requests ran twice at the endpoint");
            judgeOnce(once);
            Set<String> elsewhere =
                    starts().stream().map(Observation.RequestStarted::requestId).collect(Collectors.toSet());
            there.stream().filter(once::contains).forEach(id -> assertTrue(!elsewhere.contains(id), id));
        } finally {
            cluster.http()
                    .send(
                            cluster.hosts(),
                            HttpRequest.json(
                                    "DELETE",
                                    "/v1/hosts/mixed-" + mode.name().toLowerCase(Locale.ROOT) + "-0000",
                                    "{}"),
                            PATIENCE);
        }
    }

    @DataProvider
    public Object[][] mixUps() {
        return new Object[][] {{MixedUpEndpoint.Mode.TWICE}, {MixedUpEndpoint.Mode.PREVIOUS}};
    }

    private void judgeOwn(Set<String> once) {
        try {
            List<Answer> answers = sendAll(30, i -> send(daemon(i), newId(), false, DEADLINE));
            for (Answer answer : answers) {
                once.add(answer.id());
                assertTrue(!answer.outcome().equals("ran") || answer.own(), answer.toString());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register(ObjectNode host) {
        String path = "/v1/hosts/" + host.path("id").asText();
        try {
            cluster.http().send(cluster.hosts(), HttpRequest.json("PUT", path, host.toString()), PATIENCE);
        } catch (NotRunException | OutcomeUnknownException e) {
            throw new IllegalStateException(e);
        }
    }
}
