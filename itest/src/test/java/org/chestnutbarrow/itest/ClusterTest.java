package org.chestnutbarrow.itest;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.bench.LoadResult;
import org.chestnutbarrow.bench.Observation;
import org.chestnutbarrow.bench.Workload;
import org.chestnutbarrow.model.Address;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;

/**
 * Base class of tests that share a deployment of real processes with load, jobs and a watcher and verify it against the
 * journals of the workers. Each test clears its own faults; faults left by a failed test are cleared after it.
 *
 * <p>With {@code -Dchestnutbarrow.keep=true} the folder with settings and logs is kept and its path is printed.
 */
public abstract class ClusterTest {
    /** Timeout for conditions; far above usual times, so that tests do not fail on a busy machine. */
    protected static final Duration WAIT_TIMEOUT = Duration.ofSeconds(90);

    /** Interactive requests per second; about two are in flight at any time. */
    protected static final double REQUESTS_PER_SECOND = 100;

    private static final int DAEMONS = 3;
    private static final int WORKERS = 6;
    private static final Path EXAMPLE =
            Path.of(System.getProperty("chestnutbarrow.root"), "examples/hivatal/declarations.jsonc");
    private static final String LARGE_QUOTA = "2000 cores";
    /** Enough for thirty batch tasks and two watchers at a time. */
    private static final String QUOTA = "61 cores";

    protected Cluster cluster;
    protected Workload work;
    private Path folder;
    private boolean loadRunning;
    private final List<String> reportedViolations = new ArrayList<>();

    /**
     * Three daemons and six workers large enough for tasks not to slow requests down. The team quota limits the
     * number of concurrent tasks, so that some tasks are queued while a fault is active.
     */
    protected ClusterSpec spec() {
        return new ClusterSpec(
                DAEMONS,
                WORKERS,
                List.of("eger", "miskolc", "salgotarjan"),
                256,
                256_000,
                0,
                Map.of("fitting-check", "100ms"),
                3600,
                false,
                1);
    }

    @BeforeClass
    public void start() throws IOException, InterruptedException {
        folder = Files.createTempDirectory("chestnutbarrow-itest");
        cluster = Cluster.start(spec(), folder);
        cluster.awaitReady(WAIT_TIMEOUT);
        Files.writeString(declarations(), Files.readString(EXAMPLE).replace(LARGE_QUOTA, QUOTA));
        work = new Workload(cluster, declarations());
        work.declare();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        if (work != null) {
            work.close();
        }
        if (cluster != null) {
            cluster.close();
        }
        if (Boolean.getBoolean("chestnutbarrow.keep")) {
            System.out.println(getClass().getSimpleName() + ": settings and logs kept in " + folder);
        } else {
            Cluster.delete(folder);
        }
    }

    /** Clears load and faults left by a failed test, so that the next test starts with an intact deployment. */
    @AfterMethod(alwaysRun = true)
    public void clearFaults() throws IOException, InterruptedException {
        if (work == null) {
            return;
        }
        if (loadRunning) {
            stopLoad();
        }
        setOutage(false);
        dropLogResponses(0);
        for (String daemon : cluster.daemonNames()) {
            if (cluster.processes().alive(daemon)) {
                cluster.processes().signal(daemon, "CONT");
            } else {
                restart(daemon);
            }
            setLinksCut(false, linksToLog(daemon));
            setLinksCut(false, linksToPeers(daemon));
        }
        cluster.awaitReady(WAIT_TIMEOUT);
    }

    /** The declarations of the rental service with the quota of the tests. */
    protected Path declarations() {
        return folder.resolve("declarations.jsonc");
    }

    /** Folder of settings, logs and output of all processes. */
    protected Path folder() {
        return folder;
    }

    /** Sends interactive requests until {@link #stopLoad}. */
    protected void startLoad() {
        work.startLoad(REQUESTS_PER_SECOND);
        loadRunning = true;
    }

    /** Stops the load and waits for outstanding responses. */
    protected LoadResult stopLoad() throws InterruptedException {
        loadRunning = false;
        return work.stopLoad();
    }

