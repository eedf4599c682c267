package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.bench.Journals;
import org.chestnutbarrow.bench.Judge;
import org.chestnutbarrow.bench.LoadGenerator;
import org.chestnutbarrow.bench.LoadResult;
import org.chestnutbarrow.bench.LoadSpec;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends requests through a complete deployment, from the caller to an endpoint and back. */
public class WholePathTest {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(90);

    private Path folder;
    private Cluster cluster;

    @BeforeClass
    public void start() throws IOException, InterruptedException {
        folder = Files.createTempDirectory("chestnutbarrow-itest");
        cluster = Cluster.start(ClusterSpec.hivatal(3, 6), folder);
        cluster.awaitReady(START_TIMEOUT);
        Path file = Path.of(System.getProperty("chestnutbarrow.root"), "examples/hivatal/declarations.jsonc");
        assertEquals(cluster.cli(cluster.daemonNames(), List.of("apply", file.toString())), 0);
    }

    /** Stops the deployment; keeps its folder if the system property {@code chestnutbarrow.keep} is set. */
    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        if (cluster != null) {
            cluster.close();
        }
        if (Boolean.getBoolean("chestnutbarrow.keep")) {
            System.out.println("WholePathTest: settings and logs kept in " + folder);
        } else {
            Cluster.delete(folder);
        }
    }

    @Test
    public void everyRequestIsAnsweredInWholeByItsOwnAnswer() throws IOException, InterruptedException {
        LoadSpec spec = new LoadSpec("fitting-check", 100, Duration.ofSeconds(5), 0.2, Duration.ofSeconds(5), 3);
        List<String> names = cluster.daemonNames();
        LoadResult result = new LoadGenerator(
                        cluster.http(), names.stream().map(cluster::daemon).toList(), spec)
                .run();
        Journals journals = new Journals(cluster);
        journals.collect();
        assertEquals(result.count("ran"), result.sent(), "outcomes " + result.outcomes() + " " + result.failures());
        assertEquals(result.wrong(), 0);
        assertEquals(Judge.overCommitted(journals.observations(), journals.workers()), List.of());
        assertEquals(Judge.ranMoreThanOnce(journals.observations(), result.nonIdempotent()), List.of());
    }
}
