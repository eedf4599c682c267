package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.Queue;
import org.testng.annotations.Test;

/** Tests who may call which queue. */
public class AccessControlTest {
    private static final Queue KEYED = new Queue("host", "/a/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final Queue PUBLIC = new Queue("host", "/b/", "service", 0, 2, 2, Duration.ofSeconds(1));
    private static final Duration MAX_AGE = Duration.ofSeconds(4);
    private static final AccessControl ACCESS =
            new AccessControl(true, Map.of(), Map.of(KeyDigest.of("key"), "account"), Set.of(PUBLIC.key()));

    private static Access decide(Queue queue, String key, Duration age) {
        return ACCESS.decide(queue, Optional.ofNullable(key), age, MAX_AGE);
    }

    @Test
    public void grantsKnownKeyOnly() {
        assertEquals(decide(KEYED, "key", Duration.ZERO), new Access.Granted("account"));
        assertEquals(decide(KEYED, "other", Duration.ZERO), new Access.UnknownKey());
        assertEquals(decide(KEYED, null, Duration.ZERO), new Access.UnknownKey());
        assertEquals(decide(PUBLIC, null, Duration.ZERO), new Access.Granted(""));
    }

    /** Guards against a withdrawn key that a node still grants because it has lost the store. */
    @Test
    public void grantsNoKeyOnceTheyAreOutdated() {
        assertEquals(decide(KEYED, "key", MAX_AGE.minusMillis(1)), new Access.Granted("account"));
        assertEquals(decide(KEYED, "key", MAX_AGE), new Access.KeysOutdated(MAX_AGE));
        assertEquals(decide(KEYED, "other", MAX_AGE), new Access.KeysOutdated(MAX_AGE));
        assertEquals(decide(PUBLIC, null, MAX_AGE), new Access.Granted(""));
    }

    /** Guards against refusals on deployments without accounts. */
    @Test
    public void grantsEverythingWithoutAccounts() {
        assertEquals(
                AccessControl.OPEN.decide(KEYED, Optional.empty(), Duration.ofDays(1), MAX_AGE),
                new Access.Granted(""));
    }
}
