package org.chestnutbarrow.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests the decisions of a worker with a manual clock. */
public class WorkerStateTest {
    private static final Resources ONE_CORE = new Resources(0, 0, 1000, 100, 0);

    private final ManualTime time = new ManualTime();

    private WorkerState newWorker() {
        return new WorkerState(new Resources(2, 4, 2000, 1000, 0), time, delay -> {}, () -> 0);
    }

    private static Command.Start start(long epoch, String task, long sequence, long runMs, String from) {
        return new Command.Start(epoch, task, 7, new Attempt(1, sequence), ONE_CORE, runMs, 3500, from, "batch", null);
    }

    private long acquireLease(WorkerState worker, String holder) {
        return ((Reply.LeaseGranted) worker.apply(new Command.Lease(holder, 0, 2000))).epoch();
    }

    private Task.View attemptState(Reply reply) {
        return ((Reply.AttemptState) reply).task();
    }

    /** A lease has one holder at a time, and commands under earlier epochs are rejected. */
    @Test
    public void acquiredLeaseExcludesOtherHoldersAndOlderEpochs() {
        WorkerState worker = newWorker();
        long first = acquireLease(worker, "a");
        assertEquals(worker.apply(new Command.Lease("b", 0, 2000)), new Reply.LeaseHeld("a", first, 2000));
        long again = acquireLease(worker, "a");
        assertTrue(again > first, "a late release under the first epoch must not release the second acquisition");
        assertEquals(worker.apply(new Command.Release("a", first)), new Reply.StaleEpoch(again));
        time.advance(Duration.ofSeconds(2));
        long second = acquireLease(worker, "b");
        assertTrue(second > first);
        assertEquals(worker.apply(start(first, "j/0", 1, 0, null)), new Reply.StaleEpoch(second));
        assertEquals(worker.apply(new Command.Lease("a", again, 2000)), new Reply.StaleEpoch(second));
        assertEquals(worker.apply(new Command.Release("b", second)), new Reply.LeaseReleased());
        assertEquals(worker.apply(new Command.Release("b", second)), new Reply.LeaseReleased(), "repeated");
        assertEquals(worker.apply(start(second, "j/0", 1, 0, null)), new Reply.StaleEpoch(second));
        assertTrue(acquireLease(worker, "a") > second);
    }

    /** A resumed task neither repeats nor skips work. */
    @Test
    public void afterResumeOnlyRemainingWorkRuns() {
        WorkerState worker = newWorker();
        long epoch = acquireLease(worker, "a");
        worker.apply(start(epoch, "j/1", 1, 1000, null));
        worker.apply(new Command.Throttle(epoch, "j/1", new Attempt(1, 1), 50));
        time.advance(Duration.ofMillis(600));
        Task.View stopped = attemptState(worker.apply(new Command.Checkpoint(epoch, "j/1", new Attempt(1, 1))));
        assertEquals(stopped.state(), TaskState.CHECKPOINTED);
        worker.apply(start(epoch, "j/1", 2, 1000, stopped.checkpoint()));
        time.advance(Duration.ofMillis(699));
        assertEquals(
                attemptState(worker.apply(start(epoch, "j/1", 2, 1000, null))).state(), TaskState.RUNNING);
        time.advance(Duration.ofMillis(1));
        assertEquals(
                attemptState(worker.apply(start(epoch, "j/1", 2, 1000, null))).state(), TaskState.FINISHED);
    }

