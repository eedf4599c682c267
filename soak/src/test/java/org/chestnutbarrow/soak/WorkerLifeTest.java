package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.chestnutbarrow.soak.WorkerLife.Answer;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A worker that ran what it must refuse, or forgot ends, would make the checker blame the nodes. */
public class WorkerLifeTest {
    private static final TaskKey TASK = new TaskKey("j", 0, 0);
    private static final JobPlan.Stage NEED = new JobPlan.Stage(1, 600, Duration.ofMillis(100));

    private ManualTime time;
    private History history;
    private WorkerLife life;

    @BeforeMethod
    public void create() {
        time = new ManualTime();
        history = new History(time);
        life = new WorkerLife(new Observation.Incarnation("w", 1), 1000, history, time, new SplittableRandom(1));
        time.advance(Duration.ofSeconds(1));
    }

    private List<Observation.Ended> hold(long token, long leaseMs, long acknowledged) throws InterruptedException {
        return life.hold(token, leaseMs, acknowledged, Duration.ZERO, false).ended();
    }

    @Test
    public void listsEndsUntilTheyAreAcknowledged() throws InterruptedException {
        assertEquals(life.start(TASK, 1, NEED, 1, 5000), Answer.OK);
        assertEquals(life.start(TASK, 1, NEED, 1, 5000), Answer.OK);
        assertEquals(life.start(new TaskKey("k", 0, 0), 1, NEED, 1, 5000), Answer.ROOM);
        time.advance(Duration.ofSeconds(1));
        assertEquals(hold(1, -1, 0).getFirst().number(), 1);
        assertEquals(hold(1, -1, 0).size(), 1);
        assertEquals(hold(1, -1, 1).size(), 0);
        assertEquals(life.start(TASK, 1, NEED, 1, 5000), Answer.OLD);
        assertEquals(RunSpan.of(history.sorted()).size(), 1);
    }

    @Test
    public void endsAllRunsWithTheLease() throws InterruptedException {
        life.start(TASK, 1, new JobPlan.Stage(1, 600, Duration.ofMinutes(1)), 1, 4000);
        time.advance(Duration.ofSeconds(5));
        assertEquals(hold(1, 9000, 0).getFirst().how(), Observation.EndKind.LAPSED);
        assertTrue(history.sorted().stream().anyMatch(Observation.LeaseExpired.class::isInstance));
    }

    @Test
    public void refusesOlderTokensAndLateStarts() throws InterruptedException {
        assertEquals(life.hold(7, 5000, 0, Duration.ZERO, false).answer(), Answer.OK);
        assertEquals(life.start(TASK, 1, NEED, 6, 5000), Answer.FENCE);
        assertEquals(life.start(TASK, 1, NEED, 7, 500), Answer.LATE);
        assertEquals(life.stop(TASK, 2, 7), Answer.OK);
        assertEquals(life.start(TASK, 2, NEED, 7, 5000), Answer.OLD);
        life.goDown();
        assertEquals(life.start(TASK, 3, NEED, 7, 5000), Answer.GONE);
    }
}
