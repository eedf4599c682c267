package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/** A short play of two nodes in which workers list their ends in any order and no job is submitted twice. */
public class UnorderedEndsTest {
    private static final long SEED = 1;
    private static final Duration LOAD = Duration.ofSeconds(8);

    @Test
    public void doneTaskIsNotStartedAgainWhenItsEndIsListedAfterLaterOnes() throws Exception {
        Path root = Path.of(System.getProperty("chestnutbarrow.root"));
        PlaySettings settings =
                new PlaySettings(SEED, 2, 8, LOAD, Duration.ofSeconds(15), Set.of(), false, false, false, root);
        Fault.Timed unordered = new Fault.Timed(Duration.ZERO, LOAD, new Fault.EndsUnordered());
        // Several ends are listed at once while an append delays their acknowledgement.
        Fault.Timed slowProgress = new Fault.Timed(
                Duration.ZERO,
                LOAD,
                new Fault.StoreCalls(
                        Fault.Side.EVERYBODY,
                        Fault.StoreScope.PROGRESS_APPENDS,
                        new Disturbance.Slow(Duration.ofMillis(100), Duration.ofMillis(300))));
        PlayResult result = Play.run(settings, List.of(unordered, slowProgress), TimeSource.SYSTEM);
        assertTrue(result.accepted() > 0, result.report());
        assertEquals(result.findings(), List.of(), result.report());
    }
}
