package org.chestnutbarrow.itest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.bench.Cluster;
import org.chestnutbarrow.bench.ClusterSpec;
import org.chestnutbarrow.bench.LoadResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A partitioned daemon must not act on an outdated configuration. */
public class PartitionTest extends ClusterTest {
    private static final String AFFECTED_DAEMON = "entry-3";
    private static final String OTHER_DAEMON = "entry-1";
    private static final String ZONE = "miskolc";
    private static final long CUT_DURATION_MS = 8000;
    /** Time until the partition is detected; a peer is suspected after 1 s. */
    private static final long DETECTION_MS = 1500;
    /** Requirement 4: no start in a zone later than this after the zone change is in force. */
    private static final long ZONE_GRACE_MS = 3000;

    @Override
    protected ClusterSpec spec() {
        return super.spec().throughProxy();
    }

    /** Links of a daemon that are disconnected. */
    private enum Links {
        LOG,
        PEERS,
        BOTH
    }

    /** One row for each kind of partition. */
    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{Links.LOG}, {Links.PEERS}, {Links.BOTH}};
    }

    @Test(dataProvider = "cuts")
    public void cutOffDaemonStartsNothingInZoneThatIsOut(Links links) throws IOException, InterruptedException {
        String job = "cut-" + links;
        work.submitBatch(job, 120, 2000);
        startLoad();
        awaitStarted(job, 20);
        List<String> cutLinks = links(links);
        long cutMs = System.currentTimeMillis();
        setLinksCut(true, cutLinks);
        Thread.sleep(DETECTION_MS);
        JsonNode outResponse = work.zone(OTHER_DAEMON, ZONE, "OUT");
        long inForceMs = System.currentTimeMillis();
        assertEquals(outResponse.path("result").asText(), "in-force", outResponse.toString());
        Thread.sleep(Math.max(0, cutMs + CUT_DURATION_MS - System.currentTimeMillis()));
        setLinksCut(false, cutLinks);
        // Include the time after the links are restored: the daemon must not act on its outdated state then either.
        Thread.sleep(ZONE_GRACE_MS);
        long restoreMs = System.currentTimeMillis();
        Cluster.await("zone is in service again", WAIT_TIMEOUT, this::restoreZone);
        cluster.awaitReady(WAIT_TIMEOUT);
        work.awaitJobs(WAIT_TIMEOUT);
        LoadResult load = stopLoad();
        List<String> lateStarts = work.startedInZone(ZONE, inForceMs + ZONE_GRACE_MS, restoreMs);
        assertTrue(lateStarts.isEmpty(), lateStarts.toString());
        verifyInvariants();
        assertTrue(load.count("ran") > load.sent() / 2, "outcomes " + load.outcomes());
        for (String daemon : cluster.daemonNames()) {
            Cluster.await(daemon + " reports the zone as in service", WAIT_TIMEOUT, () -> showsZoneIn(daemon));
        }
    }

    private List<String> links(Links links) {
        return switch (links) {
            case LOG -> linksToLog(AFFECTED_DAEMON);
            case PEERS -> linksToPeers(AFFECTED_DAEMON);
            case BOTH -> {
                List<String> both = new ArrayList<>(linksToLog(AFFECTED_DAEMON));
                both.addAll(linksToPeers(AFFECTED_DAEMON));
                yield both;
            }
        };
    }

    private boolean restoreZone() {
        try {
            return work.zone(OTHER_DAEMON, ZONE, "IN").path("result").asText().equals("in-force");
        } catch (IOException e) {
            return false;
        }
    }

    private boolean showsZoneIn(String daemon) {
        try {
            return configuration(daemon).path("zones").path(ZONE).asText().equals("IN");
        } catch (IOException e) {
            return false;
        }
    }
}
