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

/** Non-idempotent requests must not run again when callers repeat them with the same id. */
public class ReceiptsTest extends PlatformFaultsTest {
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(3, 6);
    }

    @AfterMethod(alwaysRun = true)
    public void clearFaults() throws IOException {
        setOutage(false);
        injectFaultOnAllWorkers("\"fault\":\"delay\",\"ms\":0");
    }

    /** A request of a killed daemon is not run again by the other daemons. */
    @Test
    public void requestOfKilledDaemonIsNotRunAgain() throws Exception {
        awaitReceipts();
        injectFaultOnAllWorkers("\"fault\":\"delay\",\"ms\":6000");
        String id = newId();
        String first = daemon(0);
        try (ExecutorService caller = Executors.newSingleThreadExecutor()) {
            Future<Answer> pending = caller.submit(() -> send(first, id, false, Duration.ofSeconds(10)));
            Cluster.await("request is running", WAIT_TIMEOUT, () -> countRuns(id) == 1);
            cluster.processes().kill(first);
            List<Answer> repeated = sendAll(2, i -> send(daemon(i + 1), id, false, DEADLINE));
            for (Answer answer : repeated) {
                assertEquals(answer.response().status(), 409, answer.toString());
                assertEquals(answer.outcome(), "unknown", answer.toString());
            }
            assertEquals(pending.get().outcome(), "no-answer", "the killed daemon must not respond");
        } finally {
            clearFaults();
            cluster.startDaemon(first);
        }
        cluster.awaitReady(WAIT_TIMEOUT);
        awaitReceipts();
        Answer again = send(first, id, false, DEADLINE);
        assertEquals(again.response().status(), 409, again.toString());
        assertEquals(countRuns(id), 1);
    }

    /** Of concurrent requests with the same id, only the one with the first receipt runs. */
    @Test
    public void oneOfSimultaneousRequestsWithTheSameIdRuns() throws InterruptedException {
        awaitReceipts();
        for (int round = 0; round < 10; round++) {
            String id = newId();
            List<Answer> answers = sendAll(6, i -> send(daemon(i), id, false, DEADLINE));
            long ran = answers.stream()
                    .filter(answer -> answer.outcome().equals("ran"))
                    .count();
            long rejectedAsDuplicate = answers.stream()
                    .filter(answer -> answer.outcome().equals("unknown")
                            && answer.response().status() == 409)
                    .count();
            assertEquals(ran, 1, answers.toString());
            assertEquals(rejectedAsDuplicate, 5, answers.toString());
            assertEquals(countRuns(id), 1);
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

    /** Ids whose receipts cannot be kept for as long as the caller may repeat the request are rejected. */
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
        assertEquals(countRuns(id), 0);
    }

    /** An empty id, which is invalid for idempotent requests too, must not cause a server error. */
    @Test
    public void emptyIdOfIdempotentRequestIsNoServerError() {
        Answer answer = send(daemon(0), "", true, DEADLINE);
        assertTrue(answer.response().status() < 500, answer.toString());
    }

    /** During a log outage only requests that need a durable receipt are rejected. */
    @Test
    public void logOutageRefusesOnlyRequestsThatNeedReceipts() throws IOException, InterruptedException {
        awaitServing();
        setOutage(true);
        // Appends in flight when the outage began may still be read back.
        Cluster.await(
                "requests that need receipts are rejected",
                WAIT_TIMEOUT,
                () -> send(daemon(0), newId(), false, DEADLINE).outcome().equals("not-run"));
        for (int i = 0; i < 3; i++) {
            Answer rejected = send(daemon(i), newId(), false, DEADLINE);
            assertEquals(rejected.outcome(), "not-run", rejected.toString());
            assertEquals(rejected.response().status(), 503, rejected.toString());
            verifyRejectedNotRun(Set.of(rejected.id()));
            String idempotentId = newId();
            Answer idempotent = send(daemon(i), idempotentId, true, DEADLINE);
            assertEquals(idempotent.outcome(), "ran", idempotent.toString());
            assertTrue(idempotent.hasOwnRequestId(), idempotent.toString());
            Answer withoutId =
                    send(daemon(i), "", Headers.of("Chestnutbarrow-Deadline-Ms", String.valueOf(DEADLINE.toMillis())));
            assertEquals(withoutId.outcome(), "ran", withoutId.toString());
        }
        setOutage(false);
        awaitReceipts();
    }

    /** Idempotent requests need no receipts and can be repeated with the same id. */
    @Test
    public void idempotentRequestWithAnIdMayBeRepeated() throws InterruptedException {
        awaitServing();
        String id = newId();
        for (int i = 0; i < 3; i++) {
            Answer answer = send(daemon(i), id, true, DEADLINE);
            assertEquals(answer.outcome(), "ran", answer.toString());
        }
        assertTrue(countRuns(id) >= 3);
    }

    /** Waits until every daemon creates receipts, which after an outage takes longer than serving other requests. */
    private void awaitReceipts() throws InterruptedException {
        for (String name : cluster.daemonNames()) {
            Cluster.await(
                    name + " creates receipts",
                    WAIT_TIMEOUT,
                    () -> send(name, newId(), false, DEADLINE).outcome().equals("ran"));
        }
    }

    private void setOutage(boolean on) throws IOException {
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"outage\",\"on\":" + on + "}");
    }
}
