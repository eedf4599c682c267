package org.chestnutbarrow.standin;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Random orders of commands, repeats, pauses and crashes, judged by the journal. */
public class WorkerStatePropertyTest {
    private static final int SEEDS = 2000;
    private static final int STEPS = 80;
    private static final Resources CAPACITY = new Resources(2, 4, 2000, 1000, 0);

    private final Map<String, String> checkpoints = new HashMap<>();
    private long granted;

    /** Guards against overcommitted workers, attempts that run twice and epochs that go back. */
    @Test
    public void theJournalShowsNoBrokenRule() {
        int starts = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            ManualTime time = new ManualTime();
            WorkerState state = new WorkerState(CAPACITY, time, delay -> {}, () -> 0);
            checkpoints.clear();
            granted = 1;
            for (int step = 0; step < STEPS; step++) {
                step(random, time, state);
            }
            starts += judge("seed " + seed, state.journal(0));
        }
        assertTrue(starts > SEEDS, "too few starts to judge by: " + starts);
    }

    private void step(Random random, ManualTime time, WorkerState state) {
        long epoch = granted - (random.nextInt(4) == 0 ? 1 : 0);
        String task = "j/" + random.nextInt(4);
        Attempt attempt = new Attempt(1 + random.nextInt(2), 1 + random.nextInt(4));
        Resources demand = new Resources(0, 0, 500 + 500 * random.nextInt(2), 100, 0);
        switch (random.nextInt(14)) {
            case 0, 1 -> {
                if (state.apply(new Command.Lease("d" + random.nextInt(2), 0, 2000)) instanceof Reply.Granted grant) {
                    granted = grant.epoch();
                }
            }
            case 2 -> state.apply(new Command.Lease("d" + random.nextInt(2), Math.max(1, epoch), 2000));
            case 3 -> state.apply(new Command.Release("d" + random.nextInt(2), epoch));
            case 4, 5, 6, 7 ->
                state.apply(new Command.Start(
                        epoch, task, 1, attempt, demand, 500, 3500, checkpoints.get(task), "batch", null));
            case 8 -> state.apply(new Command.Stop(epoch, task, attempt));
            case 9 -> {
                if (state.apply(new Command.Checkpoint(epoch, task, attempt)) instanceof Reply.Done done
                        && done.task().checkpoint() != null) {
                    checkpoints.put(task, done.task().checkpoint());
                }
            }
            case 10 -> state.apply(new Command.Forget(epoch, task, attempt));
            case 11 -> state.apply(new Command.Fence(epoch, 1, 1 + random.nextInt(2)));
            case 12 -> time.advance(Duration.ofMillis(random.nextInt(1000)));
            default -> {
                if (random.nextInt(10) == 0) {
                    state.crash();
                    state.restart();
                }
            }
        }
    }

    /** Returns how many attempts started. */
    private static int judge(String seed, Journal.Page journal) {
        Set<String> started = new HashSet<>();
        Map<String, Attempt> running = new HashMap<>();
        long epoch = 0;
        for (Journal.Event event : journal.events()) {
            switch (event) {
                case Journal.Lease lease -> {
                    assertTrue(lease.epoch() >= epoch, seed);
                    epoch = lease.epoch();
                }
                case Journal.TaskStart start -> {
                    assertTrue(started.add(start.task() + start.attempt()), seed + " ran twice: " + start);
                    assertFalse(running.containsKey(start.task()), seed + " two attempts run: " + start);
                    running.put(start.task(), start.attempt());
                    assertTrue(start.use().demand().fitsIn(CAPACITY), seed + " overcommitted: " + start);
                    assertTrue(start.epoch() == epoch, seed + " started under an old epoch: " + start);
                }
                case Journal.TaskEnd end ->
                    assertTrue(running.remove(end.task(), end.attempt()), seed + " ended twice: " + end);
                case Journal.RequestStart _, Journal.RequestEnd _ -> throw new AssertionError("no request was sent");
            }
        }
        return started.size();
    }
}
