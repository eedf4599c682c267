package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/**
 * A short play of two nodes with jobs that each have an image of their own. Guards against records that grow with the
 * number of images until the store refuses them, and with them all that the owner stores and sends.
 */
public class ChangingImagesTest {
    private static final long SEED = 1;
    private static final Duration LOAD = Duration.ofSeconds(15);

    @Test
    public void recordsStayWithinTheLimitOfTheStore() throws Exception {
        Path root = Path.of(System.getProperty("chestnutbarrow.root"));
        PlaySettings settings =
                new PlaySettings(SEED, 2, 8, LOAD, Duration.ofSeconds(20), Set.of(), false, false, true, root);
        PlayResult result = Play.run(settings, TimeSource.SYSTEM);
        assertTrue(result.accepted() > 0, result.report());
        assertEquals(result.findings(), List.of(), result.report());
    }
}
