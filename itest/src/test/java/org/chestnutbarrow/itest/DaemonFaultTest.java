package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Set;
import org.chestnutbarrow.bench.LoadResult;
import org.testng.annotations.Test;

/** Work must not be lost, duplicated or stuck when a daemon is killed, paused or terminated under load. */
public class DaemonFaultTest extends ClusterTest {
    private static final String AFFECTED_DAEMON = "entry-3";
    /** More than twice the duration of a worker lease, so that others have taken over when the daemon resumes. */
    private static final long PAUSE_MS = 5000;

    @Test
    public void othersTakeOverFromKilledDaemonWhichReturns() throws IOException, InterruptedException {
        work.submitBatch("kill", 100, 3000);
        startLoad();
        awaitStarted("kill", 20);
        Set<String> heldWorkers = awaitHeld(AFFECTED_DAEMON);
        long faultMs = System.currentTimeMillis();
        cluster.processes().kill(AFFECTED_DAEMON);
        awaitTakenOver(heldWorkers, faultMs);
        restart(AFFECTED_DAEMON);
        cluster.awaitReady(WAIT_TIMEOUT);
        awaitHeld(AFFECTED_DAEMON);
        work.awaitJobs(WAIT_TIMEOUT);
        LoadResult load = stopLoad();
        verifyInvariants();
        assertTrue(load.count("ran") > load.sent() / 2, "outcomes " + load.outcomes());
    }

    @Test
    public void pausedDaemonDoesNothingUnderLeasesThatOthersHold() throws IOException, InterruptedException {
        work.submitBatch("pause", 100, 3000);
        startLoad();
        awaitStarted("pause", 20);
        Set<String> heldWorkers = awaitHeld(AFFECTED_DAEMON);
        long faultMs = System.currentTimeMillis();
        cluster.processes().signal(AFFECTED_DAEMON, "STOP");
        Thread.sleep(PAUSE_MS);
        awaitTakenOver(heldWorkers, faultMs);
        cluster.processes().signal(AFFECTED_DAEMON, "CONT");
        cluster.awaitReady(WAIT_TIMEOUT);
        work.awaitJobs(WAIT_TIMEOUT);
        LoadResult load = stopLoad();
        verifyInvariants();
        assertTrue(load.count("ran") > load.sent() / 2, "outcomes " + load.outcomes());
    }

    @Test
    public void terminatedDaemonAnswersWhatItHasAndHandsItsWorkersOver() throws IOException, InterruptedException {
        work.submitBatch("terminate", 100, 3000);
        startLoad();
        awaitStarted("terminate", 20);
        Set<String> heldWorkers = awaitHeld(AFFECTED_DAEMON);
        long faultMs = System.currentTimeMillis();
        assertTrue(cluster.processes().terminate(AFFECTED_DAEMON, WAIT_TIMEOUT), "the daemon must exit after SIGTERM");
        awaitTakenOver(heldWorkers, faultMs);
        LoadResult load = stopLoad();
        restart(AFFECTED_DAEMON);
        cluster.awaitReady(WAIT_TIMEOUT);
        work.awaitJobs(WAIT_TIMEOUT);
        verifyInvariants();
        assertEquals(
                load.count("ran") + load.count("not-run"),
                load.sent(),
                "requests aborted, outcomes " + load.outcomes() + " " + load.failures());
    }
}
