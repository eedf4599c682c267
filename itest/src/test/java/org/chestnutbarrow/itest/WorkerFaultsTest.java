package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.bench.Judge;
import org.chestnutbarrow.bench.Observation;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Work must not be lost, duplicated or placed badly when workers leave, crash, fail tasks or lose their zone. */
public class WorkerFaultsTest extends PlatformFaultsTest {
    /** Requirement: no new work on a host later than this after the host list shows it as leaving. */
    private static final long LEAVING_GRACE_MS = 3000;

    /** Requirement: no start in a zone later than this after the zone change is in force. */
    private static final long ZONE_GRACE_MS = 3000;

    /** Number of jobs cancelled in one request. */
    private static final int CANCEL_BATCH_SIZE = 100;

    private static final String BATCH = "season-reconcile";
    private static final Duration DEADLINE = Duration.ofSeconds(3);

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(2, 6);
    }

    @AfterMethod(alwaysRun = true)
    public void clearFaults() throws IOException {
        cluster.post(cluster.hosts(), "/v1/faults", "{\"fault\":\"lag\",\"ms\":0}");
        injectFaultOnAllWorkers("\"fault\":\"leaving\",\"on\":false");
        injectFaultOnAllWorkers("\"fault\":\"fail-tasks\",\"on\":false");
    }

    /** A leaving host gets no new work, and its work completes. */
    @Test
    public void leavingHostGetsNoNewWorkAndComesBack() throws IOException, InterruptedException {
        awaitServing();
        assertEquals(submit("leave", BATCH, 40, 8000).path("result").asText(), "accepted");
        String leaving = firstWorker("leave/");
        injectFault(leaving, "\"fault\":\"leaving\",\"on\":true");
        Cluster.await(
                "host list shows the host as leaving",
                WAIT_TIMEOUT,
                () -> state(leaving).equals("LEAVING"));
        long shownMs = System.currentTimeMillis();
        assertEquals(submit("later", BATCH, 40, 1000).path("result").asText(), "accepted");
        while (System.currentTimeMillis() < shownMs + 2 * LEAVING_GRACE_MS) {
            sendAll(10, i -> send(daemon(i), newId(), true, DEADLINE));
        }
        awaitFinished("leave/", 40);
        awaitFinished("later/", 40);
        long endMs = System.currentTimeMillis();
        assertEquals(startedOn(leaving, shownMs + LEAVING_GRACE_MS, endMs), List.of());
        injectFault(leaving, "\"fault\":\"leaving\",\"on\":false");
        Cluster.await("the host gets work again", WAIT_TIMEOUT, () -> {
            try {
                sendAll(20, i -> send(daemon(i), newId(), true, DEADLINE));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return !startedOn(leaving, endMs, Long.MAX_VALUE).isEmpty();
        });
        verifyTasks();
    }

    /** Tasks are neither lost nor duplicated when a host crashes while the lagging host list still shows it as live. */
    @Test
    public void tasksOfCrashedHostRunElsewhereOnce() throws IOException, InterruptedException {
        cluster.post(cluster.hosts(), "/v1/faults", "{\"fault\":\"lag\",\"ms\":4000}");
        assertEquals(submit("crash", BATCH, 40, 5000).path("result").asText(), "accepted");
        String crashed = firstWorker("crash/");
        injectFault(crashed, "\"fault\":\"crash\"");
        List<Answer> answers = sendAll(30, i -> send(daemon(i), newId(), false, DEADLINE));
        verifyRunAtMostOnce(answers.stream().map(Answer::id).collect(Collectors.toSet()));
        awaitFinished("crash/", 40);
        assertFalse(taskEnds("crash/", "CRASHED").isEmpty());
        injectFault(crashed, "\"fault\":\"restart\"");
        long restartedMs = System.currentTimeMillis();
        Cluster.await("the host gets work again", WAIT_TIMEOUT, () -> {
            try {
                sendAll(20, i -> send(daemon(i), newId(), true, DEADLINE));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return !startedOn(crashed, restartedMs, Long.MAX_VALUE).isEmpty();
        });
        verifyTasks();
    }

    /** A worker that fails every task must not cause whole jobs to fail. */
    @Test
    public void workerThatFailsEveryTaskIsLeftOutAndNoJobIsLost() throws IOException, InterruptedException {
        assertEquals(submit("before", BATCH, 1, 100).path("result").asText(), "accepted");
        String failingWorker = firstWorker("before/");
        injectFault(failingWorker, "\"fault\":\"fail-tasks\",\"on\":true");
        for (int i = 0; i < 5; i++) {
            assertEquals(submit("fail-" + i, BATCH, 30, 1000).path("result").asText(), "accepted");
        }
        awaitFinished("fail-", 150);
        long failed = taskEnds("fail-", "FAILED").size();
        assertTrue(failed > 0, "no task was attempted on the failing worker");
        // From now on the worker receives only probes.
        long beforeMs = System.currentTimeMillis();
        assertEquals(submit("fail-more", BATCH, 60, 1000).path("result").asText(), "accepted");
        awaitFinished("fail-more/", 60);
        List<Observation> laterStarts = startedOn(failingWorker, beforeMs, Long.MAX_VALUE).stream()
                .filter(Observation.TaskStarted.class::isInstance)
                .toList();
        assertTrue(laterStarts.size() <= 3, "more than probes: " + laterStarts);
        verifyTasks();
    }

    @DataProvider
    public Object[][] infeasibleJobs() {
        return new Object[][] {
            {"{\"id\":\"big\",\"workClass\":\"" + BATCH + "\",\"demand\":{\"cores\":\"65 cores\"}}", "lower its demand"
            },
            {"{\"id\":\"quota\",\"workClass\":\"" + BATCH + "\",\"demand\":{\"memory\":\"9TiB\"}}", "lower its demand"},
            {"{\"id\":\"who\",\"workClass\":\"nobody-knows\"}", "declared classes"},
            {"{\"id\":\"inter\",\"workClass\":\"" + INTERACTIVE_CLASS + "\"}", "send requests to /" + INTERACTIVE_CLASS
            },
            {"{\"id\":\"team\",\"workClass\":\"" + BATCH + "\",\"team\":\"nobody\"}", "declared teams"},
        };
    }

    /** Jobs that can never run are rejected with a message that states the remedy. */
    @Test(dataProvider = "infeasibleJobs")
    public void jobThatCanNeverRunIsRefusedWithTheRemedy(String job, String remedy)
            throws IOException, InterruptedException {
        JsonNode answer = submit(job);
        assertEquals(answer.path("status").asInt(), 400, answer.toString());
        assertEquals(answer.path("result").asText(), "not-applied", answer.toString());
        assertTrue(answer.path("message").asText().contains(remedy), answer.toString());
        String other = "after-" + Integer.toHexString(job.hashCode());
        assertEquals(submit(other, BATCH, 2, 100).path("result").asText(), "accepted");
        awaitFinished(other + "/", 2);
    }

    /** Evicted tasks resume from their checkpoints exactly once. */
    @Test
    public void tasksOfZoneThatIsTakenOutResumeOnceFromTheirCheckpoints() throws IOException, InterruptedException {
        assertEquals(submit("evict", BATCH, 24, 12_000).path("result").asText(), "accepted");
        Cluster.await("all tasks run", WAIT_TIMEOUT, () -> taskStarts("evict/").size() >= 24);
        String zone = journals.workers().get(firstWorker("evict/")).zone();
        Set<String> inZone = journals.workers().values().stream()
                .filter(worker -> worker.zone().equals(zone))
                .map(worker -> worker.id())
                .collect(Collectors.toSet());
        Set<String> tasksInZone = taskStarts("evict/").stream()
                .filter(start -> inZone.contains(start.worker()))
                .map(Observation.TaskStarted::task)
                .collect(Collectors.toSet());
        assertFalse(tasksInZone.isEmpty());
        // Let tasks make progress that their checkpoints can preserve.
        Thread.sleep(1500);
        assertEquals(cli("zone", "out", zone), 0, cliOutput());
        long outMs = System.currentTimeMillis();
        awaitFinished("evict/", 24);
        long inMs = System.currentTimeMillis();
        assertEquals(cli("zone", "in", zone), 0, cliOutput());
        List<Observation> observations = observations();
        assertEquals(
                Judge.startedInZone(observations, journals.workers(), zone, outMs + ZONE_GRACE_MS, inMs), List.of());
        Map<String, List<Long>> resumed = new TreeMap<>();
        taskStarts("evict/").stream()
                .filter(start -> start.doneMs() > 0)
                .forEach(start -> resumed.computeIfAbsent(start.task(), _ -> new ArrayList<>())
                        .add(start.doneMs()));
        for (String task : tasksInZone) {
            assertEquals(resumed.getOrDefault(task, List.of()).size(), 1, task + " of " + resumed);
        }
        assertEquals(taskEnds("evict/", "CHECKPOINTED").size(), tasksInZone.size());
        verifyTasks();
    }

    /**
     * Bulk cancellations take effect and do not delay task starts of other jobs. Each job is one log record, so the
     * append rate of the log limits the number of jobs that the test can submit.
     */
    @Test
    public void waveOfCancellationsDoesNotStopOtherStarts() throws IOException, InterruptedException {
        int jobs = 500;
        List<String> ids = IntStream.range(0, jobs).mapToObj(i -> "wave-" + i).toList();
        for (String id : ids) {
            assertEquals(submit(id, BATCH, 1, 600_000).path("result").asText(), "accepted", id);
        }
        assertEquals(submit("urgent", BATCH, 200, 300).path("result").asText(), "accepted");
        for (int from = 0; from < jobs; from += CANCEL_BATCH_SIZE) {
            String list = ids.subList(from, from + CANCEL_BATCH_SIZE).stream()
                    .map(id -> "\"" + id + "\"")
                    .collect(Collectors.joining(","));
            JsonNode answer = cluster.post(cluster.daemon(daemon(0)), "/v1/jobs/cancel", "{\"jobs\":[" + list + "]}");
            assertEquals(answer.path("jobs").size(), CANCEL_BATCH_SIZE, answer.toString());
        }
        awaitFinished("urgent/", 200);
        Cluster.await(
                "no cancelled task is running",
                WAIT_TIMEOUT,
                () -> running("wave-").isEmpty());
        Cluster.await("no cancelled job is open", WAIT_TIMEOUT, () -> {
            try {
                return !cluster.get(cluster.daemon(daemon(0)), "/v1/jobs")
                        .toString()
                        .contains("\"wave-");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        verifyTasks();
    }

    private Set<String> running(String prefix) {
        Set<String> running = taskStarts(prefix).stream()
                .map(start -> start.task() + start.attempt())
                .collect(Collectors.toSet());
        for (Observation observation : observations()) {
            if (observation instanceof Observation.TaskEnded end) {
                running.remove(end.task() + end.attempt());
            }
        }
        return running;
    }

    /** A worker that runs a task of the job; which workers take tasks depends on the requests served before. */
    private String firstWorker(String prefix) throws InterruptedException {
        Cluster.await(
                "a task of " + prefix + " runs",
                WAIT_TIMEOUT,
                () -> !taskStarts(prefix).isEmpty());
        return taskStarts(prefix).get(0).worker();
    }

    private void awaitFinished(String prefix, int tasks) throws InterruptedException {
        Cluster.await(
                tasks + " tasks of " + prefix + " finished",
                WAIT_TIMEOUT,
                () -> taskEnds(prefix, "FINISHED").size() >= tasks);
    }

    private String state(String worker) {
        try {
            for (JsonNode host : cluster.get(cluster.hosts(), "/v1/hosts").path("hosts")) {
                if (host.path("id").asText().equals(worker)) {
                    return host.path("state").asText();
                }
            }
            return "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<Observation> startedOn(String worker, long fromMs, long toMs) {
        return observations().stream()
                .filter(observation -> observation instanceof Observation.TaskStarted
                        || observation instanceof Observation.RequestStarted)
                .filter(observation -> observation.worker().equals(worker)
                        && observation.atMs() >= fromMs
                        && observation.atMs() <= toMs)
                .toList();
    }
}
