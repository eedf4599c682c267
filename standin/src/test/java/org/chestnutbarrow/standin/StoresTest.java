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

/** Log records, host list, usage reports and service times, on a clock that the test moves. */
public class StoresTest {
    private final ManualTime time = new ManualTime();

    private static HostEntry host(String id) {
        return new HostEntry(
                id, "az1", "az1-r0", "127.0.0.1:1", "127.0.0.1:2", HostEntry.State.LIVE, Resources.ONE_REQUEST);
    }

    private static List<String> ids(HostTable table) {
        return table.list().hosts().stream().map(HostEntry::id).toList();
    }

    /** Guards against records that outlive the retention age, and against offsets that are used again. */
    @Test
    public void recordsExpireByAge() throws InterruptedException {
        LogStore store = new LogStore(time, Duration.ofSeconds(10), 100);
        store.append(new byte[1]);
        time.advance(Duration.ofSeconds(11));
        assertEquals(store.read(0, 9, Duration.ZERO), new LogStore.Batch(1, 1, List.of()));
        assertEquals(store.append(new byte[2]), 1);
    }

    /** Guards against answers larger than readers accept, and against a large record that is never returned. */
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

    /** Guards against a list that is ahead of its lag, forgets a host too early or keeps it too long. */
    @Test
    public void theListLagsAndDropsHostsThatStopRegistering() {
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
        table.freeze(true);
        time.advance(Duration.ofSeconds(5));
        assertEquals(ids(table), List.of());
        table.freeze(false);
        assertEquals(ids(table), List.of("b"));
        long asOf = table.list().asOf();
        table.setLag(Duration.ofSeconds(60));
        assertEquals(table.list().asOf(), asOf, "a view never goes back");
    }

    /** Guards against usage reports that are newer than the lag allows. */
    @Test
    public void usageReportsLag() {
        UsageHistory history = new UsageHistory(1000);
        for (long at = 0; at <= 5000; at += 100) {
            history.add(new UsageReport(at, List.of(), new UsageReport.Requests(0, 0)));
        }
        assertEquals(history.at(5050).asOf(), 4000);
        assertEquals(history.at(5950).asOf(), 4900);
    }

    /** Guards against tasks that do not disturb requests, and against times that differ between runs of one seed. */
    @Test
    public void serviceTimesGrowWithLoad() {
        ServiceTimes times = new ServiceTimes(Map.of("a", Duration.ofMillis(20)), Duration.ofMillis(10));
        Duration idle = times.next("a", 0, new Random(1));
        assertEquals(times.next("a", 0, new Random(1)), idle);
        assertEquals((double) times.next("a", 1, new Random(1)).toNanos() / idle.toNanos(), 4, 0.01);
        assertTrue(times.next("b", 0, new Random(1)).compareTo(idle) < 0);
    }
}
