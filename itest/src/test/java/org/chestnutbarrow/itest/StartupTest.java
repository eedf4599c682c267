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

/** Guards against daemons that start half, act before they know the configuration, or fail without saying why. */
public class StartupTest extends ClusterTest {
    private static final int INVALID = 2;
    private static final long BLIND_MS = 4000;
    /** Operators read the output of a process that does not start; a stack trace tells them nothing. */
    private static final List<String> STACK_TRACE = List.of("\tat ", "Exception in thread");

    @Test
    public void daemonsThatCannotReachTheLogTakeNothingUntilTheyCan() throws IOException, InterruptedException {
        work.submitBatch("blind", 60, 3000);
        startLoad();
        awaitStarted("blind", 20);
        outage(true);
        for (String daemon : cluster.daemonNames()) {
            cluster.processes().kill(daemon);
        }
        long ended = System.currentTimeMillis();
        for (String daemon : cluster.daemonNames()) {
            restart(daemon);
        }
        for (String daemon : cluster.daemonNames()) {
            Cluster.await(daemon + " answers", WAIT, () -> status(daemon, "/health") == 200);
        }
        Thread.sleep(BLIND_MS);
        for (String daemon : cluster.daemonNames()) {
            assertEquals(status(daemon, "/ready"), 503, daemon);
        }
        assertEquals(work.firstStarts(workers(), ended), Map.of(), "nothing may start without the log");
        outage(false);
        cluster.awaitReady(WAIT);
        work.awaitJobs(WAIT);
        LoadResult load = stopLoad();
        judge();
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
        String output = refused("wrong", file);
        for (String name : List.of("id", "http", "peer", "peerKey", "colour")) {
            assertTrue(output.contains(name), name + " is missing in: " + output);
        }
        assertTrue(output.contains("wrong.jsonc"), output);
    }

    @Test
    public void portInUseIsReported() throws IOException, InterruptedException {
        for (String field : List.of("http", "peer")) {
            ObjectNode settings = (ObjectNode)
                    Json.MAPPER.readTree(cluster.settingsOf("entry-1").toFile());
            String used = settings.path(field).asText();
            settings.put("http", "127.0.0.1:0").put("peer", "127.0.0.1:0").put(field, used);
            settings.put("logTo", folder().resolve("used-" + field + ".log").toString());
            Path file = folder().resolve("used-" + field + ".jsonc");
            Files.writeString(file, settings.toPrettyString());
            String output = refused("used-" + field, file);
            assertTrue(output.contains(used), output);
        }
    }

    private String refused(String name, Path settings) throws IOException, InterruptedException {
        int code = cluster.runDaemon(name, settings);
        String output = Files.readString(folder().resolve(name + ".out"));
        assertEquals(code, INVALID, output);
        assertNoStackTrace(output);
        return output;
    }

    private static void assertNoStackTrace(String output) {
        for (String sign : STACK_TRACE) {
            assertFalse(output.contains(sign), output);
        }
    }

    private Set<String> workers() {
        work.observations();
        return work.workers().keySet();
    }

    private int status(String daemon, String target) {
        try {
            return cluster.http()
                    .send(cluster.daemon(daemon), HttpRequest.get(target), WAIT)
                    .status();
        } catch (NotRunException | OutcomeUnknownException e) {
            return -1;
        }
    }
}
