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

/** Runs random sequences of commands, repeats, pauses and crashes and checks the invariants against the journal. */
public class WorkerStatePropertyTest {
    private static final int SEED_COUNT = 2000;
    private static final int STEPS_PER_SEED = 80;
    private static final Resources CAPACITY = new Resources(2, 4, 2000, 1000, 0);

    private final Map<String, String> checkpoints = new HashMap<>();
    private long latestEpoch;

    /** Workers are not overcommitted, no attempt runs twice, and epochs do not decrease. */
    @Test
    public void journalShowsNoInvariantViolation() {
        int starts = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            Random random = new Random(seed);
            ManualTime time = new ManualTime();
            WorkerState state = new WorkerState(CAPACITY, time, delay -> {}, () -> 0);
            checkpoints.clear();
            latestEpoch = 1;
            for (int step = 0; step < STEPS_PER_SEED; step++) {
                applyRandomStep(random, time, state);
            }
            starts += verifyInvariants("seed " + seed, state.journal(0));
        }
        assertTrue(starts > SEED_COUNT, "too few starts for a meaningful check: " + starts);
    }

    private void applyRandomStep(Random random, ManualTime time, WorkerState state) {
        long epoch = latestEpoch - (random.nextInt(4) == 0 ? 1 : 0);
        String task = "j/" + random.nextInt(4);
        Attempt attempt = new Attempt(1 + random.nextInt(2), 1 + random.nextInt(4));
        Resources demand = new Resources(0, 0, 500 + 500 * random.nextInt(2), 100, 0);
        switch (random.nextInt(14)) {
            case 0, 1 -> {
                if (state.apply(new Command.Lease("d" + random.nextInt(2), 0, 2000))
                        instanceof Reply.LeaseGranted grant) {
                    latestEpoch = grant.epoch();
                }
            }
            case 2 -> state.apply(new Command.Lease("d" + random.nextInt(2), Math.max(1, epoch), 2000));
            case 3 -> state.apply(new Command.Release("d" + random.nextInt(2), epoch));
            case 4, 5, 6, 7 ->
                state.apply(new Command.Start(
                        epoch, task, 1, attempt, demand, 500, 3500, checkpoints.get(task), "batch", null));
            case 8 -> state.apply(new Command.Stop(epoch, task, attempt));
            case 9 -> {
                if (state.apply(new Command.Checkpoint(epoch, task, attempt)) instanceof Reply.AttemptState attemptState
                        && attemptState.task().checkpoint() != null) {
                    checkpoints.put(task, attemptState.task().checkpoint());
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

    /** Checks the journal and returns the number of started attempts. */
    private static int verifyInvariants(String seed, Journal.Page journal) {
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
                    assertTrue(started.add(start.task() + start.attempt()), seed + " attempt started twice: " + start);
                    assertFalse(running.containsKey(start.task()), seed + " two attempts of a task running: " + start);
                    running.put(start.task(), start.attempt());
                    assertTrue(start.use().demand().fitsIn(CAPACITY), seed + " overcommitted: " + start);
                    assertTrue(start.epoch() == epoch, seed + " started under an old epoch: " + start);
                }
                case Journal.TaskEnd end ->
                    assertTrue(
                            running.remove(end.task(), end.attempt()), seed + " end without a running attempt: " + end);
                case Journal.RequestStart _, Journal.RequestEnd _ ->
                    throw new AssertionError("unexpected request event");
            }
        }
        return started.size();
    }
}
