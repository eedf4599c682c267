package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.LoadResult;
import org.chestnutbarrow.bench.LogReader;
import org.chestnutbarrow.bench.Observation;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.Test;

/** Work continues during log outages, and changes are applied once and reported correctly. */
public class LogFaultTest extends ClusterTest {
    /** Longer than all time limits; the longest are the task lease of 3.5 s and the freshness bound W of 2 s. */
    private static final long OUTAGE_MS = 15_000;

    private static final long FINAL_PHASE_MS = 5000;
    private static final int UNLIMITED = 1_000_000;
    private static final int RACE_ROUNDS = 5;
    private static final String ZONE = "eger";

    @Test
    public void workFlowsWhileTheLogIsAwayAndChangesAreRefused() throws IOException, InterruptedException {
        work.submitBatch("outage", 300, 2000);
        startLoad();
        awaitStarted("outage", 20);
        long version = version("entry-1");
        setOutage(true);
        long startMs = System.currentTimeMillis();
        Thread.sleep(OUTAGE_MS - FINAL_PHASE_MS);
        LoadResult early = work.loadSoFar();
        for (String daemon : cluster.daemonNames()) {
            JsonNode answer = work.trySubmit(daemon, "late", 1, 100);
            assertEquals(answer.path("result").asText(), "not-applied", answer.toString());
        }
        CliResult change = cli("entry-2", "zone", "out", ZONE);
        assertEquals(change.exitCode(), 1, change.output());
        assertTrue(change.output().contains("not-applied"), change.output());
        long remainingMs = startMs + OUTAGE_MS - System.currentTimeMillis();
        Thread.sleep(Math.max(0, remainingMs));
        LoadResult late = work.loadSoFar();
        long lateStarts = starts("outage", startMs + OUTAGE_MS - FINAL_PHASE_MS, System.currentTimeMillis());
        setOutage(false);
        assertTrue(
                late.count("ran") > early.count("ran"),
                "requests must still run late in the outage: " + late.outcomes());
        assertTrue(
                late.count("not-run") > early.count("not-run"),
                "requests that need receipts must be rejected: " + late.outcomes());
        assertTrue(lateStarts > 0, "tasks must still start late in the outage");

        Cluster.await("jobs are accepted again", WAIT_TIMEOUT, () -> accepted("after-outage"));
        work.awaitJobs(WAIT_TIMEOUT);
        stopLoad();
        assertEquals(starts("late", 0, Long.MAX_VALUE), 0, "the rejected job must not run");
        assertEquals(version("entry-1"), version, "the rejected change must not be applied");
        assertEquals(count(record -> record instanceof LogRecord.JobAccepted job && isJob(job, "late")), 0);
        assertEquals(cli("entry-2", "zone", "out", ZONE).exitCode(), 0);
        assertEquals(cli("entry-2", "zone", "in", ZONE).exitCode(), 0);
        verifyInvariants();
    }

    @Test
    public void changeWhoseAnswerIsLostIsAppliedOnce() throws IOException, InterruptedException {
        startLoad();
        dropLogResponses(UNLIMITED);
        CliResult change = cli("entry-1", "zone", "out", ZONE);
        dropLogResponses(0);
        assertEquals(change.exitCode(), 0, change.output());
        assertTrue(change.output().contains("in-force"), change.output());
        JsonNode configuration = configuration("entry-2");
        String id = configuration.path("changeId").asText();
        assertEquals(configuration.path("zones").path(ZONE).asText(), "OUT", configuration.toString());
        assertEquals(
                count(record -> record instanceof LogRecord.ZoneChanged zone
                        && zone.id().equals(id)),
                1);
        assertEquals(cli("entry-2", "zone", "in", ZONE).exitCode(), 0);
        stopLoad();
        verifyInvariants();
    }

    @Test
    public void jobWhoseAnswerIsLostIsAcceptedOnce() throws IOException, InterruptedException {
        startLoad();
        Path file = folder().resolve("lost-answer.json");
        Files.writeString(
                file, "{\"id\":\"lost-answer\",\"workClass\":\"season-reconcile\",\"tasks\":3,\"runMs\":500}");
        dropLogResponses(UNLIMITED);
        CliResult submitted = cli("entry-1", "submit", file.toString());
        dropLogResponses(0);
        assertEquals(submitted.exitCode(), 0, submitted.output());
        assertTrue(submitted.output().contains("accepted"), submitted.output());
        assertEquals(cli("entry-2", "submit", file.toString()).exitCode(), 0, "a repeated submission is the same job");
        assertEquals(count(record -> record instanceof LogRecord.JobAccepted job && isJob(job, "lost-answer")), 1);
        Cluster.await(
                "the job's tasks have run",
                WAIT_TIMEOUT,
                () -> finished("lost-answer").size() == 3);
        stopLoad();
        verifyInvariants();
    }

    @Test
    public void receiptWhoseAnswerIsLostLetsTheRequestRunOnce()
            throws IOException, InterruptedException, NotRunException, OutcomeUnknownException {
        startLoad();
        String id = System.currentTimeMillis() + "-lostreceipt";
        dropLogResponses(UNLIMITED);
        HttpResponse first = send("entry-1", id);
        dropLogResponses(0);
        HttpResponse again = send("entry-2", id);
        assertEquals(outcome(first), "ran", first.text());
        assertEquals(outcome(again), "unknown", again.text());
        assertEquals(again.status(), 409, again.text());
        // The second daemon appends its own receipt only if it has not yet read the first one.
        long receipts = count(record -> isReceipt(record, id));
        assertTrue(receipts == 1 || receipts == 2, "the receipt of each attempt is appended at most once: " + receipts);
        stopLoad();
        assertEquals(runs(id), 1);
        verifyInvariants();
    }

