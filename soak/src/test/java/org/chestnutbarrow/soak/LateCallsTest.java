package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/** A short play of two nodes in which restarted workers carry out calls that were meant for the incarnation before. */
public class LateCallsTest {
    private static final long SEED = 1;
    private static final int WORKERS = 8;
    private static final Duration LOAD = Duration.ofSeconds(12);

    private static Fault.Timed timed(int fromMs, int lengthMs, Fault fault) {
        return new Fault.Timed(Duration.ofMillis(fromMs), Duration.ofMillis(lengthMs), fault);
    }

    @Test
    public void doneTaskIsNotStartedAgainWhenLaterIncarnationCarriesOutEarlierHold() throws Exception {
        List<Fault.Timed> faults = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            int fromMs = 3000 + 800 * i;
            Fault restart = new Fault.RestartWithLateCalls(i, Duration.ofSeconds(2), Duration.ZERO);
            faults.add(timed(fromMs, 100, restart));
            // Ends that the owner has not seen are there when the late holds are carried out.
            faults.add(timed(fromMs + 1600, 1100, new Fault.WorkerCalls(i, new Disturbance.Silent())));
        }
        Path root = Path.of(System.getProperty("chestnutbarrow.root"));
        PlaySettings settings =
                new PlaySettings(SEED, 2, WORKERS, LOAD, Duration.ofSeconds(20), Set.of(), false, false, false, root);
        PlayResult result = Play.run(settings, faults, TimeSource.SYSTEM);
        assertTrue(result.accepted() > 0, result.report());
        assertEquals(result.findings(), List.of(), result.report());
    }
}
