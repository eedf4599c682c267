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

/** Guards against a daemon that is cut off and goes on with a configuration that no longer holds. */
public class PartitionTest extends ClusterTest {
    private static final String VICTIM = "entry-3";
    private static final String OTHER = "entry-1";
    private static final String ZONE = "miskolc";
    private static final long CUT_MS = 8000;
    /** By then the cut is noticed, a peer being suspected after 1 s. */
    private static final long NOTICED_MS = 1500;
    /** Requirement 4: nothing starts in a zone later than this after the change is in force. */
    private static final long ZONE_GRACE_MS = 3000;

    @Override
    protected ClusterSpec spec() {
        return super.spec().throughProxy();
    }

    /** Links of a daemon that are cut. */
    private enum Links {
        LOG,
        PEERS,
        BOTH
    }

    /** Each kind of cut. */
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
        List<String> cut = links(links);
        long cutMs = System.currentTimeMillis();
        cut(true, cut);
        Thread.sleep(NOTICED_MS);
        JsonNode out = work.zone(OTHER, ZONE, "OUT");
        long inForceMs = System.currentTimeMillis();
        assertEquals(out.path("result").asText(), "in-force", out.toString());
        Thread.sleep(Math.max(0, cutMs + CUT_MS - System.currentTimeMillis()));
        cut(false, cut);
        // The time after the links are joined again counts as well: the daemon must not act on what it knew before.
        Thread.sleep(ZONE_GRACE_MS);
        long inMs = System.currentTimeMillis();
        Cluster.await("the zone is in again", WAIT, this::zoneIn);
        cluster.awaitReady(WAIT);
        work.awaitJobs(WAIT);
        LoadResult load = stopLoad();
        List<String> late = work.startedInZone(ZONE, inForceMs + ZONE_GRACE_MS, inMs);
        assertTrue(late.isEmpty(), late.toString());
        judge();
        assertTrue(load.count("ran") > load.sent() / 2, "outcomes " + load.outcomes());
        for (String daemon : cluster.daemonNames()) {
            Cluster.await(daemon + " knows the zone's state", WAIT, () -> knowsZoneIn(daemon));
        }
    }

    private List<String> links(Links links) {
        return switch (links) {
            case LOG -> linksToLog(VICTIM);
            case PEERS -> linksToPeers(VICTIM);
            case BOTH -> {
                List<String> both = new ArrayList<>(linksToLog(VICTIM));
                both.addAll(linksToPeers(VICTIM));
                yield both;
            }
        };
    }

    private boolean zoneIn() {
        try {
            return work.zone(OTHER, ZONE, "IN").path("result").asText().equals("in-force");
        } catch (IOException e) {
            return false;
        }
    }

    private boolean knowsZoneIn(String daemon) {
        try {
            return configuration(daemon).path("zones").path(ZONE).asText().equals("IN");
        } catch (IOException e) {
            return false;
        }
    }
}
