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
 * One deployment of real processes for the tests of a class, with load, jobs and a watcher, which are judged by what the
 * workers recorded. Each test ends its own faults; those of a test that failed are ended after it.
 *
 * <p>With {@code -Dchestnutbarrow.keep=true} the folder with settings and logs is kept and printed.
 */
public abstract class ClusterTest {
    /** Longest wait for a condition; far above what is usual, so that a busy machine fails no test. */
    protected static final Duration WAIT = Duration.ofSeconds(90);

    /** Interactive requests per second; about two are served at any time. */
    protected static final double RATE = 100;

    private static final int DAEMONS = 3;
    private static final int WORKERS = 6;
    private static final Path EXAMPLE =
            Path.of(System.getProperty("chestnutbarrow.root"), "examples/hivatal/declarations.jsonc");
    private static final String LARGE_QUOTA = "2000 cores";
    /** Thirty batch tasks and two watchers at a time. */
    private static final String QUOTA = "61 cores";

    protected Cluster cluster;
    protected Workload work;
    private Path folder;
    private boolean loaded;
    private final List<String> judged = new ArrayList<>();

    /**
     * Three daemons and six workers that are so large that tasks do not slow requests down; the team's quota bounds the
     * tasks that run at a time, so that some wait while a fault lasts.
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
        cluster.awaitReady(WAIT);
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
            System.out.println(getClass().getSimpleName() + ": settings and logs are in " + folder);
        } else {
            Cluster.delete(folder);
        }
    }

    /** Ends whatever a failed test has left behind, so that the next one starts from a whole deployment. */
    @AfterMethod(alwaysRun = true)
    public void heal() throws IOException, InterruptedException {
        if (work == null) {
            return;
        }
        if (loaded) {
            stopLoad();
        }
        outage(false);
        loseAnswers(0);
        for (String daemon : cluster.daemonNames()) {
            if (cluster.processes().alive(daemon)) {
                cluster.processes().signal(daemon, "CONT");
            } else {
                restart(daemon);
            }
            cut(false, linksToLog(daemon));
            cut(false, linksToPeers(daemon));
        }
        cluster.awaitReady(WAIT);
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
        work.startLoad(RATE);
        loaded = true;
    }

    /** Ends the load and waits for its last answer. */
    protected LoadResult stopLoad() throws InterruptedException {
        loaded = false;
        return work.stopLoad();
    }

    /** Starts a daemon again that has ended. */
    protected void restart(String daemon) throws IOException {
        work.restarts(daemon);
        cluster.startDaemon(daemon);
    }

    /** Waits until some tasks of a job have started. */
    protected void awaitStarted(String job, int atLeast) throws InterruptedException {
        Cluster.await(job + " has started", WAIT, () -> starts(job, 0, Long.MAX_VALUE) >= atLeast);
    }

    /** Number of starts of a job's tasks between two times. */
    protected long starts(String job, long fromMs, long toMs) {
        return work.observations().stream()
                .filter(seen -> seen instanceof Observation.TaskStarted start
                        && start.task().startsWith(job + "/")
                        && start.atMs() >= fromMs
                        && start.atMs() <= toMs)
                .count();
    }

    /** Waits until a daemon holds workers; returns them. */
    protected Set<String> awaitHeld(String daemon) throws InterruptedException {
        Cluster.await(
                daemon + " holds workers", WAIT, () -> !work.heldBy(daemon).isEmpty());
        return work.heldBy(daemon);
    }

    /** Waits until each of the workers has started a request or task under a lease granted after a time. */
    protected void awaitTakenOver(Set<String> workers, long fromMs) throws InterruptedException {
        Cluster.await(
                "work starts again on " + workers,
                WAIT,
                () -> work.firstStarts(workers, fromMs).keySet().equals(workers));
    }

    /** Judges what must hold whatever fails; a breach is reported by the first test after it. */
    protected void judge() {
        List<String> broken = new ArrayList<>(work.broken());
        broken.removeAll(judged);
        judged.addAll(broken);
        assertTrue(broken.isEmpty(), broken.toString());
    }

    /** Makes the log answer nothing but 503, or ends it. */
    protected void outage(boolean on) throws IOException {
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"outage\",\"on\":" + on + "}");
    }

    /** Makes the log lose its answers to the next appends, after they took effect. */
    protected void loseAnswers(int count) throws IOException {
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"lose-answers\",\"count\":" + count + "}");
    }

    /** Cuts links of the proxy, or joins them again. */
    protected void cut(boolean on, List<String> links) throws IOException {
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

    /** Output of a command line with its exit code. */
    protected record CliResult(int exitCode, String output) {}

    /** Runs the command line against one daemon. */
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
