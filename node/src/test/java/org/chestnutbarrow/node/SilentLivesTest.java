package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Guards the wait for leases of workers that do not answer, over changes of the owner. */
public class SilentLivesTest {
    private static final Duration LONGEST = Duration.ofSeconds(7);
    private static final WorkerIncarnation LIFE = new WorkerIncarnation(new WorkerId("w"), 1);

    private final ManualTime time = new ManualTime();

    private SilentLives next(Map<WorkerIncarnation, Duration> stored) {
        SilentLives lives = new SilentLives(time, LONGEST);
        lives.begin(stored, List.of(LIFE));
        return lives;
    }

    /** Plays an ownership of a while; returns what it leaves in the store. */
    private Map<WorkerIncarnation, Duration> own(Map<WorkerIncarnation, Duration> before, Duration span) {
        SilentLives lives = next(before);
        lives.count();
        Map<WorkerIncarnation, Duration> stored = before;
        for (Duration at = Duration.ZERO; at.compareTo(span) < 0; at = at.plusMillis(100)) {
            time.advance(Duration.ofMillis(100));
            if (lives.due().isPresent()) {
                stored = lives.due().get();
                lives.stored(stored);
            }
        }
        return stored;
    }

    /** Guards against tasks that stay away for as long as owners change: the wait went on from zero each time. */
    @Test
    public void theWaitGoesOnWithTheNextOwner() {
        Map<WorkerIncarnation, Duration> stored = Map.of();
        for (int owner = 0; owner < 3; owner++) {
            stored = own(stored, Duration.ofSeconds(2));
        }
        assertEquals(next(stored).takeEnded(), List.of());
        time.advance(Duration.ofSeconds(2));
        SilentLives last = next(stored);
        time.advance(Duration.ofMillis(900));
        assertEquals(last.takeEnded(), List.of(), "time without an owner does not count");
        time.advance(Duration.ofMillis(2100));
        assertEquals(last.takeEnded(), List.of(LIFE));
    }

    /** Guards against a wait that ends while an earlier owner may still extend leases. */
    @Test
    public void silenceCountsOnlyFromTheTimeThatNobodyCanExtend() {
        SilentLives lives = next(Map.of());
        time.advance(Duration.ofSeconds(20));
        assertEquals(lives.takeEnded(), List.of());
        assertTrue(lives.due().isEmpty());
        lives.count();
        time.advance(LONGEST);
        assertEquals(lives.takeEnded(), List.of());
        time.advance(Duration.ofMillis(1));
        assertEquals(lives.takeEnded(), List.of(LIFE));
    }

    /** Guards against an owner that extends leases which the next one counts as running out. */
    @Test
    public void aLifeThatAnswersIsExtendedOnlyAfterItsRecordIsTakenBack() {
        SilentLives lives = next(Map.of(LIFE, Duration.ofSeconds(3)));
        assertFalse(lives.mayExtend(LIFE));
        lives.heard(LIFE);
        assertFalse(lives.mayExtend(LIFE));
        Map<WorkerIncarnation, Duration> record = lives.due().orElseThrow();
        assertEquals(record, Map.of());
        lives.stored(record);
        assertTrue(lives.mayExtend(LIFE));
        time.advance(Duration.ofSeconds(20));
        assertEquals(lives.takeEnded(), List.of());
    }
}
