package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.http.Headers;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against non-idempotent requests that run again when callers repeat them under the same id. */
public class ReceiptsTest extends PlatformFaultsTest {
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(3, 6);
    }

    @AfterMethod(alwaysRun = true)
    public void heal() throws IOException {
        outage(false);
        faultEverywhere("\"fault\":\"delay\",\"ms\":0");
    }

    /** Guards against a second run while the first daemon's fate is unknown to the others. */
    @Test
    public void requestOfKilledDaemonIsNotRunAgain() throws Exception {
        awaitReceipts();
        faultEverywhere("\"fault\":\"delay\",\"ms\":6000");
        String id = newId();
        String first = daemon(0);
        try (ExecutorService caller = Executors.newSingleThreadExecutor()) {
            Future<Answer> lost = caller.submit(() -> send(first, id, false, Duration.ofSeconds(10)));
            Cluster.await("the request runs", PATIENCE, () -> runs(id) == 1);
            cluster.processes().kill(first);
            List<Answer> repeated = sendAll(2, i -> send(daemon(i + 1), id, false, DEADLINE));
            for (Answer answer : repeated) {
                assertEquals(answer.response().status(), 409, answer.toString());
                assertEquals(answer.outcome(), "unknown", answer.toString());
            }
            assertEquals(lost.get().outcome(), "no-answer", "the killed daemon answered");
        } finally {
            heal();
            cluster.startDaemon(first);
        }
        cluster.awaitReady(PATIENCE);
        awaitReceipts();
        Answer again = send(first, id, false, DEADLINE);
        assertEquals(again.response().status(), 409, again.toString());
        assertEquals(runs(id), 1);
    }

    /** Guards against two daemons that both take a receipt for the first one. */
    @Test
    public void oneOfSimultaneousRequestsWithTheSameIdRuns() throws InterruptedException {
        awaitReceipts();
        for (int round = 0; round < 10; round++) {
            String id = newId();
            List<Answer> answers = sendAll(6, i -> send(daemon(i), id, false, DEADLINE));
            long ran = answers.stream()
                    .filter(answer -> answer.outcome().equals("ran"))
                    .count();
            long taken = answers.stream()
                    .filter(answer -> answer.outcome().equals("unknown")
                            && answer.response().status() == 409)
                    .count();
            assertEquals(ran, 1, answers.toString());
            assertEquals(taken, 5, answers.toString());
            assertEquals(runs(id), 1);
        }
    }

    @DataProvider
    public Object[][] badIds() {
        long now = System.currentTimeMillis();
        return Stream.of(
                        "no-time",
                        "-1",
                        "1234",
                        now + "-",
                        "12x-1",
                        now + "-a b",
                        "",
                        now + "-" + "y".repeat(300),
                        (now - Duration.ofMinutes(16).toMillis()) + "-old",
                        (now + Duration.ofMinutes(10).toMillis()) + "-future")
                .map(id -> new Object[] {id})
                .toArray(Object[][]::new);
    }

    /** Guards against ids whose receipts cannot be kept for as long as the caller may repeat the request. */
    @Test(dataProvider = "badIds")
    public void badIdsAreRefusedAsNotRunWithTheRemedy(String id) {
        Answer answer = send(daemon(0), id, false, DEADLINE);
        assertEquals(answer.response().status(), 400, answer.toString());
        assertEquals(answer.outcome(), "not-run", answer.toString());
        String text = answer.response().text();
        assertTrue(
                Stream.of("use the form", "a new id makes", "set the caller's clock")
                        .anyMatch(text::contains),
                text);
        assertFalse(text.contains("Exception"), text);
        assertEquals(runs(id), 0);
    }

    /** Guards against an empty id, which an idempotent request may not have either, being taken for a server error. */
    @Test
    public void emptyIdOfIdempotentRequestIsNoServerError() {
        Answer answer = send(daemon(0), "", true, DEADLINE);
        assertTrue(answer.response().status() < 500, answer.toString());
    }

    /** Guards against requests that run without a durable receipt, and against a log outage that stops all others. */
    @Test
    public void logOutageRefusesOnlyRequestsThatNeedReceipts() throws IOException, InterruptedException {
        awaitServing();
        outage(true);
        // Appends that were under way when the outage began may still be read back.
        Cluster.await(
                "receipts are refused",
                PATIENCE,
                () -> send(daemon(0), newId(), false, DEADLINE).outcome().equals("not-run"));
        for (int i = 0; i < 3; i++) {
            Answer refused = send(daemon(i), newId(), false, DEADLINE);
            assertEquals(refused.outcome(), "not-run", refused.toString());
            assertEquals(refused.response().status(), 503, refused.toString());
            judgeRefused(Set.of(refused.id()));
            String known = newId();
            Answer idempotent = send(daemon(i), known, true, DEADLINE);
            assertEquals(idempotent.outcome(), "ran", idempotent.toString());
            assertTrue(idempotent.own(), idempotent.toString());
            Answer withoutId =
                    send(daemon(i), "", Headers.of("Chestnutbarrow-Deadline-Ms", String.valueOf(DEADLINE.toMillis())));
            assertEquals(withoutId.outcome(), "ran", withoutId.toString());
        }
        outage(false);
        awaitReceipts();
    }

    /** Guards against receipts for idempotent requests, whose callers may repeat them as they like. */
    @Test
    public void idempotentRequestWithAnIdMayBeRepeated() throws InterruptedException {
        awaitServing();
        String id = newId();
        for (int i = 0; i < 3; i++) {
            Answer answer = send(daemon(i), id, true, DEADLINE);
            assertEquals(answer.outcome(), "ran", answer.toString());
        }
        assertTrue(runs(id) >= 3);
    }

    /** Waits until every daemon makes receipts, which takes longer after an outage than serving other requests. */
    private void awaitReceipts() throws InterruptedException {
        for (String name : cluster.daemonNames()) {
            Cluster.await(
                    name + " makes receipts",
                    PATIENCE,
                    () -> send(name, newId(), false, DEADLINE).outcome().equals("ran"));
        }
    }

    private void outage(boolean on) throws IOException {
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"outage\",\"on\":" + on + "}");
    }
}
