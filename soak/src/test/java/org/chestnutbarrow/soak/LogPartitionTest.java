package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.chestnutbarrow.soak.LogPartition.AppendResult;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** A store that stored an append twice, or one of a fenced owner, would make nodes look faulty. */
public class LogPartitionTest {
    private final ManualTime time = new ManualTime();

    private static List<LogPartition.Entry> entry(String key, String value) {
        return List.of(new LogPartition.Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    private static LogPartition.Producer producer(long epoch, long sequence) {
        return new LogPartition.Producer("p", epoch, OptionalLong.of(sequence));
    }

    @Test
    public void answersRepeatedAppendsAsAtFirst() {
        LogPartition log = new LogPartition(time);
        AppendResult first = log.append(entry("a", "1"), producer(3, 1));
        log.append(entry("b", "1"), producer(3, 2));
        assertEquals(log.append(entry("a", "1"), producer(3, 1)), first);
        assertEquals(log.append(entry("c", "1"), producer(3, 4)), new AppendResult.WrongSequence(3));
        assertEquals(log.newest("").end(), 2);
    }

    @Test
    public void refusesOlderEpochs() {
        LogPartition log = new LogPartition(time);
        log.append(List.of(), new LogPartition.Producer("p", 5, OptionalLong.empty()));
        assertEquals(log.append(entry("a", "1"), producer(4, 1)), new AppendResult.Fenced(5));
        assertEquals(log.append(entry("a", "1"), producer(5, 1)), new AppendResult.Stored(0, 1));
    }

    @Test
    public void keepsNewestValuesWhenHistoryIsDropped() throws InterruptedException {
        LogPartition log = new LogPartition(time);
        log.append(entry("a", "1"));
        log.append(entry("b", "1"));
        log.append(entry("a", ""));
        log.dropHistory();
        assertTrue(log.read(2, 1000, Duration.ZERO).isEmpty());
        assertEquals(log.newest("").items().stream().map(LogPartition.Item::key).toList(), List.of("b"));
        log.append(entry("c", "1"));
        LogPartition.Page page = log.read(3, 1000, Duration.ZERO).orElseThrow();
        assertEquals(page.entries().getFirst().key(), "c");
        assertEquals(page.end(), 4);
    }
}
