package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Members with one token, or without partitions, would not be a fault of the nodes. */
public class OwnerGroupTest {
    private static final Duration TTL = Duration.ofSeconds(1);

    private final ManualTime time = new ManualTime();
    private final OwnerGroup group = new OwnerGroup(time, List.of("x", "y"));

    @Test
    public void dealsEvenlyAndDropsSilentMembers() {
        group.join("a", TTL);
        OwnerGroup.Dealt second = group.join("b", TTL);
        assertEquals(second.parts().size(), OwnerGroup.PARTITIONS_PER_TOPIC);
        assertEquals(group.memberAt(second.generation(), 1), Optional.of("b"));
        time.advance(Duration.ofMillis(900));
        group.join("b", TTL);
        time.advance(Duration.ofMillis(200));
        OwnerGroup.Dealt alone = group.join("b", TTL);
        assertEquals(alone.parts().size(), 2 * OwnerGroup.PARTITIONS_PER_TOPIC);
        assertTrue(alone.generation() > second.generation());
        group.leave("b");
        assertEquals(group.owners(), List.of());
    }

    @Test
    public void givesPartitionsToOthersWhenAllAreReassigned() {
        OwnerGroup fresh = new OwnerGroup(time, List.of("x", "y"));
        fresh.join("a", TTL);
        fresh.join("b", TTL);
        List<OwnerGroup.Part> before = fresh.join("a", TTL).parts();
        fresh.reassignAll();
        assertTrue(fresh.join("a", TTL).parts().stream().noneMatch(before::contains));
    }
}