    /** A delayed or repeated start must not run an attempt again after it was stopped, forgotten or fenced. */
    @Test
    public void attemptRunsAtMostOnce() {
        WorkerState worker = newWorker();
        long epoch = acquireLease(worker, "a");
        Reply olderAttempt = new Reply.Rejected("older-attempt");
        worker.apply(start(epoch, "j/2", 1, 10, null));
        assertEquals(worker.apply(new Command.Forget(epoch, "j/2", new Attempt(1, 1))), new Reply.Rejected("running"));
        time.advance(Duration.ofMillis(10));
        assertEquals(
                attemptState(worker.apply(new Command.Forget(epoch, "j/2", new Attempt(1, 1))))
                        .state(),
                TaskState.FINISHED);
        assertEquals(worker.apply(start(epoch, "j/2", 1, 10, null)), olderAttempt);
        assertEquals(worker.apply(new Command.Stop(epoch, "j/3", new Attempt(1, 5))), new Reply.UnknownAttempt());
        assertEquals(worker.apply(start(epoch, "j/3", 5, 10, null)), olderAttempt, "start arrived after its stop");
        worker.apply(start(epoch, "j/4", 1, 0, null));
        List<Task.View> fenced = ((Reply.ShardFenced) worker.apply(new Command.Fence(epoch, 7, 2))).tasks();
        assertEquals(fenced.stream().map(Task.View::task).toList(), List.of("j/4"));
        assertEquals(worker.apply(start(epoch, "j/4", 2, 0, null)), olderAttempt, "attempt is older than the fence");
        assertEquals(worker.apply(new Command.Fence(epoch, 7, 1)), new Reply.Rejected("older-fence"));
    }

    /** Tasks lapse with their lease, and a renewal of the worker lease renews its tasks. */
    @Test
    public void tasksLapseWithoutLeaseRenewal() {
        WorkerState worker = newWorker();
        long epoch = acquireLease(worker, "a");
        worker.apply(start(epoch, "j/5", 1, 0, null));
        time.advance(Duration.ofMillis(1900));
        worker.apply(new Command.Lease("a", epoch, 2000));
        time.advance(Duration.ofMillis(3499));
        assertEquals(attemptState(worker.apply(start(epoch, "j/5", 1, 0, null))).state(), TaskState.RUNNING);
        time.advance(Duration.ofMillis(1));
        worker.processDue();
        List<Journal.Event> events = worker.journal(0).events();
        assertEquals(((Journal.TaskEnd) events.getLast()).state(), "LAPSED");
        assertTrue(events.stream()
                .anyMatch(event ->
                        event instanceof Journal.Lease change && change.change() == Journal.LeaseChange.EXPIRED));
    }

    /** Excess work is rejected, failing tasks are reported as failed, and tasks do not survive a crash. */
    @Test
    public void capacityFailuresAndCrashesAreReported() {
        WorkerState state = newWorker();
        long epoch = acquireLease(state, "a");
        state.apply(start(epoch, "j/0", 1, 0, null));
        state.setFailTasks(true);
        state.apply(start(epoch, "j/1", 1, 0, null));
        assertEquals(state.apply(start(epoch, "j/2", 1, 0, null)), new Reply.Rejected("no-room"));
        assertTrue(state.beginRequest("r", "c", "/", Optional.of(epoch - 1)).isEmpty());
        WorkerState.ActiveRequest request =
                state.beginRequest("r", "c", "/", Optional.of(epoch)).orElseThrow();
        assertEquals(request.load(), 1.0);
        time.advance(Duration.ofMillis(20));
        assertEquals(attemptState(state.apply(start(epoch, "j/1", 1, 0, null))).state(), TaskState.FAILED);
        assertEquals(state.usage().tasks().size(), 1);
        state.endRequest(request, true);
        state.crash();
        assertEquals(state.apply(new Command.Lease("a", 0, 2000)), new Reply.Rejected("down"));
        state.restart();
        Reply.LeaseGranted again = (Reply.LeaseGranted) state.apply(new Command.Lease("b", 0, 2000));
        assertTrue(again.epoch() > epoch
                && again.incarnation() == 2
                && again.tasks().isEmpty());
        List<String> ends = state.journal(0).events().stream()
                .filter(Journal.TaskEnd.class::isInstance)
                .map(event -> ((Journal.TaskEnd) event).state())
                .toList();
        assertEquals(ends, List.of("FAILED", "CRASHED"));
    }
}