    @Test
    public void oneOfTwoRacingOperatorsWinsAndTheOtherIsToldByWhom()
            throws IOException, InterruptedException, ExecutionException {
        startLoad();
        for (int i = 0; i < RACE_ROUNDS; i++) {
            race(i);
        }
        stopLoad();
        assertEquals(cli("entry-3", "apply", declarations().toString()).exitCode(), 0);
        verifyInvariants();
    }

    private void race(int round) throws IOException, InterruptedException, ExecutionException {
        JsonNode base = configuration("entry-1");
        List<String> daemons = List.of("entry-1", "entry-2");
        List<Future<JsonNode>> answers = new ArrayList<>();
        try (ExecutorService operators = Executors.newVirtualThreadPerTaskExecutor()) {
            for (String daemon : daemons) {
                String body =
                        change(base, "race-" + round + "-" + daemon, "operator-" + daemon, 63 + 2 * round, daemon);
                answers.add(operators.submit(() -> cluster.post(cluster.daemon(daemon), "/v1/configuration", body)));
            }
        }
        int winner = answers.get(0).get().path("result").asText().equals("in-force") ? 0 : 1;
        JsonNode winnerResponse = answers.get(winner).get();
        JsonNode loserResponse = answers.get(1 - winner).get();
        String winnerId = "race-" + round + "-" + daemons.get(winner);
        assertEquals(winnerResponse.path("result").asText(), "in-force", winnerResponse + " and " + loserResponse);
        assertEquals(loserResponse.path("result").asText(), "lost", winnerResponse + " and " + loserResponse);
        String message = loserResponse.path("message").asText();
        assertTrue(message.contains(winnerId) && message.contains("operator-" + daemons.get(winner)), message);
        String loserId = "race-" + round + "-" + daemons.get(1 - winner);
        for (String daemon : cluster.daemonNames()) {
            JsonNode current = configuration(daemon);
            assertEquals(current.path("changeId").asText(), winnerId, current.toString());
            assertFalse(
                    current.toString().contains("class-of-" + daemons.get(1 - winner)),
                    "part of the losing change was applied");
            JsonNode change = cluster.get(cluster.daemon(daemon), "/v1/changes/" + loserId);
            assertEquals(change.path("result").asText(), "not-applied", change.toString());
        }
    }

    /** Builds a change that adds a class specific to the operator's daemon. */
    private static String change(JsonNode base, String id, String author, int cores, String daemon) {
        ObjectNode declarations = base.path("declarations").deepCopy();
        ObjectNode classes = (ObjectNode) declarations.path("classes");
        classes.remove(List.of("class-of-entry-1", "class-of-entry-2"));
        classes.set("class-of-" + daemon, classes.path("stock-watch").deepCopy());
        ObjectNode quota =
                (ObjectNode) declarations.path("teams").path("rental").path("quota");
        quota.put("cores", cores + " cores");
        ObjectNode body = declarations.objectNode();
        body.put("id", id).put("baseVersion", base.path("version").asLong()).put("author", author);
        body.set("declarations", declarations);
        return body.toString();
    }

    private boolean accepted(String job) {
        try {
            return work.trySubmit("entry-1", job, 1, 100)
                    .path("result")
                    .asText()
                    .equals("accepted");
        } catch (IOException e) {
            return false;
        }
    }

    private HttpResponse send(String daemon, String id) throws NotRunException, OutcomeUnknownException {
        Headers headers = Headers.of("Chestnutbarrow-Request-Id", id).with("Chestnutbarrow-Idempotent", "false");
        HttpRequest request = new HttpRequest("POST", "/fitting-check/once", headers, new byte[] {'x'});
        return cluster.http().send(cluster.daemon(daemon), request, WAIT_TIMEOUT);
    }

    private static String outcome(HttpResponse response) {
        return response.headers().first("Chestnutbarrow-Outcome").orElse("none");
    }

    private long count(Predicate<LogRecord> filter) throws IOException {
        return new LogReader(cluster).records().stream().filter(filter).count();
    }

    private static boolean isJob(LogRecord.JobAccepted record, String id) {
        return record.job().id().value().equals(id);
    }

    private static boolean isReceipt(LogRecord record, String id) {
        return record instanceof LogRecord.ReceiptsMade made
                && made.receipts().stream()
                        .anyMatch(receipt -> receipt.requestId().equals(id));
    }

    private long runs(String id) {
        return work.observations().stream()
                .filter(observation -> observation instanceof Observation.RequestStarted start
                        && start.requestId().equals(id))
                .count();
    }

    private Set<String> finished(String job) {
        Set<String> tasks = new HashSet<>();
        for (Observation observation : work.observations()) {
            if (observation instanceof Observation.TaskEnded end
                    && end.state().equals("FINISHED")
                    && end.task().startsWith(job + "/")) {
                tasks.add(end.task());
            }
        }
        return tasks;
    }
}
