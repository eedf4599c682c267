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

/** Guards against work that is lost, doubled or started on workers that leave, crash, fail tasks or lie in a zone taken out. */
public class WorkerFaultsTest extends PlatformFaultsTest {
    /** A requirement: no new work later than that after the host list shows a host as leaving. */
    private static final long LEAVING_BOUND_MS = 3000;

    /** A requirement: no start in a zone later than that after the change is in force. */
    private static final long ZONE_BOUND_MS = 3000;

    /** Cancellations in one request. */
    private static final int WAVE = 100;

    private static final String BATCH = "season-reconcile";
    private static final Duration DEADLINE = Duration.ofSeconds(3);

    @Override
    ClusterSpec spec() {
        return ClusterSpec.hivatal(2, 6);
    }

    @AfterMethod(alwaysRun = true)
    public void heal() throws IOException {
        cluster.post(cluster.hosts(), "/v1/faults", "{\"fault\":\"lag\",\"ms\":0}");
        faultEverywhere("\"fault\":\"leaving\",\"on\":false");
        faultEverywhere("\"fault\":\"fail-tasks\",\"on\":false");
    }

    /** Guards against new work on a host that leaves, and against work there that is lost or never moved. */
    @Test
    public void leavingHostGetsNoNewWorkAndComesBack() throws IOException, InterruptedException {
        awaitServing();
        assertEquals(submit("leave", BATCH, 40, 8000).path("result").asText(), "accepted");
        String leaving = firstWorker("leave/");
        fault(leaving, "\"fault\":\"leaving\",\"on\":true");
        Cluster.await(
                "the list shows the host as leaving",
                PATIENCE,
                () -> state(leaving).equals("LEAVING"));
        long shownMs = System.currentTimeMillis();
        assertEquals(submit("later", BATCH, 40, 1000).path("result").asText(), "accepted");
        while (System.currentTimeMillis() < shownMs + 2 * LEAVING_BOUND_MS) {
            sendAll(10, i -> send(daemon(i), newId(), true, DEADLINE));
        }
        awaitFinished("leave/", 40);
        awaitFinished("later/", 40);
        long endMs = System.currentTimeMillis();
        assertEquals(startedOn(leaving, shownMs + LEAVING_BOUND_MS, endMs), List.of());
        fault(leaving, "\"fault\":\"leaving\",\"on\":false");
        Cluster.await("the host gets work again", PATIENCE, () -> {
            try {
                sendAll(20, i -> send(daemon(i), newId(), true, DEADLINE));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return !startedOn(leaving, endMs, Long.MAX_VALUE).isEmpty();
        });
        judgeTasks();
    }

    /** Guards against lost or doubled tasks when a host crashes that a lagging list still shows as live. */
    @Test
    public void tasksOfCrashedHostRunElsewhereOnce() throws IOException, InterruptedException {
        cluster.post(cluster.hosts(), "/v1/faults", "{\"fault\":\"lag\",\"ms\":4000}");
        assertEquals(submit("crash", BATCH, 40, 5000).path("result").asText(), "accepted");
        String crashed = firstWorker("crash/");
        fault(crashed, "\"fault\":\"crash\"");
        List<Answer> answers = sendAll(30, i -> send(daemon(i), newId(), false, DEADLINE));
        judgeOnce(answers.stream().map(Answer::id).collect(Collectors.toSet()));
        awaitFinished("crash/", 40);
        assertFalse(taskEnds("crash/", "CRASHED").isEmpty());
        fault(crashed, "\"fault\":\"restart\"");
        long restartedMs = System.currentTimeMillis();
        Cluster.await("the host gets work again", PATIENCE, () -> {
            try {
                sendAll(20, i -> send(daemon(i), newId(), true, DEADLINE));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return !startedOn(crashed, restartedMs, Long.MAX_VALUE).isEmpty();
        });
        judgeTasks();
    }

    /** Guards against a worker that fails every task and takes whole jobs down with it. */
    @Test
    public void workerThatFailsEveryTaskIsLeftOutAndNoJobIsLost() throws IOException, InterruptedException {
        assertEquals(submit("before", BATCH, 1, 100).path("result").asText(), "accepted");
        String bad = firstWorker("before/");
        fault(bad, "\"fault\":\"fail-tasks\",\"on\":true");
        for (int i = 0; i < 5; i++) {
            assertEquals(submit("fail-" + i, BATCH, 30, 1000).path("result").asText(), "accepted");
        }
        awaitFinished("fail-", 150);
        long failed = taskEnds("fail-", "FAILED").size();
        assertTrue(failed > 0, "no task was tried on the bad worker");
        // Left out from now on except for probes.
        long beforeMs = System.currentTimeMillis();
        assertEquals(submit("fail-more", BATCH, 60, 1000).path("result").asText(), "accepted");
        awaitFinished("fail-more/", 60);
        List<Observation> more = startedOn(bad, beforeMs, Long.MAX_VALUE).stream()
                .filter(Observation.TaskStarted.class::isInstance)
                .toList();
        assertTrue(more.size() <= 3, "more than probes: " + more);
        judgeTasks();
    }

    @DataProvider
    public Object[][] impossible() {
        return new Object[][] {
            {"{\"id\":\"big\",\"workClass\":\"" + BATCH + "\",\"demand\":{\"cores\":\"65 cores\"}}", "lower its demand"
            },
            {"{\"id\":\"quota\",\"workClass\":\"" + BATCH + "\",\"demand\":{\"memory\":\"9TiB\"}}", "lower its demand"},
            {"{\"id\":\"who\",\"workClass\":\"nobody-knows\"}", "declared classes"},
            {"{\"id\":\"inter\",\"workClass\":\"" + WORK + "\"}", "send requests to /" + WORK},
            {"{\"id\":\"team\",\"workClass\":\"" + BATCH + "\",\"team\":\"nobody\"}", "declared teams"},
        };
    }

    /** Guards against jobs that are accepted although they can never run, or refused without a remedy. */
    @Test(dataProvider = "impossible")
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

    /** Guards against evicted tasks that are lost, start from nothing, or resume twice. */
    @Test
    public void tasksOfZoneThatIsTakenOutResumeOnceFromTheirCheckpoints() throws IOException, InterruptedException {
        assertEquals(submit("evict", BATCH, 24, 12_000).path("result").asText(), "accepted");
        Cluster.await("all tasks run", PATIENCE, () -> taskStarts("evict/").size() >= 24);
        String zone = journals.workers().get(firstWorker("evict/")).zone();
        Set<String> inZone = journals.workers().values().stream()
                .filter(worker -> worker.zone().equals(zone))
                .map(worker -> worker.id())
                .collect(Collectors.toSet());
        Set<String> there = taskStarts("evict/").stream()
                .filter(start -> inZone.contains(start.worker()))
                .map(Observation.TaskStarted::task)
                .collect(Collectors.toSet());
        assertFalse(there.isEmpty());
        // Work that a checkpoint can hold.
        Thread.sleep(1500);
        assertEquals(cli("zone", "out", zone), 0, cliOutput());
        long outMs = System.currentTimeMillis();
        awaitFinished("evict/", 24);
        long inMs = System.currentTimeMillis();
        assertEquals(cli("zone", "in", zone), 0, cliOutput());
        List<Observation> seen = seen();
        assertEquals(Judge.startedInZone(seen, journals.workers(), zone, outMs + ZONE_BOUND_MS, inMs), List.of());
        Map<String, List<Long>> resumed = new TreeMap<>();
        taskStarts("evict/").stream()
                .filter(start -> start.doneMs() > 0)
                .forEach(start -> resumed.computeIfAbsent(start.task(), _ -> new ArrayList<>())
                        .add(start.doneMs()));
        for (String task : there) {
            assertEquals(resumed.getOrDefault(task, List.of()).size(), 1, task + " of " + resumed);
        }
        assertEquals(taskEnds("evict/", "CHECKPOINTED").size(), there.size());
        judgeTasks();
    }

    /**
     * Guards against cancellations in waves that stop other jobs' starts or are themselves lost. Each job is one record of
     * the log, whose rate bounds the number of jobs that a test can submit.
     */
    @Test
    public void waveOfCancellationsDoesNotStopOtherStarts() throws IOException, InterruptedException {
        int jobs = 500;
        List<String> ids = IntStream.range(0, jobs).mapToObj(i -> "wave-" + i).toList();
        for (String id : ids) {
            assertEquals(submit(id, BATCH, 1, 600_000).path("result").asText(), "accepted", id);
        }
        assertEquals(submit("urgent", BATCH, 200, 300).path("result").asText(), "accepted");
        for (int from = 0; from < jobs; from += WAVE) {
            String list = ids.subList(from, from + WAVE).stream()
                    .map(id -> "\"" + id + "\"")
                    .collect(Collectors.joining(","));
            JsonNode answer = cluster.post(cluster.daemon(daemon(0)), "/v1/jobs/cancel", "{\"jobs\":[" + list + "]}");
            assertEquals(answer.path("jobs").size(), WAVE, answer.toString());
        }
        awaitFinished("urgent/", 200);
        Cluster.await("no cancelled task runs", PATIENCE, () -> running("wave-").isEmpty());
        Cluster.await("no cancelled job is open", PATIENCE, () -> {
            try {
                return !cluster.get(cluster.daemon(daemon(0)), "/v1/jobs")
                        .toString()
                        .contains("\"wave-");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        judgeTasks();
    }

    private Set<String> running(String prefix) {
        Set<String> running = taskStarts(prefix).stream()
                .map(start -> start.task() + start.attempt())
                .collect(Collectors.toSet());
        for (Observation observation : seen()) {
            if (observation instanceof Observation.TaskEnded end) {
                running.remove(end.task() + end.attempt());
            }
        }
        return running;
    }

    /** A worker that runs a task of the job; which ones take tasks depends on the requests served before. */
    private String firstWorker(String prefix) throws InterruptedException {
        Cluster.await(
                "a task of " + prefix + " runs",
                PATIENCE,
                () -> !taskStarts(prefix).isEmpty());
        return taskStarts(prefix).get(0).worker();
    }

    private void awaitFinished(String prefix, int tasks) throws InterruptedException {
        Cluster.await(
                tasks + " tasks of " + prefix + " finished",
                PATIENCE,
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
        return seen().stream()
                .filter(seen -> seen instanceof Observation.TaskStarted || seen instanceof Observation.RequestStarted)
                .filter(seen -> seen.worker().equals(worker) && seen.atMs() >= fromMs && seen.atMs() <= toMs)
                .toList();
    }
}
