package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Set;
import org.chestnutbarrow.bench.LoadResult;
import org.testng.annotations.Test;

/** Guards against work that is lost, doubled or stuck when a daemon dies, is paused or is ended in mid-flight. */
public class DaemonFaultTest extends ClusterTest {
    private static final String VICTIM = "entry-3";
    /** Twice the term of a worker's lease and more, so that the daemon wakes up after others have taken over. */
    private static final long PAUSE_MS = 5000;

    @Test
    public void othersTakeOverFromKilledDaemonWhichReturns() throws IOException, InterruptedException {
        work.submitBatch("kill", 100, 3000);
        startLoad();
        awaitStarted("kill", 20);
        Set<String> held = awaitHeld(VICTIM);
        long at = System.currentTimeMillis();
        cluster.processes().kill(VICTIM);
        awaitTakenOver(held, at);
        restart(VICTIM);
        cluster.awaitReady(WAIT);
        awaitHeld(VICTIM);
        work.awaitJobs(WAIT);
        LoadResult load = stopLoad();
        judge();
        assertTrue(load.count("ran") > load.sent() / 2, "outcomes " + load.outcomes());
    }

    @Test
    public void pausedDaemonDoesNothingUnderLeasesThatOthersHold() throws IOException, InterruptedException {
        work.submitBatch("pause", 100, 3000);
        startLoad();
        awaitStarted("pause", 20);
        Set<String> held = awaitHeld(VICTIM);
        long at = System.currentTimeMillis();
        cluster.processes().signal(VICTIM, "STOP");
        Thread.sleep(PAUSE_MS);
        awaitTakenOver(held, at);
        cluster.processes().signal(VICTIM, "CONT");
        cluster.awaitReady(WAIT);
        work.awaitJobs(WAIT);
        LoadResult load = stopLoad();
        judge();
        assertTrue(load.count("ran") > load.sent() / 2, "outcomes " + load.outcomes());
    }

    @Test
    public void terminatedDaemonAnswersWhatItHasAndHandsItsWorkersOver() throws IOException, InterruptedException {
        work.submitBatch("terminate", 100, 3000);
        startLoad();
        awaitStarted("terminate", 20);
        Set<String> held = awaitHeld(VICTIM);
        long at = System.currentTimeMillis();
        assertTrue(cluster.processes().terminate(VICTIM, WAIT), "the daemon must end by itself");
        awaitTakenOver(held, at);
        LoadResult load = stopLoad();
        restart(VICTIM);
        cluster.awaitReady(WAIT);
        work.awaitJobs(WAIT);
        judge();
        assertEquals(
                load.count("ran") + load.count("not-run"),
                load.sent(),
                "requests cut off, outcomes " + load.outcomes());
    }
}
