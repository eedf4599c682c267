package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.LoadResult;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.testng.annotations.Test;

/** Daemons must not act before they know the configuration, and must report why they fail to start. */
public class StartupTest extends ClusterTest {
    private static final int INVALID_SETTINGS_EXIT_CODE = 2;
    private static final long LOG_OUTAGE_MS = 4000;
    /** Markers of stack traces, which must not appear in output meant for operators. */
    private static final List<String> STACK_TRACE_MARKERS = List.of("\tat ", "Exception in thread");

    @Test
    public void daemonsThatCannotReachTheLogTakeNothingUntilTheyCan() throws IOException, InterruptedException {
        work.submitBatch("blind", 60, 3000);
        startLoad();
        awaitStarted("blind", 20);
        setOutage(true);
        for (String daemon : cluster.daemonNames()) {
            cluster.processes().kill(daemon);
        }
        long killedMs = System.currentTimeMillis();
        for (String daemon : cluster.daemonNames()) {
            restart(daemon);
        }
        for (String daemon : cluster.daemonNames()) {
            Cluster.await(daemon + " is healthy", WAIT_TIMEOUT, () -> status(daemon, "/health") == 200);
        }
        Thread.sleep(LOG_OUTAGE_MS);
        for (String daemon : cluster.daemonNames()) {
            assertEquals(status(daemon, "/ready"), 503, daemon);
        }
        assertEquals(work.firstStarts(workers(), killedMs), Map.of(), "no work may start while the log is unavailable");
        setOutage(false);
        cluster.awaitReady(WAIT_TIMEOUT);
        work.awaitJobs(WAIT_TIMEOUT);
        LoadResult load = stopLoad();
        verifyInvariants();
        assertTrue(load.count("ran") > 0, "outcomes " + load.outcomes());
        for (String daemon : cluster.daemonNames()) {
            assertNoStackTrace(Files.readString(folder().resolve(daemon + ".out")));
        }
    }

    @Test
    public void everyErrorOfTheSettingsIsReported() throws IOException, InterruptedException {
        Path file = folder().resolve("wrong.jsonc");
        Files.writeString(file, """
                {
                  "id": "entry 1",
                  "availabilityZone": "eger",
                  "http": "localhost:8080",
                  "peer": "127.0.0.1:99999",
                  "peerKey": "short",
                  "log": "127.0.0.1:9000",
                  "hostList": "127.0.0.1:9001",
                  "colour": "red"
                }
                """);
        String output = runRejected("wrong", file);
        for (String name : List.of("id", "http", "peer", "peerKey", "colour")) {
            assertTrue(output.contains(name), name + " not reported in: " + output);
        }
        assertTrue(output.contains("wrong.jsonc"), output);
    }

    @Test
    public void portInUseIsReported() throws IOException, InterruptedException {
        for (String field : List.of("http", "peer")) {
            ObjectNode settings = (ObjectNode)
                    Json.MAPPER.readTree(cluster.settingsOf("entry-1").toFile());
            String usedAddress = settings.path(field).asText();
            settings.put("http", "127.0.0.1:0").put("peer", "127.0.0.1:0").put(field, usedAddress);
            settings.put("logTo", folder().resolve("used-" + field + ".log").toString());
            Path file = folder().resolve("used-" + field + ".jsonc");
            Files.writeString(file, settings.toPrettyString());
            String output = runRejected("used-" + field, file);
            assertTrue(output.contains(usedAddress), output);
        }
    }

    private String runRejected(String name, Path settings) throws IOException, InterruptedException {
        int code = cluster.runDaemon(name, settings);
        String output = Files.readString(folder().resolve(name + ".out"));
        assertEquals(code, INVALID_SETTINGS_EXIT_CODE, output);
        assertNoStackTrace(output);
        return output;
    }

    private static void assertNoStackTrace(String output) {
        for (String marker : STACK_TRACE_MARKERS) {
            assertFalse(output.contains(marker), output);
        }
    }

    private Set<String> workers() {
        work.observations();
        return work.workers().keySet();
    }

    private int status(String daemon, String target) {
        try {
            return cluster.http()
                    .send(cluster.daemon(daemon), HttpRequest.get(target), WAIT_TIMEOUT)
                    .status();
        } catch (NotRunException | OutcomeUnknownException e) {
            return -1;
        }
    }
}