    /** Restarts a daemon that has exited. */
    protected void restart(String daemon) throws IOException {
        work.restarts(daemon);
        cluster.startDaemon(daemon);
    }

    /** Waits until at least the given number of tasks of a job have started. */
    protected void awaitStarted(String job, int atLeast) throws InterruptedException {
        Cluster.await(job + " has started", WAIT_TIMEOUT, () -> starts(job, 0, Long.MAX_VALUE) >= atLeast);
    }

    /** Number of task starts of a job in a time interval, bounds included. */
    protected long starts(String job, long fromMs, long toMs) {
        return work.observations().stream()
                .filter(observation -> observation instanceof Observation.TaskStarted start
                        && start.task().startsWith(job + "/")
                        && start.atMs() >= fromMs
                        && start.atMs() <= toMs)
                .count();
    }

    /** Waits until a daemon holds worker leases; returns the workers. */
    protected Set<String> awaitHeld(String daemon) throws InterruptedException {
        Cluster.await(
                daemon + " holds workers",
                WAIT_TIMEOUT,
                () -> !work.heldBy(daemon).isEmpty());
        return work.heldBy(daemon);
    }

    /** Waits until each worker has started a request or task under a lease granted after the given time. */
    protected void awaitTakenOver(Set<String> workers, long fromMs) throws InterruptedException {
        Cluster.await(
                "work restarts on " + workers,
                WAIT_TIMEOUT,
                () -> work.firstStarts(workers, fromMs).keySet().equals(workers));
    }

    /** Checks the invariants that hold under any fault; each violation is reported once, by the first test after it. */
    protected void verifyInvariants() {
        List<String> violations = new ArrayList<>(work.broken());
        violations.removeAll(reportedViolations);
        reportedViolations.addAll(violations);
        assertTrue(violations.isEmpty(), violations.toString());
    }

    /** Starts or ends a log outage, during which the log responds with status 503 only. */
    protected void setOutage(boolean on) throws IOException {
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"outage\",\"on\":" + on + "}");
    }

    /** Makes the log drop its responses to the next appends, after they have taken effect. */
    protected void dropLogResponses(int count) throws IOException {
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"lose-answers\",\"count\":" + count + "}");
    }

    /** Disconnects or restores links of the proxy. */
    protected void setLinksCut(boolean on, List<String> links) throws IOException {
        for (String link : cluster.proxy() == null ? List.<String>of() : links) {
            String fault = on ? "{\"fault\":\"cut\"}" : "{\"fault\":\"none\"}";
            cluster.post(cluster.proxy(), "/v1/faults?pair=" + link, fault);
        }
    }

    /** The link from a daemon to the log. */
    protected static List<String> linksToLog(String daemon) {
        return List.of(daemon + ":log");
    }

    /** The links between a daemon and all others, in both directions. */
    protected List<String> linksToPeers(String daemon) {
        List<String> links = new ArrayList<>();
        for (String other : cluster.daemonNames()) {
            if (!other.equals(daemon)) {
                links.add(daemon + ":" + other);
                links.add(other + ":" + daemon);
            }
        }
        return links;
    }

    /** Exit code and output of a CLI command. */
    protected record CliResult(int exitCode, String output) {}

    /** Runs a CLI command against one daemon. */
    protected CliResult cli(String daemon, String... arguments) throws IOException, InterruptedException {
        Path file = folder.resolve("cli.out");
        int before = Files.exists(file) ? Files.readString(file).length() : 0;
        int code = cluster.cli(List.of(daemon), List.of(arguments));
        return new CliResult(code, Files.readString(file).substring(before));
    }

    /** Version of the configuration at a daemon. */
    protected long version(String daemon) throws IOException {
        return configuration(daemon).path("version").asLong(-1);
    }

    /** The configuration at a daemon. */
    protected JsonNode configuration(String daemon) throws IOException {
        Address address = cluster.daemon(daemon);
        return cluster.get(address, "/v1/configuration");
    }
}
