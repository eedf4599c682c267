package org.chestnutbarrow.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests log retention, host list, usage reports and service times with a manual clock. */
public class StoresTest {
    private final ManualTime time = new ManualTime();

    private static HostEntry host(String id) {
        return new HostEntry(
                id, "az1", "az1-r0", "127.0.0.1:1", "127.0.0.1:2", HostEntry.State.LIVE, Resources.ONE_REQUEST);
    }

    private static List<String> ids(HostTable table) {
        return table.list().hosts().stream().map(HostEntry::id).toList();
    }

    /** Records expire at the retention age, and their offsets are not reused. */
    @Test
    public void recordsExpireByAge() throws InterruptedException {
        LogStore store = new LogStore(time, Duration.ofSeconds(10), 100);
        store.append(new byte[1]);
        time.advance(Duration.ofSeconds(11));
        assertEquals(store.read(0, 9, Duration.ZERO), new LogStore.Batch(1, 1, List.of()));
        assertEquals(store.append(new byte[2]), 1);
    }

    /** Batches are limited in size, but a record larger than the limit is still returned. */
    @Test
    public void batchesAreBounded() throws InterruptedException {
        LogStore store = new LogStore(time, Duration.ofSeconds(10), 100);
        for (int i = 0; i < 3; i++) {
            store.append(new byte[600 * 1024]);
        }
        assertEquals(store.read(0, 9, Duration.ZERO).records().size(), 1);
        store.append(new byte[1024 * 1024]);
        assertEquals(store.read(3, 9, Duration.ZERO).records().size(), 1);
    }

    /** The list lags by exactly the configured time and drops hosts exactly when their registration expires. */
    @Test
    public void staleHostsExpireFromLaggingHostList() {
        HostTable table = new HostTable(time, Duration.ofSeconds(2), Duration.ofSeconds(10));
        table.put(host("a"));
        time.advance(Duration.ofMillis(1999));
        assertEquals(ids(table), List.of());
        time.advance(Duration.ofMillis(1));
        assertEquals(ids(table), List.of("a"));
        time.advance(Duration.ofMillis(9999));
        table.put(host("b"));
        assertEquals(ids(table), List.of("a"));
        time.advance(Duration.ofMillis(1));
        assertEquals(ids(table), List.of());
        table.setFrozen(true);
        time.advance(Duration.ofSeconds(5));
        assertEquals(ids(table), List.of());
        table.setFrozen(false);
        assertEquals(ids(table), List.of("b"));
        long asOf = table.list().asOf();
        table.setLag(Duration.ofSeconds(60));
        assertEquals(table.list().asOf(), asOf, "view time must not decrease");
    }

    /** Usage reports are never newer than the lag permits. */
    @Test
    public void usageReportsLag() {
        UsageHistory history = new UsageHistory(1000);
        for (long atMs = 0; atMs <= 5000; atMs += 100) {
            history.add(new UsageReport(atMs, List.of(), new UsageReport.Requests(0, 0)));
        }
        assertEquals(history.reportAt(5050).asOf(), 4000);
        assertEquals(history.reportAt(5950).asOf(), 4900);
    }

    /** Task load slows requests down, and service times are reproducible for a given seed. */
    @Test
    public void serviceTimesGrowWithLoad() {
        ServiceTimes serviceTimes = new ServiceTimes(Map.of("a", Duration.ofMillis(20)), Duration.ofMillis(10));
        Duration idle = serviceTimes.sample("a", 0, new Random(1));
        assertEquals(serviceTimes.sample("a", 0, new Random(1)), idle);
        assertEquals((double) serviceTimes.sample("a", 1, new Random(1)).toNanos() / idle.toNanos(), 4, 0.01);
        assertTrue(serviceTimes.sample("b", 0, new Random(1)).compareTo(idle) < 0);
    }
}
