package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** A short play of three nodes in which the store takes appends of progress late, and other nodes than the owner cannot read jobs. */
public class SlowProgressTest {
    private static final long SEED = 1;
    private static final Duration LOAD = Duration.ofSeconds(12);

    private PlayResult result;

    @BeforeClass
    public void play() throws Exception {
        Path root = Path.of(System.getProperty("chestnutbarrow.root"));
        PlaySettings settings = new PlaySettings(
                SEED, 3, 8, LOAD, Duration.ofSeconds(20), Set.of(Fault.Family.STORE), false, true, false, root);
        Fault slowProgress = new Fault.StoreCalls(
                Fault.Side.EVERYBODY,
                Fault.StoreScope.PROGRESS_APPENDS,
                new Disturbance.Slow(Duration.ofMillis(100), Duration.ofMillis(400)));
        // Nodes that have not read a job store it again when it is submitted again.
        Fault unreadJobs =
                new Fault.StoreCalls(Fault.Side.OTHERS, Fault.StoreScope.JOB_READS, new Disturbance.Silent());
        List<Fault.Timed> faults = Stream.of(slowProgress, unreadJobs)
                .map(fault -> new Fault.Timed(Duration.ZERO, LOAD, fault))
                .toList();
        result = Play.run(settings, faults, TimeSource.SYSTEM);
        assertTrue(result.accepted() > 0, result.report());
    }

    private void assertNone(Finding.Rule... rules) {
        List<Finding> found = result.findings().stream()
                .filter(finding -> Arrays.asList(rules).contains(finding.rule()))
                .toList();
        assertEquals(found, List.of(), result.report());
    }

    @Test
    public void doneTaskIsNotStartedAgainWhenJobIsSubmittedAgainWhileItsEndIsStored() {
        assertNone(Finding.Rule.R1, Finding.Rule.R2);
    }

    @Test
    public void finalStateDoesNotChangeWhenJobIsCancelledWhileItsEndIsStored() {
        assertNone(Finding.Rule.R3);
    }

    @Test
    public void acceptedJobRuns() {
        assertNone(Finding.Rule.NOT_RUN);
    }
}
